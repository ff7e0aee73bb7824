/// \file
/// Settings and surroundings of a coordinator.

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
    /// Longest that an urgent start waits for its claim to be recorded.
    milliseconds claim_timeout{250};
    /// Longest that other store calls may take.
    milliseconds store_timeout{2000};
    std::size_t max_workers = 256;
    /// Batch starts that may be under way at once.
    int max_batch_starts = 32;
    /// Targets on which an attempt may fail before the request fails.
    int max_failures = 3;
    std::size_t max_queued_batch = 20'000;
    /// Larger answers go to the object store.
    std::size_t max_inline_answer = 65'536;
    /// Interval of polls of a running attempt without news.
    milliseconds poll_interval{5000};
    /// Interval for a batch attempt that its target confirmed.
    milliseconds confirmed_poll_interval{30'000};
    /// How long recorded replies stay in memory.
    milliseconds retention{60'000};
};

/// What a coordinator needs from the rest of the host.
struct coordinator_hooks
{
    /// Asks another host that is in charge of a request.
    std::function<absl::StatusOr<request_reply>(const std::string& host,
                                                const key_query& query)>
        forward_wait;
    /// Tells another host that is in charge that an attempt ended.
    std::function<absl::Status(const std::string& host,
                               const task_report& report)>
        forward_ended;
    /// Returns whether a host is alive.
    std::function<bool(const std::string& host)> is_alive;
    /// Returns whether the members of the data centre have not changed for
    /// long enough that no other coordinator can still be active for a key.
    std::function<bool()> is_membership_stable;
    /// Returns the limits of the plan in force.
    std::function<std::shared_ptr<const policy_limits>()> limits;
    /// Returns the summaries of the racks of this data centre.
    std::function<std::vector<rack_summary>()> racks;
    /// Returns whether some listed target could ever hold a request; true
    /// while the host list is not known.
    std::function<bool(const resources& size)> fits_some_target;
    /// Returns whether this host is the preferred coordinator of a key.
    std::function<bool(const std::string& key)> is_preferred;
};

} // namespace egretspindle

#endif
