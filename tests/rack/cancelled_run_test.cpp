#include "cancel_simulation.hpp"

#include <catch2/catch.hpp>

#include <string>

using egretspindle::cancel_simulation::simulation;

// Guards against runs of cancelled jobs that start, or go on without a stop,
// after another order of starts, stops, answers, lists and changes of owners.
TEST_CASE("runs of cancelled jobs end", "[rack][cancelled_run]")
{
    const unsigned seed = GENERATE(range(1u, 101u));
    INFO("seed " << seed);
    simulation play(seed);
    const std::string failure = play.play();
    CAPTURE(failure);
    CHECK(failure.empty());
    CHECK(play.sent_stops() > 50);
    CHECK(play.begun_runs() > 50);
}

// To be run by hand after changes of these decisions; takes about 100 s.
TEST_CASE("runs of cancelled jobs end, with many seeds",
          "[.][cancelled_run_seeds]")
{
    const unsigned seed = GENERATE(range(101u, 10'001u));
    INFO("seed " << seed);
    const std::string failure = simulation(seed).play();
    CAPTURE(failure);
    CHECK(failure.empty());
}
