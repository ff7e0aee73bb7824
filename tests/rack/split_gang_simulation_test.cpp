#include "gang_simulation.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::gang_simulation_details;

// Guards against accepted gangs that stand still, since each rack has lost a
// target for good, and against members that wait for each other in vain while
// several gangs and other tasks compete for the room.
TEST_CASE("gangs as wide as a full rack are done after each has lost a target",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 30; ++seed)
    {
        CAPTURE(seed);
        gang_simulation sim(seed);
        for (int n = 0; n < racks_in_fleet; ++n)
        {
            const std::string rack = "r" + std::to_string(n);
            sim.remove_target(rack, rack + "-" + std::to_string(n));
        }
        sim.run_for(milliseconds(1'000));
        for (int n = 0; n < 8; ++n)
        {
            sim.submit_gang(targets_in_rack, n % 2 == 0);
            sim.submit_tasks(4);
            sim.run_for(milliseconds(500));
        }
        sim.run_for(milliseconds(60'000));
        CAPTURE(sim.split, sim.stops);
        CHECK(sim.open_jobs() == 0);
        CHECK(sim.split >= 8);
        CHECK(sim.alone == 0);
    }
}

// Guards against gangs that stand still beside free targets, since a task that
// lasts is on one target of each rack.
TEST_CASE("gangs are done although no rack has room for one", "[rack]")
{
    for (unsigned seed = 1; seed <= 30; ++seed)
    {
        CAPTURE(seed);
        gang_simulation sim(seed);
        for (int n = 0; n < racks_in_fleet; ++n)
        {
            const std::string rack = "r" + std::to_string(n);
            sim.occupy(rack, rack + "-" + std::to_string(n));
        }
        sim.run_for(milliseconds(1'000));
        for (int n = 0; n < 8; ++n)
        {
            sim.submit_gang(targets_in_rack, false);
            sim.submit_tasks(4);
            sim.run_for(milliseconds(500));
        }
        sim.run_for(milliseconds(60'000));
        CAPTURE(sim.split, sim.stops);
        CHECK(sim.open_jobs() == 0);
        CHECK(sim.alone == 0);
    }
}

// Guards against splits without need, and against gangs that stand still in the
// ordinary case.
TEST_CASE("gangs that a rack can hold are done", "[rack]")
{
    for (unsigned seed = 1; seed <= 30; ++seed)
    {
        CAPTURE(seed);
        gang_simulation sim(seed);
        sim.run_for(milliseconds(1'000));
        for (int n = 0; n < 8; ++n)
        {
            sim.submit_gang(targets_in_rack / 2, n % 2 == 0);
            sim.run_for(milliseconds(500));
        }
        sim.run_for(milliseconds(60'000));
        CAPTURE(sim.split, sim.stops);
        CHECK(sim.open_jobs() == 0);
        CHECK(sim.alone == 0);
    }
}
