/// \file
/// Heartbeat row of this host.

#ifndef EGRETSPINDLE_SCHEDULER_HEARTBEAT_HPP
#define EGRETSPINDLE_SCHEDULER_HEARTBEAT_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/core/boot_clock.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Writes the heartbeat row every second, from a thread of its own.
///
/// Reads, claims and locks of other components do not delay the writes. Usable
/// from several threads.
class heartbeat
{
public:
    /// \param part           part of the store that has the row
    /// \param self           initial row; `beat` is incremented before each
    ///                       write, also if the write fails
    /// \param stall_timeout  without a call of `report_progress` for this long
    ///                       no heartbeats are written, so that other hosts
    ///                       take over the resources of a hung host
    heartbeat(table_store& store, std::string part, host_row self,
              milliseconds stall_timeout);
    ~heartbeat();
    heartbeat(const heartbeat&) = delete;
    heartbeat& operator=(const heartbeat&) = delete;

    /// Starts the thread, which writes the first heartbeat at once.
    void start();

    /// Stops and joins the thread.
    void stop();

    /// Waits until the first write has been answered or has failed, or `stop`
    /// is called.
    void wait_for_first();

    /// Reports that the loop of reads and claims in `cluster_agent` makes
    /// progress. Restarts the time of `stall_timeout`.
    void report_progress();

    /// Returns the start of the last write that the store confirmed; the epoch
    /// of the clock if there is none.
    [[nodiscard]] boot_time_point confirmed_at() const;

    /// Returns the row as the store last confirmed it; no value if it never
    /// did.
    [[nodiscard]] std::optional<known_host> confirmed_row() const;

    /// Sets the number of jobs that have not started, by queue, and the
    /// resources that must not move, for the next write.
    void set_state(std::map<std::string, std::int64_t> pending,
                   std::vector<std::string> unmovable);

    /// Marks this host as leaving and wakes the thread, so that it writes the
    /// row at once. Once the store has confirmed it, no more heartbeats are
    /// written until `leave` is called again: claims from a host that leaves
    /// depend on its last one.
    void leave();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
