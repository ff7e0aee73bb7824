/// \file
/// Operator who changes the plan.

#ifndef EGRETSPINDLE_PLAN_PLAN_ACTOR_HPP
#define EGRETSPINDLE_PLAN_PLAN_ACTOR_HPP

#include <string>

namespace egretspindle
{

/// Who makes a change.
struct plan_actor
{
    std::string name;
    std::string team;           ///< whose sections the actor may edit
    bool is_supervisor = false; ///< may accept the document
};

} // namespace egretspindle

#endif
