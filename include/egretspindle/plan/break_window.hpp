/// \file
/// Time of day at which the plan may be changed.

#ifndef EGRETSPINDLE_PLAN_BREAK_WINDOW_HPP
#define EGRETSPINDLE_PLAN_BREAK_WINDOW_HPP

#include <cstdint>

namespace egretspindle
{

/// Daily window in UTC. It crosses midnight if the end is not later than the
/// start.
struct break_window
{
    int from_minute = 0; ///< minutes since midnight, included
    int to_minute = 0;   ///< minutes since midnight, excluded
};

/// Returns whether a time lies in the window.
///
/// \param unix_ms  milliseconds since the Unix epoch
[[nodiscard]] bool is_in_window(const break_window& window,
                                std::int64_t unix_ms) noexcept;

} // namespace egretspindle

#endif
