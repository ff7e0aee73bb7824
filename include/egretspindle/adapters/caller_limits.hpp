/// \file
/// Limits on the requests of callers.

#ifndef EGRETSPINDLE_ADAPTERS_CALLER_LIMITS_HPP
#define EGRETSPINDLE_ADAPTERS_CALLER_LIMITS_HPP

#include <cstddef>
#include <cstdint>

namespace egretspindle
{

/// Limits of the caller interface.
struct caller_limits
{
    std::size_t max_body_bytes = 1024 * 1024; ///< of the field `body`
    /// HTTP body; larger, since JSON escapes characters.
    std::size_t max_request_bytes = 2 * 1024 * 1024;
    std::int64_t max_wait_ms = 60'000;
    std::int64_t default_urgent_deadline_ms = 5'900;
};

} // namespace egretspindle

#endif
