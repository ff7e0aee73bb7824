#include "checks.hpp"

#include "request_checks.hpp"
#include "standing_jobs.hpp"
#include "state_checks.hpp"

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
constexpr std::int64_t fault_effect_ms = 12'000;
// A request that was sent less than this before its connection was closed may
// have been in flight at that time.
constexpr std::int64_t in_flight_ms = 200;
// Largest error when times of two processes are compared, since each is rounded
// down to whole milliseconds.
constexpr std::int64_t rounding_ms = 1;

bool has_fault_in_effect(const soak_record& record, std::int64_t from,
                         std::int64_t until)
{
    return std::any_of(record.faults.begin(), record.faults.end(),
                       [&](const fault_window& item)
                       {
                           return item.started_ms <= until &&
                                  item.ended_ms + fault_effect_ms >= from;
                       });
}

// Checks that no two runs of a task overlap.
void check_no_overlapping_runs(const soak_record& record,
                               std::vector<check_failure>& failures)
{
    for (const auto& [task, runs] : record.runs)
    {
        for (std::size_t n = 0; n < runs.size(); ++n)
        {
            for (std::size_t m = n + 1; m < runs.size(); ++m)
            {
                if (runs[m].started_ms < runs[n].ended_ms &&
                    runs[m].ended_ms > runs[m].started_ms)
                {
                    add_failure(failures, "no overlapping runs",
                                "task {}: {}; {}", task, describe(runs[n]),
                                describe(runs[m]));
                }
            }
        }
    }
}

