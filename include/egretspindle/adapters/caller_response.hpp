/// \file
/// Replies to callers and operators.

#ifndef EGRETSPINDLE_ADAPTERS_CALLER_RESPONSE_HPP
#define EGRETSPINDLE_ADAPTERS_CALLER_RESPONSE_HPP

#include "egretspindle/core/error_kind.hpp"
#include "egretspindle/core/request_reply.hpp"
#include "egretspindle/net/http_response.hpp"

#include <absl/status/status.h>

namespace egretspindle
{

/// Formats the reply to a caller: 200 for final outcomes, 202 for `accepted`
/// and `running`, 503 with Retry-After for `not_run`.
[[nodiscard]] http_response format_reply(const request_reply& reply);

/// Formats an error as `{"error":{"kind","message"}}`.
///
/// The reply carries no outcome. A 4xx status means that the request was
/// rejected; any other status leaves open whether the work ran.
[[nodiscard]] http_response format_error(const absl::Status& status);

/// Returns the HTTP status code of an error kind.
[[nodiscard]] int http_status_of(error_kind kind) noexcept;

} // namespace egretspindle

#endif
