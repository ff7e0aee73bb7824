/// \file
/// Checks of accepted jobs that stand still while there is room.

#ifndef EGRETSPINDLE_BENCH_SOAK_STANDING_JOBS_HPP
#define EGRETSPINDLE_BENCH_SOAK_STANDING_JOBS_HPP

#include "soak_record.hpp"

#include <vector>

namespace egretspindle::bench
{

/// Checks that, some time after the load, no accepted job has nothing at work
/// for 3 s while one of its tasks is due, the targets could take that task
/// twice and less than half of their processors is in use.
void check_standing_jobs(const soak_record& record,
                         std::vector<check_failure>& failures);

/// Checks that no long-running task is away for 3 s, from 6 s after its last
/// run, while the targets could take it twice and no fault is near. This holds
/// at any time of the soak.
void check_absent_tasks(const soak_record& record,
                        std::vector<check_failure>& failures);

} // namespace egretspindle::bench

#endif
