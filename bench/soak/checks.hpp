/// \file
/// Checks of a finished soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_CHECKS_HPP
#define EGRETSPINDLE_BENCH_SOAK_CHECKS_HPP

#include "soak_record.hpp"

#include <vector>

namespace egretspindle::bench
{

/// Runs all checks and returns the failures.
[[nodiscard]] std::vector<check_failure> run_checks(const soak_record& record);

} // namespace egretspindle::bench

#endif
