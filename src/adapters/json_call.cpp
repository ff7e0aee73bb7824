#include "json_call.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/net/error_reply.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

error_kind error_kind_from_http_status(int status)
{
    switch (status)
    {
    case 404:
        return error_kind::not_found;
    case 409:
        return error_kind::conflict;
    case 413:
        return error_kind::too_large;
    case 429:
        return error_kind::overloaded;
    case 503:
        return error_kind::unavailable;
    default:
        return status < 500 ? error_kind::invalid_argument
                            : error_kind::internal;
    }
}

} // namespace

absl::Status error_from_response(const http_response& response)
{
    if (response.status < 300)
    {
        return absl::OkStatus();
    }
    const absl::StatusOr<error_reply> body =
        from_json<error_reply>(response.body);
    if (body.ok() && !body->error.kind.empty())
    {
        return make_error(error_kind_from(body->error.kind),
                          body->error.message);
    }
    return make_error(
        error_kind_from_http_status(response.status),
        fmt::format("HTTP status {}; check the server's log", response.status));
}

} // namespace egretspindle
