#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/rack/rack_handover.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const lease_limits limits;
const time_point now = steady_clock::now();

rack_target& add_target(rack_state& rack, const std::string& id)
{
    rack_target& target = rack.targets[id];
    target.entry.id = id;
    target.is_inherited = true;
    return target;
}

// Rack whose former owner had the token 7, and whose leases end in 14.7 s for
// all that the new owner knows.
rack_state make_new_owner()
{
    rack_state rack;
    rack.name = "r1";
    rack.token = 8;
    rack.former_token = 7;
    rack.unknown_until = now + milliseconds(14'700);
    add_target(rack, "t1").is_reached = true;
    add_target(rack, "t2");
    return rack;
}

rack_state make_former_owner()
{
    rack_state rack;
    rack.name = "r1";
    rack.token = 7;
    rack.unknown_until = now + milliseconds(9'000);
    rack_target& reached = add_target(rack, "t2");
    reached.is_reached = true;
    reached.expires_at = now + milliseconds(5'000);
    add_target(rack, "t3");
    return rack;
}

bool knows_all_after(rack_state& rack, milliseconds time)
{
    rack.verified_at = now + time;
    return knows_all_runs(rack, now + time);
}

} // namespace

// A long-running task whose target is gone was away for 12.2 s when its rack
// moved to another host 1.4 s after the loss: the new owner did not know that
// the former one had given the rack up. Guards against that, and against
// counting a lease as expired too early.
TEST_CASE("a new owner waits for the leases that the former one granted",
          "[rack]")
{
    rack_state rack = make_new_owner();
    REQUIRE_FALSE(knows_all_after(rack, milliseconds(14'600)));
    const rack_handover handover = make_handover(make_former_owner(), now);
    REQUIRE(handover.targets.size() == 2);
    CHECK(handover.targets[1].remaining_ms == 9'000);
    apply_handover(rack, handover, limits, now);
    CHECK_FALSE(knows_all_after(rack, milliseconds(4'999)));
    CHECK(knows_all_after(rack, milliseconds(5'002)));
}

// A rack moved to another live host 6.3 s after one of its targets was gone,
// when the owner was about to conclude its runs; the new owner concluded them
// 5 s later.
TEST_CASE("an owner with a silent target is concluding until the ends of its "
          "runs are reported",
          "[rack]")
{
    rack_state rack;
    rack.name = "r1";
    rack.token = 8;
    rack_target& target = add_target(rack, "t1");
    target.is_reached = true;
    target.is_inherited = false;
    target.clock_at = now;
    target.expires_at = now + milliseconds(6'620);
    target.runs[{"task", 1}].is_confirmed = true;
    const auto is_concluding_after = [&rack](int ms)
    {
        const time_point time = now + milliseconds(ms);
        rack.verified_at = time;
        (void)expire_leases(rack, time);
        return is_concluding(rack, time);
    };
    CHECK_FALSE(is_concluding_after(2'000));
    CHECK(is_concluding_after(2'500));
    CHECK(is_concluding_after(6'300));
    CHECK(is_concluding_after(6'700)); // the ends are being reported
    CHECK(target.runs.empty());
    CHECK_FALSE(is_concluding_after(9'000));
}

// Guards against a wait for a target that runs nothing, and against a move
// while the leases of earlier owners are not known to have expired.
TEST_CASE("an owner is concluding while it may not know all runs", "[rack]")
{
    rack_state rack = make_new_owner();
    CHECK(is_concluding(rack, now + milliseconds(5'000)));
    rack.verified_at = now + milliseconds(14'700);
    CHECK_FALSE(is_concluding(rack, now + milliseconds(14'700)));
}

// Guards against a message of an earlier owner, which does not know the leases
// that a later one granted.
TEST_CASE("only the last earlier owner can handover a rack", "[rack]")
{
    rack_state rack = make_new_owner();
    rack_handover handover = make_handover(make_former_owner(), now);
    handover.token = 6;
    apply_handover(rack, handover, limits, now);
    CHECK_FALSE(knows_all_after(rack, milliseconds(14'600)));
    rack.former_token = 0;
    handover.token = 0;
    apply_handover(rack, handover, limits, now);
    CHECK_FALSE(knows_all_after(rack, milliseconds(14'600)));
}

// Guards against runs that end on a target which still has a lease.
TEST_CASE("runs on a released target end with its leases", "[rack]")
{
    rack_state rack = make_new_owner();
    apply_handover(rack, make_handover(make_former_owner(), now), limits, now);
    rack.targets["t2"].is_listed = false;
    rack.verified_at = now + milliseconds(4'000);
    CHECK(expire_leases(rack, now + milliseconds(4'000)).empty());
    CHECK(rack.targets.count("t2") == 1);
    rack.verified_at = now + milliseconds(6'000);
    CHECK(expire_leases(rack, now + milliseconds(6'000)).empty());
    CHECK(rack.targets.count("t2") == 0);
}

// A target that the new owner reached for a moment before it was gone kept its
// runs for the longest lease, 10.7 s. Guards against that, and against ends of
// runs while a lease of the former owner is valid.
TEST_CASE("a target that is lost after a handover has no longer leases",
          "[rack]")
{
    const bool is_reached_first = GENERATE(true, false);
    CAPTURE(is_reached_first);
    rack_state rack = make_new_owner();
    rack_target& target = rack.targets["t2"];
    poll_answer answer;
    answer.clock_ms = 50'000;
    answer.started_ms = 1;
    const auto reach = [&]
    {
        REQUIRE(apply_poll(rack, target, answer, now, now).empty());
        update_clock(target, answer.clock_ms, limits, now);
    };
    if (is_reached_first)
    {
        reach();
        CHECK(target.expires_at >= now + max_lease_duration(limits));
    }
    apply_handover(rack, make_handover(make_former_owner(), now), limits, now);
    if (!is_reached_first)
    {
        reach();
    }
    CHECK(target.expires_at >= now + milliseconds(5'000));
    CHECK(target.expires_at < now + milliseconds(5'100));
    extend_lease(target, limits, now);
    CHECK(target.expires_at >= now + lease_duration(limits));
    CHECK(target.expires_at < now + max_lease_duration(limits));
}

// Guards against a release that is delivered late and counts from then, or that
// ends before the leases do.
TEST_CASE("an older release has less time left", "[rack]")
{
    const rack_handover handover{"r1", 4, {{"t1", 700}, {"t2", 100}}};
    const rack_handover aged = age_handover(handover, milliseconds(200));
    CHECK(aged.rack == "r1");
    CHECK(aged.token == 4);
    REQUIRE(aged.targets.size() == 2);
    CHECK(aged.targets[0].target == "t1");
    CHECK(aged.targets[0].remaining_ms == 500);
    CHECK(aged.targets[1].remaining_ms == 0);
}
