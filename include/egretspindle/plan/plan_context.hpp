/// \file
/// Data that a plan document is validated against.

#ifndef EGRETSPINDLE_PLAN_PLAN_CONTEXT_HPP
#define EGRETSPINDLE_PLAN_PLAN_CONTEXT_HPP

#include <optional>
#include <set>
#include <string>

namespace egretspindle
{

/// Data from outside the document that it refers to.
struct plan_context
{
    /// Names on the host list; names are not checked if it is not available.
    std::optional<std::set<std::string>> known_hosts;
};

} // namespace egretspindle

#endif
