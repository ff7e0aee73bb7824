/// \file
/// Decisions of the owner of a rack, as functions without I/O.

#ifndef EGRETSPINDLE_RACK_RACK_DECISION_HPP
#define EGRETSPINDLE_RACK_RACK_DECISION_HPP

#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/jobs/run_end.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_load_report.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// How the owner of a rack learned that a run has ended.
enum class end_cause
{
    listed,        ///< the target lists the end
    other_boot,    ///< the target has restarted
    lease_expired, ///< the target could not be reached
    not_in_list,   ///< the target confirmed the start but lists no such run
    refused,       ///< the target refused the start
    withdrawn,     ///< cancelled before the start was sent to a target
    handed_back,   ///< another rack has free capacity
};

/// Returns the name of a cause for log lines.
[[nodiscard]] std::string_view to_string(end_cause value) noexcept;

/// Event of a run that is reported to the owner of its job.
struct run_event
{
    enum class kind
    {
        started,
        ended,
        seen, ///< running on a target, but unknown to the owner of the rack
    };

    kind what = kind::started;
    std::string task;
    std::int64_t run = 0;
    run_end how = run_end::done; ///< of an ended run
    end_cause cause = end_cause::listed;
    std::string checkpoint;
    std::string target;
    std::int64_t number = 0; ///< of the end in the target's list; 0: not listed
    milliseconds waited{0};  ///< of a start handed back: its time in the queue
    /// Of a run whose end was inferred: time since the last answer of its
    /// target.
    milliseconds silent{0};
    time_point stop_asked_at; ///< of a listed end; see `placed_run`
};

/// Order to start a queued run on a target.
struct placement
{
    std::string target;
    queued_start start;
};

/// Result of a request to start a run.
enum class enqueue_result
{
    queued,
    known, ///< queued, running, to be stopped or ended in this rack; not added
};

/// Adds a start to the queue unless its run is already known.
enqueue_result enqueue(rack_state& rack, queued_start start);

/// Marks a queued start as overdue; see `queued_start::is_overdue`.
///
/// \returns whether the rack has the run, or has reported its end
[[nodiscard]] bool mark_overdue(rack_state& rack, const run_id& id);

/// Chooses targets for queued starts and reserves capacity for them.
///
/// Considers starts in the order of priority, long-running tasks that are away
/// (`has_precedence`) before short and these before other long-running tasks,
/// timely short starts before those that are already late, and then by
/// objective.
/// Serving tasks prefer targets that serve the same image, backfill tasks those
/// rated highest by `rate_backfill_target`, and other tasks those with the most
/// idle processors. A gang is placed as a whole or not at all. Targets are
/// reserved for long-running starts that wait, see `update_reservations`.
///
/// A backfill start that has waited for headroom for 1 s (`max_headroom_wait`)
/// while less than half of the processors of the rack or of the service are
/// reserved is placed at reduced speed (`placed_run::percent`).
[[nodiscard]] std::vector<placement>
place_starts(rack_state& rack, const interference_model& model, time_point now,
             std::int64_t now_ms);

/// Applies the lists of runs and ends in a poll reply of a target.
///
/// \param sent_at  when the poll was sent
/// \returns events for the owners of the jobs
[[nodiscard]] std::vector<run_event>
apply_poll(rack_state& rack, rack_target& target, const poll_answer& answer,
           time_point sent_at, time_point now);

/// Applies the answer to a start.
///
/// A target that refuses the start for its own state (`no_room`, `other_boot`,
/// `unhealthy`) gets no starts for 0.3 s, doubled with each consecutive refusal
/// up to 4.8 s, and the start returns to the queue.
///
/// \returns events for the owner of the job
[[nodiscard]] std::vector<run_event>
apply_start(rack_state& rack, rack_target& target, const run_id& id,
            order_verdict verdict, time_point now);

/// Ends a run that is to be stopped and whose start was never sent to its
/// target.
///
/// \returns events for the owner of the job
[[nodiscard]] std::vector<run_event>
withdraw_unsent_start(rack_state& rack, rack_target& target, const run_id& id);

/// Remembers a start that got no reply, and may still be carried out for
/// `max_order_delay` from `now`.
void add_unanswered_start(rack_target& target, const run_id& id,
                          time_point now);

/// Ends all runs of a target, as lost. Called when the process at its address
/// belongs to a later boot of it, so none of them can still be running. Has no
/// effect on a fenced owner.
[[nodiscard]] std::vector<run_event>
end_runs_of_former_boot(rack_state& rack, rack_target& target, time_point now);

/// Ends the runs of targets whose leases have certainly expired, as lost, and
/// removes such targets that the platform no longer lists. Has no effect on a
/// fenced owner.
[[nodiscard]] std::vector<run_event> expire_leases(rack_state& rack,
                                                   time_point now);

/// Marks a run as stopping, or removes its start from the queue. If it is not
/// certain whether the run has started, the stop stays pending, see
/// `report_settled_stops`.
///
/// \param[out] target  id of the target to which a stop has to be sent; empty:
///                     none
/// \returns events for the owner of the job
[[nodiscard]] std::vector<run_event>
withdraw(rack_state& rack, const run_id& id, std::string& target);

/// Answers pending stops of runs once it is certain that they have not started
/// anywhere in the rack.
[[nodiscard]] std::vector<run_event> report_settled_stops(rack_state& rack,
                                                          time_point now);

/// Marks the end with a number as recorded, and advances the acknowledged
/// number past all recorded ends. Ignores a number that belongs to another run:
/// the target has restarted since, and its numbers have started over.
void acknowledge(rack_target& target, std::int64_t number, const run_id& id);

/// Returns whether all runs that an earlier owner may have started are known:
/// each target it may have used has been reached and has listed all its ends,
/// or has not been reached and its leases have expired.
[[nodiscard]] bool knows_all_runs(const rack_state& rack, time_point now);

/// Returns whether a move of the rack to another host now would make runs on
/// targets out of reach end later: its owner waits for leases to expire, or has
/// just inferred ends, which the owner of the job accepts from the present
/// owner of the rack only.
[[nodiscard]] bool is_concluding(const rack_state& rack, time_point now);

/// Returns how many starts with the given requirements a rack may hand back for
/// room of a kind in other racks.
using place_counter =
    std::function<std::size_t(const step_terms& terms, room_kind room)>;

/// Hands starts back to the owners of their jobs if they have waited longer
/// than `min_wait`, their run has certainly not started, and they fit into
/// other racks; those with a reservation only if they fit there now. After a
/// call that has counted places, calls have no effect for another `min_wait`,
/// until load reports include the starts at their new racks.
///
/// \param count_places  called once for each group of starts with the same
///                      requirements, and again for those with a reservation
[[nodiscard]] std::vector<run_event>
hand_back(rack_state& rack, milliseconds min_wait,
          const place_counter& count_places, time_point now);

/// Decides about a repeated start by the record of its job. A start that is no
/// longer in the record is dropped. One that is recorded may be placed now, or
/// is reported as lost if it may have run on a target that this owner has not
/// reached.
[[nodiscard]] std::vector<run_event>
resolve_repeated(rack_state& rack, const run_id& id, bool is_recorded);

/// Remembers the runs whose end is reported, so that a repeated start cannot
/// run them again.
void remember_ends(rack_state& rack, const std::vector<run_event>& events);

/// Removes remembered ends after one to two `ends_retention` (60 s). Starts are
/// repeated within seconds.
void forget_ends(rack_state& rack, time_point now);

} // namespace egretspindle

#endif
