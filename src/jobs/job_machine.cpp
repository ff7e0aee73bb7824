#include "egretspindle/jobs/job_machine.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

std::int64_t occurrence_count(const job_spec& spec)
{
    return std::max<std::int64_t>(1, spec.repeat_count);
}

occurrence_state make_occurrence(const job_spec& spec)
{
    occurrence_state state;
    state.steps.reserve(spec.steps.size());
    for (const step_spec& step : spec.steps)
    {
        state.steps.emplace_back(static_cast<std::size_t>(step.count));
    }
    return state;
}

bool is_step_done(const std::vector<job_task>& tasks)
{
    return std::all_of(tasks.begin(), tasks.end(),
                       [](const job_task& task)
                       { return task.phase == job_task_phase::done; });
}

bool is_step_ready(const step_spec& step, const occurrence_state& state)
{
    return std::all_of(step.after.begin(), step.after.end(),
                       [&state](std::int64_t earlier) {
                           return is_step_done(
                               state.steps[static_cast<std::size_t>(earlier)]);
                       });
}

std::vector<std::size_t> waiting_tasks(const std::vector<job_task>& tasks)
{
    std::vector<std::size_t> waiting;
    for (std::size_t n = 0; n < tasks.size(); ++n)
    {
        if (tasks[n].phase == job_task_phase::waiting)
        {
            waiting.push_back(n);
        }
    }
    return waiting;
}

job_task* find_mutable_task(job& value, const task_key& key)
{
    return const_cast<job_task*>(find_task(value, key));
}

bool is_job_done(const job& value)
{
    if (static_cast<std::int64_t>(value.occurrences.size()) <
        occurrence_count(value.spec))
    {
        return false;
    }
    for (const occurrence_state& occurrence : value.occurrences)
    {
        if (!std::all_of(occurrence.steps.begin(), occurrence.steps.end(),
                         is_step_done))
        {
            return false;
        }
    }
    return true;
}

void close_job(job& value, job_outcome outcome, std::int64_t now_ms)
{
    value.outcome = outcome;
    value.ended_ms = now_ms;
}

// A gang is done as a whole once any member is done.
void mark_gang_done(std::vector<job_task>& tasks)
{
    for (job_task& task : tasks)
    {
        task.phase = job_task_phase::done;
    }
}

// Counts a run that ended as `failed`. A gang fails as a whole: its failures
// are counted at its first member, and several members may fail in one run.
// Returns the number of failures so far.
std::int64_t count_failure(std::vector<job_task>& tasks, std::size_t index,
                           bool is_gang)
{
    if (!is_gang)
    {
        return ++tasks[index].failures;
    }
    job_task& first = tasks.front();
    const std::int64_t run = tasks[index].run;
    if (first.last_failed_run != run)
    {
        first.last_failed_run = run;
        ++first.failures;
    }
    return first.failures;
}

// Saves a checkpoint. All members of a gang resume from the same one.
void save_checkpoint(std::vector<job_task>& tasks, std::size_t index,
                     bool is_gang, const std::string& checkpoint)
{
    if (checkpoint.empty())
    {
        return;
    }
    if (!is_gang)
    {
        tasks[index].checkpoint = checkpoint;
        return;
    }
    for (job_task& task : tasks)
    {
        task.checkpoint = checkpoint;
    }
}

// Returns the largest sum of declared durations, in ms, along a chain of
// dependent steps. Only steps that the predicate selects are added.
template <typename Predicate>
std::int64_t longest_chain_ms(const job_spec& spec, Predicate is_included)
{
    std::int64_t longest = 0;
    std::vector<std::int64_t> chain(spec.steps.size(), 0);
    for (std::size_t n = 0; n < spec.steps.size(); ++n)
    {
        for (const std::int64_t earlier : spec.steps[n].after)
        {
            chain[n] =
                std::max(chain[n], chain[static_cast<std::size_t>(earlier)]);
        }
        if (is_included(n))
        {
            chain[n] += spec.steps[n].estimate_ms;
        }
        longest = std::max(longest, chain[n]);
    }
    return longest;
}

} // namespace

job make_job(std::string id, std::string queue, job_spec spec,
             std::int64_t now_ms)
{
    job value;
    value.id = std::move(id);
    value.queue = std::move(queue);
    value.spec = std::move(spec);
    value.accepted_ms = now_ms;
    add_due_occurrences(value, now_ms);
    return value;
}

bool add_due_occurrences(job& value, std::int64_t now_ms)
{
    bool is_added = false;
    while (value.outcome == job_outcome::open &&
           static_cast<std::int64_t>(value.occurrences.size()) <
               occurrence_count(value.spec))
    {
        const auto next = static_cast<std::int64_t>(value.occurrences.size());
        if (value.spec.repeat_count > 0 &&
            now_ms < value.spec.start_at_ms + next * value.spec.interval_ms)
        {
            break;
        }
        value.occurrences.push_back(make_occurrence(value.spec));
        is_added = true;
    }
    return is_added;
}

