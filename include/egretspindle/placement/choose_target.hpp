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

/// Decides where a request runs on the targets of a rack.
///
/// The caller counts the reservation in `rack` before it releases the lock on
/// it, and marks evicted tasks as stopping.
///
/// \param rack     current view
/// \param request  what is to be placed
/// \param model    learned estimates
/// \param limits   from the plan
/// \param now      current time
/// \param rng      random source for bounded exploration
[[nodiscard]] placement_decision
choose_target(const rack_load& rack, const task_request& request,
              const policy_model& model, const policy_limits& limits,
              time_point now, std::mt19937_64& rng);

} // namespace egretspindle

#endif
