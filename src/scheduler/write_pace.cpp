#include "egretspindle/scheduler/write_pace.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

using seconds = std::chrono::duration<double>;

steady_clock::duration interval_of(const write_pace& pace,
                                   double spread) noexcept
{
    return std::chrono::duration_cast<steady_clock::duration>(
        seconds(spread / pace.calls_per_s));
}

} // namespace

bool is_limited(const write_pace& pace) noexcept
{
    return pace.calls_per_s > 0;
}

void note_call(write_pace& pace, time_point now, double spread) noexcept
{
    if (is_limited(pace))
    {
        pace.next_at = now + interval_of(pace, spread);
    }
}

bool note_overload(write_pace& pace, const write_pace_limits& limits,
                   time_point begun_at, time_point now, double spread) noexcept
{
    const bool was_limited = is_limited(pace);
    if (!was_limited)
    {
        pace.calls_per_s = limits.first_rate;
        pace.limited_at = now;
        pace.refused = 0;
    }
    ++pace.refused;
    if (was_limited && begun_at < pace.reduced_at)
    {
        return false;
    }
    if (was_limited)
    {
        pace.calls_per_s = std::max(limits.min_rate, pace.calls_per_s / 2);
    }
    pace.reduced_at = now;
    pace.raised_at = now;
    pace.next_at = now + interval_of(pace, spread);
    return !was_limited;
}

bool note_success(write_pace& pace, const write_pace_limits& limits,
                  time_point now) noexcept
{
    if (!is_limited(pace))
    {
        return false;
    }
    const seconds elapsed = now - pace.raised_at;
    pace.calls_per_s += limits.increase * std::max(0.0, elapsed.count());
    pace.raised_at = now;
    if (pace.calls_per_s < limits.free_rate)
    {
        return false;
    }
    pace.calls_per_s = 0;
    pace.next_at = now;
    return true;
}

milliseconds call_interval(const write_pace& pace) noexcept
{
    return is_limited(pace)
               ? std::chrono::duration_cast<milliseconds>(interval_of(pace, 1))
               : milliseconds(0);
}

} // namespace egretspindle
