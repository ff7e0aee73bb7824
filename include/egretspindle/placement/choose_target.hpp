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

/// Decides whether a request is placed on a target of the rack, waits or is
/// rejected, and which batch tasks are evicted for it.
///
/// The caller has to add the reservation to `rack` before it unlocks the mutex
/// that guards `rack`, and to mark evicted tasks as stopping.
///
/// \param rack     current view of the rack
/// \param request  request to place
/// \param model    learned estimates of run time, resource use and interference
/// \param limits   limits from the accepted plan
/// \param now      current time
/// \param rng      random number generator, used to choose among targets with
///                 nearly the best score (`tie_factor`) and, for a fraction
///                 of the batch requests (`explore_share`), among those
///                 within a larger multiple of it (`explore_bound`)
[[nodiscard]] placement_decision
choose_target(const rack_load& rack, const task_request& request,
              const policy_model& model, const policy_limits& limits,
              time_point now, std::mt19937_64& rng);

} // namespace egretspindle

#endif
