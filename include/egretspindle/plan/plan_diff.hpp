/// \file
/// Differences between two plan documents.

#ifndef EGRETSPINDLE_PLAN_PLAN_DIFF_HPP
#define EGRETSPINDLE_PLAN_PLAN_DIFF_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Returns the lines that differ, with two spaces, `- ` or `+ ` in front.
/// Sections without a difference are left out.
[[nodiscard]] std::string plan_diff(std::string_view before,
                                    std::string_view after);

} // namespace egretspindle

#endif
