/// \file
/// Intents to start long-running runs, which the owner of a rack records before
/// it sends the starts.
///
/// A later owner reads them and then knows on which target each run may be. A
/// start that it gets for a run without an intent was never sent, so it need
/// not wait for leases on targets that it cannot reach.

#ifndef EGRETSPINDLE_RACK_START_INTENTS_HPP
#define EGRETSPINDLE_RACK_START_INTENTS_HPP

#include "egretspindle/rack/rack_state.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Returns the intents that the record of a rack must contain: of the runs that
/// may be on its targets, and of those of earlier owners on targets without
/// `has_known_runs`.
[[nodiscard]] start_intents collect_intents(const rack_state& rack);

/// Returns whether a start waits until its intent is recorded.
[[nodiscard]] bool has_unrecorded_intents(const rack_state& rack);

/// Returns whether the record lacks a confirmation from before `min_age`. It is
/// recorded later than the intent, so that one write serves several runs.
[[nodiscard]] bool has_unrecorded_confirmations(const rack_state& rack,
                                                milliseconds min_age,
                                                time_point now);

/// Start whose intent has been recorded.
struct recorded_start
{
    std::string target;
    run_id id;
};

/// Marks the runs with these intents as recorded, and returns those whose
/// starts may be sent now.
[[nodiscard]] std::vector<recorded_start>
mark_intents_recorded(rack_state& rack, start_intents intents);

/// Returns whether it is known if the run of a repeated start is still on a
/// target, or has ended there: its only possible target has been reached and
/// has listed all its ends, it has none, its lease there has expired before the
/// target was reached, or `knows_all_runs` holds.
[[nodiscard]] bool is_run_known(const rack_state& rack,
                                const queued_start& start, time_point now);

/// Returns whether the end of the run of a repeated start may be listed later
/// by a target that this owner has not reached.
[[nodiscard]] bool may_have_unseen_end(const rack_state& rack,
                                       const queued_start& start);

} // namespace egretspindle

#endif
