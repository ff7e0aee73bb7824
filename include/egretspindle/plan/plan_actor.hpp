/// \file
/// Operator who changes the plan.

#ifndef EGRETSPINDLE_PLAN_PLAN_ACTOR_HPP
#define EGRETSPINDLE_PLAN_PLAN_ACTOR_HPP

#include <string>

namespace egretspindle
{

/// Operator, with the rights that `edit_rules.hpp` and `plan_service` check.
struct plan_actor
{
    std::string name;
    std::string team;           ///< the actor may edit sections of this team
    bool is_supervisor = false; ///< may accept the document
};

} // namespace egretspindle

#endif
