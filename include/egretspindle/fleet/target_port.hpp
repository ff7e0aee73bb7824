/// \file
/// Orders to targets.

#ifndef EGRETSPINDLE_FLEET_TARGET_PORT_HPP
#define EGRETSPINDLE_FLEET_TARGET_PORT_HPP

#include "egretspindle/fleet/target_entry.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Order to start a run. A repeated order starts the run once.
struct start_order
{
    std::string task;
    std::int64_t run = 0;
    std::string text; ///< specification of the job
    std::string checkpoint;
    std::int64_t lease_until_ms = 0; ///< on the target's clock
    std::int64_t token = 0;          ///< fencing token of the rack
};

/// Order to stop a run. A run that has not arrived yet can then never start.
struct stop_order
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t token = 0;
};

/// Order to let a task work at a share of its speed.
struct pace_order
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
    std::int64_t token = 0;
};

/// Renewal of the leases on a target, and request for its lists.
struct poll_request
{
    std::int64_t token = 0;
    std::int64_t acknowledged = 0; ///< number of the last recorded end
    std::int64_t lease_until_ms = 0;
    std::chrono::milliseconds wait{0}; ///< for a new end
};

/// Answer of a target to an order.
enum class order_verdict
{
    taken,
    wrong_token, ///< the target has seen a newer owner
    old_run,     ///< this run, or a later one, has ended there
    too_late,    ///< the lease of the order has expired
    no_room,
    no_permission, ///< the policy service's permission is missing or expired
    other_boot,    ///< the target has restarted since
    unhealthy,     ///< nothing was done
    malformed,
};

/// Answer of a target to an order, with its clock.
struct order_answer
{
    order_verdict verdict = order_verdict::taken;
    std::int64_t clock_ms = 0; ///< 0: not given
};

/// Run at work on a target.
struct listed_run
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint; ///< latest one
    std::int64_t percent = 0;
    std::int64_t load = 0; ///< tail in ms of a serving task, else CPU in use
};

/// End that a target keeps until it is acknowledged.
struct listed_end
{
    std::int64_t number = 0; ///< rises within one life of the target
    std::string task;
    std::int64_t run = 0;
    std::string how;
    std::string checkpoint;
};

/// Answer to a poll.
struct poll_answer
{
    order_verdict verdict = order_verdict::taken;
    std::int64_t clock_ms = 0;
    std::int64_t started_ms = 0; ///< Unix time of the start of this life
    std::vector<listed_run> runs;
    std::vector<listed_end> ends;
};

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
    [[nodiscard]] virtual absl::StatusOr<order_answer>
    pace(const target_entry& target, const pace_order& order,
         std::chrono::milliseconds timeout) = 0;
    [[nodiscard]] virtual absl::StatusOr<poll_answer>
    poll(const target_entry& target, const poll_request& order,
         std::chrono::milliseconds timeout) = 0;
};

} // namespace egretspindle

#endif
