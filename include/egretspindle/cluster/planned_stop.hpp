/// \file
/// When a host that has been told to stop may end.

#ifndef EGRETSPINDLE_CLUSTER_PLANNED_STOP_HPP
#define EGRETSPINDLE_CLUSTER_PLANNED_STOP_HPP

#include "egretspindle/core/clock.hpp"

#include <cstddef>
#include <optional>

namespace egretspindle
{

/// Progress of a planned stop.
struct stop_progress
{
    milliseconds elapsed{0}; ///< since the host was told to stop
    /// A read of the store has shown that this host is marked as leaving.
    bool is_announced = false;
    /// Job shards and racks that this host owns as far as it knows.
    std::size_t owned = 0;
    /// Releases of racks that the next owners have not confirmed.
    std::size_t undelivered = 0;
    /// The store has the releases that are not delivered, and those of the
    /// racks that are still owned.
    bool is_released = false;
    std::size_t calls = 0; ///< of callers, in progress
};

/// Times of a planned stop.
struct stop_limits
{
    /// From the request to stop to the time at which the platform kills the
    /// process.
    milliseconds grace{6'000};
    /// Part of `grace` that is kept for ending threads and connections.
    milliseconds margin{1'000};
    /// The host accepts calls for at least this long: the platform probes its
    /// readiness every second and sends new connections until two probes have
    /// failed.
    milliseconds shortest_service{2'000};
    /// Part of the time to hand over that is kept for writing releases to the
    /// store, for racks that nobody has claimed until then.
    milliseconds release_time{800};
    /// A call gets at least this long, with the time for sending its response,
    /// or is refused: the slowest responses in regular operation take 0.3 s.
    milliseconds shortest_call{500};
};

/// Returns the time from the request to stop after which the host ends, even if
/// it has not handed everything over: `grace` less `margin`, or three quarters
/// of a grace time that is too short for the margin.
[[nodiscard]] milliseconds time_to_hand_over(const stop_limits& limits);

/// Returns the longest time of a call that begins before the host is told to
/// stop, so that it has ended when the time to hand over is over.
[[nodiscard]] milliseconds longest_call(const stop_limits& limits);

/// Returns the longest time of a call that begins while the host stops, or
/// nothing if it has to be refused, because too little time is left.
[[nodiscard]] std::optional<milliseconds>
time_for_call(milliseconds elapsed, const stop_limits& limits);

/// Returns whether a host that has been told to stop gives up the racks that it
/// still owns and writes their releases to the store, which it can do only as
/// long as the time to hand over lasts.
[[nodiscard]] bool must_release(const stop_progress& progress,
                                const stop_limits& limits);

/// Returns whether a host that has been told to stop may end: callers have been
/// sent elsewhere, every resource has been claimed by another host, every
/// release has been delivered or written to the store and no call is in
/// progress, or the time for that is over.
[[nodiscard]] bool may_end(const stop_progress& progress,
                           const stop_limits& limits);

} // namespace egretspindle

#endif
