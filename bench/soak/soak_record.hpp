/// \file
/// Record of a finished soak, and failures of its checks.

#ifndef EGRETSPINDLE_BENCH_SOAK_SOAK_RECORD_HPP
#define EGRETSPINDLE_BENCH_SOAK_SOAK_RECORD_HPP

#include "history.hpp"
#include "soak_job.hpp"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
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
    /// Failed runs of a task after which its job has failed.
    std::ptrdiff_t max_attempts = 100'000;
    history runs;
    std::vector<target_boot> boots;
    std::map<std::string, const soak_job*> jobs; ///< by id
    std::vector<unanswered_call> unanswered_calls;
    std::vector<fault_window> faults;
    std::int64_t faults_ended_ms = 0; ///< when all faults had ended
    std::int64_t finished_ms = 0;     ///< when all clients had ended
    std::map<std::string, std::vector<planned_stop>> stops; ///< by host
};

/// Adds a failure with a formatted text.
template <typename... Args>
void add_failure(std::vector<check_failure>& failures, std::string check,
                 fmt::format_string<Args...> text, Args&&... args)
{
    failures.push_back(
        {std::move(check), fmt::format(text, std::forward<Args>(args)...)});
}

} // namespace egretspindle::bench

#endif
