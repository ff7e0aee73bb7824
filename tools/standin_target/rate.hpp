/// \file
/// Speed of tasks that share a target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_TARGET_RATE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_TARGET_RATE_HPP

#include "target_options.hpp"
#include "task.hpp"

#include <absl/types/span.h>

#include <memory>

namespace egretspindle::standin
{

using task_ptr = std::shared_ptr<task>;

/// Returns the work that a task does per unit of time; 1 when it is alone and
/// not throttled.
///
/// Two effects lower it: fewer cores than it wants (throttled, guarded, or
/// more cores wanted on the target than it has), and the other tasks, by the
/// average of their pairwise slowdown weighted by their cores, multiplied by
/// the share of the target's cores in use.
[[nodiscard]] double rate_of(const task& value,
                             absl::Span<const task_ptr> running,
                             const target_options& options);

} // namespace egretspindle::standin

#endif
