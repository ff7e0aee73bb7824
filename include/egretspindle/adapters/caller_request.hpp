/// \file
/// Submission of a request by a caller.

#ifndef EGRETSPINDLE_ADAPTERS_CALLER_REQUEST_HPP
#define EGRETSPINDLE_ADAPTERS_CALLER_REQUEST_HPP

#include "egretspindle/adapters/caller_limits.hpp"
#include "egretspindle/core/request_spec.hpp"
#include "egretspindle/net/http_request.hpp"

#include <absl/status/statusor.h>

#include <cstdint>

namespace egretspindle
{

/// Parameters of `POST /v1/requests`.
struct caller_request
{
    request_spec spec;
    std::int64_t wait_ms = 0; ///< how long the caller waits for the outcome
};

/// Parses and validates a submission.
///
/// Every field is checked, so that later stages can rely on the values: names
/// have a bounded length and character set, numbers are finite and within
/// bounds, texts are valid UTF-8.
///
/// \returns `unsupported_media_type`, `too_large`, or `invalid_argument` with
///          the name of the invalid field and the expected value
[[nodiscard]] absl::StatusOr<caller_request>
parse_caller_request(const http_request& request,
                     const caller_limits& limits = {});

} // namespace egretspindle

#endif
