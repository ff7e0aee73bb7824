/// \file
/// Metrics of the owner of racks.

#ifndef EGRETSPINDLE_SCHEDULER_RACK_METRICS_HPP
#define EGRETSPINDLE_SCHEDULER_RACK_METRICS_HPP

#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/rack/queue_summary.hpp"
#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/scheduler/job_metrics.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace egretspindle
{

/// Returns the name of a verdict for labels and log lines.
[[nodiscard]] std::string_view name_of(order_verdict verdict);

/// What is ordered from a target.
enum class order_kind
{
    start,
    stop,
    pace,
};

/// What an owner without a confirmed ownership does not do.
enum class lease_use
{
    poll,  ///< renew the leases of a target
    start, ///< extend the lease of a target with a start
    place, ///< choose targets for the queue of a rack
};

/// Racks of a host when the gauges are set.
struct rack_counts
{
    std::size_t racks = 0;
    std::size_t fenced = 0; ///< a target has seen a newer owner
    /// Targets of an earlier owner may run work that is not known here.
    std::size_t unsettled = 0;
    std::size_t targets = 0;
    std::size_t silent_targets = 0; ///< have not answered the last poll
};

/// Metrics of a rack agent. All series exist from the start, and an update is
/// an atomic operation or a short lock.
struct rack_metrics
{
    explicit rack_metrics(metric_registry& registry);

    /// Notes that a start has left the queue for a target.
    void count_placed(const queued_start& start, time_point now) const;

    /// Notes an end that no list names.
    void count_concluded(const run_event& event) const;

    /// Notes an order to a target.
    void observe_order(order_kind what, fractional_ms duration,
                       bool is_answered) const;

    void observe_poll(fractional_ms duration, bool is_answered) const;
    void count_refused(order_verdict verdict) const noexcept;
    void count_no_lease(lease_use use) const noexcept;

    /// Sets the gauges of the queues.
    ///
    /// \param all  sums over the racks; `oldest` is the longest wait
    void set_queues(const queue_summary& all) const noexcept;
    void set_counts(const rack_counts& counts) const noexcept;

    static constexpr std::size_t causes = 7;
    static constexpr std::size_t verdicts = 9;
    static constexpr std::size_t obstacles = 8;

    by_task_kind<counter> placed{};
    by_task_kind<latency_summary> waited{}; ///< of placed starts
    latency_summary& handed_back_after;
    std::array<counter*, causes> concluded{}; ///< by cause
    std::array<counter*, verdicts> refused{}; ///< by verdict
    counter& repeated_held;
    counter& repeated_started; ///< the record still assigns the run
    counter& repeated_dropped;
    latency_summary& confirmed_after;
    std::array<latency_summary*, 3> orders{};     ///< by kind
    std::array<counter*, 3> orders_failed{};      ///< by kind
    std::array<latency_summary*, 2> polls{};      ///< failed, answered
    std::array<counter*, 3> leases_not_granted{}; ///< by use
    counter& evicted;
    counter& fenced;
    gauge& queued;
    gauge& queued_lasting;
    gauge& oldest;                           ///< ms
    std::array<gauge*, obstacles> waiting{}; ///< by what they wait for
    gauge& racks;
    gauge& fenced_racks;
    gauge& unsettled_racks;
    gauge& targets;
    gauge& silent_targets;
};

} // namespace egretspindle

#endif
