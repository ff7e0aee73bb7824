/// \file
/// Checks whether a target can take a start.

#ifndef EGRETSPINDLE_SRC_RACK_TARGET_CHECK_HPP
#define EGRETSPINDLE_SRC_RACK_TARGET_CHECK_HPP

#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_state.hpp"

namespace egretspindle
{

/// Why a target cannot take a start, in the order of the checks.
enum class start_rejection
{
    closed, ///< the target accepts no starts
    room,   ///< too few free processors, or another service or label
    memory, ///< too little free memory, or too few accelerators
    limit,  ///< maximum of tasks of the step per target
    held,   ///< reserved for a long-running start, see `update_reservations`
    processors, ///< see `backfill_rejection` for this and the next two
    reserved,
    headroom,
    none,
};

/// Returns the first reason why a target that accepts starts cannot take one;
/// `none` if it can.
///
/// \param room  capacity of the target that no task has reserved
[[nodiscard]] start_rejection
find_start_rejection(const rack_target& target,
                     const colocation_summary& colocation,
                     const task_size& room, const step_terms& terms,
                     const interference_model& model);

/// Returns whether a task leaves at most 15% (`max_unused_share`) of its own
/// processors free in `room`, into which it has to fit.
[[nodiscard]] bool fills_room(const step_terms& terms, const task_size& room);

/// Returns whether less than half of the processors of a service are reserved.
/// Without reports of other racks, those of the rack stand for all.
[[nodiscard]] bool is_lightly_used(const rack_state& rack,
                                   const std::string& service);

} // namespace egretspindle

#endif
