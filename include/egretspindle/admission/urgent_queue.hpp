/// \file
/// Bounded queue of urgent requests at a rack owner.

#ifndef EGRETSPINDLE_ADMISSION_URGENT_QUEUE_HPP
#define EGRETSPINDLE_ADMISSION_URGENT_QUEUE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/placement/task_request.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Queued urgent request.
struct urgent_item
{
    task_request request;
    double run_ms = 0; ///< predicted run time
    time_point enqueued;
    std::uint64_t id = 0; ///< set by `admit`
};

/// Urgent requests that wait for a task to end. Plain data for the functions
/// below.
struct urgent_queue
{
    std::vector<urgent_item> items; ///< in order of arrival
    std::size_t max_items = 256;
    std::uint64_t next_id = 1;
    /// Starts per team, decaying with a half-life of 5 s, for weighted fair
    /// order.
    std::map<std::string, double> recent_starts;
    time_point recent_starts_updated;
    double starts_per_s = 0; ///< moving average of starts from the queue
    time_point last_start;
};

/// Result of an admission.
struct urgent_admission
{
    bool admitted = false;
    std::uint64_t id = 0; ///< of the item, when admitted
    double predicted_wait_ms = 0;
    std::int64_t retry_after_ms = 0; ///< when not admitted
    std::string reason;              ///< when not admitted
    /// Id of the item that was removed to make room, of a team above its
    /// share. The caller has to answer it with `not_run`. 0 if there is none.
    std::uint64_t displaced = 0;
};

/// Queues an urgent request, or rejects it when it cannot meet its deadline.
///
/// \param queue    queue to update
/// \param limits   weights from the plan
/// \param request  request to queue
/// \param run_ms   predicted run time
/// \param wait_ms  predicted wait for the next free slot
/// \param now      current time
[[nodiscard]] urgent_admission admit(urgent_queue& queue,
                                     const policy_limits& limits,
                                     const task_request& request, double run_ms,
                                     double wait_ms, time_point now);

/// Returns the id of the item to try next: of the team with the fewest recent
/// starts for its weight, and there the one with the least slack before its
/// deadline. The caller tries `choose_target` and calls `remove` when the item
/// is started.
///
/// \param skip  ids of the items already tried in this round
[[nodiscard]] std::optional<std::uint64_t>
next_urgent(const urgent_queue& queue, const policy_limits& limits,
            const std::vector<std::uint64_t>& skip, time_point now);

/// Returns the item with the given id, or null.
[[nodiscard]] const urgent_item* find_urgent(const urgent_queue& queue,
                                             std::uint64_t id);

/// Removes an item.
///
/// \param started  whether it was started; counted for the fair order
/// \returns whether it was queued
bool remove(urgent_queue& queue, std::uint64_t id, bool started,
            time_point now);

/// Counts the start of a request that did not wait, for the fair order.
void observe_start(urgent_queue& queue, const std::string& team,
                   time_point now);

/// Removes and returns the ids of items whose deadline can no longer be met.
[[nodiscard]] std::vector<std::uint64_t> expire(urgent_queue& queue,
                                                time_point now);

} // namespace egretspindle

#endif
