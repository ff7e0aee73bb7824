/// \file
/// Specification of one step of a job.

#ifndef EGRETSPINDLE_JOBS_STEP_SPEC_HPP
#define EGRETSPINDLE_JOBS_STEP_SPEC_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Identical tasks, with the resources and placement constraints of each.
struct step_spec
{
    std::int64_t count = 1;          ///< number of tasks
    std::int64_t cpu_milli = 0;      ///< thousandths of a core, per task
    std::int64_t memory_mb = 0;      ///< per task
    std::int64_t accelerators = 0;   ///< per task
    std::int64_t estimate_ms = 0;    ///< declared duration of a task
    std::vector<std::int64_t> after; ///< indices of steps to be done first
    bool is_checkpointing = false;   ///< tasks save their progress
    bool is_gang = false;            ///< tasks run only all at the same time
    /// Tasks are slower when spread across racks. Stored with the job, but not
    /// used for the choice of racks.
    bool is_rack_local = false;
    std::string required_label; ///< label of the target; empty: any target
    std::string data_rack;      ///< rack of the input data, slower elsewhere
    std::int64_t max_per_target = 0; ///< tasks per target; 0: no limit
    /// A task may have several copies, of which the first to end counts.
    /// Stored with the job, but the scheduler makes no copies.
    bool allows_copies = false;
    bool is_long_running = false; ///< restarted until the job is cancelled
    std::string image;            ///< tasks of one image use resources alike
    /// Objective for the tail latency of requests that a task serves, in ms; 0:
    /// none.
    std::int64_t response_target_ms = 0;
    /// Tasks use only processor time that others leave idle.
    bool uses_idle_cpu = false;
    /// Tasks that may be stopped at the same time. Passed on in the terms of
    /// the step, but not enforced.
    std::int64_t max_absent = 0;
};

/// Visits the fields of `step_spec` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const step_spec* /*tag*/)
{
    visit("count", value.count);
    visit("cpu_milli", value.cpu_milli);
    visit("memory_mb", value.memory_mb);
    visit("accelerators", value.accelerators);
    visit("estimate_ms", value.estimate_ms);
    visit("after", value.after);
    visit("checkpointing", value.is_checkpointing);
    visit("gang", value.is_gang);
    visit("rack_local", value.is_rack_local);
    visit("required_label", value.required_label);
    visit("data_rack", value.data_rack);
    visit("max_per_target", value.max_per_target);
    visit("copies", value.allows_copies);
    visit("long_running", value.is_long_running);
    visit("image", value.image);
    visit("response_target_ms", value.response_target_ms);
    visit("idle_cpu", value.uses_idle_cpu);
    visit("max_absent", value.max_absent);
}

} // namespace egretspindle

#endif
