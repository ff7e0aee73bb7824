// Gauges of jobs that stand still.

#include "job_coordinator_impl.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Limits that users state: a job may have nothing at work for 3 s while there
// is room, a long-running task may be away for 6 s.
constexpr milliseconds idle_limit{3'000};
constexpr milliseconds away_limit{6'000};

bool is_any_at_work(const job_entry& entry)
{
    return std::any_of(entry.sent.begin(), entry.sent.end(),
                       [](const auto& item) { return item.second.is_at_work; });
}

bool is_any_confirmed(const job_entry& entry)
{
    return std::any_of(entry.sent.begin(), entry.sent.end(),
                       [](const auto& item)
                       { return item.second.confirmed_token != 0; });
}

bool is_long_running(const job& value, const std::string& task)
{
    const std::optional<task_key> key = parse_task_key(task);
    return key && value.spec.steps[key->step].is_long_running;
}

// Adds the long-running tasks of a job that are not at work.
void add_away(idle_counts& counts, job_entry& entry,
              const std::vector<due_step>& due, time_point now)
{
    const auto add = [&](time_point since)
    {
        ++counts.away;
        counts.long_away += now - since > away_limit ? 1 : 0;
    };
    for (const auto& [task, since] : entry.waiting_since)
    {
        if (is_long_running(entry.value, task))
        {
            add(since);
        }
    }
    bool is_unassigned = false;
    for (const due_step& step : due)
    {
        if (!entry.value.spec.steps[step.step].is_long_running)
        {
            continue;
        }
        for (const std::size_t index : step.tasks)
        {
            const task_key key{entry.value.id, step.occurrence, step.step,
                               index};
            if (entry.waiting_since.count(to_string(key)) == 0)
            {
                // No rack has taken the task yet.
                is_unassigned = true;
                entry.unassigned_since = entry.unassigned_since == time_point{}
                                             ? now
                                             : entry.unassigned_since;
                add(entry.unassigned_since);
            }
        }
    }
    entry.unassigned_since =
        is_unassigned ? entry.unassigned_since : time_point{};
}

} // namespace

// Returns what a job without a task at work waits for. Assigned runs whose
// queue has been removed since are not sent.
idle_reason
job_coordinator::impl::find_idle_reason(const job_entry& entry) const
{
    if (is_any_confirmed(entry))
    {
        return idle_reason::rack;
    }
    if (!max_attempts(entry.value))
    {
        return idle_reason::no_queue;
    }
    return entry.sent.empty() ? idle_reason::no_target : idle_reason::order;
}

// Sets the gauges of jobs without a task at work and of absent long-running
// tasks. Called in every tick, which bounds the error of the times.
void job_coordinator::impl::set_idle_gauges(time_point now)
{
    idle_counts counts;
    for (const auto& [id, entry] : jobs)
    {
        const job& value = entry->value;
        const bool is_open = value.outcome == job_outcome::open;
        const bool has_long_running = is_open && has_long_running_step(value);
        const bool is_at_work = is_any_at_work(*entry);
        std::vector<due_step> due;
        if (has_long_running || (is_open && !is_at_work && entry->sent.empty()))
        {
            due = due_steps(value);
        }
        if (has_long_running)
        {
            add_away(counts, *entry, due, now);
        }
        if (!is_open || is_at_work || (entry->sent.empty() && due.empty()))
        {
            entry->idle_since = {};
            continue;
        }
        if (entry->idle_since == time_point{})
        {
            entry->idle_since = now;
        }
        if (now - entry->idle_since > idle_limit)
        {
            const idle_reason reason = find_idle_reason(*entry);
            const auto n = static_cast<std::size_t>(reason);
            ++counts.jobs[n];
            counts.longest_ms[n] = std::max(counts.longest_ms[n],
                                            elapsed_ms(entry->idle_since, now));
        }
    }
    metrics.set_idle(counts);
}

} // namespace egretspindle
