/// \file
/// Specification of a job.

#ifndef EGRETSPINDLE_JOBS_JOB_SPEC_HPP
#define EGRETSPINDLE_JOBS_JOB_SPEC_HPP

#include "egretspindle/jobs/step_spec.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Steps and schedule of a job, as submitted by its caller.
struct job_spec
{
    std::string text; ///< passed to every task unchanged
    std::vector<step_spec> steps;
    /// Number of occurrences; 0: one, due at once.
    std::int64_t repeat_count = 0;
    /// Unix time of the first occurrence. Without effect on the occurrences if
    /// `repeat_count` is 0.
    std::int64_t start_at_ms = 0;
    std::int64_t interval_ms = 0; ///< time between the starts of occurrences
};

/// Visits the fields of `job_spec` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const job_spec* /*tag*/)
{
    visit("text", value.text);
    visit("steps", value.steps);
    visit("repeat_count", value.repeat_count);
    visit("start_at_ms", value.start_at_ms);
    visit("interval_ms", value.interval_ms);
}

/// Validates the number, sizes and order of the steps and the schedule.
///
/// \returns `invalid_argument`; for a fault of a step, the message gives its
///          index. `too_large` if the job cannot be recorded; see
///          `min_record_bytes`
[[nodiscard]] absl::Status check_job(const job_spec& spec);

} // namespace egretspindle

#endif
