/// \file
/// Start of a run that waits in the queue of a rack.

#ifndef EGRETSPINDLE_RACK_QUEUED_START_HPP
#define EGRETSPINDLE_RACK_QUEUED_START_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/image_name.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace egretspindle
{

/// Requirements and properties that all tasks of a step share.
struct step_terms
{
    std::string step; ///< `job.occurrence.step`
    std::string text; ///< specification of the job, passed to each task
    std::string service;
    task_size size;
    std::int64_t priority = 0;     ///< 0 comes first
    std::int64_t objective_ms = 0; ///< objective of completion, in Unix time
    /// Unix time of the latest start with which the step and those after it
    /// meet the objective, by their declared durations.
    std::int64_t latest_start_ms = 0;
    std::string required_label;
    std::int64_t max_per_target = 0; ///< 0: no limit
    bool is_gang = false;       ///< its tasks start all together or not at all
    std::int64_t gang_size = 0; ///< number of tasks of a gang
    bool is_long_running = false;
    bool is_checkpointing = false;
    std::int64_t response_target_ms = 0; ///< above 0: serving task
    image_name image; ///< tasks of one image are assumed to interfere alike
    bool uses_idle_cpu = false;  ///< backfill: reserves no processors
    std::int64_t max_absent = 0; ///< tasks that may be stopped at the same time
    // The other members are used only to choose a rack, and are not sent.
    /// Rack that the task was last assigned to, such as one that handed it
    /// back; empty for a new task. Chosen only if no other rack can take the
    /// task.
    std::string earlier_rack;
    /// Racks that have handed back a task of the step within the last 5 s
    /// (`refusal_retention`). Chosen only if no other rack can take the task.
    std::set<std::string> avoided_racks;
    /// Number of tasks of the step that are assigned to each rack.
    std::map<std::string, std::int64_t> tasks_in_rack;
};

/// Visits the fields of `step_terms` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const step_terms* /*tag*/)
{
    visit("step", value.step);
    visit("text", value.text);
    visit("service", value.service);
    visit("cpu_milli", value.size.cpu_milli);
    visit("memory_mb", value.size.memory_mb);
    visit("accelerators", value.size.accelerators);
    visit("priority", value.priority);
    visit("rank_ms", value.objective_ms);
    visit("latest_start_ms", value.latest_start_ms);
    visit("required_label", value.required_label);
    visit("max_per_target", value.max_per_target);
    visit("gang", value.is_gang);
    visit("gang_size", value.gang_size);
    visit("long_running", value.is_long_running);
    visit("checkpointing", value.is_checkpointing);
    visit("response_target_ms", value.response_target_ms);
    visit("image", value.image);
    visit("idle_cpu", value.uses_idle_cpu);
    visit("max_absent", value.max_absent);
}

/// Start of a run that waits for a target.
struct queued_start
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::shared_ptr<const step_terms> terms;
    time_point queued_at;
    /// The start was sent before: an earlier owner of the rack may have started
    /// the run, and its end may be recorded. It waits until the record of the
    /// job has confirmed it.
    bool is_repeated = false;
    /// Value of `rack_state::colocation_changes` when last no target of the
    /// rack could take it; 0: not tried yet. Only targets that have changed
    /// since are considered.
    std::uint64_t refused_at_change = 0;
};

/// Returns the capacity that a task reserves on a target. A backfill task
/// reserves no processors.
[[nodiscard]] inline task_size reservation_of(const step_terms& terms) noexcept
{
    task_size size = terms.size;
    if (terms.uses_idle_cpu)
    {
        size.cpu_milli = 0;
    }
    return size;
}

} // namespace egretspindle

#endif
