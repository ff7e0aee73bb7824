#include "egretspindle/core/error.hpp"
#include "egretspindle/jobs/job_spec.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

// Limit the memory that one submission takes on a host.
constexpr std::size_t max_steps = 1'000;
constexpr std::int64_t max_tasks_per_step = 100'000;

absl::Status step_error(std::size_t step, std::string_view message)
{
    return make_error(error_kind::invalid_argument,
                      fmt::format("steps[{}]: {}", step, message));
}

absl::Status check_step(const step_spec& step, std::size_t step_index)
{
    if (step.count < 1 || step.count > max_tasks_per_step)
    {
        return step_error(step_index,
                          fmt::format("count is outside 1 to {}; split the "
                                      "job",
                                      max_tasks_per_step));
    }
    if (step.cpu_milli < 0 || step.memory_mb < 0 || step.accelerators < 0 ||
        step.estimate_ms < 0 || step.max_per_target < 0)
    {
        return step_error(step_index, "a size is negative; correct it");
    }
    for (const std::int64_t earlier : step.after)
    {
        if (earlier < 0 || earlier >= static_cast<std::int64_t>(step_index))
        {
            return step_error(step_index,
                              "'after' names a step that is not an earlier "
                              "one; correct the order");
        }
    }
    return absl::OkStatus();
}

} // namespace

absl::Status check_job(const job_spec& spec)
{
    if (spec.steps.empty() || spec.steps.size() > max_steps)
    {
        return make_error(
            error_kind::invalid_argument,
            fmt::format("a job has 1 to {} steps; change it", max_steps));
    }
    if (spec.repeat_count < 0 || spec.interval_ms < 0)
    {
        return make_error(error_kind::invalid_argument,
                          "the schedule has a negative number; correct it");
    }
    for (std::size_t n = 0; n < spec.steps.size(); ++n)
    {
        const absl::Status status = check_step(spec.steps[n], n);
        if (!status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

} // namespace egretspindle
