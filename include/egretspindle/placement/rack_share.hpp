/// \file
/// Shares of a rack held by classes and teams.

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

/// Slots and resources held by a group of tasks.
struct held_share
{
    int slots = 0;
    resources amount;
};

/// Use of a rack by class and team. Only targets that take work count.
struct rack_share
{
    held_share total; ///< capacity
    held_share urgent;
    held_share batch;
    std::map<std::string, held_share> teams;
    bool urgent_demand = false; ///< an urgent request came lately
    bool batch_demand = false;  ///< a batch request came lately
    double batch_floor = 0;     ///< from the plan
    double active_weight = 0;   ///< of the teams with demand or tasks
    int active_teams = 0;
    int urgent_places = 0; ///< places left for urgent tasks of usual size
    int quiet_places = 0;  ///< of these, on targets that hardly slow them
    std::vector<load_snapshot> tasks;    ///< by target
    std::vector<double> urgent_slowdown; ///< predicted, by target
    int kept_places = 0;                 ///< places that batch has to leave
    resources urgent_size; ///< usual reservation of an urgent task
};

/// Computes the shares of a rack.
[[nodiscard]] rack_share measure_share(const rack_load& rack,
                                       const policy_model& model,
                                       const policy_limits& limits,
                                       time_point now);

/// Returns the largest of the shares of slots, processors and memory.
[[nodiscard]] double dominant_share(const held_share& held,
                                    const held_share& total) noexcept;

/// Returns the share of the rack to which a team is entitled.
[[nodiscard]] double entitlement(const rack_share& share,
                                 const policy_limits& limits,
                                 const std::string& team);

/// Returns why floors and quotas do not admit a request now; empty when they
/// do. Does not look at single targets.
[[nodiscard]] std::string share_obstacle(const rack_share& share,
                                         const policy_limits& limits,
                                         const task_request& request,
                                         const resources& reservation);

/// Returns how many tasks of the given size fit into slots and resources.
[[nodiscard]] int place_count(int slots, const resources& free,
                              const resources& size) noexcept;

/// Returns whether a batch task on a target leaves the kept places free.
///
/// Places where urgent work would be slowed count only as long as too few
/// others are left.
///
/// \param target       index of the target in the rack
/// \param free         capacity left on it
/// \param reservation  of the batch task
[[nodiscard]] bool leaves_room(const rack_share& share, const rack_load& rack,
                               std::size_t target, const resources& free,
                               const resources& reservation);

/// Returns whether a batch task of the team may be evicted for a request.
///
/// \param evicted  what the evictions decided so far would free
[[nodiscard]] bool may_reclaim(const rack_share& share,
                               const policy_limits& limits,
                               const task_request& request,
                               const task_load& victim,
                               const held_share& evicted);

} // namespace egretspindle

#endif
