/// \file
/// HTTP client with timeouts and control over the reuse of connections.

#ifndef EGRETSPINDLE_NET_HTTP_CLIENT_HPP
#define EGRETSPINDLE_NET_HTTP_CLIENT_HPP

#include "egretspindle/core/endpoint.hpp"
#include "egretspindle/net/http_response.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Which connection a request may use.
enum class connection_use
{
    /// A kept-alive connection, if there is one. If the connection is lost, it
    /// is not known whether the server has received the request.
    reuse,
    /// A new connection. If the server cannot be reached, it is certain that
    /// nothing was sent.
    fresh,
};

/// HTTP request to send.
struct http_call
{
    std::string method = "GET";
    std::string path; ///< with the query, if any
    std::string body; ///< empty for none
    std::string content_type = "application/json";
    std::string authorization;
    std::vector<std::pair<std::string, std::string>> headers; ///< additional
    std::chrono::milliseconds timeout{2000}; ///< of the whole exchange
    connection_use connection = connection_use::reuse;
};

/// Sends requests to one server. Thread-safe.
class http_client
{
public:
    explicit http_client(endpoint server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request at most once and reads the complete response.
    ///
    /// \returns `invalid_argument` if a header contains a line break and
    ///          `unavailable` if no connection could be established, when
    ///          nothing was sent; `deadline_exceeded` after any other failure,
    ///          when the request may have taken effect
    [[nodiscard]] absl::StatusOr<http_response> send(const http_call& call);

    /// Returns the server that requests go to.
    [[nodiscard]] const endpoint& server() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

/// Percent-encodes a query value.
[[nodiscard]] std::string encode_query(std::string_view value);

} // namespace egretspindle

#endif
