/// \file
/// Typed JSON calls over HTTP, shared by the platform's clients.

#ifndef EGRETSPINDLE_SRC_ADAPTERS_JSON_CALL_HPP
#define EGRETSPINDLE_SRC_ADAPTERS_JSON_CALL_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/net/http_client.hpp"

#include <absl/status/statusor.h>

#include <string>

namespace egretspindle
{

/// Returns the error that a response reports, or OK for a success status.
[[nodiscard]] absl::Status error_from_response(const http_response& response);

/// Sends a call and decodes the body of a successful response.
template <typename Reply>
[[nodiscard]] absl::StatusOr<Reply> json_call(http_client& client,
                                              const http_call& call)
{
    const absl::StatusOr<http_response> response = client.send(call);
    if (!response.ok())
    {
        return response.status();
    }
    const absl::Status status = error_from_response(*response);
    if (!status.ok())
    {
        return status;
    }
    return from_json<Reply>(response->body);
}

} // namespace egretspindle

#endif
