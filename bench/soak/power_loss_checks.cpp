#include "power_loss_checks.hpp"

#include "job_query.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

constexpr std::chrono::seconds answer_limit{30};
// Leases last up to 10 s; the rest allows for the stops.
constexpr std::chrono::seconds run_end_limit{15};
// Largest time that users allow a timed job to start early.
constexpr std::int64_t early_ms = 250;
// Largest error when times of two processes are compared.
constexpr std::int64_t rounding_ms = 1;

// Returns the ends of failed runs of a task in the order of time.
std::vector<std::int64_t> failed_ends(const std::vector<execution>& runs,
                                      bool is_acknowledged_only)
{
    std::vector<std::int64_t> ends;
    for (const execution& item : runs)
    {
        if (item.outcome == "failed" &&
            (!is_acknowledged_only || item.acknowledged_ms > 0))
        {
            ends.push_back(item.ended_ms);
        }
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

constexpr auto allowed_failures =
    static_cast<std::size_t>(power_loss_max_attempts);

// Returns whether a task of a job has failed as often as the configuration
// allows.
bool has_cause(const soak_record& record, const std::string& job,
               bool is_acknowledged_only)
{
    return std::any_of(
        record.runs.begin(), record.runs.end(),
        [&](const auto& item)
        {
            return job_of(item.first) == job &&
                   failed_ends(item.second, is_acknowledged_only).size() >=
                       allowed_failures;
        });
}

bool has_open_runs(const soak_record& record, const history& runs)
{
    return std::any_of(
        runs.begin(), runs.end(),
        [&](const auto& item)
        {
            const auto job = record.jobs.find(job_of(item.first));
            return job != record.jobs.end() && is_final(*job->second) &&
                   std::any_of(item.second.begin(), item.second.end(),
                               [](const execution& run)
                               { return run.ended_ms == still_running; });
        });
}

// Returns whether an answer says what has become of a job.
bool is_certain(const job_call& item)
{
    return item.status == 410 || !item.state.empty();
}

// Checks the runs of a task of a timed job.
void check_time_of_task(const soak_record& record, const soak_job& job,
                        const std::string& task, std::int64_t due_ms,
                        std::vector<check_failure>& failures)
{
    const auto it = record.runs.find(task);
    const std::vector<execution> runs =
        it == record.runs.end() ? std::vector<execution>() : it->second;
    if (!runs.empty() && runs.front().started_ms < due_ms - early_ms)
    {
        failures.push_back({"timed jobs do not start early",
                            fmt::format("task {}, due at {}: {}", task, due_ms,
                                        describe(runs.front()))});
    }
    const auto shown = std::find_if(job.calls.begin(), job.calls.end(),
                                    [](const job_call& item)
                                    { return item.state == "completed"; });
    const bool is_done = std::any_of(
        runs.begin(), runs.end(),
        [&](const execution& item)
        {
            return shown != job.calls.end() && item.outcome == "done" &&
                   item.ended_ms <= shown->answered_ms + rounding_ms;
        });
    if (shown != job.calls.end() && !is_done)
    {
        failures.push_back(
            {"completed jobs are done at all times",
             fmt::format("task {} had not ended as done when {} reported "
                         "completed at {}",
                         task, shown->host, shown->answered_ms)});
    }
}

} // namespace

final_answers ask_after_loss(soak_cluster& cluster, const soak_record& record)
{
    cluster.kill_all_hosts(std::vector<std::int64_t>(cluster.hosts().size()));
    const std::vector<host_endpoint> hosts = cluster.host_endpoints();
    final_answers answers;
    std::size_t next_host = 0;
    const auto end = std::chrono::steady_clock::now() + answer_limit;
    for (const auto& [id, job] : record.jobs)
    {
        job_call& answer = answers[id];
        while (!is_certain(answer) && std::chrono::steady_clock::now() < end)
        {
            cluster.poll();
            answer = call_host(hosts[next_host++ % hosts.size()], *job, "GET");
        }
    }
    return answers;
}

void wait_for_runs(soak_cluster& cluster, const soak_record& record)
{
    (void)test::wait_until(
        [&]
        {
            cluster.poll();
            return !has_open_runs(
                record, read_history(cluster.directory().file("journal")));
        },
        run_end_limit);
}

void check_final_states(const soak_record& record, const final_answers& answers,
                        std::vector<check_failure>& failures)
{
    for (const auto& [id, job] : record.jobs)
    {
        std::vector<job_call> calls = job->calls;
        const auto answer = answers.find(id);
        if (answer != answers.end())
        {
            calls.push_back(answer->second);
            const int status = answer->second.status;
            if (was_refused_only(*job) && status != 410)
            {
                failures.push_back(
                    {"refused jobs are unknown",
                     fmt::format("job {}, refused in all of {} calls, was "
                                 "answered with {} '{}' after the last loss",
                                 id, job->calls.size(), status,
                                 answer->second.state)});
            }
            if (job->accepted_ms > 0 && !is_certain(answer->second))
            {
                failures.push_back(
                    {"accepted jobs are known after a loss",
                     fmt::format("job {}: the last answer was {}", id,
                                 status)});
            }
        }
        std::string shown;
        for (const job_call& item : calls)
        {
            const bool is_changed =
                !shown.empty() && (item.status == 410 || (!item.state.empty() &&
                                                          item.state != shown));
            if (is_changed)
            {
                failures.push_back(
                    {"final states stay",
                     fmt::format("job {}, shown as {}: {} answered {} '{}' to "
                                 "{} at {}",
                                 id, shown, item.host, item.status, item.state,
                                 item.method, item.answered_ms)});
            }
            if (shown.empty() &&
                (item.state == "completed" || item.state == "cancelled" ||
                 item.state == "failed"))
            {
                shown = item.state;
            }
        }
    }
}

void check_attempts(const soak_record& record,
                    std::vector<check_failure>& failures)
{
    for (const auto& [id, job] : record.jobs)
    {
        const bool is_failed = job->last_state == "failed";
        if (is_failed && !has_cause(record, id, false))
        {
            failures.push_back(
                {"failed jobs have a cause",
                 fmt::format("job {} is shown as failed, no task failed {} "
                             "times",
                             id, power_loss_max_attempts)});
        }
        if (job->last_state == "completed" && has_cause(record, id, true))
        {
            failures.push_back(
                {"attempts are counted",
                 fmt::format("job {} is shown as completed, but a task failed "
                             "{} times",
                             id, power_loss_max_attempts)});
        }
    }
    for (const auto& [task, runs] : record.runs)
    {
        const auto job = record.jobs.find(job_of(task));
        const std::vector<std::int64_t> ends = failed_ends(runs, true);
        if (job == record.jobs.end() || job->second->is_long_running ||
            ends.size() < allowed_failures)
        {
            continue;
        }
        for (const execution& item : runs)
        {
            if (item.started_ms > ends[allowed_failures - 1])
            {
                failures.push_back(
                    {"no start after the last attempt",
                     fmt::format("task {}, failed {} times until {}: {}", task,
                                 power_loss_max_attempts,
                                 ends[allowed_failures - 1], describe(item))});
            }
        }
    }
}

void check_times(const soak_record& record,
                 std::vector<check_failure>& failures)
{
    for (const auto& [id, job] : record.jobs)
    {
        for (int time = 0; time < job->repeat_count; ++time)
        {
            const std::int64_t due_ms =
                job->start_at_ms + time * job->interval_ms;
            for (std::size_t step = 0; step < job->steps.size(); ++step)
            {
                for (int n = 0; n < job->steps[step].count; ++n)
                {
                    check_time_of_task(record, *job,
                                       task_name(id, step, n, time), due_ms,
                                       failures);
                }
            }
        }
    }
}

std::deque<soak_job> replace_failed_jobs(const soak_record& record)
{
    std::deque<soak_job> copies;
    for (const auto& [id, job] : record.jobs)
    {
        if (job->last_state == "failed" && has_cause(record, id, false))
        {
            copies.push_back(*job);
            copies.back().last_state = "completed";
        }
    }
    return copies;
}

} // namespace egretspindle::bench
