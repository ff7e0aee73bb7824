/// \file
/// What the decisions on company ask of a run.

#ifndef EGRETSPINDLE_SRC_RACK_COMPANY_HPP
#define EGRETSPINDLE_SRC_RACK_COMPANY_HPP

#include "egretspindle/rack/pressure_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

namespace egretspindle
{

/// Response times are rounded to milliseconds; beyond this headroom the load
/// does not matter any more.
constexpr double highest_headroom = 10.0;

[[nodiscard]] inline bool is_serving(const placed_run& run)
{
    return run.terms && run.terms->response_target_ms > 0;
}

[[nodiscard]] inline bool is_filling(const placed_run& run)
{
    return run.terms && run.terms->uses_idle_cpu;
}

/// Returns the declared processors of a task.
[[nodiscard]] double cores_of(const step_terms& terms);

/// Returns the declared processors of a task at the speed that was ordered.
[[nodiscard]] double current_cores(const placed_run& run);

/// Returns the headroom of a serving task, as its target reported it last.
[[nodiscard]] double reported_headroom(const placed_run& run);

/// Returns the tasks on idle processors that are at work.
[[nodiscard]] image_cores company_of(const rack_target& target);

} // namespace egretspindle

#endif
