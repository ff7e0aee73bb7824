/// \file
/// Properties of runs that co-location decisions use.

#ifndef EGRETSPINDLE_SRC_RACK_RUN_COLOCATION_HPP
#define EGRETSPINDLE_SRC_RACK_RUN_COLOCATION_HPP

#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>

namespace egretspindle
{

/// Upper limit of the headroom. Response times are reported in whole
/// milliseconds, so higher values carry no information about the load.
constexpr double max_headroom = 10.0;

[[nodiscard]] inline bool is_serving(const placed_run& run)
{
    return run.terms && run.terms->response_target_ms > 0;
}

[[nodiscard]] inline bool is_backfill(const placed_run& run)
{
    return run.terms && run.terms->uses_idle_cpu;
}

/// Returns the declared size of a task in cores.
[[nodiscard]] double cores_of(const step_terms& terms);

/// Returns the declared size of a task in cores times its speed limit.
[[nodiscard]] double current_cores(const placed_run& run);

/// Returns the processors that a task uses at full speed, in thousandths of a
/// core. Many tasks use less than they declare; before the first report the
/// declared size counts.
[[nodiscard]] std::int64_t used_milli(const placed_run& run);

/// Predicts the headroom of a serving task in 2 s (`prediction_horizon_s`), as
/// if no backfill tasks ran beside it. Extrapolates a falling trend, but not
/// below the usual lowest headroom (`baseline_headroom_p5`), which is also the
/// result without a report.
[[nodiscard]] double predicted_headroom(const placed_run& run,
                                        const interference_model& model);

/// Returns the headroom of a serving task by the last report of its target.
/// `placed_run::load` has to be above 0.
[[nodiscard]] double reported_headroom(const placed_run& run);

/// Returns the cores of the confirmed backfill tasks of a target, by image.
[[nodiscard]] image_cores running_backfill_cores(const rack_target& target);

} // namespace egretspindle

#endif
