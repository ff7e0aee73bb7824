/// \file
/// Limits of an HTTP server.

#ifndef EGRETSPINDLE_NET_HTTP_LIMITS_HPP
#define EGRETSPINDLE_NET_HTTP_LIMITS_HPP

#include <cstddef>

namespace egretspindle
{

/// Limits on sizes, connections and times of an HTTP server.
struct http_limits
{
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 2 * 1024 * 1024;
    /// Each connection has a thread; connections beyond are closed.
    std::size_t max_connections = 1024;
    /// Requests handled at once; further ones wait for their turn.
    std::size_t max_in_service = 256;
    /// From the first byte of a request to its last one, and for sending a
    /// response.
    int read_timeout_ms = 10'000;
    int keep_alive_timeout_ms = 30'000; ///< of a connection without a request
};

} // namespace egretspindle

#endif
