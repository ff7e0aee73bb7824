/// \file
/// Limits on sizes and concurrency.

#ifndef EGRETSPINDLE_SETTINGS_LIMIT_SETTINGS_HPP
#define EGRETSPINDLE_SETTINGS_LIMIT_SETTINGS_HPP

#include <cstdint>

namespace egretspindle
{

/// Resource limits of the process.
struct limit_settings
{
    std::int64_t max_body_bytes = 1024 * 1024; ///< of a request's `body`
    /// HTTP body; larger than `max_body_bytes` since JSON escapes characters.
    std::int64_t max_request_bytes = 2 * 1024 * 1024;
    std::int64_t min_threads = 8; ///< no effect; accepted in existing files
    /// Requests that each HTTP server handles at once.
    std::int64_t max_threads = 256;
    /// Urgent requests in service at once; below `max_threads`, so that
    /// health checks and batch submissions are still answered under overload.
    std::int64_t max_urgent_in_service = 192;
    std::int64_t max_queued_batch = 50'000;  ///< open batch requests in memory
    std::int64_t max_inline_answer = 65'536; ///< bytes; larger: object store
    std::int64_t max_wait_ms = 60'000;       ///< longest wait of a caller
};

} // namespace egretspindle

#endif
