/// \file
/// Callbacks from the operators' interface to the process.

#ifndef EGRETSPINDLE_ADMIN_ADMIN_HOOKS_HPP
#define EGRETSPINDLE_ADMIN_ADMIN_HOOKS_HPP

#include "egretspindle/admin/request_status.hpp"
#include "egretspindle/admin/target_status.hpp"
#include "egretspindle/protocol/host_status.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Callbacks to the rest of the process, called from several threads. If one is
/// empty, its endpoint replies `unavailable`.
struct admin_hooks
{
    /// Status of this host.
    std::function<host_status()> local_status;
    /// Status of the host whose RPC server listens at `ip:port`; returns
    /// within 2 s.
    std::function<absl::StatusOr<host_status>(const std::string& address)>
        peer_status;
    /// Targets that this host knows of.
    std::function<std::vector<target_status>()> targets;
    /// Open requests that this host coordinates, oldest first.
    std::function<std::vector<request_status>(int limit)> requests;
    /// Request with the key `team/id`, from any host.
    std::function<absl::StatusOr<request_status>(const std::string& key)>
        find_request;
    /// Explanation of the state of a request, for operators.
    std::function<absl::StatusOr<std::string>(const std::string& key)> explain;
};

} // namespace egretspindle

#endif
