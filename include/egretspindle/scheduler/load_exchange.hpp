/// \file
/// Datagrams that report the load of racks to other hosts.

#ifndef EGRETSPINDLE_SCHEDULER_LOAD_EXCHANGE_HPP
#define EGRETSPINDLE_SCHEDULER_LOAD_EXCHANGE_HPP

#include "egretspindle/rack/load_message.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Sends and receives load messages. Lost datagrams are not repeated; the next
/// message replaces them.
class load_exchange
{
public:
    /// Called from the receiving thread.
    ///
    /// \param bytes  size of the datagram
    using receive_function =
        std::function<void(const load_message& message, std::size_t bytes)>;

    load_exchange(std::string key, receive_function received);
    ~load_exchange();
    load_exchange(const load_exchange&) = delete;
    load_exchange& operator=(const load_exchange&) = delete;

    /// \returns `unavailable` when the address cannot be bound
    [[nodiscard]] absl::Status start(const std::string& address,
                                     unsigned short port);
    void stop();

    /// Sends a message to hosts.
    ///
    /// \param peers  `ip:port` of each
    /// \returns the size of each datagram
    std::size_t send(const load_message& message,
                     const std::vector<std::string>& peers);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
