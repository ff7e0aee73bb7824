/// \file
/// Clock types. Decision logic takes time points as parameters and reads no
/// clock.

#ifndef EGRETSPINDLE_CORE_CLOCK_HPP
#define EGRETSPINDLE_CORE_CLOCK_HPP

#include <chrono>
#include <cstdint>

namespace egretspindle
{

using steady_clock = std::chrono::steady_clock;
using time_point = steady_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Returns whole milliseconds between two time points.
[[nodiscard]] inline std::int64_t elapsed_ms(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

/// Returns the time since a time point.
[[nodiscard]] inline milliseconds elapsed(time_point from)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - from);
}

/// Returns milliseconds since the Unix epoch, for stored records and logs.
[[nodiscard]] inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace egretspindle

#endif
