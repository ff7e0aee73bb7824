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
    taken,     ///< the receiver owns the rack and carries them out
    not_owner, ///< the receiver refused them
    failed,    ///< no reply
};

/// Metrics of ownership, requests of callers and messages to other hosts.
///
/// All series exist from the start. An update is an atomic operation or takes a
/// lock briefly.
struct host_metrics
{
    explicit host_metrics(metric_registry& registry);

    /// Counts a rack or shard that this host has become the owner of.
    void count_taken(resource_kind resource,
                     former_owner former) const noexcept;

    /// Counts a rack or shard that this host no longer owns.
    void count_lost(resource_kind resource) const noexcept;

    /// Records the result of orders sent to another host.
    void observe_orders(orders_result result, fractional_ms duration) const;

    /// Records the result of run reports sent to another host.
    void observe_reports(bool is_answered, fractional_ms duration) const;

    /// Ownerships taken, by kind of resource and `former_owner`.
    std::array<std::array<counter*, 3>, 2> taken{};
    std::array<counter*, 2> lost{}; ///< by kind of resource
    counter& accepted;              ///< submissions accepted
    counter& refused;  ///< submissions refused by the owner of the shard
    counter& no_owner; ///< submissions refused, since no owner was reached
    counter& unknown;  ///< submissions without a certain result
    counter& lookups_absent;  ///< queries of jobs that do not exist
    counter& lookups_unknown; ///< queries without an answer in time
    /// Duration in ms of orders sent to another host, by `orders_result`.
    std::array<latency_summary*, 3> rack_orders{};
    counter& orders_without_owner; ///< not sent: the rack has no known owner
    /// Duration in ms of reports sent to another host: failed, then answered.
    std::array<latency_summary*, 2> run_reports{};
    latency_summary& tick;    ///< duration in ms of the work of one tick
    gauge& has_store_contact; ///< 1 or 0; see `cluster_agent`
    gauge& config_version;    ///< version of the configuration in use
};

} // namespace egretspindle

#endif
