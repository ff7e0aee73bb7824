/// \file
/// Shares of a rack's capacity used by classes and teams.

#ifndef EGRETSPINDLE_PLACEMENT_RACK_SHARE_HPP
#define EGRETSPINDLE_PLACEMENT_RACK_SHARE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/placement/task_request.hpp"

#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Slots and resources used by a group of tasks.
struct resource_use
{
    int slots = 0;
    resources amount;
};

/// Use of a rack by class and team. Counts only targets that accept work or
/// run tasks. A place is a free slot with enough free resources for an urgent
/// task of mean size.
struct rack_share
{
    resource_use total; ///< capacity
    resource_use urgent;
    resource_use batch;
    std::map<std::string, resource_use> teams;
    bool urgent_demand = false; ///< urgent requests within the last 30 s
    bool batch_demand = false;  ///< batch requests within the last 30 s
    double batch_floor = 0;     ///< from the plan
    double active_weight = 0;   ///< sum of the teams with demand or tasks
    int active_teams = 0;
    int urgent_places = 0; ///< free places
    /// Free places on targets with low interference, part of `urgent_places`.
    int low_interference_places = 0;
    std::vector<load_snapshot> tasks;    ///< by target index
    std::vector<double> urgent_slowdown; ///< predicted, by target index
    int reserved_places = 0;             ///< places that batch must leave free
    resources urgent_size; ///< mean reservation of the urgent tasks
};

/// Computes the use of a rack by class and team.
[[nodiscard]] rack_share compute_share(const rack_load& rack,
                                       const policy_model& model,
                                       const policy_limits& limits,
                                       time_point now);

/// Returns the largest of the fractions of slots, processors and memory.
[[nodiscard]] double dominant_share(const resource_use& use,
                                    const resource_use& total) noexcept;

/// Returns the fraction of the rack to which a team is entitled.
[[nodiscard]] double entitlement(const rack_share& share,
                                 const policy_limits& limits,
                                 const std::string& team);

/// Returns why floors or quotas do not admit a request now, or an empty string
/// if they do. Does not consider individual targets.
[[nodiscard]] std::string admission_block_reason(const rack_share& share,
                                                 const policy_limits& limits,
                                                 const task_request& request,
                                                 const resources& reservation);

/// Returns how many tasks of the given size fit into slots and resources.
[[nodiscard]] int place_count(int slots, const resources& free,
                              const resources& size) noexcept;

/// Returns whether starting a batch task on a target leaves enough places for
/// urgent tasks.
///
/// Places on targets with high interference count only while there are too few
/// others.
///
/// \param target       index of the target in the rack
/// \param free         free capacity of the target
/// \param reservation  of the batch task
[[nodiscard]] bool leaves_reserved_places(const rack_share& share,
                                          const rack_load& rack,
                                          std::size_t target,
                                          const resources& free,
                                          const resources& reservation);

/// Returns whether `victim` may be evicted for a request.
///
/// \param evicted  what the evictions decided so far will free
[[nodiscard]] bool may_reclaim(const rack_share& share,
                               const policy_limits& limits,
                               const task_request& request,
                               const task_load& victim,
                               const resource_use& evicted);

} // namespace egretspindle

#endif
