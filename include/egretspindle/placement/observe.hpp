/// \file
/// Updates of the policy model from measurements.

#ifndef EGRETSPINDLE_PLACEMENT_OBSERVE_HPP
#define EGRETSPINDLE_PLACEMENT_OBSERVE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/target_load.hpp"
#include "egretspindle/placement/usage_sample.hpp"

#include <absl/types/span.h>

#include <string_view>

namespace egretspindle
{

/// End of an attempt, as input of the model.
struct task_end
{
    std::string_view kind;
    bool urgent = false;
    bool ok = true;
    double run_ms = 0;        ///< time on the target
    bool interrupted = false; ///< stopped or throttled; run time is ignored
};

/// Updates peaks and slowdowns from a delayed usage report.
///
/// \param model    model to update
/// \param target   current view of the target, before the report is applied
/// \param samples  measurements of tasks with their kinds
/// \param now      time of receipt
void observe_usage(policy_model& model, const target_load& target,
                   absl::Span<const usage_sample> samples, time_point now);

/// Updates run times and slowdowns from the end of an attempt.
///
/// \param model   model to update
/// \param target  view of the target that still includes the attempt
/// \param end     attempt that ended
/// \param now     time of the end
void observe_end(policy_model& model, const target_load& target,
                 const task_end& end, time_point now);

/// Counts the arrival of an urgent request. Frequent kinds have more weight
/// when batch tasks are placed where they slow urgent ones the least.
void observe_urgent_arrival(policy_model& model, std::string_view kind,
                            time_point now);

} // namespace egretspindle

#endif
