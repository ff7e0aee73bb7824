/// \file
/// Functions that the runtimes of owned racks call.

#ifndef EGRETSPINDLE_REQUEST_PATH_RACK_HOOKS_HPP
#define EGRETSPINDLE_REQUEST_PATH_RACK_HOOKS_HPP

#include "egretspindle/adapters/target_client.hpp"
#include "egretspindle/ownership/rack_id.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/protocol/task_report.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace egretspindle
{

/// Functions of the host that a rack runtime calls.
struct rack_hooks
{
    /// Creates a client for the target at an address.
    std::function<absl::StatusOr<std::unique_ptr<target_client>>(
        const std::string& address)>
        make_client;
    /// Reports the end of an attempt to the coordinator of its request in
    /// the given data centre; OK once it is recorded.
    std::function<absl::Status(const std::string& data_center,
                               const task_report& report)>
        report_end;
    /// Called each time a target rejects the fencing token of a rack as stale.
    std::function<void(const rack_id& rack)> stale_epoch;
    /// Returns the limits of the plan in force.
    std::function<std::shared_ptr<const policy_limits>()> limits;
    /// Returns whether the plan lists a target as leaving.
    std::function<bool(const std::string& target)> is_leaving_by_plan;
    /// Returns whether the platform lists a host as an entry host.
    std::function<bool(const std::string& host)> is_listed;
};

} // namespace egretspindle

#endif
