/// \file
/// Fault of a soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_SOAK_FAULT_HPP
#define EGRETSPINDLE_BENCH_SOAK_SOAK_FAULT_HPP

#include "history.hpp"
#include "options.hpp"
#include "soak_cluster.hpp"

#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// A fault that is injected and removed once.
struct soak_fault
{
    std::string text;
    std::string component; ///< component that has at most one fault at a time
    std::chrono::milliseconds length{0};
    std::function<void()> inject;
    std::function<void()> remove; ///< may be empty
    fault_kind kind = fault_kind::unplanned;
};

/// Returns a random number between two inclusive bounds.
[[nodiscard]] inline long choose(std::mt19937& random, long min_value,
                                 long max_value)
{
    return std::uniform_int_distribution<long>(min_value, max_value)(random);
}

/// Chooses a fault of a link.
[[nodiscard]] soak_fault make_link_fault(std::mt19937& random,
                                         soak_cluster& cluster,
                                         const std::string& link);

/// Chooses a fault of a host or of its links.
[[nodiscard]] soak_fault choose_host_fault(std::mt19937& random,
                                           soak_cluster& cluster);

/// Chooses a fault of several hosts at once.
[[nodiscard]] soak_fault choose_multi_host_fault(std::mt19937& random,
                                                 soak_cluster& cluster);

/// Makes the store unreachable from one host for longer than a takeover and a
/// lease, while targets answer only the owner that they know: the former one.
[[nodiscard]] soak_fault make_unnoticed_takeover(std::mt19937& random,
                                                 soak_cluster& cluster);

/// Restarts all targets of a data centre under their ids, without resets of
/// connections, and makes them unreachable soon after.
[[nodiscard]] soak_fault make_restarts(std::mt19937& random,
                                       soak_cluster& cluster);

/// Kills all hosts at once, at the same moment as faults of the store and of
/// targets. The hosts come back together, one after another, with some of them
/// late, or with new names and addresses.
[[nodiscard]] soak_fault make_power_loss(std::mt19937& random,
                                         soak_cluster& cluster);

/// Chooses a loss of all hosts or a fault that overlaps with one.
///
/// \param version  of the last configuration
[[nodiscard]] soak_fault choose_power_loss_fault(std::mt19937& random,
                                                 soak_cluster& cluster,
                                                 std::int64_t& version);

/// Lets a target leave orders unanswered for a moment and carry them out late.
[[nodiscard]] soak_fault make_late_orders(std::mt19937& random,
                                          soak_cluster& cluster);

/// Chooses a fault of a target or of its link.
[[nodiscard]] soak_fault choose_target_fault(std::mt19937& random,
                                             soak_cluster& cluster);

/// Chooses a fault of the store or a change of the configuration.
///
/// \param version  of the last configuration
[[nodiscard]] soak_fault choose_store_fault(std::mt19937& random,
                                            soak_cluster& cluster,
                                            std::int64_t& version);

/// Chooses a planned stop of hosts, a reload or a new configuration.
///
/// \param version  of the last configuration
[[nodiscard]] soak_fault choose_planned_work(std::mt19937& random,
                                             soak_cluster& cluster,
                                             std::int64_t& version);

/// Injects faults for the configured time, then removes all of them.
///
/// \returns the faults, also written to the file `faults` of the directory
[[nodiscard]] std::vector<fault_window>
inject_faults(const soak_options& options, soak_cluster& cluster);

} // namespace egretspindle::bench

#endif
