#include "checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <functional>

namespace egretspindle::bench
{

namespace
{

// Limit from the cancellation of a job to the end of its runs when no fault has
// an effect: 3 s required by the platform, and 1 s for a busy machine.
constexpr std::int64_t cancel_bound_ms = 4'000;
// With faults the limit counts from the end of all faults: an order may be
// executed 12 s late, a lease lasts up to 10 s, and the limit without faults
// applies after both.
constexpr std::int64_t cancel_bound_after_faults_ms = 14'000;
// A fault that ended up to this long before a cancellation may still have
// effects: a late order, or the lease of a lost run.
constexpr std::int64_t fault_echo_ms = 12'000;
// A request that was sent less than this before its connection was closed may
// have been in flight at that time.
constexpr std::int64_t crossing_ms = 200;
// Error of comparing times of two processes, which are rounded down to whole
// milliseconds.
constexpr std::int64_t rounding_ms = 1;

template <typename... Args>
void report(std::vector<finding>& found, std::string check,
            fmt::format_string<Args...> text, Args&&... args)
{
    found.push_back(
        {std::move(check), fmt::format(text, std::forward<Args>(args)...)});
}

bool has_fault_near(const evidence& all, std::int64_t from, std::int64_t until)
{
    return std::any_of(all.faults.begin(), all.faults.end(),
                       [&](const fault_window& item) {
                           return item.begun_ms <= until &&
                                  item.ended_ms + fault_echo_ms >= from;
                       });
}

// Checks that no two runs of a task overlap.
void check_single_runs(const evidence& all, std::vector<finding>& found)
{
    for (const auto& [task, runs] : all.runs)
    {
        for (std::size_t n = 0; n < runs.size(); ++n)
        {
            for (std::size_t m = n + 1; m < runs.size(); ++m)
            {
                if (runs[m].begun_ms < runs[n].ended_ms &&
                    runs[m].ended_ms > runs[m].begun_ms)
                {
                    report(found, "no overlapping runs", "task {}: {}; {}",
                           task, describe(runs[n]), describe(runs[m]));
                }
            }
        }
    }
}

// Checks that no run of a task starts after an end as done was acknowledged.
void check_starts_after_done(const evidence& all, std::vector<finding>& found)
{
    for (const auto& [task, runs] : all.runs)
    {
        for (const execution& done : runs)
        {
            if (done.how != "done" || done.acknowledged_ms == 0)
            {
                continue;
            }
            for (const execution& item : runs)
            {
                if (item.begun_ms > done.acknowledged_ms)
                {
                    report(found, "no start after done",
                           "task {}: {}, acknowledged at {}; {}", task,
                           describe(done), done.acknowledged_ms,
                           describe(item));
                }
            }
        }
    }
}

// Checks that all tasks belong to known jobs, and none to a job of which every
// submission was refused.
void check_refused_jobs(const evidence& all, std::vector<finding>& found)
{
    for (const auto& [task, runs] : all.runs)
    {
        const auto it = all.jobs.find(job_of(task));
        if (it == all.jobs.end())
        {
            report(found, "known jobs only", "task {}: {}", task,
                   describe(runs.front()));
        }
        else if (was_refused_only(*it->second))
        {
            report(found, "refused jobs never start", "task {}: {}", task,
                   describe(runs.front()));
        }
    }
}

// Returns when a task first ended as done, or `still_running`.
std::int64_t first_done(const evidence& all, const std::string& task)
{
    std::int64_t result = still_running;
    const auto it = all.runs.find(task);
    if (it != all.runs.end())
    {
        for (const execution& item : it->second)
        {
            if (item.how == "done")
            {
                result = std::min(result, item.ended_ms);
            }
        }
    }
    return result;
}

// Checks that a job is reported as completed only after all of its tasks have
// ended as done.
void check_completions(const evidence& all, const soak_job& job,
                       std::vector<finding>& found)
{
    const auto shown = std::find_if(job.calls.begin(), job.calls.end(),
                                    [](const job_call& item)
                                    { return item.state == "completed"; });
    if (shown == job.calls.end())
    {
        return;
    }
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        for (int n = 0; n < job.steps[step].count; ++n)
        {
            const std::string task = task_name(job.id, step, n);
            if (first_done(all, task) > shown->answered_ms + rounding_ms)
            {
                report(found, "completed jobs are done",
                       "task {} had not ended as done when {} reported "
                       "completed at {}",
                       task, shown->host, shown->answered_ms);
            }
        }
    }
}

// Checks that a step starts only after the steps that it depends on.
void check_order(const evidence& all, const soak_job& job,
                 std::vector<finding>& found)
{
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        std::int64_t earlier_done = 0;
        for (const int earlier : job.steps[step].after)
        {
            const auto place = static_cast<std::size_t>(earlier);
            for (int n = 0; n < job.steps[place].count; ++n)
            {
                earlier_done = std::max(
                    earlier_done, first_done(all, task_name(job.id, place, n)));
            }
        }
        for (int n = 0; n < job.steps[step].count; ++n)
        {
            const std::string task = task_name(job.id, step, n);
            const auto it = all.runs.find(task);
            if (it != all.runs.end() &&
                it->second.front().begun_ms < earlier_done)
            {
                report(found, "order of steps", "task {}: {}", task,
                       describe(it->second.front()));
            }
        }
    }
}

