/// \file
/// Request to start a run, queued at a rack.

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

/// Requirements of the tasks of a step, and inputs for choosing a rack.
struct step_terms
{
    /// Full name of the step: id of the job, number of its scheduled occurrence
    /// and number of the step, joined by dots.
    std::string step;
    std::string text;    ///< specification of the job, passed to each task
    std::string service; ///< pool whose targets may run the tasks
    task_size size;
    std::int64_t priority = 0; ///< 0 comes first
    /// Time by which the job should be complete, as Unix time in ms.
    std::int64_t objective_ms = 0;
    /// Latest start, as Unix time in ms, with which the job can still meet the
    /// objective: `objective_ms` minus the declared duration of its longest
    /// chain of steps that are not done.
    std::int64_t latest_start_ms = 0;
    std::string required_label;
    std::int64_t max_per_target = 0; ///< 0: no limit
    bool is_gang = false; ///< its tasks start all together or not at all
    /// Number of tasks of a gang that run in this rack.
    std::int64_t gang_size = 0;
    bool is_part_of_gang = false; ///< other tasks of the gang run elsewhere
    bool is_long_running = false;
    bool is_checkpointing = false;
    /// Objective for the tail latency of the requests that a serving task
    /// answers, in ms; 0 for other tasks.
    std::int64_t response_target_ms = 0;
    /// Container image. Tasks with the same image are assumed to cause and
    /// suffer the same interference.
    image_name image;
    bool uses_idle_cpu = false; ///< backfill: reserves no processors
    /// Number of tasks of the step that may be stopped at the same time; not
    /// enforced.
    std::int64_t max_absent = 0;
    // The members below are used only to choose a rack, and are not part of the
    // message to the owner of the rack.
    /// A gang that a rack has handed back may be split among racks even if one
    /// may have room for it later.
    bool prefers_split_gang = false;
    /// Rack that the first of the tasks to assign was last assigned to, for
    /// example one whose owner handed it back unstarted because another rack
    /// had free capacity; empty for a new task. Chosen only if no other rack
    /// can take the task.
    std::string earlier_rack;
    /// Racks whose owners reported within the last 5 s that a run of the step
    /// was not started, for example because they handed it back
    /// (`rack_avoidance_period` in `job_coordinator_runs.cpp`). Chosen only if
    /// no other rack can take the task.
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
    visit("gang_part", value.is_part_of_gang);
    visit("long_running", value.is_long_running);
    visit("checkpointing", value.is_checkpointing);
    visit("response_target_ms", value.response_target_ms);
    visit("image", value.image);
    visit("idle_cpu", value.uses_idle_cpu);
    visit("max_absent", value.max_absent);
}

/// Request to start a run, which waits for a target.
struct queued_start
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::shared_ptr<const step_terms> terms;
    time_point queued_at;
    /// When the task began to wait: at the end of its last run, or when it
    /// became due. Not changed by moves to another rack. {}: `queued_at`.
    time_point waiting_since;
    /// The owner of the job may have sent this request before, so the run may
    /// have been started, and its end may be recorded. The request is held
    /// until the record of the job confirms that the run is still to be
    /// started.
    bool is_repeated = false;
    /// The owner of its job has asked for it: nothing of the job is at work, or
    /// the task is long-running. See `place_starts` and `hand_back`.
    bool is_overdue = false;
    /// Value of `rack_state::colocation_changes` at the last attempt to place
    /// the run, which found no suitable target; 0 before the first attempt. The
    /// next attempt waits until a target has changed since, and considers only
    /// such targets; for a gang, it considers all.
    std::uint64_t refused_at_change = 0;
};

/// Returns since when the task of a start has waited, through all racks.
[[nodiscard]] inline time_point waits_since(const queued_start& start) noexcept
{
    return start.waiting_since == time_point{} ? start.queued_at
                                               : start.waiting_since;
}

/// Returns for how long the task of a start has waited, through all racks.
[[nodiscard]] inline milliseconds waited(const queued_start& start,
                                         time_point now) noexcept
{
    return std::chrono::duration_cast<milliseconds>(now - waits_since(start));
}

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
