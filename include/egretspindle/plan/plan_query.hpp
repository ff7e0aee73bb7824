/// \file
/// Request for the accepted plan of another host.

#ifndef EGRETSPINDLE_PLAN_PLAN_QUERY_HPP
#define EGRETSPINDLE_PLAN_PLAN_QUERY_HPP

#include <cstdint>

namespace egretspindle
{

/// Request for the plan in force on another host.
struct plan_query
{
    std::int64_t version = 0; ///< lowest version to return
};

/// Visits the fields of `plan_query` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const plan_query* /*tag*/)
{
    visit("version", value.version);
}

} // namespace egretspindle

#endif
