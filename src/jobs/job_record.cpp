#include "egretspindle/jobs/job_record.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/jobs/job_machine.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace egretspindle
{

namespace
{

/// State of a job, encoded as the first line of its record.
struct record_state
{
    std::string queue;
    /// At most one entry; none: not known, or the job has ended.
    std::vector<queue_terms> terms;
    std::string outcome;
    std::int64_t accepted_ms = 0;
    std::int64_t ended_ms = 0;
    bool has_started = false;
    std::vector<std::string> racks; ///< referenced by index in `tasks`
    /// Tasks by occurrence and step. A text per step lists each task as the
    /// letter of its phase followed by `run.failures.rack` and a space.
    std::vector<std::vector<std::string>> tasks;
    /// `job_task::last_failed_run` of gangs, by `occurrence.step.0`.
    std::map<std::string, std::int64_t> failed_runs;
    /// By `occurrence.step.index`.
    std::map<std::string, std::string> checkpoints;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const record_state* /*tag*/)
{
    visit("queue", value.queue);
    visit("terms", value.terms);
    visit("outcome", value.outcome);
    visit("accepted_ms", value.accepted_ms);
    visit("ended_ms", value.ended_ms);
    visit("started", value.has_started);
    visit("racks", value.racks);
    visit("tasks", value.tasks);
    visit("failed_runs", value.failed_runs);
    visit("checkpoints", value.checkpoints);
}

std::size_t find_or_add_rack(std::vector<std::string>& racks,
                             const std::string& rack)
{
    const auto it = std::find(racks.begin(), racks.end(), rack);
    if (it != racks.end())
    {
        return static_cast<std::size_t>(it - racks.begin());
    }
    racks.push_back(rack);
    return racks.size() - 1;
}

std::string encode_tasks(const std::vector<job_task>& tasks,
                         std::vector<std::string>& racks)
{
    std::string text;
    for (const job_task& task : tasks)
    {
        text +=
            fmt::format("{}{}.{}.{} ", static_cast<char>(task.phase), task.run,
                        task.failures, find_or_add_rack(racks, task.rack));
    }
    return text;
}

// Parses the number before the first `terminator` of `text` and removes both.
bool parse_number(std::string_view& text, char terminator, std::int64_t& number)
{
    const std::size_t end = text.find(terminator);
    if (end == std::string_view::npos)
    {
        return false;
    }
    const auto [last, ec] =
        std::from_chars(text.data(), text.data() + end, number);
    const bool is_number = ec == std::errc() && last == text.data() + end;
    text.remove_prefix(end + 1);
    return is_number;
}

bool decode_tasks(std::string_view text, const std::vector<std::string>& racks,
                  std::vector<job_task>& tasks)
{
    constexpr std::string_view phases = "wadf";
    while (!text.empty())
    {
        job_task task;
        if (phases.find(text.front()) == std::string_view::npos)
        {
            return false;
        }
        task.phase = static_cast<job_task_phase>(text.front());
        text.remove_prefix(1);
        std::int64_t rack = 0;
        if (!parse_number(text, '.', task.run) ||
            !parse_number(text, '.', task.failures) ||
            !parse_number(text, ' ', rack) || rack < 0 ||
            static_cast<std::size_t>(rack) >= racks.size())
        {
            return false;
        }
        task.rack = racks[static_cast<std::size_t>(rack)];
        tasks.push_back(std::move(task));
    }
    return true;
}

absl::Status malformed_record(const std::string& id)
{
    return make_error(error_kind::invalid_argument,
                      "the record of job " + id +
                          " is malformed; remove the row or restore it");
}

bool decode_outcome(const std::string& name, job_outcome& outcome)
{
    for (const job_outcome item : {job_outcome::open, job_outcome::completed,
                                   job_outcome::failed, job_outcome::cancelled})
    {
        if (to_string(item) == name)
        {
            outcome = item;
            return true;
        }
    }
    return false;
}

// Returns whether a task has a checkpoint that a later run may start from.
bool may_resume(const job& value, const job_task& task)
{
    return !task.checkpoint.empty() && value.outcome == job_outcome::open &&
           task.phase != job_task_phase::done;
}

// Returns the task with a name of the form `occurrence.step.index`, or null.
job_task* find_named_task(job& value, const std::string& name)
{
    const std::optional<task_key> key =
        parse_task_key(fmt::format("{}.{}", value.id, name));
    if (!key || find_task(value, *key) == nullptr)
    {
        return nullptr;
    }
    return &value.occurrences[key->occurrence].steps[key->step][key->index];
}

bool matches_spec(const job& value)
{
    return std::all_of(
        value.occurrences.begin(), value.occurrences.end(),
        [&value](const occurrence_state& state)
        {
            if (state.steps.size() != value.spec.steps.size())
            {
                return false;
            }
            for (std::size_t n = 0; n < state.steps.size(); ++n)
            {
                if (static_cast<std::int64_t>(state.steps[n].size()) !=
                    value.spec.steps[n].count)
                {
                    return false;
                }
            }
            return true;
        });
}

} // namespace

std::string encode_spec(const job_spec& spec)
{
    return to_json(spec);
}

std::size_t min_record_bytes(const job_spec& spec)
{
    // A task is at least `w0.0.0 `.
    constexpr std::size_t task_bytes = 7;
    std::size_t tasks = 0;
    for (const step_spec& step : spec.steps)
    {
        tasks += static_cast<std::size_t>(step.count);
    }
    const std::size_t occurrences =
        static_cast<std::size_t>(std::max<std::int64_t>(1, spec.repeat_count));
    return encode_spec(spec).size() + occurrences * tasks * task_bytes;
}

std::string encode_job(const job& value, std::string_view encoded_spec)
{
    record_state state;
    state.queue = value.queue;
    state.outcome = std::string(to_string(value.outcome));
    state.accepted_ms = value.accepted_ms;
    state.ended_ms = value.ended_ms;
    state.has_started = value.has_started;
    const bool is_finished =
        value.outcome != job_outcome::open && assigned_runs(value).empty();
    if (is_finished)
    {
        return to_json(state);
    }
    if (!value.terms.service.empty())
    {
        state.terms = {value.terms};
    }
    for (std::size_t k = 0; k < value.occurrences.size(); ++k)
    {
        state.tasks.emplace_back();
        const occurrence_state& occurrence = value.occurrences[k];
        for (std::size_t n = 0; n < occurrence.steps.size(); ++n)
        {
            const std::vector<job_task>& tasks = occurrence.steps[n];
            state.tasks.back().push_back(encode_tasks(tasks, state.racks));
            for (std::size_t i = 0; i < tasks.size(); ++i)
            {
                if (tasks[i].last_failed_run > 0)
                {
                    state.failed_runs[fmt::format("{}.{}.{}", k, n, i)] =
                        tasks[i].last_failed_run;
                }
                if (may_resume(value, tasks[i]))
                {
                    state.checkpoints[fmt::format("{}.{}.{}", k, n, i)] =
                        tasks[i].checkpoint;
                }
            }
        }
    }
    return fmt::format("{}\n{}", to_json(state), encoded_spec);
}

absl::StatusOr<job> decode_job(const std::string& id, std::string_view text)
{
    const std::size_t newline = text.find('\n');
    const absl::StatusOr<record_state> state =
        from_json<record_state>(text.substr(0, newline));
    job value;
    value.id = id;
    if (!state.ok() || !decode_outcome(state->outcome, value.outcome))
    {
        return malformed_record(id);
    }
    value.queue = state->queue;
    if (!state->terms.empty())
    {
        value.terms = state->terms.front();
    }
    value.accepted_ms = state->accepted_ms;
    value.ended_ms = state->ended_ms;
    value.has_started = state->has_started;
    if (newline == std::string_view::npos)
    {
        return value;
    }
    absl::StatusOr<job_spec> spec =
        from_json<job_spec>(text.substr(newline + 1));
    if (!spec.ok())
    {
        return malformed_record(id);
    }
    value.spec = *std::move(spec);
    for (const std::vector<std::string>& steps : state->tasks)
    {
        occurrence_state& occurrence = value.occurrences.emplace_back();
        for (const std::string& tasks : steps)
        {
            if (!decode_tasks(tasks, state->racks,
                              occurrence.steps.emplace_back()))
            {
                return malformed_record(id);
            }
        }
    }
    if (!matches_spec(value))
    {
        return malformed_record(id);
    }
    for (const auto& [name, run] : state->failed_runs)
    {
        job_task* task = find_named_task(value, name);
        if (task == nullptr)
        {
            return malformed_record(id);
        }
        task->last_failed_run = run;
    }
    for (const auto& [name, checkpoint] : state->checkpoints)
    {
        job_task* task = find_named_task(value, name);
        if (task == nullptr)
        {
            return malformed_record(id);
        }
        task->checkpoint = checkpoint;
    }
    return value;
}

} // namespace egretspindle
