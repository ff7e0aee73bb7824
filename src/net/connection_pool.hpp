/// \file
/// Kept-alive connections, and reads and writes with a deadline.

#ifndef EGRETSPINDLE_SRC_NET_CONNECTION_POOL_HPP
#define EGRETSPINDLE_SRC_NET_CONNECTION_POOL_HPP

#include "egretspindle/core/endpoint.hpp"

#include <cxxtools/net/tcpsocket.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

using socket_ptr = std::unique_ptr<cxxtools::net::TcpSocket>;
using deadline_clock = std::chrono::steady_clock;

/// Idle connections by server. Thread-safe.
class connection_pool
{
public:
    /// Returns an idle connection that the server has not closed, or null.
    [[nodiscard]] socket_ptr take(const std::string& server);

    /// Keeps a connection on which no response is expected.
    void give_back(const std::string& server, socket_ptr socket);

    /// Closes the idle connections to a server.
    void close_idle(const std::string& server);

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<socket_ptr>> idle_;
};

/// Opens a connection that is probed while it is idle. Throws if it is not
/// established within the timeout.
[[nodiscard]] socket_ptr open_connection(const endpoint& server,
                                         std::chrono::milliseconds timeout);

/// Writes a text. Throws after the deadline, or if the connection breaks.
void write_all(cxxtools::net::TcpSocket& socket, std::string_view text,
               deadline_clock::time_point deadline);

/// Reads the bytes that have arrived, at least one, and appends them to a text.
/// Throws after the deadline, or if the connection breaks.
///
/// \returns false if the server has closed the connection
[[nodiscard]] bool read_some(cxxtools::net::TcpSocket& socket,
                             std::string& text,
                             deadline_clock::time_point deadline);

} // namespace egretspindle

#endif
