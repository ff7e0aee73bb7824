/// \file
/// HTTP server with limits on sizes and times.

#ifndef EGRETSPINDLE_NET_HTTP_SERVER_HPP
#define EGRETSPINDLE_NET_HTTP_SERVER_HPP

#include "egretspindle/net/http_limits.hpp"
#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include <absl/status/status.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace egretspindle
{

/// Handles one request. Called from several threads concurrently.
using http_handler = std::function<http_response(const http_request&)>;

/// Requests that a server has read whole since its start.
struct http_server_counts
{
    std::uint64_t answered = 0;
    /// Ended without a complete response, since the caller has closed the
    /// connection or does not read.
    std::uint64_t unanswered = 0;
    std::uint64_t in_progress = 0;
};

/// Serves HTTP on one address until stopped.
///
/// \code
/// http_server server({}, [](const http_request&) { return http_response{}; });
/// absl::Status status = server.start("127.0.0.1", 8080);
/// \endcode
class http_server
{
public:
    /// \param on_unanswered  called when the response to a request could not be
    ///                       sent whole
    http_server(const http_limits& limits, http_handler handler,
                std::function<void()> on_unanswered = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Listens on an IP address and starts the threads that serve requests.
    ///
    /// \returns `unavailable` when the address cannot be bound
    [[nodiscard]] absl::Status start(const std::string& address,
                                     unsigned short port);

    /// Ends each connection from now on with the response to its last request:
    /// the response tells the caller so, unless the next request has arrived.
    void close_when_answered();

    /// Waits until no request is in progress.
    ///
    /// \returns false if requests are still in progress after the timeout
    bool wait_idle(std::chrono::milliseconds timeout);

    /// Stops listening, responds to the requests that have arrived whole or do
    /// so within 0.1 s, and ends the connections. Takes as long as the handler
    /// does.
    void stop();

    /// Returns the number of requests in progress: read whole, and the response
    /// not sent.
    [[nodiscard]] int in_progress() const;

    [[nodiscard]] http_server_counts counts() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
