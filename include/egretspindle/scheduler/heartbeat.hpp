/// \file
/// Heartbeat row of this host.

#ifndef EGRETSPINDLE_SCHEDULER_HEARTBEAT_HPP
#define EGRETSPINDLE_SCHEDULER_HEARTBEAT_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace egretspindle
{

/// Writes the heartbeat row every second, from a thread of its own.
///
/// Nothing but the write itself delays it: neither reads and claims nor locks
/// of other parts. Usable from several threads.
class heartbeat
{
public:
    /// \param stall  without `report_progress` for this long nothing is
    /// written,
    ///               so that the resources of a host that hangs are taken over
    heartbeat(table_store& store, host_row self, milliseconds stall);
    ~heartbeat();
    heartbeat(const heartbeat&) = delete;
    heartbeat& operator=(const heartbeat&) = delete;

    void start();
    void stop();

    /// Waits until the first write has been answered or has failed.
    void wait_for_first();

    /// Tells that claims of this host are being decided.
    void report_progress();

    /// Sets the jobs that have not begun, by queue, for the next write.
    void set_pending(std::map<std::string, std::int64_t> pending);

    /// Marks this host as leaving and writes at once.
    void leave();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
