#include "egretspindle/cluster/call_gate.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

// Guards against calls that are still open when the host that has taken them
// ends.
TEST_CASE("admitted calls end within the time to hand over", "[cluster]")
{
    const milliseconds grace = GENERATE(
        milliseconds(2'000), milliseconds(6'000), milliseconds(30'000));
    CAPTURE(grace.count());
    stop_limits limits;
    limits.grace = grace;
    const milliseconds end = time_to_hand_over(limits);
    const boot_time_point begun{std::chrono::seconds(100)};
    call_gate gate(limits);
    const std::optional<milliseconds> before = gate.admit(begun);
    REQUIRE(before.has_value());
    CHECK(*before <= end);
    CHECK(*before >= end / 2);
    gate.begin_stop(begun);
    CHECK(gate.is_stopping());
    int admitted = 0;
    for (milliseconds at{0}; at <= grace + milliseconds(100);
         at += milliseconds(20))
    {
        const std::optional<milliseconds> time = gate.admit(begun + at);
        CAPTURE(at.count());
        if (time)
        {
            ++admitted;
            CHECK(at + *time <= end);
            CHECK(*time >= limits.shortest_call);
        }
        else
        {
            // Calls that can be answered are not refused.
            CHECK(end - at < limits.shortest_call);
        }
    }
    CHECK(admitted > 0);
    CHECK(gate.refused() > 0);
}

// Guards against calls that are taken after the host has decided to end.
TEST_CASE("a closed gate refuses all calls of a host that stops", "[cluster]")
{
    const boot_time_point begun{std::chrono::seconds(100)};
    call_gate gate(stop_limits{});
    gate.begin_stop(begun);
    CHECK(gate.admit(begun).has_value());
    gate.set_closed(true);
    CHECK_FALSE(gate.admit(begun).has_value());
    CHECK(gate.refused() == 1);
    gate.set_closed(false);
    CHECK(gate.admit(begun).has_value());
}
