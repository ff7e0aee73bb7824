#include "egretspindle/scheduler/write_pace.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

constexpr write_pace_limits limits;
const time_point start = time_point{} + std::chrono::hours(1);

/// Writes at the limit of a pace for a while. Each call takes 10 ms.
///
/// \param is_refused  whether the store refuses a call, by its start
/// \returns the number of calls
template <typename Predicate>
int call_until(write_pace& pace, time_point& now, time_point end,
               const Predicate& is_refused)
{
    int calls = 0;
    while (now < end)
    {
        now = std::max(now, pace.next_at);
        const time_point begun_at = now;
        note_call(pace, now, 1);
        now += milliseconds(10);
        ++calls;
        if (is_refused(begun_at))
        {
            note_overload(pace, limits, begun_at, now, 1);
        }
        else
        {
            note_success(pace, limits, now);
        }
    }
    return calls;
}

} // namespace

// Guards against urgent changes that wait although the store is not at its
// limit.
TEST_CASE("calls are not delayed before a refusal", "[scheduler]")
{
    write_pace pace;
    note_call(pace, start, 1.25);
    REQUIRE_FALSE(is_limited(pace));
    CHECK(pace.next_at <= start);
    CHECK_FALSE(note_success(pace, limits, start));
    CHECK(call_interval(pace) == milliseconds(0));
}

TEST_CASE("the first refusal limits the rate and further ones halve it",
          "[scheduler]")
{
    write_pace pace;
    REQUIRE(note_overload(pace, limits, start, start, 1));
    CHECK(pace.calls_per_s == limits.first_rate);
    CHECK(pace.next_at == start + call_interval(pace));
    const time_point later = start + milliseconds(60);
    REQUIRE_FALSE(note_overload(pace, limits, later, later, 1));
    CHECK(pace.calls_per_s == limits.first_rate / 2);
    CHECK(pace.refused == 2);
}

// Guards against a rate that falls to an eighth because the store has refused
// three calls that were under way together.
TEST_CASE("calls that began together halve the rate once", "[scheduler]")
{
    write_pace pace;
    const time_point answered_at = start + milliseconds(10);
    REQUIRE(note_overload(pace, limits, start, answered_at, 1));
    REQUIRE_FALSE(note_overload(pace, limits, start, answered_at, 1));
    REQUIRE_FALSE(note_overload(pace, limits, start, answered_at, 1));
    CHECK(pace.calls_per_s == limits.first_rate);
    CHECK(pace.refused == 3);
}

// Guards against a host that never writes again, and against one that goes on
// at full rate, while the store refuses all of its calls.
TEST_CASE("a host that is always refused calls at the lowest rate",
          "[scheduler]")
{
    write_pace pace;
    time_point now = start;
    const auto is_refused = [](time_point)
    {
        return true;
    };
    call_until(pace, now, start + std::chrono::seconds(10), is_refused);
    CHECK(pace.calls_per_s == limits.min_rate);
    const int calls =
        call_until(pace, now, now + std::chrono::seconds(80), is_refused);
    CHECK(calls >= 95);
    CHECK(calls <= 101);
}

// Guards against a limit that outlasts the overload.
TEST_CASE("the limit ends once the store accepts all calls", "[scheduler]")
{
    write_pace pace;
    time_point now = start;
    note_overload(pace, limits, start, start, 1);
    const std::chrono::duration<double> bound(
        (limits.free_rate - limits.first_rate) / limits.increase + 1);
    call_until(pace, now,
               start +
                   std::chrono::duration_cast<steady_clock::duration>(bound),
               [](time_point) { return false; });
    CHECK_FALSE(is_limited(pace));
    CHECK(pace.next_at <= now);
}

// Guards against a host that keeps most of the rate because it wrote more than
// the others when the overload began.
TEST_CASE("two hosts of different rates approach the same rate", "[scheduler]")
{
    write_pace fast;
    write_pace slow;
    time_point now = start;
    for (write_pace* pace : {&fast, &slow})
    {
        note_overload(*pace, limits, now, now, 1);
    }
    fast.calls_per_s = 45;
    slow.calls_per_s = 3;
    // The store admits 50 calls a second from both, and then refuses each once.
    for (int n = 0; n < 600; ++n)
    {
        now += milliseconds(100);
        const bool is_refused = fast.calls_per_s + slow.calls_per_s > 50;
        for (write_pace* pace : {&fast, &slow})
        {
            if (is_refused)
            {
                note_overload(*pace, limits, now, now, 1);
            }
            else
            {
                note_success(*pace, limits, now);
            }
        }
    }
    CHECK(slow.calls_per_s >= 0.9 * fast.calls_per_s);
}
