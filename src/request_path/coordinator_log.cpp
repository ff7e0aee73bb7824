// Log lines of routing decisions.

#include "egretspindle/logging/decision.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

namespace egretspindle
{

void coordinator::log_route(const place_request& request,
                            const absl::StatusOr<place_reply>& reply)
{
    const std::string key = key_of(request.spec);
    std::string reason;
    decision line;
    line.action = request.reserve_only ? "reserve" : "route";
    line.request = key;
    line.rack = request.rack;
    if (!reply.ok())
    {
        reason = std::string(reply.status().message());
    }
    else if (reply->placed)
    {
        line.target = reply->target;
        reason = fmt::format("accepted by the owner in {}, attempt {}",
                             request.data_center, request.attempt);
    }
    else
    {
        reason = reply->reason;
    }
    line.reason = reason;
    log_decision(line);
}

} // namespace egretspindle
