/// \file
/// Metrics of a host of the job scheduler beside its jobs and racks.

#ifndef EGRETSPINDLE_SCHEDULER_HOST_METRICS_HPP
#define EGRETSPINDLE_SCHEDULER_HOST_METRICS_HPP

#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"

#include <array>
#include <cstddef>

namespace egretspindle
{

/// Kind of what a host can own.
enum class resource_kind
{
    rack,
    shard,
};

/// What became of orders for the owner of a rack.
enum class orders_result
{
    taken,
    not_owner,
    failed, ///< no answer
};

/// Metrics of ownership, of calls of callers and of messages to other hosts.
/// All series exist from the start, and an update is an atomic operation or a
/// short lock.
struct host_metrics
{
    explicit host_metrics(metric_registry& registry);

    void count_taken(resource_kind what, former_owner former) const noexcept;
    void count_lost(resource_kind what) const noexcept;

    /// Notes orders that were sent to another host.
    void observe_orders(orders_result result, fractional_ms duration) const;

    /// Notes ends that were reported to another host.
    void observe_reports(bool is_answered, fractional_ms duration) const;

    std::array<std::array<counter*, 3>, 2> taken{}; ///< by kind, former owner
    std::array<counter*, 2> lost{};                 ///< by kind
    counter& accepted;
    counter& refused;  ///< by the owner of the shard
    counter& no_owner; ///< refused, since no owner was reached
    counter& unknown;
    counter& lookups_absent;
    counter& lookups_unknown;
    std::array<latency_summary*, 3> rack_orders{}; ///< by result
    counter& orders_without_owner;
    std::array<latency_summary*, 2> run_reports{}; ///< failed, answered
    latency_summary& tick;
    gauge& has_store_contact;
    gauge& config_version;
};

} // namespace egretspindle

#endif