std::vector<due_step> due_steps(const job& value)
{
    std::vector<due_step> due;
    if (value.outcome != job_outcome::open)
    {
        return due;
    }
    for (std::size_t k = 0; k < value.occurrences.size(); ++k)
    {
        const occurrence_state& state = value.occurrences[k];
        for (std::size_t n = 0; n < state.steps.size(); ++n)
        {
            const step_spec& step = value.spec.steps[n];
            std::vector<std::size_t> tasks = waiting_tasks(state.steps[n]);
            const bool is_incomplete_gang =
                step.is_gang && tasks.size() != state.steps[n].size();
            if (tasks.empty() || is_incomplete_gang ||
                !is_step_ready(step, state))
            {
                continue;
            }
            due.push_back({k, n, std::move(tasks)});
        }
    }
    return due;
}

std::int64_t assign_run(job& value, const task_key& key, std::string rack)
{
    job_task* task = find_mutable_task(value, key);
    task->phase = job_task_phase::assigned;
    task->rack = std::move(rack);
    return ++task->run;
}

end_effect end_run(job& value, const task_key& key, std::int64_t run,
                   run_end how, const std::string& checkpoint,
                   std::optional<std::int64_t> max_attempts,
                   std::int64_t now_ms)
{
    job_task* task = find_mutable_task(value, key);
    if (task == nullptr || run > task->run)
    {
        return end_effect::unrecorded;
    }
    if (run < task->run || task->phase != job_task_phase::assigned)
    {
        return end_effect::none;
    }
    const step_spec& step = value.spec.steps[key.step];
    std::vector<job_task>& tasks =
        value.occurrences[key.occurrence].steps[key.step];
    const bool is_final_end = how == run_end::done && !step.is_long_running;
    task->phase = is_final_end ? job_task_phase::done : job_task_phase::waiting;
    if (is_final_end && step.is_gang)
    {
        mark_gang_done(tasks);
    }
    if (step.is_checkpointing && !is_final_end)
    {
        save_checkpoint(tasks, key.index, step.is_gang, checkpoint);
    }
    if (how == run_end::failed && !step.is_long_running)
    {
        const std::int64_t failures =
            count_failure(tasks, key.index, step.is_gang);
        if (max_attempts && failures >= *max_attempts)
        {
            task->phase = job_task_phase::failed;
            if (value.outcome == job_outcome::open)
            {
                close_job(value, job_outcome::failed, now_ms);
            }
        }
    }
    if (value.outcome == job_outcome::open && is_job_done(value))
    {
        close_job(value, job_outcome::completed, now_ms);
    }
    return end_effect::changed;
}

bool apply_attempt_limit(job& value, std::int64_t max_attempts,
                         std::int64_t now_ms)
{
    if (value.outcome != job_outcome::open)
    {
        return false;
    }
    for (occurrence_state& occurrence : value.occurrences)
    {
        for (std::size_t n = 0; n < occurrence.steps.size(); ++n)
        {
            for (job_task& task : occurrence.steps[n])
            {
                const bool is_exhausted =
                    !value.spec.steps[n].is_long_running &&
                    task.phase == job_task_phase::waiting &&
                    task.failures >= max_attempts;
                if (is_exhausted)
                {
                    task.phase = job_task_phase::failed;
                    close_job(value, job_outcome::failed, now_ms);
                    return true;
                }
            }
        }
    }
    return false;
}

bool cancel_job(job& value, std::int64_t now_ms)
{
    if (value.outcome != job_outcome::open)
    {
        return false;
    }
    close_job(value, job_outcome::cancelled, now_ms);
    return true;
}

std::vector<assigned_run> assigned_runs(const job& value)
{
    std::vector<assigned_run> runs;
    for (std::size_t k = 0; k < value.occurrences.size(); ++k)
    {
        const occurrence_state& state = value.occurrences[k];
        for (std::size_t n = 0; n < state.steps.size(); ++n)
        {
            for (std::size_t i = 0; i < state.steps[n].size(); ++i)
            {
                const job_task& task = state.steps[n][i];
                if (task.phase == job_task_phase::assigned)
                {
                    runs.push_back({{value.id, k, n, i}, task.run, task.rack});
                }
            }
        }
    }
    return runs;
}

const job_task* find_task(const job& value, const task_key& key)
{
    if (key.occurrence >= value.occurrences.size())
    {
        return nullptr;
    }
    const occurrence_state& state = value.occurrences[key.occurrence];
    if (key.step >= state.steps.size() ||
        key.index >= state.steps[key.step].size())
    {
        return nullptr;
    }
    return &state.steps[key.step][key.index];
}

std::int64_t remaining_chain_ms(const job& value)
{
    std::int64_t longest = 0;
    for (const occurrence_state& state : value.occurrences)
    {
        longest = std::max(
            longest,
            longest_chain_ms(value.spec, [&state](std::size_t step)
                             { return !is_step_done(state.steps[step]); }));
    }
    return longest;
}

std::int64_t total_chain_ms(const job& value)
{
    return longest_chain_ms(value.spec, [](std::size_t) { return true; });
}

std::string_view to_string(job_outcome value) noexcept
{
    switch (value)
    {
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::cancelled:
        return "cancelled";
    case job_outcome::open:
        break;
    }
    return "open";
}

std::string_view state_name(const job& value) noexcept
{
    if (value.outcome == job_outcome::open)
    {
        return value.has_started ? "running" : "queued";
    }
    return to_string(value.outcome);
}

} // namespace egretspindle
