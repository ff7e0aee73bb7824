/// \file
/// Settings of a coordinator and the functions that it calls.

#ifndef EGRETSPINDLE_REQUEST_PATH_COORDINATOR_OPTIONS_HPP
#define EGRETSPINDLE_REQUEST_PATH_COORDINATOR_OPTIONS_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/request_reply.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/protocol/key_query.hpp"
#include "egretspindle/protocol/rack_summary.hpp"
#include "egretspindle/protocol/task_report.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Settings of a coordinator.
struct coordinator_options
{
    std::string host_name;
    std::string data_center;
    /// Longest time that an urgent start waits for the store to record its
    /// claim.
    milliseconds claim_timeout{250};
    /// Timeout of all other store calls.
    milliseconds store_timeout{2000};
    std::size_t max_workers = 256;
    /// Most batch starts in progress at a time.
    int max_batch_starts = 32;
    /// A request fails once attempts have failed on this many distinct targets.
    int max_failures = 3;
    std::size_t max_queued_batch = 20'000;
    /// Largest answer in bytes that is stored in the request record; larger
    /// ones go to the object store.
    std::size_t max_inline_answer = 65'536;
    /// Interval between polls of a running attempt.
    milliseconds poll_interval{5000};
    /// Interval between polls of a batch attempt that its target has
    /// confirmed.
    milliseconds confirmed_poll_interval{30'000};
    /// How long recorded replies stay in memory.
    milliseconds retention{60'000};
};

/// Functions of the host that a coordinator calls.
struct coordinator_hooks
{
    /// Forwards a wait to the host that coordinates the request.
    std::function<absl::StatusOr<request_reply>(const std::string& host,
                                                const key_query& query)>
        forward_wait;
    /// Forwards the report of an ended attempt to the host that coordinates
    /// the request.
    std::function<absl::Status(const std::string& host,
                               const task_report& report)>
        forward_ended;
    /// Returns whether a host is alive.
    std::function<bool(const std::string& host)> is_alive;
    /// Returns whether the membership of the data centre has been unchanged
    /// for long enough that no other coordinator can still be active for a
    /// key.
    std::function<bool()> is_membership_stable;
    /// Returns the limits of the plan in force.
    std::function<std::shared_ptr<const policy_limits>()> limits;
    /// Returns the summaries of the racks of this data centre.
    std::function<std::vector<rack_summary>()> racks;
    /// Returns whether a request of this size fits an otherwise idle listed
    /// target; true while the host list is unknown.
    std::function<bool(const resources& size)> fits_some_target;
    /// Returns whether this host is the preferred coordinator of a key.
    std::function<bool(const std::string& key)> is_preferred;
};

} // namespace egretspindle

#endif
