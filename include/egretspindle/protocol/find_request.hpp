/// \file
/// Search for attempts of a request.

#ifndef EGRETSPINDLE_PROTOCOL_FIND_REQUEST_HPP
#define EGRETSPINDLE_PROTOCOL_FIND_REQUEST_HPP

#include "egretspindle/protocol/task_report.hpp"

#include <string>
#include <vector>

namespace egretspindle
{

/// Asks a host whether one of its racks runs a request. From then on the host
/// rejects starts of attempts up to `fence_attempt`.
struct find_request
{
    std::string key;
    int fence_attempt = 0; ///< highest rejected attempt; 0 for none
};

/// Visits the fields of `find_request` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const find_request* /*tag*/)
{
    visit("key", value.key);
    visit("fence_attempt", value.fence_attempt);
}

/// Attempts of the request that a host knows of, and the racks it searched.
struct find_reply
{
    std::vector<task_report> reports;
    std::vector<std::string> racks; ///< searched racks with complete state
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
