/// \file
/// Summary of why the starts in the queue of a rack wait.

#ifndef EGRETSPINDLE_RACK_QUEUE_SUMMARY_HPP
#define EGRETSPINDLE_RACK_QUEUE_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace egretspindle
{

/// Start of a long-running task that waits in the queue of a rack, and how much
/// room the open targets of the rack have for it.
struct long_running_wait
{
    std::string task;
    milliseconds away{0}; ///< see `waited`
    task_size size;
    std::int64_t largest_free_milli = 0; ///< free processors of one target
    /// The same once its short tasks have ended; see `eventual_capacity`.
    std::int64_t largest_eventual_milli = 0;
    std::size_t reserved_targets = 0; ///< see `update_reservations`
};

/// Reason why a queued start waits, in the order of the checks of a target.
enum class wait_reason
{
    record,     ///< a repeated start waits for the job record
    closed,     ///< no target accepts starts
    room,       ///< too few free processors, other service or label
    memory,     ///< too little free memory, too few accelerators
    limit,      ///< maximum of tasks of the step per target
    held,       ///< targets are reserved for long-running starts
    processors, ///< of backfill tasks: no idle processors
    reserved,   ///< of backfill tasks: targets are kept for other images
    headroom,   ///< of backfill tasks: see `backfill_rejection`
    none,       ///< a target can take it now
};

constexpr std::size_t wait_reason_count = 10;

/// Longest waits by reason, of starts of short tasks and of long-running ones.
using longest_waits =
    std::array<std::array<milliseconds, 2>, wait_reason_count>;

/// Numbers of queued starts by the reason why they wait. Of the reasons of all
/// targets, the one of the last check in the order given here counts.
struct queue_summary
{
    std::size_t queued = 0;
    std::size_t long_running = 0; ///< of long-running tasks
    std::size_t repeated = 0; ///< see `queued_start::is_repeated`; these are
                              ///< not counted by a reason
    milliseconds oldest{0};   ///< longest time in the queue
    std::size_t closed = 0;   ///< no target accepts starts
    std::size_t room = 0;   ///< too few free processors, other service or label
    std::size_t memory = 0; ///< too little free memory, too few accelerators
    std::size_t limit = 0;  ///< maximum of tasks of the step per target
    std::size_t held = 0;   ///< targets are reserved for long-running starts
    // Of backfill tasks; see `backfill_rejection`.
    std::size_t processors = 0;
    std::size_t reserved = 0;
    std::size_t headroom = 0;
    std::size_t placeable = 0; ///< a target can take it now
    /// Longest wait of a start of a long-running task.
    milliseconds oldest_long_running{0};
    /// Longest waits through all racks, see `waited`.
    longest_waits waits{};
    /// The target closest to taking the start that has waited longest for
    /// headroom; no value if none waits for it.
    std::optional<headroom_check> closest_headroom;
    /// The start of the long-running task that has been away longest; no value
    /// if none waits.
    std::optional<long_running_wait> longest_away;
};

/// Keeps the longer wait for each reason.
void merge_waits(longest_waits& all, const longest_waits& other) noexcept;

/// Summarizes the queue of a rack.
[[nodiscard]] queue_summary summarize_queue(const rack_state& rack,
                                            const interference_model& model,
                                            time_point now);

} // namespace egretspindle

#endif
