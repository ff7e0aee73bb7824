/// \file
/// Result of offering a plan to the table.

#ifndef EGRETSPINDLE_PLAN_PLAN_OFFER_RESULT_HPP
#define EGRETSPINDLE_PLAN_PLAN_OFFER_RESULT_HPP

namespace egretspindle
{

/// What became of an offered plan.
enum class plan_offer_result
{
    applied,  ///< now in force
    in_force, ///< was in force before
    older,    ///< lower version than the one in force; ignored
};

} // namespace egretspindle

#endif
