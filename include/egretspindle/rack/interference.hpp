/// \file
/// Tasks that use idle processors beside tasks that serve users.

#ifndef EGRETSPINDLE_RACK_INTERFERENCE_HPP
#define EGRETSPINDLE_RACK_INTERFERENCE_HPP

#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"
#include "egretspindle/rack/target_mix.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Takes the headroom that `cores` of an image will use off what is spare.
void take_spare(target_mix& mix, const interference_model& model,
                const image_name& backfill, double cores);

/// Returns the processors that a target has idle, in thousandths of a core.
///
/// \param room  what is left of its capacity by reservations
[[nodiscard]] std::int64_t idle_cpu(const target_mix& mix,
                                    const task_size& room) noexcept;

/// Sums up the tasks of a target. Starts of the last moments do not show in
/// the reported response times yet, so company counts by the model.
[[nodiscard]] target_mix mix_of(const rack_target& target,
                                const interference_model& model);

/// Returns whether tasks of a step take much headroom of a target's serving
/// tasks.
[[nodiscard]] bool is_harmful(const step_terms& terms, const target_mix& mix,
                              const interference_model& model);

/// Why a target cannot take a task that uses idle processors.
enum class idle_obstacle
{
    none,
    processors, ///< too few are idle
    reserved,   ///< kept for a start that waits and has fewer places to go
    headroom,   ///< a serving task would come near its response-time target
};

/// Returns the first reason against a task on idle processors.
///
/// \param room  what is left on the target
[[nodiscard]] idle_obstacle find_idle_obstacle(const target_mix& mix,
                                               const step_terms& terms,
                                               const task_size& room,
                                               const interference_model& model);

/// Returns whether there is no such reason.
[[nodiscard]] bool finds_idle_cpu(const target_mix& mix,
                                  const step_terms& terms,
                                  const task_size& room,
                                  const interference_model& model);

/// Rates a target for a task that uses idle processors; higher is better.
/// Targets where the task disturbs nobody go first, and among these the ones
/// that are of least use to images with few such places.
///
/// Answers the load of many images that disturb each other in pairs: without
/// the second rule, an image that harms four of five others queued for 25 s.
[[nodiscard]] std::int64_t rate_company(const target_mix& mix,
                                        const step_terms& terms,
                                        const task_size& room,
                                        const interference_model& model);

/// Learns from the tasks of a target.
void observe_target(rack_target& target, interference_model& model,
                    time_point now);

/// Change of the speed of a task.
struct pace_change
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
};

/// Slows tasks that use idle processors while they disturb a serving task,
/// and lets them work again when its response times have recovered.
[[nodiscard]] std::vector<pace_change>
decide_pace(rack_target& target, const interference_model& model,
            time_point now);

/// Returns runs to stop, since they are slowed so far that they would finish
/// earlier on another target.
[[nodiscard]] std::vector<run_id> decide_evictions(rack_target& target,
                                                   time_point now);

} // namespace egretspindle

#endif
