/// \file
/// Moves of long-running tasks off targets that drain.

#ifndef EGRETSPINDLE_RACK_DRAINING_TARGET_HPP
#define EGRETSPINDLE_RACK_DRAINING_TARGET_HPP

#include "egretspindle/rack/rack_state.hpp"

#include <functional>
#include <vector>

namespace egretspindle
{

/// Replaces the entry of a target in the platform's list, and notes until when
/// the target stays if it drains.
void set_entry(rack_target& target, const target_entry& entry, time_point now);

/// Returns whether a target of the fleet has room for a long-running task, or
/// will have it once its short tasks have ended.
using room_check = std::function<bool(const step_terms& terms)>;

/// Selects the long-running runs that are to start again elsewhere before their
/// target ends, and marks them as stopping. A run that works until then counts
/// as lost only when the leases of the target have expired, several seconds
/// later.
///
/// Runs stay on a draining target until 3 s before its end, so that their tasks
/// do not take the room of others earlier than necessary. Leaves runs alone
/// that have no room elsewhere, and those of gangs, of which a stop would end
/// all members.
///
/// \param has_room  called at most once for each step
[[nodiscard]] std::vector<run_id>
decide_moves(rack_target& target, const room_check& has_room, time_point now);

} // namespace egretspindle

#endif
