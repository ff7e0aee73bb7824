/// \file
/// Listening TCP socket.

#ifndef EGRETSPINDLE_SRC_NET_LISTENER_HPP
#define EGRETSPINDLE_SRC_NET_LISTENER_HPP

#include <string>

namespace egretspindle
{

/// Listens on one address. The object may be used by one thread at a time.
class listener
{
public:
    listener() = default;
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    /// Listens on an IP address; an empty one stands for all. Throws if it
    /// cannot be bound.
    void open(const std::string& address, unsigned short port);

    /// Waits for a connection. Connections that are waiting when the stop
    /// begins are still returned.
    ///
    /// \param stop_fd  readable when no further connection is waited for
    /// \returns a socket that the caller closes, or -1 after the stop; throws
    ///          if a connection cannot be accepted
    [[nodiscard]] int accept(int stop_fd);

    /// Refuses connections from now on.
    void close();

private:
    static constexpr int max_waiting = 256;

    int fd_ = -1;
    /// Connections that are still accepted after the stop, so that callers that
    /// connect again and again do not delay it.
    int left_after_stop_ = max_waiting;
};

} // namespace egretspindle

#endif
