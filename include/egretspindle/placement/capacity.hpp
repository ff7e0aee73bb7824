/// \file
/// Capacity in use and reservations.

#ifndef EGRETSPINDLE_PLACEMENT_CAPACITY_HPP
#define EGRETSPINDLE_PLACEMENT_CAPACITY_HPP

#include "egretspindle/core/resources.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/target_load.hpp"
#include "egretspindle/placement/task_request.hpp"

namespace egretspindle
{

/// Returns the reservation for a request on a target of the given capacity.
[[nodiscard]] resources reservation_for(const policy_model& model,
                                        const task_request& request,
                                        const resources& capacity);

/// Returns what a task counts for: the reservation, or more when the last
/// measurement or the estimate of its kind shows more.
[[nodiscard]] resources committed(const policy_model& model,
                                  const task_load& task);

/// Returns what all tasks of a target count for.
[[nodiscard]] resources committed(const policy_model& model,
                                  const target_load& target);

/// Returns the capacity left, never below zero.
[[nodiscard]] resources free_capacity(const policy_model& model,
                                      const target_load& target);

/// Returns the slots left, bounded by the connections left.
[[nodiscard]] int free_slots(const target_load& target);

/// Returns whether the target may take work of the class at all.
[[nodiscard]] bool takes_work(const target_load& target, bool urgent);

} // namespace egretspindle

#endif
