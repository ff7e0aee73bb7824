#include "egretspindle/core/error.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/jobs/job_spec.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

// Limit the memory that one submission takes on a host.
constexpr std::size_t max_steps = 1'000;
constexpr std::int64_t max_tasks_per_step = 100'000;
constexpr std::int64_t max_tasks = 1'000'000; // of all steps and occurrences
// Largest size, duration or time of a step. Sums over all tasks of a job fit
// into 64 bits.
constexpr std::int64_t max_quantity = 1'000'000'000'000;
constexpr std::int64_t max_unix_ms = 1'000'000'000'000'000;

bool is_quantity(std::int64_t value)
{
    return value >= 0 && value <= max_quantity;
}

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
    for (const std::int64_t value :
         {step.cpu_milli, step.memory_mb, step.accelerators, step.estimate_ms,
          step.max_per_target, step.response_target_ms, step.max_absent})
    {
        if (!is_quantity(value))
        {
            return step_error(step_index,
                              fmt::format("a number is outside 0 to {}; "
                                          "correct it",
                                          max_quantity));
        }
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
    std::int64_t tasks = 0; // of one occurrence
    for (std::size_t n = 0; n < spec.steps.size(); ++n)
    {
        const absl::Status status = check_step(spec.steps[n], n);
        if (!status.ok())
        {
            return status;
        }
        tasks += spec.steps[n].count;
    }
    const std::int64_t max_occurrences = max_tasks / tasks;
    if (spec.repeat_count < 0 || spec.repeat_count > max_occurrences ||
        !is_quantity(spec.interval_ms) || spec.start_at_ms < -max_unix_ms ||
        spec.start_at_ms > max_unix_ms)
    {
        return make_error(error_kind::invalid_argument,
                          fmt::format("a number of the schedule is out of "
                                      "range, or there are more than {} "
                                      "tasks; correct it or split the job",
                                      max_tasks));
    }
    if (min_record_bytes(spec) > max_record_bytes)
    {
        return make_error(
            error_kind::too_large,
            fmt::format("the state of the steps and tasks takes more than {} "
                        "bytes; split the job",
                        max_record_bytes));
    }
    return absl::OkStatus();
}

} // namespace egretspindle
