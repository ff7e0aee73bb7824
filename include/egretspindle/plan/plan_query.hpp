/// \file
/// Request for the accepted plan of another host.

#ifndef EGRETSPINDLE_PLAN_PLAN_QUERY_HPP
#define EGRETSPINDLE_PLAN_PLAN_QUERY_HPP

#include <cstdint>

namespace egretspindle
{

/// Asks for the plan in force.
struct plan_query
{
    std::int64_t version = 0; ///< lowest version that is of use
};

/// Visits the fields of `plan_query` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_query* /*tag*/)
{
    visit("version", value.version);
}

} // namespace egretspindle

#endif
