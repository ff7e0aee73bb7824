/// \file
/// Whether a target can take a start.

#ifndef EGRETSPINDLE_SRC_RACK_TARGET_CHECK_HPP
#define EGRETSPINDLE_SRC_RACK_TARGET_CHECK_HPP

#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_state.hpp"

namespace egretspindle
{

/// Why a target cannot take a start, in the order of the checks.
enum class start_obstacle
{
    closed, ///< the target accepts no starts
    room,   ///< too little, or another service or label
    limit,  ///< most tasks of the step
    processors,
    reserved,
    headroom,
    none,
};

/// Returns the first reason against a start on a target that accepts starts.
[[nodiscard]] start_obstacle find_obstacle(const rack_target& target,
                                           const target_mix& mix,
                                           const task_size& room,
                                           const step_terms& terms,
                                           const interference_model& model);

} // namespace egretspindle

#endif
