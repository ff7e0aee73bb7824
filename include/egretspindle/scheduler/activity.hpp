/// \file
/// What a host has done lately, for one log line every few seconds.

#ifndef EGRETSPINDLE_SCHEDULER_ACTIVITY_HPP
#define EGRETSPINDLE_SCHEDULER_ACTIVITY_HPP

#include "egretspindle/core/clock.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace egretspindle
{

/// Calls of one kind since the last line.
struct call_activity
{
    std::atomic<std::int64_t> count{0};
    std::atomic<std::int64_t> failed{0};
    std::atomic<std::int64_t> total_ms{0};
    std::atomic<std::int64_t> longest_ms{0};
};

/// Adds one call.
void count_call(call_activity& calls, milliseconds duration,
                bool is_answered) noexcept;

/// Datagrams of one direction since the last line.
struct datagram_activity
{
    std::atomic<std::int64_t> count{0};
    std::atomic<std::int64_t> bytes{0};
};

/// Adds one datagram.
void count_datagram(datagram_activity& datagrams, std::size_t bytes) noexcept;

/// Tells a host that is short of processors or of its link from one whose
/// racks are full. Usable from several threads.
struct host_activity
{
    call_activity polls;
    call_activity orders;
    datagram_activity reports_in;
    datagram_activity reports_out;
    std::atomic<std::int64_t> longest_tick_ms{0}; ///< work of one period
};

/// Queues of a host when a line is written.
struct queue_lengths
{
    std::size_t racks = 0;
    std::int64_t queued_starts = 0;
};

/// Writes one line and starts to count anew.
void log_activity(host_activity& activity, const queue_lengths& queues);

} // namespace egretspindle

#endif
