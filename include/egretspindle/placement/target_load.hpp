/// \file
/// Target as the owner of its rack sees it.

#ifndef EGRETSPINDLE_PLACEMENT_TARGET_LOAD_HPP
#define EGRETSPINDLE_PLACEMENT_TARGET_LOAD_HPP

#include "egretspindle/core/resources.hpp"
#include "egretspindle/placement/target_health_state.hpp"
#include "egretspindle/placement/task_load.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Capacity and tasks of one target.
struct target_load
{
    std::string name;
    resources capacity;
    int slots = 0;
    int connections = 0;       ///< limit of the target
    int other_connections = 1; ///< open besides one per task
    std::vector<task_load> tasks;
    bool leaving = false;
    bool reachable = true;
    target_health_state health_state = target_health_state::healthy;
};

} // namespace egretspindle

#endif
