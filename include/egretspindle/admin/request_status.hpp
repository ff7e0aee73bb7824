/// \file
/// Status of a request for operators.

#ifndef EGRETSPINDLE_ADMIN_REQUEST_STATUS_HPP
#define EGRETSPINDLE_ADMIN_REQUEST_STATUS_HPP

#include "egretspindle/core/request_reply.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// State of a request, without its answer.
struct request_status
{
    std::string key;
    std::string team;
    std::string kind;
    bool urgent = false;
    outcome state = outcome::unknown;
    std::string reason;
    int attempt = 0;
    std::string target;
    std::int64_t age_ms = 0; ///< time since the request was received
};

/// Visits the fields of `request_status` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const request_status* /*tag*/)
{
    visit("key", value.key);
    visit("team", value.team);
    visit("kind", value.kind);
    visit("urgent", value.urgent);
    visit("state", value.state);
    visit("reason", value.reason);
    visit("attempt", value.attempt);
    visit("target", value.target);
    visit("age_ms", value.age_ms);
}

} // namespace egretspindle

#endif
