/// \file
/// Reply to a request of a caller.

#ifndef EGRETSPINDLE_CORE_REQUEST_REPLY_HPP
#define EGRETSPINDLE_CORE_REQUEST_REPLY_HPP

#include "egretspindle/core/outcome.hpp"

#include <cstdint>
#include <string>

namespace egretspindle
{

/// State of a request as reported to its caller.
struct request_reply
{
    std::string key;                   ///< `team/id`
    outcome result = outcome::unknown; ///< outcome so far
    std::string answer;                ///< complete answer if done
    std::string reason;                ///< cause of any other outcome
    std::int64_t retry_after_ms = 0;   ///< for `not_run`
    int attempt = 0;                   ///< latest attempt, from 1
    std::string target;                ///< target of the latest attempt
};

/// Visits the fields of `request_reply` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const request_reply* /*tag*/)
{
    visit("key", value.key);
    visit("outcome", value.result);
    visit("answer", value.answer);
    visit("reason", value.reason);
    visit("retry_after_ms", value.retry_after_ms);
    visit("attempt", value.attempt);
    visit("target", value.target);
}

} // namespace egretspindle

#endif
