/// \file
/// Limits of an HTTP server.

#ifndef EGRETSPINDLE_NET_HTTP_LIMITS_HPP
#define EGRETSPINDLE_NET_HTTP_LIMITS_HPP

#include <cstddef>

namespace egretspindle
{

/// Limits on sizes, threads and times of an HTTP server.
struct http_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 2 * 1024 * 1024;
    unsigned min_threads = 8;
    unsigned max_threads = 256;
    int read_timeout_ms = 10'000;
    int keep_alive_timeout_ms = 30'000;
};

} // namespace egretspindle

#endif
