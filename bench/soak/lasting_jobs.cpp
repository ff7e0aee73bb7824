#include "lasting_jobs.hpp"

#include "common/platform_event.hpp"
#include "job_query.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

constexpr int job_count = 6;
constexpr int task_count = 2;
constexpr std::int64_t cpu_milli = 1'000;
constexpr std::int64_t duration_ms = 3'600'000; // longer than any soak
constexpr std::chrono::seconds call_limit{30};
// The users require that a task which lasts is at work within 3 s of the first
// moment that has been calm for 4 s and is 6 s after the last run of the task.
constexpr std::int64_t calm_ms = 4'000;
constexpr std::int64_t after_run_ms = 6'000;
constexpr std::int64_t absence_ms = 3'000;

} // namespace

lasting_jobs::lasting_jobs(unsigned seed,
                           std::vector<host_endpoint> host_endpoints)
    : host_endpoints_(std::move(host_endpoints))
{
    std::mt19937 random(seed);
    for (int n = 0; n < job_count; ++n)
    {
        soak_job job;
        job.id = fmt::format("{:016x}", std::uint64_t{random()} << 32U |
                                            std::uint64_t{random()});
        job.is_long_running = true;
        job.steps.push_back({task_count, cpu_milli, duration_ms, {}, 0});
        jobs_.push_back(std::move(job));
    }
}

bool lasting_jobs::call_until_answered(soak_job& job, const std::string& method)
{
    return test::wait_until(
        [&]
        {
            const host_endpoint& host =
                host_endpoints_[next_host_++ % host_endpoints_.size()];
            job.calls.push_back(call_host(host, job, method));
            return job.calls.back().status / 100 == 2;
        },
        call_limit);
}

bool lasting_jobs::submit()
{
    bool is_accepted = true;
    for (soak_job& job : jobs_)
    {
        is_accepted &= call_until_answered(job, "POST");
        job.accepted_ms = job.calls.back().answered_ms;
    }
    return is_accepted;
}

bool lasting_jobs::cancel()
{
    bool is_acknowledged = true;
    for (soak_job& job : jobs_)
    {
        job.is_known_at_end = call_until_answered(job, "GET");
        job.cancel_due_ms = standin::steady_ms();
        is_acknowledged &= call_until_answered(job, "DELETE");
        job.last_state = job.calls.back().state;
        job.cancelled_ms = job.calls.back().answered_ms;
    }
    return is_acknowledged;
}

std::int64_t check_at_work(const soak_record& record,
                           const std::deque<soak_job>& jobs,
                           std::int64_t until_ms,
                           std::vector<check_failure>& failures)
{
    std::int64_t latest_return_ms = 0;
    for (const soak_job& job : jobs)
    {
        for (int n = 0; n < task_count; ++n)
        {
            const std::string task = task_name(job.id, 0, n);
            const auto it = record.runs.find(task);
            const std::vector<execution> runs =
                it == record.runs.end() ? std::vector<execution>() : it->second;
            std::int64_t last_end = job.accepted_ms;
            const auto check_absence = [&](std::int64_t until)
            {
                const std::int64_t bound =
                    std::max(record.faults_ended_ms + calm_ms,
                             last_end + after_run_ms) +
                    absence_ms;
                if (until > bound)
                {
                    failures.push_back(
                        {"long-running tasks are at work",
                         fmt::format("task {} was not at work from {} to {}, "
                                     "faults ended at {}, bound {}",
                                     task, last_end, until,
                                     record.faults_ended_ms, bound)});
                }
            };
            for (const execution& item : runs)
            {
                if (item.started_ms > until_ms)
                {
                    break;
                }
                check_absence(item.started_ms);
                latest_return_ms = std::max(
                    latest_return_ms, item.started_ms - record.faults_ended_ms);
                last_end = std::max(last_end, item.ended_ms);
            }
            if (last_end < until_ms)
            {
                check_absence(until_ms);
            }
        }
    }
    return latest_return_ms;
}

} // namespace egretspindle::bench
