/// \file
/// Query or cancellation of a request by a caller.

#ifndef EGRETSPINDLE_ADAPTERS_CALLER_QUERY_HPP
#define EGRETSPINDLE_ADAPTERS_CALLER_QUERY_HPP

#include "egretspindle/adapters/caller_limits.hpp"
#include "egretspindle/net/http_request.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>

namespace egretspindle
{

/// Parameters of `GET` and `DELETE /v1/requests/{team}/{id}?wait_ms=N`.
struct caller_query
{
    std::string team;
    std::string id;
    std::string key;          ///< `team/id`
    std::int64_t wait_ms = 0; ///< how long the caller waits for the outcome
};

/// Parses and validates the path and the query.
///
/// \returns `not_found` for any other path, `invalid_argument` with the name of
///          the invalid parameter and the expected value
[[nodiscard]] absl::StatusOr<caller_query>
parse_caller_query(const http_request& request,
                   const caller_limits& limits = {});

} // namespace egretspindle

#endif
