#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

using namespace egretspindle;

namespace
{

constexpr milliseconds step{100};
constexpr std::int64_t steps_per_poll = 4;
// Reported response times cover the last half second.
constexpr std::size_t steps_per_report = 5;
constexpr double work_s = 2.0; // of a backfill task at full speed
constexpr double response_target_ms = 50;
constexpr double true_drop_per_core = 0.2;
const time_point start_time = time_point{} + milliseconds(1'000'000);

step_terms make_serving()
{
    step_terms terms;
    terms.step = "serving.0.0";
    terms.service = "svc";
    terms.size = {8'000, 4'000, 0};
    terms.image = "serving";
    terms.is_long_running = true;
    terms.response_target_ms = static_cast<std::int64_t>(response_target_ms);
    return terms;
}

queued_start make_backfill(int job)
{
    step_terms terms;
    terms.step = "job" + std::to_string(job) + ".0.0";
    terms.service = "svc";
    terms.size = {5'000, 1'000, 0};
    terms.image = "heavy";
    terms.uses_idle_cpu = true;
    terms.is_checkpointing = true;
    queued_start start;
    start.task = terms.step + ".0";
    start.run = 1;
    start.terms = std::make_shared<const step_terms>(terms);
    start.queued_at = start_time;
    return start;
}

/// Backfill run at work on a target.
struct simulated_run
{
    double percent = 100; ///< in force at the target
    double done_s = 0;    ///< work done, in seconds at full speed
};

/// Target whose serving task has a headroom of 1.5 to 2 without backfill.
struct simulated_target
{
    double phase = 0;
    std::map<run_id, simulated_run> runs;
    std::deque<double> headrooms; ///< of the last half second
    milliseconds over_target{0};  ///< of its serving task, until now
};

double headroom_without_backfill(const simulated_target& item, milliseconds at)
{
    constexpr double period_ms = 14'000;
    constexpr double two_pi = 6.283185307;
    const double turn =
        item.phase + two_pi * static_cast<double>(at.count()) / period_ms;
    return 1.75 + 0.25 * std::sin(turn);
}

struct waiting_backfill
{
    rack_state rack;
    interference_model model;
    std::map<std::string, simulated_target> targets;
    std::map<std::string, milliseconds> started; ///< first start, by task
    std::map<std::string, milliseconds> ended;   ///< by task
    milliseconds longest_over_target{0};
    double lowest_headroom_at_start = 10; ///< expected with the ordered speeds
    std::minstd_rand random;

    waiting_backfill(int count, unsigned seed) : random(seed)
    {
        update_peer_interference(
            model, "h2", 1, {{"serving", "heavy", true_drop_per_core, 5'000}});
        merge_interference(model);
        std::uniform_real_distribution<double> any_phase(0, 6.28);
        for (int n = 0; n < count; ++n)
        {
            rack_target target;
            target.entry.id = "t" + std::to_string(n);
            target.entry.service = "svc";
            target.entry.capacity = {32'000, 125'000, 0};
            target.is_recorded = true;
            target.is_reached = true;
            target.started_ms = 1;
            placed_run serving;
            serving.task = "serving.0.0." + std::to_string(n);
            serving.run = 1;
            serving.terms = std::make_shared<const step_terms>(make_serving());
            serving.is_confirmed = true;
            target.runs[{serving.task, 1}] = serving;
            targets[target.entry.id].phase = any_phase(random);
            rack.targets[target.entry.id] = target;
        }
    }

    void run(milliseconds duration)
    {
        for (milliseconds at{0}; at < duration; at += step)
        {
            std::int64_t n = at / step;
            for (auto& [id, target] : rack.targets)
            {
                advance(targets[id], target, at);
                if (n++ % steps_per_poll == 0)
                {
                    poll(targets[id], target, at);
                }
            }
            place(at);
        }
    }

    // Lets a target work for one step, with the speed limits that were ordered
    // before.
    void advance(simulated_target& item, rack_target& target, milliseconds at)
    {
        double headroom = headroom_without_backfill(item, at);
        for (auto it = item.runs.begin(); it != item.runs.end();)
        {
            const double speed = it->second.percent / 100.0;
            headroom -= true_drop_per_core * 5.0 * speed;
            it->second.done_s +=
                speed * static_cast<double>(step.count()) / 1'000.0;
            if (it->second.done_s >= work_s)
            {
                ended.emplace(it->first.first, at);
                target.runs.erase(it->first);
                it = item.runs.erase(it);
                continue;
            }
            it->second.percent =
                static_cast<double>(target.runs.at(it->first).percent);
            ++it;
        }
        item.headrooms.push_back(std::max(0.1, headroom));
        if (item.headrooms.size() > steps_per_report)
        {
            item.headrooms.pop_front();
        }
        item.over_target =
            headroom < 1.0 ? item.over_target + step : milliseconds(0);
        longest_over_target = std::max(longest_over_target, item.over_target);
    }

    void poll(simulated_target& item, rack_target& target, milliseconds at)
    {
        std::uniform_real_distribution<double> noise(0.97, 1.03);
        const double lowest =
            *std::min_element(item.headrooms.begin(), item.headrooms.end());
        for (auto& [id, run] : target.runs)
        {
            run.load =
                run.terms->uses_idle_cpu
                    ? std::lround(5'000 * item.runs.at(id).percent / 100.0)
                    : std::lround(response_target_ms / lowest * noise(random));
        }
        for (const run_id& id : decide_evictions(target, start_time + at))
        {
            queued_start again = make_backfill(0);
            again.task = id.first;
            again.run = id.second + 1;
            again.terms = target.runs.at(id).terms;
            again.queued_at = start_time + at;
            target.runs.erase(id);
            item.runs.erase(id);
            enqueue(rack, again);
        }
        observe_target(target, model, start_time + at);
        static_cast<void>(decide_pace(target, model, start_time + at));
    }

    void place(milliseconds at)
    {
        for (const placement& placed :
             place_starts(rack, model, start_time + at, 0))
        {
            const run_id id{placed.start.task, placed.start.run};
            placed_run& run = rack.targets.at(placed.target).runs.at(id);
            run.is_confirmed = true;
            run.confirmed_at = start_time + at;
            targets[placed.target].runs[id] = {};
            started.emplace(id.first, at);
            double expected =
                headroom_without_backfill(targets[placed.target], at);
            for (const auto& [other, item] : targets[placed.target].runs)
            {
                expected -=
                    true_drop_per_core * 5.0 *
                    static_cast<double>(
                        rack.targets.at(placed.target).runs.at(other).percent) /
                    100.0;
            }
            lowest_headroom_at_start =
                std::min(lowest_headroom_at_start, expected);
        }
    }
};

} // namespace

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
