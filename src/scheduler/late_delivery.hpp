/// \file
/// Log line of messages that have waited for earlier ones to the same host.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_LATE_DELIVERY_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_LATE_DELIVERY_HPP

#include "egretspindle/core/clock.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Logs a batch whose first message has waited for a second or more. There is
/// at most one line for each delivery.
void log_late_delivery(std::string_view text, const std::string& host,
                       std::size_t items, const std::string& first,
                       milliseconds waited);

} // namespace egretspindle

#endif
