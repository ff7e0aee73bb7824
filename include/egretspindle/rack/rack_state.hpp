/// \file
/// State that the owner of a rack keeps about it.

#ifndef EGRETSPINDLE_RACK_RACK_STATE_HPP
#define EGRETSPINDLE_RACK_RACK_STATE_HPP

#include "egretspindle/core/boot_clock.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/cached_colocation.hpp"
#include "egretspindle/rack/queued_start.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Durations and tolerances of leases, within the limits that the platform
/// states.
struct lease_limits
{
    milliseconds lease{6'000};      ///< granted with each poll and start
    milliseconds longest{10'000};   ///< that a target grants
    milliseconds expiry_slack{500}; ///< resuming a frozen target, and delivery
    /// Share by which the clock of a target may be slower than the owner's.
    double clock_drift = 0.02;
    /// An owner grants leases for this long after the start of a store read
    /// that confirmed its ownership. Together with the lease granted last,
    /// tasks survive a store outage of 7 s; a later owner waits this long in
    /// addition.
    milliseconds authority{4'000};
    /// Extension of the right to grant leases while no host reaches the store.
    /// Together with the age of the reports that say so it is well below
    /// `authority`, which later owners wait for.
    milliseconds outage_step{1'000};
};

/// Longest delay after which the platform may still carry out an order that got
/// no reply.
constexpr milliseconds max_order_delay{12'000};

/// Run on a target, from the start order until the target lists its end.
struct placed_run
{
    std::string task;
    std::int64_t run = 0;
    std::shared_ptr<const step_terms> terms; ///< null: not known yet
    std::string checkpoint;                  ///< latest one listed
    bool is_confirmed = false; ///< the target has confirmed the start
    bool is_reported = false;  ///< as started, to the owner of the job
    bool is_stopping = false;  ///< a stop of it is requested
    /// When the owner of the job first asked to stop it, or when it was listed
    /// if that is later; {}: has not asked.
    time_point stop_asked_at;
    /// The start is sent once the intent to start the run has been recorded;
    /// see `start_intents.hpp`.
    bool awaits_intent = false;
    /// The run has ended. It is kept until a stop is confirmed, which rules out
    /// that a delayed copy of its start runs it again.
    bool is_ended = false;
    /// A backfill run that was started at reduced speed since it had waited for
    /// headroom for too long; see `place_starts`.
    bool is_slowed_start = false;
    time_point waiting_since; ///< see `queued_start::waiting_since`
    time_point ordered_at;    ///< when a target was chosen for it
    time_point confirmed_at;  ///< when `is_confirmed` was set
    /// Serving task: response time in ms; other task: used processors in
    /// thousandths of a core. As listed by the target; 0: not known.
    std::int64_t load = 0;
    std::int64_t percent = 100; ///< speed limit in percent of full speed
    /// An earlier owner started the run, and may have slowed it.
    bool may_be_slowed = false;
    time_point slowed_at; ///< when it was slowed to 25% or less
    // Of serving tasks; 0: not observed yet.
    double headroom = 0;       ///< response-time target / response time
    double own_headroom = 0;   ///< as if no backfill tasks ran beside it
    double headroom_trend = 0; ///< change of `own_headroom` per second
};

/// Listed end of a run that is not acknowledged to the target yet.
struct unacknowledged_end
{
    std::string task;
    std::int64_t run = 0;
    bool is_recorded = false;
};

/// Name of a task and number of its run.
using run_id = std::pair<std::string, std::int64_t>;

/// Reservation of a target for a queued start of a long-running task.
struct target_reservation
{
    run_id run;
    std::shared_ptr<const step_terms> terms; ///< of the start
    time_point made_at;
};

/// Intent to start a run on a target.
struct start_intent
{
    std::string target; ///< id
    /// The target has confirmed the start, and no copy of it can still arrive.
    bool is_confirmed = false;
};

/// Intents by run.
using start_intents = std::map<run_id, start_intent>;

/// Acknowledgements of ends that were sent to a target.
struct ack_state
{
    std::int64_t confirmed = 0; ///< number of the last end in an answered one
    bool is_open = false;       ///< one has been sent and not answered yet
    /// Until when one without an answer may still be carried out.
    time_point late_until;
    std::int64_t raises = 0; ///< `rack_target::token_raises` of the last one
};

/// Poll that a target has answered.
struct poll_reading
{
    time_point sent_at;
    std::int64_t clock_ms = 0; ///< of the target, in the answer
};

/// Target of a rack as known to the owner of the rack.
struct rack_target
{
    target_entry entry;
    /// While it drains: until when it stays at least, by the platform's list.
    time_point ends_at;
    bool is_listed = true;     ///< by the platform
    bool is_recorded = false;  ///< in the durable list of the rack
    bool is_inherited = false; ///< an earlier owner may have used it
    /// When the platform listed a restart; {}: not since the last poll.
    time_point listed_restart_at;
    bool is_reached = false; ///< has replied to a poll of this owner
    /// It was reached, but no answer of its present boot has listed all its
    /// ends yet. Runs that an earlier owner started may have ended unseen.
    bool may_have_unread_ends = false;
    /// When all leases of earlier owners have expired, as the last of them has
    /// told this owner; replaces `rack_state::unknown_until` and the longest
    /// lease from `reached_at` on.
    std::optional<time_point> former_leases_end;
    std::int64_t started_ms = 0; ///< start of its boot, from the last poll
    std::int64_t clock_ms = 0;   ///< its clock at `clock_at`
    time_point clock_at;         ///< when that reply arrived
    /// Latest end of all leases sent to it, on its own clock.
    std::int64_t lease_until_ms = 0;
    time_point lease_sent_at; ///< when the latest lease was sent to it
    /// When this owner first reached it. From then on it refuses orders of
    /// earlier owners, which may have got the longest lease just before.
    time_point reached_at;
    /// Latest time at which it may have granted a lease that `lease_until_ms`
    /// does not include, to an order that was made for an earlier boot of the
    /// target.
    time_point unknown_lease_at;
    time_point expires_at;  ///< when all leases have certainly expired
    time_point avoid_until; ///< gets no starts before this time, after a fault
    int faults = 0;         ///< consecutive starts that it refused
    time_point paced_at;    ///< latest change of the speed of a task
    /// Number up to which all listed ends are recorded.
    std::int64_t acknowledged = 0;
    // See `order_sequence.hpp`.
    ack_state acks;
    poll_reading last_poll;     ///< latest one that was answered
    bool is_start_open = false; ///< one has been sent and not answered yet
    /// When the latest start was answered that a later boot than that of
    /// `last_poll` may have carried out.
    time_point unproven_start_at;
    std::int64_t token_raises = 0; ///< of the fencing token, by this owner
    std::map<std::int64_t, unacknowledged_end> ends; ///< by number
    std::map<run_id, placed_run> runs;
    /// Runs that have ended with a result that is not known yet: the target
    /// leaves their ends out of its lists, see `has_all_ends`, until earlier
    /// ones are acknowledged. They use no capacity.
    std::map<run_id, placed_run> unlisted_ends;
    std::size_t listed_ends = 0; ///< in its last answer
    /// Most ends that it lists; see `poll_answer::max_ends`.
    std::size_t max_listed_ends = std::numeric_limits<std::size_t>::max();
    /// Number of the oldest end in its last answer; 0: none is listed.
    std::int64_t oldest_end = 0;
    time_point oldest_end_since; ///< since when `oldest_end` is listed first
    /// Starts that got no reply, with the time until which they may be carried
    /// out. The current boot of the target ignores duplicates of a start, but
    /// the next boot does not know of them.
    std::map<run_id, time_point> unanswered_starts;
    time_point missed_since; ///< since when a serving task has missed its
                             ///< response-time target; {}: none does
    /// Cores of the backfill tasks by image, averaged over about 400 ms.
    image_cores backfill_cores;
    time_point observed_at;   ///< latest effective call of `observe_target`
    cached_colocation cached; ///< see `refresh_colocations`
    std::optional<target_reservation>
        reservation; ///< see `update_reservations`
};

/// Rack with its targets and queue.
struct rack_state
{
    std::string name;
    std::int64_t token = 0;        ///< version of its owner
    std::int64_t former_token = 0; ///< of the last earlier owner; 0: unknown
    std::int64_t token_raises = 0; ///< highest one of any target so far
    time_point taken_over_at;      ///< when this host became the owner
    /// Start of the last read of the owner rows that confirmed this owner.
    time_point verified_at;
    /// When the right to grant leases ends; see `lease_limits::authority`.
    boot_time_point may_grant_until;
    bool is_fenced = false; ///< a target has seen a newer owner
    /// Until then, targets that this owner has not reached may run tasks of an
    /// earlier owner. All targets that it can have used are in `targets`.
    time_point unknown_until;
    /// The same for runs whose start was confirmed: no order to start them is
    /// under way that a restarted target could grant the longest lease.
    time_point confirmed_unknown_until;
    std::map<std::string, rack_target> targets; ///< by id
    std::size_t recorded_targets = 0;           ///< in the durable list
    std::vector<queued_start> queue;
    time_point hand_back_checked_at; ///< latest `hand_back` that counted places
    /// Latest search of `update_reservations` for targets.
    time_point reservations_searched_at;
    /// The leases of a target of an earlier owner expired before this owner
    /// knew its runs, see `has_known_runs`. The target may list ends of runs of
    /// that owner later.
    bool has_unseen_ends = false;
    time_point inferred_ends_at; ///< latest ends from expired leases; {}: none
    bool has_read_intents = false; ///< recorded by earlier owners
    /// Long-running runs that earlier owners may have started, with the only
    /// possible target of each; no value until the record has been read, and if
    /// it is incomplete.
    std::optional<start_intents> inherited_intents;
    start_intents recorded_intents;   ///< as last recorded by this owner
    std::int64_t intents_version = 0; ///< of the row of the record
    std::set<run_id> stops; ///< pending, of runs that are not known here yet
    /// Latest run of each task whose end this owner has reported, so that a
    /// repeated start does not run it again.
    std::map<std::string, std::int64_t> ended;
    /// The same for the period before that of `ended`.
    std::map<std::string, std::int64_t> ended_earlier;
    time_point ended_since; ///< start of the period that `ended` covers
    /// Services of whose processors less than half are reserved, see
    /// `lightly_used_services`; null before the first load reports.
    std::shared_ptr<const std::set<std::string>> lightly_used;
    colocation_model_inputs model_inputs;
    /// Number of changes to `rack_target::cached` in all targets.
    std::uint64_t colocation_changes = 0;
};

/// Records that the store showed this host as owner.
///
/// \param read_at  start of the read, or of the write that claimed the rack; on
///                 the boot clock, of the last confirmed heartbeat if that is
///                 earlier
void confirm_ownership(rack_state& rack, const clock_reading& read_at,
                       const lease_limits& limits);

/// Extends the right of the owner to grant leases by
/// `lease_limits::outage_step` from now, unless it has ended. Called while no
/// host reaches the store, so that no other host can take the rack over.
void extend_authority(rack_state& rack, boot_time_point now,
                      const lease_limits& limits);

/// Returns whether the owner may grant leases now.
///
/// A later owner relies on the earlier one to stop granting leases: it has no
/// other way to learn what runs on a target that only the earlier one reaches.
[[nodiscard]] bool may_grant(const rack_state& rack,
                             boot_time_point now) noexcept;

/// Returns the capacity of a target that no task has reserved.
[[nodiscard]] task_size free_capacity(const rack_target& target);

/// Returns the capacity of a target that no long-running task has reserved,
/// which is free once its short and backfill tasks have ended.
[[nodiscard]] task_size eventual_capacity(const rack_target& target);

/// Returns whether a target can list the end of one more run beside its ends
/// and those of its runs. Otherwise the end might be left out until earlier
/// ones are acknowledged, and the owner of the job would wait for the result.
[[nodiscard]] bool has_room_for_end(const rack_target& target) noexcept;

/// Returns whether starts may be sent to a target.
[[nodiscard]] bool accepts_starts(const rack_target& target, time_point now);

/// Returns whether all runs that earlier owners have started on a target are
/// known: it has been reached, and has listed all its ends.
[[nodiscard]] bool has_known_runs(const rack_target& target) noexcept;

/// Returns the target's clock in ms, extrapolated from its last reply.
[[nodiscard]] std::int64_t clock_of(const rack_target& target, time_point now);

/// Records a lease that is about to be sent.
///
/// \returns the end of the lease in ms on the target's clock
std::int64_t extend_lease(rack_target& target, const lease_limits& limits,
                          time_point now);

/// Returns the time after which any lease granted now has certainly expired.
/// This is based on the longest lease, which a restarted target grants to an
/// order made for its earlier boot: the clock of that one was ahead.
[[nodiscard]] milliseconds max_lease_duration(const lease_limits& limits);

/// Returns the time after which a lease granted now to a target that does not
/// restart has certainly expired.
[[nodiscard]] milliseconds lease_duration(const lease_limits& limits);

/// Allows for leases of orders that were made for an earlier boot of a target
/// and sent until now.
void allow_for_stale_order(rack_target& target, const lease_limits& limits,
                           time_point now);

/// Allows for a lease that was sent to a target again at this time, to whatever
/// boot of it received the order.
void allow_for_resent_lease(rack_target& target, const lease_limits& limits,
                            time_point sent_at);

/// Records when all leases of earlier owners on a target have expired.
void set_former_leases_end(rack_target& target, time_point end,
                           const lease_limits& limits);

/// Updates the clock of a target from a reply.
void update_clock(rack_target& target, std::int64_t clock_ms,
                  const lease_limits& limits, time_point now);

} // namespace egretspindle

#endif