// Checks that no run of a task starts after an end as done that was
// acknowledged then or later.
void check_starts_after_done(const soak_record& record,
                             std::vector<check_failure>& failures)
{
    for (const auto& [task, runs] : record.runs)
    {
        for (const execution& done : runs)
        {
            if (done.outcome != "done" || done.acknowledged_ms == 0)
            {
                continue;
            }
            for (const execution& item : runs)
            {
                if (item.started_ms > done.ended_ms)
                {
                    add_failure(failures, "no start after done",
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
void check_refused_jobs(const soak_record& record,
                        std::vector<check_failure>& failures)
{
    for (const auto& [task, runs] : record.runs)
    {
        const auto it = record.jobs.find(job_of(task));
        if (it == record.jobs.end())
        {
            add_failure(failures, "known jobs only", "task {}: {}", task,
                        describe(runs.front()));
        }
        else if (was_refused_only(*it->second))
        {
            add_failure(failures, "refused jobs never start", "task {}: {}",
                        task, describe(runs.front()));
        }
    }
}

// Returns when a task first ended as done, or `still_running`.
std::int64_t first_done_ms(const soak_record& record, const std::string& task)
{
    std::int64_t result = still_running;
    const auto it = record.runs.find(task);
    if (it != record.runs.end())
    {
        for (const execution& item : it->second)
        {
            if (item.outcome == "done")
            {
                result = std::min(result, item.ended_ms);
            }
        }
    }
    return result;
}

// Checks that a job is reported as completed only after all of its tasks have
// ended as done.
void check_completions(const soak_record& record, const soak_job& job,
                       std::vector<check_failure>& failures)
{
    const auto completed_call = std::find_if(
        job.calls.begin(), job.calls.end(),
        [](const job_call& item) { return item.state == "completed"; });
    if (completed_call == job.calls.end())
    {
        return;
    }
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        for (int n = 0; n < job.steps[step].count; ++n)
        {
            const std::string task = task_name(job.id, step, n);
            if (first_done_ms(record, task) >
                completed_call->answered_ms + rounding_ms)
            {
                add_failure(failures, "completed jobs are done",
                            "task {} had not ended as done when {} reported "
                            "completed at {}",
                            task, completed_call->host,
                            completed_call->answered_ms);
            }
        }
    }
}

// Checks that a step starts only after the steps that it depends on.
void check_order(const soak_record& record, const soak_job& job,
                 std::vector<check_failure>& failures)
{
    for (std::size_t step = 0; step < job.steps.size(); ++step)
    {
        std::int64_t earlier_done = 0;
        for (const int earlier : job.steps[step].after)
        {
            const auto earlier_step = static_cast<std::size_t>(earlier);
            for (int n = 0; n < job.steps[earlier_step].count; ++n)
            {
                earlier_done = std::max(
                    earlier_done,
                    first_done_ms(record, task_name(job.id, earlier_step, n)));
            }
        }
        for (int n = 0; n < job.steps[step].count; ++n)
        {
            const std::string task = task_name(job.id, step, n);
            const auto it = record.runs.find(task);
            if (it != record.runs.end() &&
                it->second.front().started_ms < earlier_done)
            {
                add_failure(failures, "order of steps", "task {}: {}", task,
                            describe(it->second.front()));
            }
        }
    }
}

// Checks that every submission is answered, and that accepted jobs stay known
// and complete.
void check_accepted(const soak_record& record, const soak_job& job,
                    std::vector<check_failure>& failures)
{
    if (job.accepted_ms == 0)
    {
        const bool is_open = !job.is_abandoned && !job.calls.empty();
        if (is_open)
        {
            add_failure(failures, "submissions are answered",
                        "job {} got no final answer in {} "
                        "calls until {} ms after the end of the faults",
                        job.id, job.calls.size(),
                        record.finished_ms - record.faults_ended_ms);
        }
        return;
    }
    for (const job_call& item : job.calls)
    {
        if (item.status == 410 && item.sent_ms >= job.accepted_ms)
        {
            add_failure(
                failures, "accepted jobs are known",
                "job {}, accepted at {}: {} answered at {} to {} with 410",
                job.id, job.accepted_ms, item.host, item.answered_ms,
                item.method);
        }
    }
    const bool has_expected_state =
        job.last_state == "completed" ||
        (job.last_state == "cancelled" && job.cancel_due_ms > 0);
    if (!has_expected_state)
    {
        add_failure(
            failures, "accepted jobs complete",
            "job {}, accepted at {}, had the state '{}' {} ms after the end "
            "of the "
            "faults",
            job.id, job.accepted_ms, job.last_state,
            record.finished_ms - record.faults_ended_ms);
    }
}

// Checks that the runs of a cancelled job end in time.
void check_cancelled(const soak_record& record,
                     std::vector<check_failure>& failures)
{
    for (const auto& [task, runs] : record.runs)
    {
        const auto it = record.jobs.find(job_of(task));
        if (it == record.jobs.end() || it->second->cancelled_ms == 0)
        {
            continue;
        }
        const std::int64_t at = it->second->cancelled_ms;
        const bool is_undisrupted =
            !has_fault_in_effect(record, at, at + cancel_bound_ms);
        const std::int64_t limit = is_undisrupted
                                       ? at + cancel_bound_ms
                                       : std::max(at, record.faults_ended_ms) +
                                             cancel_bound_after_faults_ms;
        for (const execution& item : runs)
        {
            const std::int64_t end =
                std::min(item.ended_ms, record.finished_ms);
            if (end > limit)
            {
                add_failure(failures, "cancelled tasks end",
                            "task {}, job cancelled at {}, faults ended "
                            "at {}: {}",
                            task, at, record.faults_ended_ms, describe(item));
            }
        }
    }
}

// Checks that a host answers the requests in progress before a planned stop.
void check_planned_stops(const soak_record& record,
                         std::vector<check_failure>& failures)
{
    for (const unanswered_call& item : record.unanswered_calls)
    {
        const auto host = record.stops.find(item.host);
        if (host == record.stops.end() || !item.is_closed || !item.was_reused)
        {
            continue;
        }
        const bool is_link_faulty = std::any_of(
            record.faults.begin(), record.faults.end(),
            [&](const fault_window& fault)
            {
                return fault.component == "front-" + item.host &&
                       fault.started_ms <= item.ended_ms &&
                       fault.ended_ms + in_flight_ms >= item.sent_ms;
            });
        const bool is_stopping = std::any_of(
            host->second.begin(), host->second.end(),
            [&](const planned_stop& stop)
            {
                return stop.exited_ms > 0 && item.ended_ms >= stop.started_ms &&
                       item.sent_ms <= stop.exited_ms &&
                       item.ended_ms <= stop.exited_ms + in_flight_ms;
            });
        if (is_stopping && !is_link_faulty &&
            item.ended_ms - item.sent_ms >= in_flight_ms)
        {
            add_failure(
                failures, "planned stops answer requests",
                "{} of job {} at {}, sent at {}, lost its connection at {}",
                item.method, item.job, item.host, item.sent_ms, item.ended_ms);
        }
    }
}

} // namespace

std::vector<check_failure> run_checks(const soak_record& record)
{
    std::vector<check_failure> failures;
    check_no_overlapping_runs(record, failures);
    check_starts_after_done(record, failures);
    check_refused_jobs(record, failures);
    check_cancelled(record, failures);
    check_planned_stops(record, failures);
    check_unanswered_calls(record, failures);
    check_standing_jobs(record, failures);
    check_absent_tasks(record, failures);
    check_shown_states(record, failures);
    for (const auto& [id, job] : record.jobs)
    {
        check_completions(record, *job, failures);
        check_order(record, *job, failures);
        check_accepted(record, *job, failures);
    }
    return failures;
}

} // namespace egretspindle::bench
