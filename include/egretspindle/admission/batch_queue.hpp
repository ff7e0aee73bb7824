/// \file
/// Queue of open batch requests of a coordinator.

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

/// Batch requests by team. Plain data, changed by the functions below.
struct batch_queue
{
    /// Aged start order within a team: enqueue time less the head start of
    /// the priority, then the sequence number.
    using order_key = std::pair<std::int64_t, std::uint64_t>;

    std::map<std::string, std::map<order_key, batch_item>> teams;
    std::unordered_map<std::string, std::pair<std::string, order_key>> index;
    std::uint64_t next_sequence = 0;
    std::size_t max_items = 50000; ///< of all teams together
};

/// Returns the number of waiting requests.
[[nodiscard]] std::size_t queue_size(const batch_queue& queue) noexcept;

/// Returns whether a request of the team could be added.
///
/// \returns `overloaded` when the queue of the team or the whole is full
[[nodiscard]] absl::Status check_queue_capacity(const batch_queue& queue,
                                                const policy_limits& limits,
                                                const std::string& team);

/// Adds a recorded request; a key that is queued already is left as it is.
///
/// Does not check the room: a recorded request is never dropped. Call
/// `check_queue_capacity` before the record is written.
void push(batch_queue& queue, batch_item item);

/// Removes a request.
///
/// \returns whether it was queued
bool cancel(batch_queue& queue, const std::string& key);

/// Removes and returns the request to start next.
///
/// Teams are served by their use relative to their weight. Within a team the
/// oldest request goes first, with a head start for priority. When it does
/// not fit, smaller ones that end soon may go before it until it has waited
/// for long.
///
/// \param queue   queue to take from
/// \param limits  weights from the plan
/// \param use     started batch requests by team
/// \param racks   summaries of the racks that could run it
/// \param now     current time
/// \returns nothing when no request is due and fits
[[nodiscard]] std::optional<batch_item>
next_batch(batch_queue& queue, const policy_limits& limits,
           const team_use_map& use, absl::Span<const rack_summary> racks,
           time_point now);

/// Returns a request that could not be placed to the queue, at its old place
/// in the order.
///
/// \param delay  how long it is left out
void defer(batch_queue& queue, batch_item item, time_point now,
           milliseconds delay);

} // namespace egretspindle

#endif
