/// \file
/// Counters of a host's calls to targets and of its load datagrams, which are
/// logged and reset every 5 s.

#ifndef EGRETSPINDLE_SCHEDULER_ACTIVITY_HPP
#define EGRETSPINDLE_SCHEDULER_ACTIVITY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/scheduler/host_outbox.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace egretspindle
{

/// Calls to targets of one kind since the last log line.
struct call_activity
{
    std::atomic<std::int64_t> count{0};
    std::atomic<std::int64_t> failed{0}; ///< without an answer
    std::atomic<std::int64_t> total_ms{0};
    std::atomic<std::int64_t> longest_ms{0};
};

/// Adds one call.
///
/// \param is_answered  the target answered, even if it refused the order
void count_call(call_activity& calls, milliseconds duration,
                bool is_answered) noexcept;

/// Datagrams of one direction since the last log line.
struct datagram_activity
{
    std::atomic<std::int64_t> count{0};
    std::atomic<std::int64_t> bytes{0};
};

/// Adds one datagram.
void count_datagram(datagram_activity& datagrams, std::size_t bytes) noexcept;

/// Activity of a host since the last log line. Distinguishes a host that is
/// short of CPU or network bandwidth from one whose racks are full. Usable from
/// several threads.
struct host_activity
{
    call_activity polls;
    call_activity orders;          ///< starts, stops and speed limits
    datagram_activity reports_in;  ///< load messages received
    datagram_activity reports_out; ///< load messages sent, once per peer
    /// Longest duration of one round of the periodic work of the scheduler.
    std::atomic<std::int64_t> longest_tick_ms{0};
};

/// Queues of a host when a log line is written.
struct queue_lengths
{
    std::size_t racks = 0;          ///< with a load report
    std::int64_t queued_starts = 0; ///< in the queues of these racks
    write_backlog writes;           ///< of job records
    outbox_backlog orders;          ///< for owners of racks
    outbox_backlog reports;         ///< for owners of jobs
};

/// Logs the counters and resets them.
void log_activity(host_activity& activity, const queue_lengths& queues);

} // namespace egretspindle

#endif
