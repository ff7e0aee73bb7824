/// \file
/// Reservations of targets for long-running tasks that wait for room.
///
/// A long-running task often needs more processors than a short task releases.
/// While short starts wait, they take each free piece of a target at once, and
/// a larger start never finds its room. The rack owner therefore reserves a
/// target for a long-running start that has waited for a second, and places no
/// short or backfill tasks of the same or a worse priority there until the
/// start is placed or the reservation ends.

#ifndef EGRETSPINDLE_RACK_PLACE_RESERVATION_HPP
#define EGRETSPINDLE_RACK_PLACE_RESERVATION_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <vector>

namespace egretspindle
{

/// Returns whether a start goes before the short ones of its priority, and gets
/// a reservation as soon as a target can be reserved: its task is long-running
/// and has been away for more than 2 s (`max_absence_behind_short`), through
/// all racks that it waited in. Gangs and backfill tasks do not.
[[nodiscard]] bool has_precedence(const queued_start& start,
                                  time_point now) noexcept;

/// Returns whether a target is reserved for a queued start.
[[nodiscard]] bool has_reservation(const rack_state& rack,
                                   const queued_start& start);

/// Drops reservations whose start has left the queue, whose target can no
/// longer take it, or that are older than 5 s (`reservation_lifetime`), and
/// adds missing ones for long-running starts that have been in the queue for
/// more than 1 s (`min_wait_to_reserve`) or have precedence. A target that
/// accepts no starts for a moment keeps its reservation.
///
/// Reserves the target that is expected to have room first once its short and
/// backfill tasks end; at most one per start, and at most two in a rack and
/// half of its open targets, or the only one of a rack. Gangs and backfill
/// tasks get none. Starts with a better priority may use a reserved target. The
/// cached summaries have to be up to date.
void update_reservations(rack_state& rack, const interference_model& model,
                         time_point now);

/// Selects backfill runs to stop since only the memory that they hold is
/// missing at a target for the start it is reserved for. Selects just enough of
/// those with a worse priority, checkpointing ones first, and marks them as
/// stopping. Long-running backfill tasks keep their places.
[[nodiscard]] std::vector<run_id>
decide_reservation_evictions(const rack_state& rack, rack_target& target);

} // namespace egretspindle

#endif
