/// \file
/// RPC server for messages between hosts.

#ifndef EGRETSPINDLE_NET_RPC_SERVER_HPP
#define EGRETSPINDLE_NET_RPC_SERVER_HPP

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace egretspindle
{

/// Handles one message. Called from several threads concurrently.
///
/// The result is the payload of the reply.
using rpc_handler = std::function<absl::StatusOr<std::string>(
    const std::string& type, const std::string& sender,
    const std::string& payload)>;

/// Serves authenticated JSON-RPC on one address.
class rpc_server
{
public:
    /// \param cluster_key  key shared by all hosts
    /// \param handler      called for each authentic message
    rpc_server(std::string cluster_key, rpc_handler handler);
    ~rpc_server();
    rpc_server(const rpc_server&) = delete;
    rpc_server& operator=(const rpc_server&) = delete;

    /// Listens on an IP address and starts the threads that serve connections.
    [[nodiscard]] absl::Status start(const std::string& address,
                                     unsigned short port);

    /// Stops listening and joins the threads.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
