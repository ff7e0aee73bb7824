/// \file
/// Result of an edit.

#ifndef EGRETSPINDLE_PLAN_EDIT_RESULT_HPP
#define EGRETSPINDLE_PLAN_EDIT_RESULT_HPP

#include "egretspindle/plan/plan_section.hpp"

#include <string>

namespace egretspindle
{

/// Whether an edit was applied. It is not if the section has changed since the
/// version that the edit is based on.
struct edit_result
{
    bool applied = false;
    plan_section current; ///< section after the edit, or as changed by others
    std::string proposed; ///< text of the edit
};

/// Visits the fields of `edit_result` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const edit_result* /*tag*/)
{
    visit("applied", value.applied);
    visit("current", value.current);
    visit("proposed", value.proposed);
}

} // namespace egretspindle

#endif
