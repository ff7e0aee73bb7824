/// \file
/// Merging of orders for the same rack.

#ifndef EGRETSPINDLE_SCHEDULER_MERGE_ORDERS_HPP
#define EGRETSPINDLE_SCHEDULER_MERGE_ORDERS_HPP

#include "egretspindle/scheduler/owner_messages.hpp"

#include <cstddef>
#include <vector>

namespace egretspindle
{

/// Maximum number of steps in a merged message. With the longest specification
/// of a step, 4,000 bytes, the message is well below the limit of the receiver.
constexpr std::size_t max_merged_steps = 200;

/// Merges orders for the same rack and token, in the order of their first
/// occurrence. Starts of the same step that follow each other share its terms.
/// Orders with more than `max_merged_steps` steps together stay separate.
[[nodiscard]] std::vector<rack_orders>
merge_orders(std::vector<rack_orders> orders);

} // namespace egretspindle

#endif
