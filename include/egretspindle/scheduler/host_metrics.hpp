/// \file
/// Metrics of a scheduler host, apart from those of its jobs and racks.

#ifndef EGRETSPINDLE_SCHEDULER_HOST_METRICS_HPP
#define EGRETSPINDLE_SCHEDULER_HOST_METRICS_HPP

#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"

#include <array>
#include <cstddef>

namespace egretspindle
{

/// Kind of resource that a host can own.
enum class resource_kind
{
    rack,
    shard,
};

/// Result of sending orders to the owner of a rack.
enum class orders_result
{
    taken,
    not_owner,
    failed, ///< no reply
};

/// Metrics of ownership, requests of callers and messages to other hosts.
///
/// All series exist from the start. An update is an atomic operation or takes a
/// lock briefly.
struct host_metrics
{
    explicit host_metrics(metric_registry& registry);

    void count_taken(resource_kind resource,
                     former_owner former) const noexcept;
    void count_lost(resource_kind resource) const noexcept;

    /// Records the result of orders sent to another host.
    void observe_orders(orders_result result, fractional_ms duration) const;

    /// Records the result of run reports sent to another host.
    void observe_reports(bool is_answered, fractional_ms duration) const;

    /// By kind and former owner.
    std::array<std::array<counter*, 3>, 2> taken{};
    std::array<counter*, 2> lost{}; ///< by kind
    counter& accepted;
    counter& refused;  ///< by the owner of the shard
    counter& no_owner; ///< refused because no owner was reached
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
