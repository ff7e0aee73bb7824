/// \file
/// Checks whether a target can take a start.

#ifndef EGRETSPINDLE_SRC_RACK_TARGET_CHECK_HPP
#define EGRETSPINDLE_SRC_RACK_TARGET_CHECK_HPP

#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_state.hpp"

namespace egretspindle
{

/// Why a target cannot take a start, in the order of the checks.
enum class start_obstacle
{
    closed,     ///< the target accepts no starts
    room,       ///< too little free capacity, or another service or label
    limit,      ///< maximum of tasks of the step per target
    processors, ///< see `idle_obstacle` for this and the next two
    reserved,
    headroom,
    none,
};

/// Returns the first reason why a target that accepts starts cannot take one.
[[nodiscard]] start_obstacle find_obstacle(const rack_target& target,
                                           const target_mix& mix,
                                           const task_size& room,
                                           const step_terms& terms,
                                           const interference_model& model);

} // namespace egretspindle

#endif
