#include "standing_jobs.hpp"

#include "target_capacity.hpp"

#include <algorithm>
#include <map>

namespace egretspindle::bench
{

namespace
{

// Bounds of the platform: the time from the end of the load and of all faults
// until jobs are judged (`finish_s`), the longest time that a job may stand
// still, the time for a long-running task to be at work again, and the time
// without faults before it is judged.
constexpr std::int64_t finish_ms = 14'000;
constexpr std::int64_t standstill_ms = 3'000;
constexpr std::int64_t restart_ms = 6'000;
constexpr std::int64_t calm_ms = 4'000;
constexpr std::int64_t sample_ms = 100;

using capacity_cache = std::map<std::int64_t, target_capacity>;

const target_capacity& cached_capacity(const soak_record& record,
                                       capacity_cache& cache,
                                       std::int64_t at_ms)
{
    const std::int64_t key = at_ms / sample_ms * sample_ms;
    const auto it = cache.find(key);
    return it != cache.end()
               ? it->second
               : cache.emplace(key, capacity_at(record, key)).first->second;
}

const std::vector<execution>& runs_of(const soak_record& record,
                                      const std::string& task)
{
    static const std::vector<execution> none;
    const auto it = record.runs.find(task);
    return it == record.runs.end() ? none : it->second;
}

bool is_at_work(const std::vector<execution>& runs, std::int64_t at_ms)
{
    return std::any_of(runs.begin(), runs.end(),
                       [at_ms](const execution& item) {
                           return item.started_ms <= at_ms &&
                                  item.ended_ms > at_ms;
                       });
}

bool is_done(const std::vector<execution>& runs, std::int64_t at_ms)
{
    return std::any_of(runs.begin(), runs.end(),
                       [at_ms](const execution& item) {
                           return item.outcome == "done" &&
                                  item.ended_ms <= at_ms;
                       });
}

bool is_step_done(const soak_record& record, const soak_job& job,
                  std::size_t step, std::int64_t at_ms)
{
    for (int n = 0; n < job.steps[step].count; ++n)
    {
        if (!is_done(runs_of(record, task_name(job.id, step, n)), at_ms))
        {
            return false;
        }
    }
    return true;
}

// Returns when the client first asked to cancel the job, or `still_running`.
std::int64_t cancel_sent_ms(const soak_job& job)
{
    const auto it = std::find_if(job.calls.begin(), job.calls.end(),
                                 [](const job_call& item)
                                 { return item.method == "DELETE"; });
    return it == job.calls.end() ? still_running : it->sent_ms;
}

// Returns a task that is due while nothing of the job is at work; empty: none.
std::string find_due_task(const soak_record& record, const soak_job& job,
                          const target_capacity& capacity, std::int64_t at_ms)
{
    std::string due;
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        const std::vector<int>& after = job.steps[step].after;
        const bool is_due = std::all_of(
            after.begin(), after.end(),
            [&](int earlier)
            {
                return is_step_done(record, job,
                                    static_cast<std::size_t>(earlier), at_ms);
            });
        const bool has_room =
            capacity.count_places(job.steps[step].cpu_milli) >= 2;
        for (int n = 0; n < job.steps[step].count; ++n)
        {
            const std::string task = task_name(job.id, step, n);
            const std::vector<execution>& runs = runs_of(record, task);
            if (is_at_work(runs, at_ms))
            {
                return "";
            }
            if (is_due && has_room && due.empty() && !is_done(runs, at_ms))
            {
                due = task;
            }
        }
    }
    return due;
}

// Calls `report(since, until)` for the first span of samples of at least
// `standstill_ms` in which a condition holds.
template <typename Condition, typename Report>
void find_standstill(std::int64_t from, std::int64_t until, Condition holds,
                     Report report)
{
    std::int64_t since = -1;
    for (std::int64_t at = from; at <= until; at += sample_ms)
    {
        if (!holds(at))
        {
            since = -1;
            continue;
        }
        since = since < 0 ? at : since;
        if (at - since > standstill_ms)
        {
            report(since, at);
            return;
        }
    }
}

// Returns whether a fault is in effect at a time or ended less than `after_ms`
// before. New configurations and reloads are no faults.
bool is_disrupted(const soak_record& record, std::int64_t at_ms,
                  std::int64_t after_ms)
{
    const bool is_faulty =
        std::any_of(record.faults.begin(), record.faults.end(),
                    [&](const fault_window& fault)
                    {
                        return fault.kind != fault_kind::config &&
                               fault.kind != fault_kind::reload &&
                               fault.started_ms <= at_ms &&
                               fault.ended_ms + after_ms >= at_ms;
                    });
    const auto is_stopping = [&](const planned_stop& stop)
    {
        return stop.started_ms <= at_ms &&
               (stop.exited_ms == 0 || stop.exited_ms + after_ms >= at_ms);
    };
    return is_faulty ||
           std::any_of(record.stops.begin(), record.stops.end(),
                       [&](const auto& item) {
                           return std::any_of(item.second.begin(),
                                              item.second.end(), is_stopping);
                       });
}

// Returns the time since which a task has been away; the acceptance of its job
// when it has not run yet, and `still_running` while it runs.
std::int64_t away_since(const std::vector<execution>& runs,
                        std::int64_t accepted_ms, std::int64_t at_ms)
{
    std::int64_t since = accepted_ms;
    for (const execution& item : runs)
    {
        if (item.started_ms <= at_ms)
        {
            since = std::max(since, item.ended_ms);
        }
    }
    return since;
}

std::int64_t first_call_ms(const soak_record& record)
{
    std::int64_t first = record.finished_ms;
    for (const auto& [id, job] : record.jobs)
    {
        if (!job->calls.empty())
        {
            first = std::min(first, job->calls.front().sent_ms);
        }
    }
    return first;
}

// The platform judges jobs from `finish_ms` after the load. Here they are also
// judged in the load, once no fault has been in effect for as long.
void check_standing_job(const soak_record& record, const soak_job& job,
                        capacity_cache& cache,
                        std::vector<check_failure>& failures)
{
    std::string task;
    const auto stands_still = [&](std::int64_t at)
    {
        const target_capacity& capacity = cached_capacity(record, cache, at);
        if (is_disrupted(record, at, finish_ms) ||
            capacity.used_milli * 2 >= capacity.total_milli)
        {
            return false;
        }
        task = find_due_task(record, job, capacity, at);
        return !task.empty();
    };
    find_standstill(
        std::max(job.accepted_ms, first_call_ms(record) + finish_ms),
        std::min(record.finished_ms, cancel_sent_ms(job)), stands_still,
        [&](std::int64_t since, std::int64_t until)
        {
            add_failure(failures, "jobs do not stand still",
                        "job {}, accepted at {}: nothing at work from {} to {} "
                        "although task {} is due and fits",
                        job.id, job.accepted_ms, since, until, task);
        });
}

void check_absent_task(const soak_record& record, const soak_job& job,
                       const std::string& task, std::int64_t cpu_milli,
                       capacity_cache& cache,
                       std::vector<check_failure>& failures)
{
    const std::vector<execution>& runs = runs_of(record, task);
    const auto is_absent = [&](std::int64_t at)
    {
        return at - away_since(runs, job.accepted_ms, at) >= restart_ms &&
               !is_disrupted(record, at, calm_ms) &&
               cached_capacity(record, cache, at).count_places(cpu_milli) >= 2;
    };
    find_standstill(
        job.accepted_ms, std::min(record.finished_ms, cancel_sent_ms(job)),
        is_absent,
        [&](std::int64_t since, std::int64_t until)
        {
            add_failure(failures, "long-running tasks return",
                        "task {}, job accepted at {}: away since {}, with room "
                        "and without faults from {} to {}",
                        task, job.accepted_ms,
                        away_since(runs, job.accepted_ms, until), since, until);
        });
}

} // namespace

void check_standing_jobs(const soak_record& record,
                         std::vector<check_failure>& failures)
{
    capacity_cache cache;
    for (const auto& [id, job] : record.jobs)
    {
        if (job->accepted_ms > 0)
        {
            check_standing_job(record, *job, cache, failures);
        }
    }
}

void check_absent_tasks(const soak_record& record,
                        std::vector<check_failure>& failures)
{
    capacity_cache cache;
    for (const auto& [id, job] : record.jobs)
    {
        const bool is_checked = job->accepted_ms > 0 && job->is_long_running;
        const std::size_t steps = is_checked ? job->steps.size() : 0;
        for (std::size_t step = 0; step < steps; ++step)
        {
            for (int n = 0; n < job->steps[step].count; ++n)
            {
                check_absent_task(record, *job, task_name(job->id, step, n),
                                  job->steps[step].cpu_milli, cache, failures);
            }
        }
    }
}

} // namespace egretspindle::bench
