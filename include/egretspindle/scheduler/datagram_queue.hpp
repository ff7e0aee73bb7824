/// \file
/// Order and pace in which load messages are sent to other hosts.

#ifndef EGRETSPINDLE_SCHEDULER_DATAGRAM_QUEUE_HPP
#define EGRETSPINDLE_SCHEDULER_DATAGRAM_QUEUE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/load_message.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Datagrams that are sent at once. Links with small buffers drop the end of a
/// longer burst, so it is longer only if the queue would last for more than
/// `max_bursts` otherwise.
constexpr std::size_t datagrams_per_burst = 2;
/// Time between two bursts.
constexpr milliseconds burst_interval{10};
/// Bursts in which a queue is sent, 0.2 s: the next load reports are queued
/// with the next tick of the scheduler, 250 ms later.
constexpr std::size_t max_bursts = 20;

/// Message that is to be sent to a host.
struct queued_datagram
{
    std::shared_ptr<const load_message> message;
    std::string peer;       ///< address of the host, as `ip:port`
    time_point measured_at; ///< of the content of the message
};

/// Datagrams that wait to be sent. Not synchronized.
struct datagram_queue
{
    std::deque<queued_datagram> waiting;
    /// Positions of the peers' first datagrams in the latest calls of
    /// `add_datagrams`, from 0 (first) to 1 (last).
    std::map<std::string, double> positions;
    std::size_t burst_size = datagrams_per_burst;
    time_point burst_at; ///< when the latest burst was taken
};

/// Adds each message for each peer, each time at another position: if a link
/// drops the last datagrams of a call, no peer misses the same ones many times
/// in a row. Of earlier datagrams, the oldest are dropped if more wait
/// than are added, so that a socket that blocks does not let the queue grow.
void add_datagrams(datagram_queue& queue,
                   const std::vector<load_message>& messages,
                   const std::vector<std::string>& peers,
                   time_point measured_at);

/// Removes and returns the datagrams to send now; empty until `burst_interval`
/// has passed since the latest burst.
[[nodiscard]] std::vector<queued_datagram> take_burst(datagram_queue& queue,
                                                      time_point now);

} // namespace egretspindle

#endif
