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
    /// claim. Also the timeout of the call that raises its attempt numbers, and
    /// of the read that precedes a reply `not_run` after an unanswered write.
    milliseconds claim_timeout{250};
    /// Timeout of each other store call of the coordinator; the completion log
    /// has a timeout of its own.
    milliseconds store_timeout{2000};
    std::size_t max_workers = 256;
    /// Largest number of batch starts in progress at a time.
    int max_batch_starts = 32;
    /// An idempotent request fails once attempts have failed on this many
    /// distinct targets, or twice as many attempts have failed in total.
    /// Another request fails with its first failed attempt.
    int max_failures = 3;
    std::size_t max_queued_batch = 20'000;
    /// Largest answer in bytes that is stored in the request record; larger
    /// ones go to the object store.
    std::size_t max_inline_answer = 65'536;
    /// Interval between polls of an attempt that no worker follows, unless
    /// `confirmed_poll_interval` applies.
    milliseconds poll_interval{5000};
    /// Interval between polls of a batch attempt whose target has confirmed the
    /// start.
    milliseconds confirmed_poll_interval{30'000};
    /// How long a recorded reply stays in memory after it became final, at
    /// least; expired ones are removed every quarter of this time.
    milliseconds retention{60'000};
};

/// Functions of the host that a coordinator calls.
struct coordinator_hooks
{
    /// Forwards a wait to the host that coordinates the request; returns the
    /// reply after at most `query.wait_ms`, final or not.
    std::function<absl::StatusOr<request_reply>(const std::string& host,
                                                const key_query& query)>
        forward_wait;
    /// Forwards the report of an ended attempt to the host that coordinates
    /// the request.
    std::function<absl::Status(const std::string& host,
                               const task_report& report)>
        forward_ended;
    /// Returns whether another host is alive according to the membership; false
    /// for this host.
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
