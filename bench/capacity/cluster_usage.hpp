/// \file
/// Size of a measured cluster and the resource usage of its hosts.

#ifndef EGRETSPINDLE_BENCH_CAPACITY_CLUSTER_USAGE_HPP
#define EGRETSPINDLE_BENCH_CAPACITY_CLUSTER_USAGE_HPP

namespace egretspindle::bench
{

/// Size of a cluster.
struct cluster_size
{
    int hosts = 3;
    int targets = 8;
    int tasks = 0;             ///< running batch tasks
    int plan_kb = 1;           ///< size of the plan document
    int starts_per_second = 0; ///< urgent requests
};

/// Mean resource usage of an entry host.
struct host_usage
{
    double cpu_percent = 0; ///< of one core
    double resident_mb = 0;
    double peer_kb_per_second = 0;
    double io_kb_per_second = 0;
    int tasks = 0; ///< running, as counted at the targets
};

/// Starts a cluster, waits until its load is steady, and measures its hosts.
[[nodiscard]] host_usage measure_usage(const cluster_size& size, int seconds);

} // namespace egretspindle::bench

#endif
