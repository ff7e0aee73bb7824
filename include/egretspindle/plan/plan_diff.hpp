/// \file
/// Differences between two plan documents.

#ifndef EGRETSPINDLE_PLAN_PLAN_DIFF_HPP
#define EGRETSPINDLE_PLAN_PLAN_DIFF_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns the lines of all sections that differ, each prefixed with two spaces
/// if it is common, `- ` if it was removed or `+ ` if it was added.
[[nodiscard]] std::string plan_diff(std::string_view before,
                                    std::string_view after);

} // namespace egretspindle

#endif
