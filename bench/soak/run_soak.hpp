/// \file
/// One soak from start to verdict.

#ifndef EGRETSPINDLE_BENCH_SOAK_RUN_SOAK_HPP
#define EGRETSPINDLE_BENCH_SOAK_RUN_SOAK_HPP

#include "options.hpp"

namespace egretspindle::bench
{

/// Runs a soak and prints its findings.
///
/// \returns whether all checks passed
[[nodiscard]] bool run_soak(const soak_options& options);

} // namespace egretspindle::bench

#endif
