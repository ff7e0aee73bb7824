/// \file
/// Options of a soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_OPTIONS_HPP
#define EGRETSPINDLE_BENCH_SOAK_OPTIONS_HPP

#include <string>

namespace egretspindle::bench
{

/// Options of a soak.
struct soak_options
{
    unsigned seed = 1;
    int seconds = 20; ///< of faults
    int hosts = 5;
    int targets = 16;
    int clients = 5;
    std::string host_program = "egretspindle";
    bool is_without_faults = false;
    bool has_takeovers_only = false; ///< the only faults
    bool has_restarts_only = false;  ///< of targets, the only faults
    /// Jobs have many short tasks, so that targets list many ends, and late
    /// orders are the only faults.
    bool has_short_tasks = false;
    /// All hosts are killed at once again and again, among other faults.
    bool has_power_losses = false;
    /// Planned stops, reloads and new configurations are the only faults.
    bool has_planned_work_only = false;
    /// Time after the faults for which long-running jobs go on.
    int quiet_seconds = 0;
    /// Duration of each call to the store, until the first fault of the store
    /// ends.
    int store_ms = 0;
    bool keeps_logs = false; ///< also after a pass
};

/// Reads the command line.
///
/// \returns false when it is malformed, after printing the usage
[[nodiscard]] bool parse_options(int argc, char** argv, soak_options& result);

} // namespace egretspindle::bench

#endif
