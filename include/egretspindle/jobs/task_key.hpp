/// \file
/// Identification of a task.

#ifndef EGRETSPINDLE_JOBS_TASK_KEY_HPP
#define EGRETSPINDLE_JOBS_TASK_KEY_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Task of a job: occurrence, step and index, each counted from 0.
struct task_key
{
    std::string job;
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::size_t index = 0;
};

/// Formats a key as `job.occurrence.step.index`.
[[nodiscard]] std::string to_string(const task_key& key);

/// Parses a key as formatted by `to_string`; none when it is malformed.
[[nodiscard]] std::optional<task_key> parse_task_key(std::string_view text);

} // namespace egretspindle

#endif
