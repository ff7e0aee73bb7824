#include "egretspindle/adapters/caller_response.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/core/utf8.hpp"
#include "egretspindle/net/error_reply.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

/// Reply to a caller, as on the wire.
struct wire_reply
{
    std::string id;
    outcome result = outcome::unknown;
    std::string answer;
    std::string reason;
    std::int64_t retry_after_ms = 0;
    int attempt = 0;
    std::string target;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_reply* /*tag*/)
{
    visit("id", value.id);
    visit("outcome", value.result);
    visit("answer", value.answer);
    visit("reason", value.reason);
    visit("retry_after_ms", value.retry_after_ms);
    visit("attempt", value.attempt);
    visit("target", value.target);
}

// Retry-After holds whole seconds; 0 would invite an immediate retry.
void add_retry_after(http_response& response, std::int64_t retry_after_ms)
{
    const std::int64_t seconds =
        std::max<std::int64_t>(1, (retry_after_ms + 999) / 1000);
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
}

int http_status_of(outcome value) noexcept
{
    switch (value)
    {
    case outcome::accepted:
    case outcome::running:
        return 202;
    case outcome::not_run:
        return 503;
    case outcome::done:
    case outcome::cancelled:
    case outcome::failed:
    case outcome::unknown:
        return 200;
    }
    return 200;
}

} // namespace

int http_status_of(error_kind kind) noexcept
{
    switch (kind)
    {
    case error_kind::invalid_argument:
    case error_kind::unknown_team:
        return 400;
    case error_kind::unauthorized:
        return 401;
    case error_kind::forbidden:
        return 403;
    case error_kind::not_found:
        return 404;
    case error_kind::conflict:
        return 409;
    case error_kind::too_large:
        return 413;
    case error_kind::unsupported_media_type:
        return 415;
    case error_kind::overloaded:
        return 429;
    case error_kind::unavailable:
    case error_kind::stale_epoch:
        return 503;
    case error_kind::deadline_exceeded:
        return 504;
    case error_kind::internal:
        return 500;
    }
    return 500;
}

http_response format_reply(const request_reply& reply)
{
    wire_reply wire;
    wire.id = reply.key.substr(reply.key.find('/') + 1);
    wire.result = reply.result;
    wire.answer = reply.answer;
    wire.reason = replace_invalid_utf8(reply.reason);
    wire.retry_after_ms = reply.retry_after_ms;
    wire.attempt = reply.attempt;
    wire.target = reply.target;
    http_response response;
    response.status = http_status_of(reply.result);
    response.body = to_json(wire);
    if (reply.result == outcome::not_run)
    {
        add_retry_after(response, reply.retry_after_ms);
    }
    return response;
}

http_response format_error(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    const error_reply wire{
        {std::string(to_string(kind)),
         replace_invalid_utf8(std::string(status.message()))}};
    http_response response;
    response.status = http_status_of(kind);
    response.body = to_json(wire);
    if (kind == error_kind::unauthorized)
    {
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
    }
    if (kind == error_kind::overloaded || kind == error_kind::unavailable ||
        kind == error_kind::stale_epoch)
    {
        add_retry_after(response, 1000);
    }
    return response;
}

} // namespace egretspindle
