/// \file
/// Breaks between shifts in the plan document.

#ifndef EGRETSPINDLE_PLAN_BREAK_SECTION_HPP
#define EGRETSPINDLE_PLAN_BREAK_SECTION_HPP

#include "egretspindle/plan/break_window.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Section `break`: windows in which the plan may be edited and accepted.
struct break_section
{
    std::string team; ///< owner of the section
    std::vector<break_window> windows;
};

/// Returns whether a time lies in one of the windows.
[[nodiscard]] bool is_in_break(const break_section& section,
                               std::int64_t unix_ms) noexcept;

} // namespace egretspindle

#endif
