/// \file
/// Co-location of backfill tasks with serving tasks on one target.
///
/// A serving task answers requests of users and has a response-time target. A
/// backfill task reserves no processors and uses idle ones
/// (`step_terms::uses_idle_cpu`).

#ifndef EGRETSPINDLE_RACK_INTERFERENCE_HPP
#define EGRETSPINDLE_RACK_INTERFERENCE_HPP

#include "egretspindle/rack/colocation_summary.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Subtracts the headroom that `cores` of a backfill image are expected to
/// take from the spare headroom of each serving image.
void subtract_spare_headroom(colocation_summary& colocation,
                             const interference_model& model,
                             const image_name& backfill, double cores);

/// Returns the idle processors of a target, in thousandths of a core. Negative
/// when backfill tasks want more than is idle.
///
/// \param room  capacity of the target that no task has reserved
[[nodiscard]] std::int64_t idle_cpu(const colocation_summary& colocation,
                                    const task_size& room) noexcept;

/// Summarizes the tasks of a target. The effect of backfill tasks is
/// predicted by the model, since reported response times do not include the
/// most recent starts yet.
[[nodiscard]] colocation_summary
summarize_colocation(const rack_target& target,
                     const interference_model& model);

/// Returns whether tasks of a step take much headroom from any serving task of
/// a target.
[[nodiscard]] bool is_harmful(const step_terms& terms,
                              const colocation_summary& colocation,
                              const interference_model& model);

/// Why a target cannot take a backfill task.
enum class backfill_rejection
{
    none,
    processors, ///< too few processors are idle
    reserved,   ///< for a waiting start whose image suits fewer targets
    headroom,   ///< a serving task would come near its response-time target
};

/// Returns the first reason why a target cannot take a backfill task.
///
/// \param room  capacity of the target that no task has reserved
[[nodiscard]] backfill_rejection
find_backfill_rejection(const colocation_summary& colocation,
                        const step_terms& terms, const task_size& room,
                        const interference_model& model);

/// Returns whether a target can take a backfill task.
[[nodiscard]] bool can_take_backfill(const colocation_summary& colocation,
                                     const step_terms& terms,
                                     const task_size& room,
                                     const interference_model& model);

/// Rates a target for a backfill task; higher is better.
///
/// Targets where the task harms no serving task come first, and among these
/// the ones that suit the fewest images with few suitable targets. Without the
/// second rule an image that harms four of five serving images queued for 25 s,
/// since other images filled the targets that suit it.
[[nodiscard]] std::int64_t
rate_backfill_target(const colocation_summary& colocation,
                     const step_terms& terms, const task_size& room,
                     const interference_model& model);

/// Updates the model and the averages of a target from the load that the target
/// reported for its tasks.
void observe_target(rack_target& target, interference_model& model,
                    time_point now);

/// Order to change the speed of a backfill task.
struct pace_change
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100; ///< of full speed
};

/// Slows backfill tasks while they harm a serving task, and speeds them up
/// again when its response times have recovered.
[[nodiscard]] std::vector<pace_change>
decide_pace(rack_target& target, const interference_model& model,
            time_point now);

/// Selects backfill runs to stop because they have been slowed so far that
/// they would finish earlier on another target. Marks them as stopping.
[[nodiscard]] std::vector<run_id> decide_evictions(rack_target& target,
                                                   time_point now);

} // namespace egretspindle

#endif