// Checks that every submission is answered, and that accepted jobs stay known
// and complete.
void check_accepted(const evidence& all, const soak_job& job,
                    std::vector<finding>& found)
{
    if (job.accepted_ms == 0)
    {
        const bool is_open = !job.is_given_up && !job.calls.empty();
        if (is_open)
        {
            report(found, "submissions are answered",
                   "job {} got no final answer in {} "
                   "calls until {} ms after the end of the faults",
                   job.id, job.calls.size(), all.finished_ms - all.healed_ms);
        }
        return;
    }
    for (const job_call& item : job.calls)
    {
        if (item.status == 410 && item.sent_ms >= job.accepted_ms)
        {
            report(found, "accepted jobs are known",
                   "job {}, accepted at {}: {} answered at {} to {} with 410",
                   job.id, job.accepted_ms, item.host, item.answered_ms,
                   item.method);
        }
    }
    const bool is_good =
        job.last_state == "completed" ||
        (job.last_state == "cancelled" && job.cancel_due_ms > 0);
    if (!is_good)
    {
        report(found, "accepted jobs complete",
               "job {}, accepted at {}, had the state '{}' {} ms after the end "
               "of the "
               "faults",
               job.id, job.accepted_ms, job.last_state,
               all.finished_ms - all.healed_ms);
    }
}

// Checks that the runs of a cancelled job end in time.
void check_cancelled(const evidence& all, std::vector<finding>& found)
{
    for (const auto& [task, runs] : all.runs)
    {
        const auto it = all.jobs.find(job_of(task));
        if (it == all.jobs.end() || it->second->cancelled_ms == 0)
        {
            continue;
        }
        const std::int64_t at = it->second->cancelled_ms;
        const bool is_calm = !has_fault_near(all, at, at + cancel_bound_ms);
        const std::int64_t limit = is_calm ? at + cancel_bound_ms
                                           : std::max(at, all.healed_ms) +
                                                 cancel_bound_after_faults_ms;
        for (const execution& item : runs)
        {
            const std::int64_t end = std::min(item.ended_ms, all.finished_ms);
            if (end > limit)
            {
                report(found, "cancelled tasks end",
                       "task {}, job cancelled at {}, faults ended "
                       "at {}: {}",
                       task, at, all.healed_ms, describe(item));
            }
        }
    }
}

// Checks that a host answers the requests in progress before a planned stop.
void check_planned_stops(const evidence& all, std::vector<finding>& found)
{
    for (const cut_call& item : all.cut_calls)
    {
        const auto host = all.stops.find(item.host);
        if (host == all.stops.end())
        {
            continue;
        }
        const bool is_link_faulty =
            std::any_of(all.faults.begin(), all.faults.end(),
                        [&](const fault_window& fault)
                        {
                            return fault.victim == "front-" + item.host &&
                                   fault.begun_ms <= item.closed_ms &&
                                   fault.ended_ms + crossing_ms >= item.sent_ms;
                        });
        const bool is_stopping =
            std::any_of(host->second.begin(), host->second.end(),
                        [&](const planned_stop& stop)
                        {
                            return stop.gone_ms > 0 &&
                                   item.closed_ms >= stop.begun_ms &&
                                   item.sent_ms <= stop.gone_ms &&
                                   item.closed_ms <= stop.gone_ms + crossing_ms;
                        });
        if (is_stopping && !is_link_faulty &&
            item.closed_ms - item.sent_ms >= crossing_ms)
        {
            report(found, "planned stops answer requests",
                   "{} of job {} at {}, sent at {}, lost its connection at {}",
                   item.method, item.job, item.host, item.sent_ms,
                   item.closed_ms);
        }
    }
}

} // namespace

std::vector<finding> judge(const evidence& all)
{
    std::vector<finding> found;
    check_single_runs(all, found);
    check_starts_after_done(all, found);
    check_refused_jobs(all, found);
    check_cancelled(all, found);
    check_planned_stops(all, found);
    for (const auto& [id, job] : all.jobs)
    {
        check_completions(all, *job, found);
        check_order(all, *job, found);
        check_accepted(all, *job, found);
    }
    return found;
}

} // namespace egretspindle::bench
