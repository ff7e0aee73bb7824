/// \file
/// Connection through the proxy.

#ifndef EGRETSPINDLE_TOOLS_FAULT_PROXY_CONNECTION_HPP
#define EGRETSPINDLE_TOOLS_FAULT_PROXY_CONNECTION_HPP

#include "egretspindle/core/clock.hpp"

#include "link.hpp"

#include <deque>
#include <poll.h>
#include <string>
#include <vector>

namespace egretspindle::standin
{

/// One direction of a connection.
struct direction
{
    struct chunk
    {
        time_point release_time;
        std::string data;
    };

    int from = -1;
    int to = -1;
    std::deque<chunk> chunks;
    std::size_t queued = 0;
    bool is_read_closed = false;
    bool is_write_closed = false;
};

/// Pair of sockets between a client and a server.
class connection
{
public:
    /// Takes ownership of the client's socket and starts to connect to the
    /// server.
    connection(proxy_link& link, int client_fd);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Appends the events to poll for, and lowers `wake` to the next release
    /// time.
    void add_poll(std::vector<pollfd>& fds, time_point now,
                  time_point& wake) const;

    /// Transfers bytes as far as the sockets and the mode of the link allow.
    ///
    /// \returns false when the connection has ended
    bool transfer(time_point now);

    /// Returns whether both directions were closed without an error.
    [[nodiscard]] bool is_complete() const noexcept
    {
        return requests_.is_write_closed && replies_.is_write_closed;
    }

    /// Closes both sockets with a reset.
    void reset();

    [[nodiscard]] const proxy_link& link() const noexcept
    {
        return link_;
    }

private:
    bool finish_connect();
    bool receive(direction& flow, time_point now, bool is_reply);
    bool send(direction& flow, time_point now);
    void add_events(const direction& flow, bool is_held, short& from_events,
                    short& to_events, time_point now, time_point& wake) const;

    proxy_link& link_;
    int client_fd_;
    int server_fd_;
    bool is_connected_ = false;
    direction requests_;
    direction replies_;
};

} // namespace egretspindle::standin

#endif
