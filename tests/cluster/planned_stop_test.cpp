#include "egretspindle/cluster/planned_stop.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const stop_limits limits;

// A stop after which nothing is left to hand over.
stop_progress make_progress(milliseconds elapsed)
{
    stop_progress progress;
    progress.elapsed = elapsed;
    progress.is_announced = true;
    return progress;
}

} // namespace

// Guards against a host that ends before it has told the next owners of its
// racks when its leases end, so that they wait for the longest ones.
TEST_CASE("a host ends only when everything is handed over", "[cluster]")
{
    stop_progress progress = make_progress(milliseconds(4'900));
    REQUIRE(may_end(progress, limits));
    SECTION("others may not have read that it leaves")
    {
        progress.is_announced = false;
    }
    SECTION("a rack is not claimed")
    {
        progress.owned = 1;
    }
    SECTION("a release is not delivered")
    {
        progress.undelivered = 1;
    }
    SECTION("a call is in progress")
    {
        progress.calls = 1;
    }
    REQUIRE_FALSE(may_end(progress, limits));
}

// Guards against a rack that nobody claims in time, and whose next owner waits
// for the longest lease.
TEST_CASE("a host releases racks in the store shortly before it ends",
          "[cluster]")
{
    stop_progress progress = make_progress(milliseconds(4'200));
    CHECK_FALSE(must_release(progress, limits));
    SECTION("a rack is not claimed")
    {
        progress.owned = 1;
    }
    SECTION("a release is not delivered")
    {
        progress.undelivered = 1;
    }
    CHECK(must_release(progress, limits));
    CHECK_FALSE(may_end(progress, limits));
    progress.elapsed = milliseconds(4'199);
    CHECK_FALSE(must_release(progress, limits));
    progress.is_released = true;
    progress.elapsed = milliseconds(4'300);
    CHECK_FALSE(must_release(progress, limits));
    CHECK(may_end(progress, limits));
    progress.calls = 1;
    CHECK_FALSE(may_end(progress, limits));
}

// Guards against new connections that are refused by a host that owns nothing.
TEST_CASE("a host serves until the load balancer has taken it out", "[cluster]")
{
    REQUIRE_FALSE(may_end(make_progress(milliseconds(1'999)), limits));
    REQUIRE(may_end(make_progress(milliseconds(2'000)), limits));
}

// Guards against a host that is killed in its planned stop.
TEST_CASE("a host ends within the grace time whatever is left", "[cluster]")
{
    stop_progress progress;
    progress.owned = 5;
    progress.undelivered = 3;
    progress.calls = 1;
    progress.elapsed = milliseconds(5'000);
    REQUIRE(may_end(progress, limits));
    for (const milliseconds grace :
         {milliseconds(0), milliseconds(100), milliseconds(1'000),
          milliseconds(2'000), milliseconds(20'000)})
    {
        stop_limits other;
        other.grace = grace;
        CAPTURE(grace.count());
        CHECK(time_to_hand_over(other) >= grace / 2);
        CHECK(time_to_hand_over(other) <= grace * 19 / 20);
        progress.elapsed = time_to_hand_over(other);
        CHECK(may_end(progress, other));
        progress.elapsed -= milliseconds(1);
        CHECK_FALSE(may_end(progress, other));
    }
}
