/// \file
/// Start that the owner of a rack has been asked for.

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

/// What the tasks of one step have in common.
struct step_terms
{
    std::string step; ///< `job.occurrence.step`
    std::string text; ///< specification of the job, passed to each task
    std::string service;
    task_size size;
    std::int64_t priority = 0;     ///< 0 comes first
    std::int64_t objective_ms = 0; ///< Unix time of the objective
    /// Unix time after which the objective is missed by the declared work.
    std::int64_t latest_start_ms = 0;
    std::string required_label;
    std::int64_t max_per_target = 0; ///< 0: no limit
    bool is_gang = false;
    std::int64_t gang_size = 0;
    bool is_long_running = false;
    bool is_checkpointing = false;
    std::int64_t response_target_ms = 0; ///< above 0: the task serves users
    image_name image;                    ///< tasks of one image behave alike
    bool uses_idle_cpu = false;          ///< does not count against processors
    std::int64_t max_absent = 0;
    // The rest matters only to the choice of a rack, and is not sent.
    std::string earlier_rack; ///< of an earlier run, which goes elsewhere now
    std::set<std::string> avoided_racks; ///< handed a task back lately
    /// Tasks of the step that are assigned to each rack.
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

/// One run that waits for a target.
struct queued_start
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::shared_ptr<const step_terms> terms;
    time_point queued_at;
    /// Was sent before: an earlier owner of the rack may have started it, and
    /// its end may be recorded. It starts once the record has confirmed it.
    bool is_repeated = false;
    /// Value of `rack_state::mix_changes` when all targets of the rack had
    /// refused it. Only targets that have changed since can take it.
    std::uint64_t refused_at_change = 0;
};

/// Returns the room that a task takes on a target.
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
