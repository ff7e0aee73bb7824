/// \file
/// Injection of random faults.

#ifndef EGRETSPINDLE_BENCH_SOAK_FAULT_RUNNER_HPP
#define EGRETSPINDLE_BENCH_SOAK_FAULT_RUNNER_HPP

#include "fault_window.hpp"
#include "options.hpp"
#include "stage.hpp"

#include <vector>

namespace egretspindle::bench
{

/// Injects faults for the time of the options, then takes them all away.
///
/// \returns the faults, also written to the file `faults` of the directory
[[nodiscard]] std::vector<fault_window>
inject_faults(const soak_options& options, stage& scene);

} // namespace egretspindle::bench

#endif
