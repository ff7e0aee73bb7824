/// \file
/// Result of an acceptance.

#ifndef EGRETSPINDLE_PLAN_ACCEPT_RESULT_HPP
#define EGRETSPINDLE_PLAN_ACCEPT_RESULT_HPP

#include "egretspindle/plan/plan_record.hpp"

namespace egretspindle
{

/// The accepted plan, and whether this request or an earlier one made it.
struct accept_result
{
    bool is_new = false; ///< false when it was accepted before
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
