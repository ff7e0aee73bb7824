/// \file
/// Largest of the latest values of a count.

#ifndef EGRETSPINDLE_SCHEDULER_VALUE_WINDOW_HPP
#define EGRETSPINDLE_SCHEDULER_VALUE_WINDOW_HPP

#include "egretspindle/core/clock.hpp"

#include <cstdint>
#include <deque>
#include <utility>

namespace egretspindle
{

/// Values with the times at which they were read, oldest first.
using value_window = std::deque<std::pair<time_point, std::int64_t>>;

/// Adds a value, and removes those that are older than `period`.
void add_value(value_window& window, std::int64_t value, milliseconds period,
               time_point now);

/// Returns the largest value that is at most `period` old; 0 if there is none.
[[nodiscard]] std::int64_t max_value(const value_window& window,
                                     milliseconds period, time_point now);

} // namespace egretspindle

#endif
