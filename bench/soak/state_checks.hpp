/// \file
/// Checks of the states in which jobs are shown to callers.

#ifndef EGRETSPINDLE_BENCH_SOAK_STATE_CHECKS_HPP
#define EGRETSPINDLE_BENCH_SOAK_STATE_CHECKS_HPP

#include "soak_record.hpp"

#include <vector>

namespace egretspindle::bench
{

/// Checks that jobs are shown as `failed` or `cancelled` with a cause only,
/// that a final state stays, and that each accepted job can be queried after
/// the load.
void check_shown_states(const soak_record& record,
                        std::vector<check_failure>& failures);

} // namespace egretspindle::bench

#endif
