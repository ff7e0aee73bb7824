/// \file
/// Random faults under mixed load, with checks of the externally visible
/// records.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_FAULT_RUN_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_FAULT_RUN_HPP

#include "support/checks.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Options of a fault run.
struct fault_run_options
{
    std::uint32_t seed = 1;
    std::chrono::seconds length{15}; ///< time during which faults are injected
    int max_faults = 3;              ///< at a time
    std::string host_program = "egretspindle"; ///< or an absolute path
    /// Receives each injected and removed fault.
    std::function<void(const std::string&)> report;
};

/// Result of a fault run.
struct fault_run_result
{
    std::vector<std::string> actions;  ///< with the time since the start
    std::vector<caller_reply> replies; ///< latest reply of each request
    violations found_violations;
    std::string log_directory; ///< exists if EGRETSPINDLE_KEEP_LOGS is set
};

/// Runs a cluster of two data centres under load of all request classes and
/// cancellations, injects faults that the seed chooses, removes all of them,
/// waits until every request has its final outcome, and checks every guarantee.
/// Call it from the main thread, since it starts processes.
[[nodiscard]] fault_run_result run_faults(const fault_run_options& options);

} // namespace egretspindle::test

#endif
