/// \file
/// Exchange of load messages between hosts over UDP.

#ifndef EGRETSPINDLE_SCHEDULER_LOAD_EXCHANGE_HPP
#define EGRETSPINDLE_SCHEDULER_LOAD_EXCHANGE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/load_message.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Sends and receives load messages. Lost datagrams are not resent: later load
/// reports replace them, and learned interference is refreshed periodically.
class load_exchange
{
public:
    /// Called from the receiving thread with each authentic, well-formed
    /// message.
    ///
    /// \param bytes  size of the datagram, with its authentication tag
    using receive_function =
        std::function<void(const load_message& message, std::size_t bytes)>;

    /// \param authentication_key  secret that all hosts of the cluster share;
    ///                            datagrams are authenticated, not encrypted
    load_exchange(std::string authentication_key, receive_function on_receive);
    ~load_exchange();
    load_exchange(const load_exchange&) = delete;
    load_exchange& operator=(const load_exchange&) = delete;

    /// Binds the UDP socket and starts the receiving and the sending thread.
    ///
    /// \param port  0: the kernel chooses a free one, see `port`
    /// \returns `unavailable` when the address cannot be bound
    [[nodiscard]] absl::Status start(const std::string& address,
                                     unsigned short port);

    /// Returns the port of the socket, 0 unless it is bound.
    [[nodiscard]] unsigned short port() const noexcept;

    /// Joins the threads, within 0.5 s, and closes the socket. Datagrams that
    /// are still queued are not sent.
    void stop();

    /// Queues messages for each peer and returns; see `datagram_queue.hpp` for
    /// the pace at which they are sent. Errors are ignored, and a datagram of
    /// more than 60'000 bytes is not sent.
    ///
    /// \param messages  sent with their `age_ms`
    /// \param measured_at  start of the measurement of their content
    /// \param peers  addresses of the hosts, as `ip:port`
    /// \returns the size in bytes of the datagram of each message without its
    ///          age, which is the same for all peers
    std::vector<std::size_t> send(const std::vector<load_message>& messages,
                                  time_point measured_at,
                                  const std::vector<std::string>& peers);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
