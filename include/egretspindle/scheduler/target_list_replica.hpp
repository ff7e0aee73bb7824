/// \file
/// Copy of the platform's list of targets.

#ifndef EGRETSPINDLE_SCHEDULER_TARGET_LIST_REPLICA_HPP
#define EGRETSPINDLE_SCHEDULER_TARGET_LIST_REPLICA_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/scheduler/table_watch.hpp"
#include "egretspindle/scheduler/target_list_messages.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Callbacks of a replica. Called from its thread, without its lock.
struct target_list_hooks
{
    /// Decodes all rows of the table. The result is used before the next call.
    std::function<const std::map<std::string, target_entry>&(
        const row_map& rows)>
        decode;
    /// Returns the addresses of the hosts whose list to follow, the preferred
    /// one first; empty if this host has to read the store.
    std::function<std::vector<std::string>()> sources;
    /// Sends a request to another host.
    std::function<absl::StatusOr<target_list_reply>(
        const std::string& peer, const target_list_request& request,
        milliseconds timeout)>
        call;
    /// Called with the whole list after each change, and once for the first
    /// list.
    std::function<void(const std::map<std::string, target_entry>& entries)>
        on_change;
};

/// Follows the list of targets.
///
/// Two hosts of each data centre read the list from the store, the others
/// follow the copy of one of them: every target changes its row each second, so
/// that what the hosts read from the store would grow with the product of hosts
/// and targets. A host whose source does not answer in time, or is out of date,
/// avoids it for 5 s, and reads the store itself if it avoids all.
class target_list_replica
{
public:
    /// \param boot   start time of this process in Unix ms
    /// \param pause  between reads of the store. A list that was read longer
    ///               ago, plus the time of a read, is out of date.
    target_list_replica(table_store& store, std::string table,
                        std::int64_t boot, milliseconds pause,
                        target_list_hooks hooks);
    ~target_list_replica();
    target_list_replica(const target_list_replica&) = delete;
    target_list_replica& operator=(const target_list_replica&) = delete;

    /// Starts the thread.
    void start();

    /// Stops and joins the thread. Waits for a call in progress, about 1 s.
    void stop();

    /// Answers another host, after up to `target_list_request::wait_ms`.
    [[nodiscard]] target_list_reply answer(const target_list_request& request);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
