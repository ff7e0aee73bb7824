/// \file
/// Limits of the plan for placement and admission.

#ifndef EGRETSPINDLE_NODE_PLAN_LIMITS_HPP
#define EGRETSPINDLE_NODE_PLAN_LIMITS_HPP

#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/plan/plan_document.hpp"

namespace egretspindle
{

/// Converts a plan document to the limits of the placement policy.
///
/// The floors of a rack are the sums of the teams' floors. A sum of 0 keeps the
/// default of the policy.
[[nodiscard]] policy_limits make_policy_limits(const plan_document& plan);

} // namespace egretspindle

#endif
