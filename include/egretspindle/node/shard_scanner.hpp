/// \file
/// Takeover of open requests in the shards of this host.

#ifndef EGRETSPINDLE_NODE_SHARD_SCANNER_HPP
#define EGRETSPINDLE_NODE_SHARD_SCANNER_HPP

#include "egretspindle/core/clock.hpp"

#include <absl/status/status.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace egretspindle
{

/// Scans the shards of this host periodically and after each membership
/// change, so that open requests of failed coordinators are taken over.
class shard_scanner
{
public:
    /// \param is_own     whether this host coordinates a shard
    /// \param take_over  takes over the requests of a shard whose coordinators
    ///                   have failed
    /// \param period     longest time between two scans
    shard_scanner(std::function<bool(int)> is_own,
                  std::function<absl::Status(int)> take_over,
                  milliseconds period);
    ~shard_scanner();
    shard_scanner(const shard_scanner&) = delete;
    shard_scanner& operator=(const shard_scanner&) = delete;

    /// Starts scanning in a thread.
    void start();

    /// Stops scanning.
    void stop();

    /// Requests a scan, after a membership change.
    void wake();

private:
    void run();

    std::function<bool(int)> is_own_;
    std::function<absl::Status(int)> take_over_;
    milliseconds period_;
    std::mutex mutex_;
    std::condition_variable changed_;
    bool is_due_ = true;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace egretspindle

#endif
