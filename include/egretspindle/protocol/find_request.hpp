/// \file
/// Search for attempts of a request.

#ifndef EGRETSPINDLE_PROTOCOL_FIND_REQUEST_HPP
#define EGRETSPINDLE_PROTOCOL_FIND_REQUEST_HPP

#include "egretspindle/protocol/task_report.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Asks a host whether one of its racks runs a request, and forbids it to
/// start attempts up to `fence_attempt` from then on.
struct find_request
{
    std::string key;
    int fence_attempt = 0; ///< 0 forbids nothing
};

/// Visits the fields of `find_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const find_request* /*tag*/)
{
    visit("key", value.key);
    visit("fence_attempt", value.fence_attempt);
}

/// Attempts that a host knows, and the racks its answer covers.
struct find_reply
{
    std::vector<task_report> reports;
    std::vector<std::string> racks; ///< rebuilt racks that were searched
};

/// Visits the fields of `find_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const find_reply* /*tag*/)
{
    visit("reports", value.reports);
    visit("racks", value.racks);
}

} // namespace egretspindle

#endif
