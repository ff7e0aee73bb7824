/// \file
/// Interface for calls to targets.

#ifndef EGRETSPINDLE_FLEET_TARGET_PORT_HPP
#define EGRETSPINDLE_FLEET_TARGET_PORT_HPP

#include "egretspindle/fleet/target_entry.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace egretspindle
{

/// Order to start a run. Repeated copies of the order start the run once,
/// unless the target restarts in between.
struct start_order
{
    std::string task;
    std::int64_t run = 0;            ///< number of the run of the task
    std::string text;                ///< specification of the job
    std::string checkpoint;          ///< to resume from; empty: none
    std::int64_t lease_until_ms = 0; ///< on the target's clock
    std::int64_t token = 0;          ///< fencing token of the rack
};

/// Order to stop a run. If the run has not started yet, it cannot start
/// afterwards, even if a start order arrives later, until the target restarts.
struct stop_order
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t token = 0; ///< fencing token of the rack
};

/// Order to limit a task to a percentage of its full speed.
struct pace_order
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
    std::int64_t token = 0; ///< fencing token of the rack
};

/// Order to renew the leases on a target and to return its lists of runs and
/// ends.
struct poll_request
{
    std::int64_t token = 0; ///< fencing token of the rack
    /// Number up to which all listed ends are recorded; 0: acknowledges none.
    std::int64_t acknowledged = 0;
    /// End of the leases on the target's clock; 0: renews no lease.
    std::int64_t lease_until_ms = 0;
    std::chrono::milliseconds wait{0}; ///< longest wait for a new end
};

/// Answer of a target to an order.
enum class order_verdict
{
    taken,         ///< accepted
    wrong_token,   ///< the target has seen a newer owner
    old_run,       ///< this run or a later one of the task has ended there
    too_late,      ///< the lease of the order has expired
    no_room,       ///< too little free capacity
    no_permission, ///< the policy service's permission is missing or expired
    other_boot,    ///< the target has restarted since it was listed
    unhealthy,     ///< nothing was done
    malformed,     ///< any other refusal
};

/// Answer of a target to an order, with its clock.
struct order_answer
{
    order_verdict verdict = order_verdict::taken;
    std::int64_t clock_ms = 0; ///< the target's own clock; 0: not given
};

/// Run that is active on a target.
struct listed_run
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;   ///< latest one
    std::int64_t percent = 0; ///< current speed, of its full speed
    /// Tail latency in ms of a serving task; for others, CPU in use in
    /// thousandths of a core.
    std::int64_t load = 0;
};

/// End of a run that a target lists until it is acknowledged.
struct listed_end
{
    std::int64_t number = 0; ///< increases until the target restarts
    std::string task;
    std::int64_t run = 0;
    std::string how;        ///< name of a `run_end`
    std::string checkpoint; ///< latest one
};

/// Answer to a poll.
struct poll_answer
{
    order_verdict verdict = order_verdict::taken;
    std::int64_t clock_ms = 0;    ///< the target's own clock
    std::int64_t started_ms = 0;  ///< Unix time in ms when its process started
    std::vector<listed_run> runs; ///< all active ones
    /// Oldest ends that are not acknowledged, at most `max_ends`.
    std::vector<listed_end> ends;
    /// Most ends that an answer lists. With this many, later ones may be left
    /// out, and a run that is in neither list may have ended there.
    std::size_t max_ends = std::numeric_limits<std::size_t>::max();
};

/// Returns whether an answer certainly lists all ends that are not
/// acknowledged.
[[nodiscard]] inline bool has_all_ends(const poll_answer& answer) noexcept
{
    return answer.ends.size() < answer.max_ends;
}

/// Calls to targets. Usable from several threads.
///
/// Errors: `unavailable` when nothing was sent, `deadline_exceeded` when the
/// order may have been carried out or may be carried out later.
class target_port
{
public:
    virtual ~target_port() = default;

    [[nodiscard]] virtual absl::StatusOr<order_answer>
    start(const target_entry& target, const start_order& order,
          std::chrono::milliseconds timeout) = 0;
    [[nodiscard]] virtual absl::StatusOr<order_answer>
    stop(const target_entry& target, const stop_order& order,
         std::chrono::milliseconds timeout) = 0;
    /// Limits the speed of a task.
    [[nodiscard]] virtual absl::StatusOr<order_answer>
    pace(const target_entry& target, const pace_order& order,
         std::chrono::milliseconds timeout) = 0;
    [[nodiscard]] virtual absl::StatusOr<poll_answer>
    poll(const target_entry& target, const poll_request& order,
         std::chrono::milliseconds timeout) = 0;
};

} // namespace egretspindle

#endif
