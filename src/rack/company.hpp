/// \file
/// What the decisions on company ask of a run.

#ifndef EGRETSPINDLE_SRC_RACK_COMPANY_HPP
#define EGRETSPINDLE_SRC_RACK_COMPANY_HPP

#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>

namespace egretspindle
{

/// Response times are rounded to milliseconds; beyond this headroom the load
/// does not matter any more.
constexpr double highest_headroom = 10.0;

[[nodiscard]] inline bool is_serving(const placed_run& run)
{
    return run.terms && run.terms->response_target_ms > 0;
}

[[nodiscard]] inline bool is_backfill(const placed_run& run)
{
    return run.terms && run.terms->uses_idle_cpu;
}

/// Returns the declared processors of a task.
[[nodiscard]] double cores_of(const step_terms& terms);

/// Returns the declared processors of a task at the speed that was ordered.
[[nodiscard]] double current_cores(const placed_run& run);

/// Returns the processors that a task uses at full speed. Many tasks use less
/// than they declare; until a report tells, the declared size counts.
[[nodiscard]] std::int64_t used_milli(const placed_run& run);

/// Returns the lowest headroom of a serving task without company in the near
/// future.
[[nodiscard]] double predicted_headroom(const placed_run& run,
                                        const interference_model& model);

/// Returns the headroom of a serving task, as its target reported it last.
[[nodiscard]] double reported_headroom(const placed_run& run);

/// Returns the tasks on idle processors that are at work.
[[nodiscard]] image_cores company_of(const rack_target& target);

} // namespace egretspindle

#endif
