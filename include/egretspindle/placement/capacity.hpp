/// \file
/// Reservations and free capacity of targets.

#ifndef EGRETSPINDLE_PLACEMENT_CAPACITY_HPP
#define EGRETSPINDLE_PLACEMENT_CAPACITY_HPP

#include "egretspindle/core/resources.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/target_load.hpp"
#include "egretspindle/placement/task_request.hpp"

namespace egretspindle
{

/// Returns the resources to reserve for a request on a target of the given
/// capacity.
[[nodiscard]] resources reservation_for(const policy_model& model,
                                        const task_request& request,
                                        const resources& capacity);

/// Returns the resources that a task is accounted for: its reservation, or more
/// when the last measurement or the estimated peak of its kind is higher. For a
/// throttled task, reserved and estimated processors count by its share.
[[nodiscard]] resources committed(const policy_model& model,
                                  const task_load& task);

/// Returns the resources that all tasks of a target are accounted for.
[[nodiscard]] resources committed(const policy_model& model,
                                  const target_load& target);

/// Returns the free capacity of a target, never below zero.
[[nodiscard]] resources free_capacity(const policy_model& model,
                                      const target_load& target);

/// Returns the free slots of a target, limited by its free connections.
[[nodiscard]] int free_slots(const target_load& target);

/// Returns whether the target accepts tasks of the class at all.
[[nodiscard]] bool accepts_work(const target_load& target, bool urgent);

} // namespace egretspindle

#endif
