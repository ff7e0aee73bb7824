/// \file
/// Result of a request to accept the plan.

#ifndef EGRETSPINDLE_PLAN_ACCEPT_RESULT_HPP
#define EGRETSPINDLE_PLAN_ACCEPT_RESULT_HPP

#include "egretspindle/plan/plan_record.hpp"

namespace egretspindle
{

/// Accepted plan, and whether this request or an earlier one accepted it.
struct accept_result
{
    bool is_new = false; ///< false if an earlier request accepted it
    plan_record record;
};

/// Visits the fields of `accept_result` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const accept_result* /*tag*/)
{
    visit("is_new", value.is_new);
    visit("record", value.record);
}

} // namespace egretspindle

#endif
