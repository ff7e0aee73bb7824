/// \file
/// Queue of a coordinator's batch requests.

#ifndef EGRETSPINDLE_ADMISSION_BATCH_QUEUE_HPP
#define EGRETSPINDLE_ADMISSION_BATCH_QUEUE_HPP

#include "egretspindle/admission/batch_item.hpp"
#include "egretspindle/admission/team_use.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/policy_limits.hpp"
#include "egretspindle/protocol/rack_summary.hpp"

#include <absl/status/status.h>
#include <absl/types/span.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace egretspindle
{

/// Batch requests by team. Plain data for the functions below.
struct batch_queue
{
    /// Sort key within a team: enqueue time in ms, moved earlier by the
    /// priority, then the sequence number.
    using order_key = std::pair<std::int64_t, std::uint64_t>;

    std::map<std::string, std::map<order_key, batch_item>> teams;
    std::unordered_map<std::string, std::pair<std::string, order_key>> index;
    std::uint64_t next_sequence = 0;
    std::size_t max_items = 50000; ///< limit for all teams together
};

/// Returns the number of queued requests.
[[nodiscard]] std::size_t queue_size(const batch_queue& queue) noexcept;

/// Checks whether a request of the team may be added.
///
/// \returns `overloaded` when the queue of the team or the whole queue is full
[[nodiscard]] absl::Status check_queue_capacity(const batch_queue& queue,
                                                const policy_limits& limits,
                                                const std::string& team);

/// Adds a recorded request; does nothing if the key is already queued.
///
/// Does not enforce the limits, since a recorded request is never dropped. Call
/// `check_queue_capacity` before the record is written.
void push(batch_queue& queue, batch_item item);

/// Removes a request.
///
/// \returns whether it was queued
bool cancel(batch_queue& queue, const std::string& key);

/// Removes and returns the request to start next.
///
/// The team with the lowest use relative to its weight comes first. Within a
/// team the oldest request comes first; each level of priority counts as
/// 60 s of additional age. While the first one does not fit, later ones that
/// fit are started (backfill). Once it has waited for more than 60 s, only
/// those expected to end within 10 s are.
///
/// \param queue   queue to update
/// \param limits  weights from the plan
/// \param use     resources of started batch requests by team
/// \param racks   summaries of the racks that could run it
/// \param now     current time
/// \returns no value when no request is due and fits
[[nodiscard]] std::optional<batch_item>
next_batch(batch_queue& queue, const policy_limits& limits,
           const team_use_map& use, absl::Span<const rack_summary> racks,
           time_point now);

/// Puts a request that could not be placed back into the queue, at its previous
/// position.
///
/// \param delay  time before it is tried again
void defer(batch_queue& queue, batch_item item, time_point now,
           milliseconds delay);

} // namespace egretspindle

#endif
