/// \file
/// Checks of a finished soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_CHECKS_HPP
#define EGRETSPINDLE_BENCH_SOAK_CHECKS_HPP

#include "history.hpp"
#include "soak_job.hpp"

#include <map>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Failure of a check.
struct check_failure
{
    std::string check;
    std::string what;
};

/// Records of a soak that the checks evaluate.
struct soak_record
{
    history runs;
    std::map<std::string, const soak_job*> jobs; ///< by id
    std::vector<interrupted_call> interrupted_calls;
    std::vector<fault_window> faults;
    std::int64_t faults_ended_ms = 0; ///< when all faults had ended
    std::int64_t finished_ms = 0;     ///< when all clients had ended
    std::map<std::string, std::vector<planned_stop>> stops; ///< by host
};

/// Runs all checks and returns the failures.
[[nodiscard]] std::vector<check_failure> run_checks(const soak_record& record);

} // namespace egretspindle::bench

#endif
