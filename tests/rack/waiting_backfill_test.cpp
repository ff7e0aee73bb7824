#include "backfill_simulation.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::backfill_simulation;

// Guards against starts that wait for full-speed headroom on idle targets.
TEST_CASE("harmful backfill starts get to work beside serving tasks at "
          "ordinary load",
          "[.][rack_waiting_backfill]")
{
    constexpr int jobs = 8;
    const milliseconds max_wait{3'000};    // for a job with nothing running
    const milliseconds max_impact{4'000};  // on a serving task, on end
    const milliseconds max_finish{14'000}; // from the end of the traffic
    for (unsigned seed = 1; seed <= 10; ++seed)
    {
        CAPTURE(seed);
        waiting_backfill sim(jobs, seed);
        for (int n = 0; n < jobs; ++n)
        {
            enqueue(sim.rack, make_backfill(n));
        }
        sim.run(max_finish);
        CHECK(sim.started.size() == jobs);
        for (const auto& [task, at] : sim.started)
        {
            CAPTURE(task);
            CHECK(at <= max_wait);
        }
        CHECK(sim.ended.size() == jobs);
        CHECK(sim.longest_over_target < max_impact);
        CHECK(sim.lowest_headroom_at_start >= 1.0);
    }
}

// Guards against jobs that stand still after a burst of backfill starts: with
// many more than the serving tasks bear, runs are evicted and queued again
// beside those that still wait.
TEST_CASE("jobs of a burst of backfill starts keep a run beside serving tasks "
          "on a lightly used fleet",
          "[rack]")
{
    constexpr int targets = 12;
    const milliseconds max_absence{3'000}; // for a job with nothing running
    const milliseconds max_impact{4'000};  // on a serving task, on end
    for (const std::size_t jobs : {24, 48, 96})
    {
        for (unsigned seed = 1; seed <= 5; ++seed)
        {
            CAPTURE(jobs, seed);
            waiting_backfill sim(targets, seed);
            // The end of the run is recorded and a rack chosen.
            sim.on_eviction = {true, milliseconds(700)};
            // One second in the owner of the job, and the message.
            sim.asks_after = milliseconds(1'300);
            for (std::size_t n = 0; n < jobs; ++n)
            {
                enqueue(sim.rack, make_backfill(static_cast<int>(n)));
            }
            sim.run(std::chrono::seconds(60));
            CHECK(sim.started.size() == jobs);
            CHECK(sim.longest_absence.count() <= max_absence.count());
            CHECK(sim.longest_over_target.count() < max_impact.count());
        }
    }
}
