/// \file
/// Protection of targets against tasks that exceed their reservation.

#ifndef EGRETSPINDLE_PLACEMENT_GUARD_HPP
#define EGRETSPINDLE_PLACEMENT_GUARD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/eviction.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/placement/throttle.hpp"

#include <vector>

namespace egretspindle
{

/// Commands that keep a target within its capacity.
struct guard_actions
{
    std::vector<throttle> throttles;
    std::vector<eviction> evictions;
};

/// Returns the commands for the reachable targets. Above 90% of the processors,
/// batch tasks are throttled; above 97%, those already throttled are evicted.
/// Above 92% of the memory, batch tasks are evicted. Throttling ends where the
/// use stays below 70% of the processors without it. Only checkpointable tasks
/// are evicted.
///
/// Called after each usage report.
///
/// \param rack    current view of the rack with the report applied
/// \param model   learned estimates
/// \param limits  limits from the plan
/// \param now     current time
[[nodiscard]] guard_actions check_guards(const rack_load& rack,
                                         const policy_model& model,
                                         const policy_limits& limits,
                                         time_point now);

} // namespace egretspindle

#endif
