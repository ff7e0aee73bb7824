/// \file
/// Simulated work of a task.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_TASK_WORK_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_TASK_WORK_HPP

#include <cstdint>
#include <string>

namespace egretspindle::standin
{

/// Simulated work of a task.
struct task_work
{
    std::int64_t cpu_milli = 1'000;
    std::int64_t duration_ms = 100;
};

/// Finds the work of a task in the text of its job: `CPU:MS` for each step,
/// separated by blanks. The name of a task ends in `.STEP.INDEX`.
[[nodiscard]] task_work work_of(const std::string& text,
                                const std::string& task);

} // namespace egretspindle::standin

#endif
