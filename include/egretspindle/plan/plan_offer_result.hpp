/// \file
/// Result of offering a plan to the table.

#ifndef EGRETSPINDLE_PLAN_PLAN_OFFER_RESULT_HPP
#define EGRETSPINDLE_PLAN_PLAN_OFFER_RESULT_HPP

namespace egretspindle
{

/// Outcome of offering a plan.
enum class plan_offer_result
{
    applied,  ///< now in force
    in_force, ///< was already in force
    older,    ///< lower version than the one in force; ignored
};

} // namespace egretspindle

#endif
