/// \file
/// RPC client for messages between hosts.

#ifndef EGRETSPINDLE_NET_RPC_CLIENT_HPP
#define EGRETSPINDLE_NET_RPC_CLIENT_HPP

#include "egretspindle/core/endpoint.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Sends authenticated messages to other hosts. Thread-safe.
class rpc_client
{
public:
    /// \param cluster_key  key shared by all hosts
    /// \param sender       name of this host
    rpc_client(std::string cluster_key, std::string sender);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Sends a message and waits for its reply.
    ///
    /// The message is never resent, so a reply or an error of the receiver
    /// always refers to its only copy.
    ///
    /// \returns the payload of the reply, the error returned by the receiver,
    ///          `unavailable` if nothing was sent, or `deadline_exceeded` if
    ///          the message may have taken effect
    [[nodiscard]] absl::StatusOr<std::string>
    call(const endpoint& server, std::string_view type,
         std::string_view payload, std::chrono::milliseconds timeout);

    /// Returns the number of bytes sent and received, excluding protocol
    /// headers.
    [[nodiscard]] std::uint64_t byte_count() const noexcept;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
