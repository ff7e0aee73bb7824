/// \file
/// What a plan document is checked against.

#ifndef EGRETSPINDLE_PLAN_PLAN_CONTEXT_HPP
#define EGRETSPINDLE_PLAN_PLAN_CONTEXT_HPP

#include <optional>
#include <set>
#include <string>

namespace egretspindle
{

/// Facts from outside the document.
struct plan_context
{
    /// Names on the host list; not checked when the list is not available.
    std::optional<std::set<std::string>> known_hosts;
};

} // namespace egretspindle

#endif
