#include "cancel_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace egretspindle::cancel_simulation;

namespace
{

play_options short_lists(std::size_t max_ends)
{
    play_options options;
    options.max_ends = max_ends;
    options.has_cancellings = false;
    options.submit_period = ms(400);
    options.longest_run = 800;
    return options;
}

} // namespace

// Guards against tasks that run again, run more often than they may, or never
// end, since the targets leave out ends of runs.
TEST_CASE("tasks run once while targets leave out ends", "[rack][end_list]")
{
    play_options options = short_lists(6);
    options.fills_lists = true;
    int plays_with_cut_lists = 0;
    for (unsigned seed = 1; seed <= 100; ++seed)
    {
        INFO("seed " << seed);
        simulation play(seed, options);
        const std::string failure = play.play();
        CAPTURE(failure);
        CHECK(failure.empty());
        CHECK(play.begun_runs() > 100);
        plays_with_cut_lists += play.cut_lists() > 0 ? 1 : 0;
    }
    CHECK(plays_with_cut_lists > 50);
}

// Guards against starts whose ends a target cannot list, and against targets
// that get none for longer than that.
TEST_CASE("targets get the starts whose ends they can list", "[rack][end_list]")
{
    const unsigned seed = GENERATE(range(1u, 101u));
    INFO("seed " << seed);
    simulation play(seed, short_lists(6));
    const std::string failure = play.play();
    CAPTURE(failure);
    CHECK(failure.empty());
    CHECK(play.begun_runs() > 100);
    CHECK(play.cut_lists() == 0);
}

// Guards against copies of starts without an answer that the next boot of their
// target carries out, after the task has been started elsewhere. See
// KNOWN-RED.txt.
TEST_CASE("a late copy of a start runs no task again", "[.][rack_late_copies]")
{
    for (unsigned seed = 1; seed <= 2'000; ++seed)
    {
        INFO("seed " << seed);
        const std::string failure = simulation(seed, short_lists(500)).play();
        CAPTURE(failure);
        CHECK(failure.empty());
    }
}
