/// \file
/// HTTP client with deadlines and a choice of connection.

#ifndef EGRETSPINDLE_NET_HTTP_CLIENT_HPP
#define EGRETSPINDLE_NET_HTTP_CLIENT_HPP

#include "egretspindle/net/endpoint.hpp"
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
    /// A kept-alive connection; the library may resend the request when the
    /// server closed it, so the request has to be idempotent.
    reuse,
    /// A connection of its own, on which the request is sent at most once.
    fresh,
};

/// What an HTTP request carries besides its path.
struct http_call
{
    std::string method = "GET";
    std::string path; ///< with the query, if any
    std::string body; ///< sent with content type application/json
    std::string content_type = "application/json";
    std::string authorization;
    std::vector<std::pair<std::string, std::string>> headers; ///< further ones
    std::chrono::milliseconds timeout{2000};
    connection_use connection = connection_use::reuse;
};

/// Sends requests to one server; usable from several threads.
class http_client
{
public:
    explicit http_client(endpoint server);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the whole response.
    ///
    /// \returns `unavailable` when the connection was refused before anything
    ///          was sent, `deadline_exceeded` when the outcome is not known
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
