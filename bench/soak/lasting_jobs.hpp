/// \file
/// Long-running jobs that stay open over all faults of a soak.

#ifndef EGRETSPINDLE_BENCH_SOAK_LASTING_JOBS_HPP
#define EGRETSPINDLE_BENCH_SOAK_LASTING_JOBS_HPP

#include "checks.hpp"
#include "client.hpp"
#include "soak_job.hpp"

#include <deque>
#include <random>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Long-running jobs, submitted before the first fault and cancelled after the
/// last one. Use it from one thread.
class lasting_jobs
{
public:
    lasting_jobs(unsigned seed, std::vector<host_endpoint> host_endpoints);

    /// Submits the jobs, each until it is accepted.
    ///
    /// \returns whether all were accepted in time
    [[nodiscard]] bool submit();

    /// Cancels the jobs, each until the cancellation is acknowledged.
    ///
    /// \returns whether all were acknowledged in time
    [[nodiscard]] bool cancel();

    [[nodiscard]] const std::deque<soak_job>& jobs() const
    {
        return jobs_;
    }

private:
    [[nodiscard]] bool call_until_answered(soak_job& job,
                                           const std::string& method);

    std::vector<host_endpoint> host_endpoints_;
    std::size_t next_host_ = 0;
    std::deque<soak_job> jobs_;
};

/// Checks that each task is at work again in time after the last fault.
///
/// \param jobs      not cancelled before `until_ms`
/// \param until_ms  end of the observation
/// \returns the longest time from the last fault to the start of a run, in
///          milliseconds; 0: no run started after it
[[nodiscard]] std::int64_t check_at_work(const soak_record& record,
                                         const std::deque<soak_job>& jobs,
                                         std::int64_t until_ms,
                                         std::vector<check_failure>& failures);

/// Time after the last fault for which `check_at_work` needs the jobs open.
constexpr std::int64_t at_work_observed_ms = 13'000;

} // namespace egretspindle::bench

#endif
