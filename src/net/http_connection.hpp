/// \file
/// Server side of an HTTP connection.

#ifndef EGRETSPINDLE_SRC_NET_HTTP_CONNECTION_HPP
#define EGRETSPINDLE_SRC_NET_HTTP_CONNECTION_HPP

#include "egretspindle/net/http_limits.hpp"
#include "egretspindle/net/http_request.hpp"
#include "egretspindle/net/http_response.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace egretspindle
{

/// Result of reading a request.
enum class read_result
{
    request,
    malformed,
    header_too_large,
    body_too_large,
    closed, ///< by the caller, by a timeout or since the server stops
};

/// Reads the requests of a connection in order, and writes their responses.
/// Bytes that follow a request are kept for the next one.
class http_connection
{
public:
    /// \param fd       socket; stays open when the object is destroyed
    /// \param stop_fd  becomes readable when the server stops
    http_connection(int fd, int stop_fd, const http_limits& limits);

    /// Reads the next request. Once the server stops, only bytes that arrive
    /// within a short time are read.
    [[nodiscard]] read_result read(http_request& request);

    /// Returns whether the caller keeps the connection open after the request
    /// that was read last.
    [[nodiscard]] bool keeps_alive() const noexcept
    {
        return keeps_alive_;
    }

    /// Reads what has arrived without waiting, and returns whether there are
    /// bytes of a further request.
    [[nodiscard]] bool has_next();

    /// Sends the response to the request that was read last.
    ///
    /// \param is_last  tells the caller that the connection ends
    /// \returns false if it could not be sent whole
    [[nodiscard]] bool write(const http_response& response, bool is_last);

    /// Ends the connection such that the responses sent before arrive. Closing
    /// it with unread bytes would reset it and discard them at the caller.
    void finish();

private:
    using clock = std::chrono::steady_clock;

    bool is_stopping();
    bool receive(clock::time_point deadline);
    bool receive_available();
    bool send_all(std::string_view text);

    int fd_;
    int stop_fd_;
    const http_limits& limits_;
    std::string buf_;
    bool is_ended_ = false; ///< nothing more can be received
    /// Until which bytes are received although the server stops.
    std::optional<clock::time_point> stop_deadline_;
    bool is_head_ = false;
    bool is_version_10_ = false;
    bool keeps_alive_ = false;
};

} // namespace egretspindle

#endif
