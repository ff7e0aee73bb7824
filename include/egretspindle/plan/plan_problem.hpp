/// \file
/// Error in a plan document.

#ifndef EGRETSPINDLE_PLAN_PLAN_PROBLEM_HPP
#define EGRETSPINDLE_PLAN_PLAN_PROBLEM_HPP

#include <string>

namespace egretspindle
{

/// Error in one section, with the change that corrects it.
struct plan_problem
{
    std::string section; ///< for example `team.rota`; empty for the document
    std::string message; ///< error and remedy
};

/// Visits the fields of `plan_problem` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_problem* /*tag*/)
{
    visit("section", value.section);
    visit("message", value.message);
}

} // namespace egretspindle

#endif
