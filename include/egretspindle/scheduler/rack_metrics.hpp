/// \file
/// Metrics of a rack agent.

#ifndef EGRETSPINDLE_SCHEDULER_RACK_METRICS_HPP
#define EGRETSPINDLE_SCHEDULER_RACK_METRICS_HPP

#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/rack/end_list_summary.hpp"
#include "egretspindle/rack/queue_summary.hpp"
#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/rack/room_summary.hpp"
#include "egretspindle/scheduler/job_metrics.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace egretspindle
{

/// Returns the name of a verdict in metric labels and log lines.
[[nodiscard]] std::string_view name_of(order_verdict verdict);

/// Kind of an order to a target.
enum class order_kind
{
    start,
    stop,
    pace,
};

/// Actions that need the right to grant leases. They are left out once
/// `lease_limits::authority` has passed since the store last confirmed the
/// ownership.
enum class lease_use
{
    poll,  ///< renew the leases of a target
    start, ///< extend the lease of a target with a start
    place, ///< choose targets for the queue of a rack
};

/// Numbers of racks and targets of a host, for the gauges.
struct rack_counts
{
    std::size_t racks = 0;
    std::size_t fenced = 0; ///< racks where a target has seen a newer owner
    /// Racks where targets of an earlier owner may have runs that are not known
    /// here.
    std::size_t unsettled = 0;
    std::size_t targets = 0;
    std::size_t silent_targets = 0; ///< that have not answered the last poll
    /// Stops of runs that may be on targets which are not reached yet.
    std::size_t kept_stops = 0;
};

/// Stops of a message to the owner of a rack, by the state of their runs.
struct received_stops
{
    std::size_t placed = 0;    ///< on a target, or on the way to it
    std::size_t withdrawn = 0; ///< removed from the queue
    std::size_t unknown = 0;   ///< may be on a target that is not reached yet
    std::size_t ended = 0;     ///< with an end that is being reported
};

/// Metrics of a rack agent. The constructor registers all series; an update
/// takes an atomic operation or a short lock.
struct rack_metrics
{
    explicit rack_metrics(metric_registry& registry);

    /// Counts a start that has left the queue for a target, and records its
    /// time in the queue.
    void count_placed(const queued_start& start, time_point now) const;

    /// Counts the end of a run that was inferred, without a target that lists
    /// it; for a start that was handed back, records its time in the queue.
    void count_inferred_end(const run_event& event) const;

    /// Records the duration and success of an order to a target.
    void observe_order(order_kind what, fractional_ms duration,
                       bool is_answered) const;

    /// Records the duration of a poll, including the time for which the target
    /// waited.
    void observe_poll(fractional_ms duration, bool is_answered) const;
    /// Counts a start that a target refused.
    void count_refused(order_verdict verdict) const noexcept;
    /// Counts the stops of a message, repeated ones as well.
    void count_stops(const received_stops& received) const noexcept;
    /// Counts an action that was left out without the right to grant leases.
    void count_no_lease(lease_use use) const noexcept;

    /// Sets the gauges of the queues.
    ///
    /// \param sum  over the racks; `oldest` is the longest wait
    void set_queues(const queue_summary& sum) const noexcept;
    /// Sets the gauges of the processors of the targets that accept starts.
    void set_room(const room_summary& sum) const noexcept;
    void set_counts(const rack_counts& counts) const noexcept;
    /// Sets the gauges of the lists of ends.
    void set_end_lists(const end_list_summary& lists) const noexcept;

    static constexpr std::size_t cause_count = 7;       ///< of `end_cause`
    static constexpr std::size_t verdict_count = 9;     ///< of `order_verdict`
    static constexpr std::size_t ack_blocker_count = 7; ///< of `ack_blocker`

    by_task_kind<counter> placed{};
    by_task_kind<latency_summary> waited{}; ///< of placed starts, in the queue
    latency_summary& handed_back_wait;      ///< in the queue
    std::array<counter*, cause_count> inferred_ends{}; ///< by cause
    std::array<counter*, verdict_count> refused{};     ///< by verdict
    counter& repeated_held;
    counter& repeated_started;          ///< the record still assigns the run
    counter& repeated_dropped;          ///< it does not
    latency_summary& confirmation_time; ///< from placement
    latency_summary& stopped; ///< from the job owner's stop to the listed end
    std::array<counter*, 4> stops{};              ///< as in `received_stops`
    std::array<latency_summary*, 3> orders{};     ///< by kind
    std::array<counter*, 3> orders_failed{};      ///< by kind
    std::array<latency_summary*, 2> polls{};      ///< failed, answered
    std::array<counter*, 3> leases_not_granted{}; ///< by use
    counter& evicted;
    counter& moved; ///< off draining targets
    counter& fenced;
    gauge& queued;
    gauge& queued_long_running;
    gauge& oldest;                                   ///< ms
    std::array<gauge*, wait_reason_count> waiting{}; ///< by reason
    /// Longest wait in ms by reason, through all racks.
    std::array<by_task_kind<gauge>, wait_reason_count> longest_waiting{};
    gauge& total_cpu;        ///< thousandths
    gauge& free_cpu;         ///< thousandths
    gauge& largest_free_cpu; ///< thousandths, of one target
    gauge& racks;
    gauge& fenced_racks;
    gauge& unsettled_racks;
    gauge& targets;
    gauge& silent_targets;
    gauge& kept_stops;
    gauge& longest_end_list;
    gauge& full_end_lists;
    /// Wait in ms of the list that has waited longest, by its reason; 0 for the
    /// other reasons.
    std::array<gauge*, ack_blocker_count> oldest_end_waits{};
};

} // namespace egretspindle

#endif
