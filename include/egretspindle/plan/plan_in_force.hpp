/// \file
/// Accepted plan together with its parsed document.

#ifndef EGRETSPINDLE_PLAN_PLAN_IN_FORCE_HPP
#define EGRETSPINDLE_PLAN_PLAN_IN_FORCE_HPP

#include "egretspindle/plan/plan_document.hpp"
#include "egretspindle/protocol/accepted_plan.hpp"

namespace egretspindle
{

/// Plan that this host applies.
struct plan_in_force
{
    accepted_plan accepted;
    plan_document document;
};

} // namespace egretspindle

#endif
