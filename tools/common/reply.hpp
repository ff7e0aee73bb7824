/// \file
/// Responses of the stand-ins.

#ifndef EGRETSPINDLE_TOOLS_COMMON_REPLY_HPP
#define EGRETSPINDLE_TOOLS_COMMON_REPLY_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error_kind.hpp"
#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace egretspindle::standin
{

/// Makes a response with a JSON body.
[[nodiscard]] http_response json_reply(int status, std::string body);

/// Makes a successful response from a struct.
template <typename T>
[[nodiscard]] http_response reply_with(const T& value)
{
    return json_reply(200, to_json(value));
}

/// Makes an error response.
[[nodiscard]] http_response error_reply(int status, error_kind kind,
                                        std::string_view message);

/// Makes a response with status 400 from a failed decoding.
[[nodiscard]] http_response bad_request(const absl::Status& status);

/// Overwrites the fields that a JSON object has; the others keep their
/// values.
template <typename T>
[[nodiscard]] absl::Status update_from_json(std::string_view text, T& value)
{
    const absl::StatusOr<json_document> document = parse_json(text);
    return document.ok()
               ? codec::read(document->root(), value,
                             codec::unknown_fields::reject, codec::field_path{})
               : document.status();
}

/// Returns a query parameter; empty when it is absent.
[[nodiscard]] std::string query_of(const http_request& request,
                                   const std::string& name);

/// Returns a numeric query parameter, or `fallback`.
[[nodiscard]] long query_number(const http_request& request,
                                const std::string& name, long fallback);

} // namespace egretspindle::standin

#endif
