/// \file
/// Typed messages to other hosts.

#ifndef EGRETSPINDLE_PROTOCOL_PEER_CLIENT_HPP
#define EGRETSPINDLE_PROTOCOL_PEER_CLIENT_HPP

#include "egretspindle/codec/json.hpp"
#include "egretspindle/net/rpc_client.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Sends a typed message and decodes its reply.
///
/// \param client   connections to all hosts
/// \param address  `ip:port` of the receiver
/// \param type     one of `message_type`
/// \param request  message
/// \param timeout  for the whole call
template <typename Reply, typename Request>
[[nodiscard]] absl::StatusOr<Reply>
call_peer(rpc_client& client, const std::string& address, std::string_view type,
          const Request& request, std::chrono::milliseconds timeout)
{
    const absl::StatusOr<endpoint> server = parse_endpoint(address);
    if (!server.ok())
    {
        return server.status();
    }
    const absl::StatusOr<std::string> payload =
        client.call(*server, type, to_json(request), timeout);
    if (!payload.ok())
    {
        return payload.status();
    }
    return from_json<Reply>(*payload);
}

} // namespace egretspindle

#endif
