/// \file
/// Choice of a target within a rack.

#ifndef EGRETSPINDLE_PLACEMENT_CHOOSE_TARGET_HPP
#define EGRETSPINDLE_PLACEMENT_CHOOSE_TARGET_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/placement_decision.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/placement/task_request.hpp"

#include <random>

namespace egretspindle
{

/// Decides on which target of a rack a request runs.
///
/// The caller has to add the reservation to `rack` before it releases the lock
/// on it, and to mark evicted tasks as stopping.
///
/// \param rack     current view of the rack
/// \param request  request to place
/// \param model    learned estimates
/// \param limits   limits from the plan
/// \param now      current time
/// \param rng      random number generator for bounded exploration
[[nodiscard]] placement_decision
choose_target(const rack_load& rack, const task_request& request,
              const policy_model& model, const policy_limits& limits,
              time_point now, std::mt19937_64& rng);

} // namespace egretspindle

#endif
