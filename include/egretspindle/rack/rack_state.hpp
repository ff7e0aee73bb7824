/// \file
/// What the owner of a rack knows.

#ifndef EGRETSPINDLE_RACK_RACK_STATE_HPP
#define EGRETSPINDLE_RACK_RACK_STATE_HPP

#include "egretspindle/core/boot_clock.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/cached_mix.hpp"
#include "egretspindle/rack/queued_start.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Bounds that the platform states for leases and stops.
struct lease_limits
{
    milliseconds lease{6'000};      ///< granted with each poll and start
    milliseconds longest{10'000};   ///< granted by a target at most
    milliseconds expiry_slack{500}; ///< thaw of a target and delivery
    double clock_drift = 0.02;      ///< a target's clock may be this slow
    /// An owner grants leases for this long after the start of a read that
    /// confirmed it. With the lease that was granted last, tasks outlive an
    /// outage of the store of 7 s; a later owner waits this long in addition.
    milliseconds authority{4'000};
    /// Added while no host reaches the store. With the age of the reports that
    /// say so it is well below `authority`, which later owners wait for.
    milliseconds outage_step{1'000};
};

/// An order that got no response may be carried out this much later. Stated by
/// the platform.
constexpr milliseconds order_delay{12'000};

/// Run on a target, from the order until its end is listed.
struct placed_run
{
    std::string task;
    std::int64_t run = 0;
    std::shared_ptr<const step_terms> terms; ///< null: not known yet
    std::string checkpoint;                  ///< latest one seen
    bool is_confirmed = false; ///< the target has confirmed the start
    bool is_reported = false;  ///< the job's owner knows that it has started
    bool is_stopping = false;
    bool is_ended = false; ///< and kept until a stop keeps late copies out
    time_point ordered_at;
    time_point confirmed_at;
    std::int64_t load = 0;      ///< as listed by the target
    std::int64_t percent = 100; ///< share of its speed that was ordered
    time_point slowed_at;       ///< since when it has been slowed far
    // Of a task that serves users; 0: not observed yet.
    double headroom = 0;       ///< response-time target / response time
    double own_headroom = 0;   ///< the same without company, by the model
    double headroom_trend = 0; ///< change of `own_headroom` per second
};

/// End that is not acknowledged yet.
struct open_end
{
    std::string task;
    std::int64_t run = 0;
    bool is_recorded = false;
};

/// Task and run.
using run_id = std::pair<std::string, std::int64_t>;

/// Target of a rack, as its owner sees it.
struct rack_target
{
    target_entry entry;
    bool is_listed = true;     ///< the platform lists it
    bool is_recorded = false;  ///< is in the durable list of the rack
    bool is_inherited = false; ///< an earlier owner may have used it
    /// When the platform's list showed a new life; {}: not since the last poll.
    time_point listed_restart_at;
    bool is_reached = false;         ///< has answered a poll of this owner
    std::int64_t started_ms = 0;     ///< its life, from the last poll
    std::int64_t clock_ms = 0;       ///< its clock at `clock_at`
    time_point clock_at;             ///< when that reply arrived
    std::int64_t lease_until_ms = 0; ///< longest lease ever sent to it
    /// Latest time at which it may have granted a lease that is not counted in
    /// `lease_until_ms`: to an earlier owner, or to an order that was made for
    /// an earlier life of it.
    time_point unknown_lease_at;
    time_point expires_at;  ///< all leases have certainly expired then
    time_point avoid_until; ///< no starts before, after a fault
    int faults = 0;         ///< in a row
    time_point paced_at;    ///< latest change of a task speed
    std::int64_t acknowledged = 0;
    std::map<std::int64_t, open_end> ends; ///< by number
    std::map<run_id, placed_run> runs;
    /// Starts that got no answer, with the time until which they may be carried
    /// out. In this life that starts nothing twice, but in the next one it may.
    std::map<run_id, time_point> unanswered_starts;
    time_point missed_since; ///< a serving task misses its target; none: {}
    /// Cores by image of the tasks on idle processors, averaged lately.
    image_cores company;
    time_point observed_at;
    cached_mix cached; ///< see `refresh_mixes`
};

/// Rack with its queue.
struct rack_state
{
    std::string name;
    std::int64_t token = 0; ///< fencing token
    time_point taken_over_at;
    /// Start of the last read of the owner rows that showed this owner.
    time_point verified_at;
    boot_time_point may_grant_until; ///< leases, see `lease_limits::authority`
    bool is_fenced = false;          ///< a target has seen a newer owner
    /// Targets that this owner has not reached may run work until then. All
    /// that an earlier owner can have started work on are in the table.
    time_point unknown_until;
    std::map<std::string, rack_target> targets; ///< by id
    std::size_t recorded_targets = 0;           ///< in the durable list
    std::vector<queued_start> queue;
    time_point asked_elsewhere_at; ///< last look for room in other racks
    /// A target of an earlier owner was given up without having been reached.
    /// It may list the ends of runs of that owner later.
    bool has_unseen_ends = false;
    std::set<run_id> stops; ///< of runs that are not known here yet
    /// Latest run of each task whose end was reported by this owner. A start
    /// that is sent again must not revive it.
    std::map<std::string, std::int64_t> ended;
    std::map<std::string, std::int64_t> ended_earlier;
    time_point ended_since; ///< start of the period that `ended` covers
    mix_basis basis;
    std::uint64_t mix_changes = 0; ///< changes of targets, see `cached_mix`
};

/// Notes that the store showed this host as owner.
///
/// \param read_at  start of the read, or of the write that claimed the rack
void confirm_ownership(rack_state& rack, const clock_reading& read_at,
                       const lease_limits& limits);

/// Lets an owner that may grant leases now do so for another
/// `lease_limits::outage_step`. Called while no host reaches the store, so that
/// nobody can take the rack over.
void extend_authority(rack_state& rack, boot_time_point now,
                      const lease_limits& limits);

/// Returns whether the owner may grant leases now.
///
/// A later owner counts on it that the former one stops: it has no other way
/// to learn what runs on a target that only the former one reaches.
[[nodiscard]] bool may_grant(const rack_state& rack,
                             boot_time_point now) noexcept;

/// Returns the room that is left on a target.
[[nodiscard]] task_size free_room(const rack_target& target);

/// Returns whether starts may be sent to a target.
[[nodiscard]] bool accepts_starts(const rack_target& target, time_point now);

/// Returns the target's clock, estimated from its last reply.
[[nodiscard]] std::int64_t clock_of(const rack_target& target, time_point now);

/// Notes that a lease is about to be sent.
///
/// \returns the end of the lease on the target's clock
std::int64_t extend_lease(rack_target& target, const lease_limits& limits,
                          time_point now);

/// Returns the time after which every lease that is granted now has certainly
/// expired. A target grants the longest lease to an order that was made for an
/// earlier life of it, whose clock was ahead.
[[nodiscard]] milliseconds max_lease_duration(const lease_limits& limits);

/// Notes that an order for an earlier life of a target was sent until now.
void allow_for_stale_order(rack_target& target, const lease_limits& limits,
                           time_point now);

/// Takes over a target's clock from a reply.
void update_clock(rack_target& target, std::int64_t clock_ms,
                  const lease_limits& limits, time_point now);

} // namespace egretspindle

#endif
