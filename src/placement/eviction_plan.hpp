/// \file
/// Choice of batch tasks to evict for a request.

#ifndef EGRETSPINDLE_SRC_PLACEMENT_EVICTION_PLAN_HPP
#define EGRETSPINDLE_SRC_PLACEMENT_EVICTION_PLAN_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/eviction.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/placement/rack_share.hpp"
#include "egretspindle/placement/task_request.hpp"

#include <cstddef>
#include <vector>

namespace egretspindle::detail
{

/// Evictions on one target that make room for a request.
struct eviction_plan
{
    std::size_t target = 0;          ///< index in the rack
    std::vector<eviction> evictions; ///< empty if there is no such plan
    double cost_ms = 0;              ///< run time that is lost
};

/// Returns the plan with the lowest cost over all targets.
[[nodiscard]] eviction_plan
plan_evictions(const rack_load& rack, const task_request& request,
               const policy_model& model, const policy_limits& limits,
               const rack_share& share, time_point now);

} // namespace egretspindle::detail

#endif
