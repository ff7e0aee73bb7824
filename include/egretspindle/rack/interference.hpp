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
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Reduces the spare headroom of each serving image of a target by the headroom
/// that it is expected to lose to `cores` of a backfill image.
void subtract_spare_headroom(colocation_summary& colocation,
                             const interference_model& model,
                             const image_name& backfill, double cores);

/// Returns the processors of a target that further backfill tasks can use, in
/// thousandths of a core: those that are not reserved or not used, less those
/// of the placed backfill tasks. Negative when these want more.
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

/// Returns whether tasks of a step harm any serving task of a target; see
/// `is_harmful_pair`.
[[nodiscard]] bool is_harmful(const step_terms& terms,
                              const colocation_summary& colocation,
                              const interference_model& model);

/// Why a target cannot take a backfill task.
enum class backfill_rejection
{
    none,
    processors, ///< too few processors are idle
    reserved, ///< for waiting starts of an image that harms more serving images
    headroom, ///< a serving task would keep less than `min_serving_headroom`,
              ///< or less than that plus `harmful_margin` if it is harmed
};

/// Returns the first reason why a target cannot take a backfill task.
///
/// \param room  capacity of the target that no task has reserved
[[nodiscard]] backfill_rejection
find_backfill_rejection(const colocation_summary& colocation,
                        const step_terms& terms, const task_size& room,
                        const interference_model& model);

/// Headroom that a backfill task has to find at the tasks of a serving image.
struct headroom_check
{
    image_name serving;  ///< image of the serving tasks
    double required = 0; ///< expected drop, and the margin of a harmful pair
    double spare = 0;    ///< see `colocation_summary::spare_headroom`
};

/// Returns the headroom that would be left over; negative if it does not
/// suffice.
[[nodiscard]] inline double surplus_of(const headroom_check& item) noexcept
{
    return item.spare - item.required;
}

/// Returns the check of the serving image that lacks the most headroom for a
/// backfill task, or has the least left over; no value without serving tasks.
[[nodiscard]] std::optional<headroom_check>
find_tightest_headroom(const colocation_summary& colocation,
                       const step_terms& terms,
                       const interference_model& model);

/// Returns whether a target can take a backfill task.
[[nodiscard]] bool can_take_backfill(const colocation_summary& colocation,
                                     const step_terms& terms,
                                     const task_size& room,
                                     const interference_model& model);

/// Rates a target for a backfill task; higher is better.
///
/// Targets where the task harms no serving task come first, and among these the
/// ones with the lowest `colocation_summary::scarcity`. Without the second
/// rule, other images fill the few targets that suit an image which harms four
/// of five serving images, and its starts queue for up to 25 s.
[[nodiscard]] std::int64_t
rate_backfill_target(const colocation_summary& colocation,
                     const step_terms& terms, const task_size& room,
                     const interference_model& model);

/// Updates the model and the averages of a target from the load that the target
/// reported for its tasks. Has no effect within 200 ms (`min_observation`) of
/// the previous call that had one.
void observe_target(rack_target& target, interference_model& model,
                    time_point now);

/// Order to change the speed of a backfill task.
struct pace_change
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100; ///< new speed limit in percent of full speed
};

/// Slows or stops backfill tasks while a serving task of the target misses its
/// response-time target or is about to, and speeds them up again when its
/// headroom has recovered. Only harmful tasks are slowed; a miss that lasts
/// longer than `max_miss_of_all` (2 s) stops all. Changes a target at most
/// every 0.7 s.
///
/// \returns the orders to send; the new speed limits are already stored in the
///          runs
[[nodiscard]] std::vector<pace_change>
decide_pace(rack_target& target, const interference_model& model,
            time_point now);

/// Selects backfill runs to stop because they have been slowed to 25% or less
/// for so long (1.5 s with checkpoints, 4 s without) that they would finish
/// earlier on another target. Marks them as stopping.
[[nodiscard]] std::vector<run_id> decide_evictions(rack_target& target,
                                                   time_point now);

} // namespace egretspindle

#endif
