/// \file
/// History row of an accepted plan.

#ifndef EGRETSPINDLE_PLAN_PLAN_RECORD_HPP
#define EGRETSPINDLE_PLAN_PLAN_RECORD_HPP

#include "egretspindle/protocol/accepted_plan.hpp"

#include <string>

namespace egretspindle
{

/// Accepted plan, and the host and transaction that wrote it.
struct plan_record
{
    accepted_plan plan;
    std::string host;  ///< host that handled the request
    std::string tx_id; ///< transaction that wrote it
};

/// Visits the fields of `plan_record` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_record* /*tag*/)
{
    visit("plan", value.plan);
    visit("host", value.host);
    visit("tx_id", value.tx_id);
}

} // namespace egretspindle

#endif
