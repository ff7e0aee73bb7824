/// \file
/// Decisions of the owner of a rack. Free functions without I/O.

#ifndef EGRETSPINDLE_RACK_RACK_DECISION_HPP
#define EGRETSPINDLE_RACK_RACK_DECISION_HPP

#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/jobs/run_end.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Why the owner of a rack concludes that a run has ended without having seen
/// the end in a list.
enum class end_cause
{
    listed,        ///< nothing was concluded, the target lists the end
    other_boot,    ///< the target has started again
    lease_expired, ///< on a target that was not reached
    not_in_list,   ///< the target had confirmed the start
    refused,       ///< the target refused the start
    withdrawn,     ///< before it was sent to a target
    handed_back,   ///< another rack has room
};

/// Returns the name of a cause for log lines.
[[nodiscard]] std::string_view to_string(end_cause value) noexcept;

/// What the owner of a job has to learn of a run.
struct run_event
{
    enum class kind
    {
        started,
        ended,
        seen, ///< at work on a target, but unknown to the owner of the rack
    };

    kind what = kind::started;
    std::string task;
    std::int64_t run = 0;
    run_end how = run_end::done; ///< of an end
    end_cause cause = end_cause::listed;
    std::string checkpoint;
    std::string target;
    std::int64_t number = 0; ///< of a listed end; 0: not listed
    milliseconds waited{0};  ///< in the queue, of a start that was handed back
};

/// Order to start a queued run on a target.
struct placement
{
    std::string target;
    queued_start start;
};

/// What was done with a start that was asked for.
enum class enqueue_result
{
    queued,
    known, ///< queued, at work or ended here already
};

/// Adds a start to the queue, unless its run is known.
enqueue_result enqueue(rack_state& rack, queued_start start);

/// Chooses targets for queued starts and reserves their room.
///
/// Answers the load of a step that becomes due while targets are partly free:
/// starts go by priority and objective, each to the target that keeps most
/// room; tasks that use idle processors avoid targets that serve users.
[[nodiscard]] std::vector<placement>
place_starts(rack_state& rack, const interference_model& model, time_point now,
             std::int64_t now_ms);

/// Takes over the lists of a target.
///
/// \param sent_at  when the poll was sent
/// \returns what the owners of the jobs have to learn
[[nodiscard]] std::vector<run_event>
apply_poll(rack_state& rack, rack_target& target, const poll_answer& answer,
           time_point sent_at, time_point now);

/// Applies the answer to a start.
///
/// \returns events for the owner of the job
[[nodiscard]] std::vector<run_event>
apply_start(rack_state& rack, rack_target& target, const run_id& id,
            order_verdict verdict, time_point now);

/// Notes that a start got no answer.
void add_unanswered_start(rack_target& target, const run_id& id,
                          time_point now);

/// Ends all runs of a target whose address answers for another life: nothing
/// of the life that they belong to is left.
[[nodiscard]] std::vector<run_event>
end_runs_of_former_boot(rack_state& rack, rack_target& target, time_point now);

/// Ends the runs of targets whose leases have certainly expired.
[[nodiscard]] std::vector<run_event> expire_leases(rack_state& rack,
                                                   time_point now);

/// Withdraws a run.
///
/// \param[out] target  where a stop has to be sent; empty: nowhere
/// \returns events for the owner of the job
[[nodiscard]] std::vector<run_event>
withdraw(rack_state& rack, const run_id& id, std::string& target);

/// Answers stops of runs that have surely not begun, once that is certain.
[[nodiscard]] std::vector<run_event> report_settled_stops(rack_state& rack,
                                                          time_point now);

/// Notes that the end of a number is recorded, and moves the acknowledgement.
/// Does nothing if the number stands for another run: the target has restarted,
/// and its numbers have begun anew.
void acknowledge(rack_target& target, std::int64_t number, const run_id& id);

/// Returns whether every run that an earlier owner may have started is known.
[[nodiscard]] bool knows_all_runs(const rack_state& rack, time_point now);

/// Returns how many starts a rack may hand back, as other racks have room.
using room_elsewhere = std::function<std::size_t(const step_terms& terms)>;

/// Hands queued starts back that have waited longer than `patience`, whose
/// run has surely not begun, and which fit elsewhere. Does so again only after
/// `patience`, when reports show the starts at their new places.
///
/// \param count_places  asked once for each kind of starts
[[nodiscard]] std::vector<run_event>
hand_back(rack_state& rack, milliseconds patience,
          const room_elsewhere& count_places, time_point now);

/// Applies what the record says of a repeated start: it may start now, or is
/// forgotten. It is reported as lost when it may have run on a target that this
/// owner has not reached.
[[nodiscard]] std::vector<run_event>
resolve_repeated(rack_state& rack, const run_id& id, bool is_recorded);

/// Notes that the ends of runs are reported, so that a start that is sent
/// again cannot revive them.
void remember_ends(rack_state& rack, const std::vector<run_event>& events);

/// Forgets ends that are older than any start that may still be sent again.
void forget_ends(rack_state& rack, time_point now);

} // namespace egretspindle

#endif
