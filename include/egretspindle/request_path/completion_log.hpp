/// \file
/// Batched recording of final replies.

#ifndef EGRETSPINDLE_REQUEST_PATH_COMPLETION_LOG_HPP
#define EGRETSPINDLE_REQUEST_PATH_COMPLETION_LOG_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/core/clock.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle
{

/// Rows to commit together when a request has completed.
struct completion
{
    std::vector<store_check> checks;
    std::vector<store_write> writes;
    /// Called on the writer thread with the result of the commit. When a check
    /// failed, the result holds the conflicting rows.
    std::function<void(const commit_result&)> on_result;
};

/// Writes completions to the store in batches and retries them until the store
/// responds.
///
/// One transaction carries many completions, so that the store sees less than
/// one write per task. After a conflict, each completion of the batch is
/// committed in a transaction of its own, and is not retried if it conflicts
/// again.
class completion_log
{
public:
    completion_log(store_client& store, std::string host_name);
    ~completion_log();
    completion_log(const completion_log&) = delete;
    completion_log& operator=(const completion_log&) = delete;

    /// Starts the writer thread.
    void start();

    /// Queues a completion to be written.
    void add(completion item);

    /// Waits until the store has committed or rejected all queued completions.
    ///
    /// \returns true when it has, false when the timeout expired first
    bool flush(milliseconds timeout);

    /// Stops the writer thread. The results of completions that are not
    /// written are kept by their targets until another host records them.
    void stop();

    /// Returns the number of completions that the store has neither committed
    /// nor rejected yet.
    [[nodiscard]] std::size_t pending() const;

private:
    void write_batches();
    bool write(const std::vector<completion>& batch, std::size_t first,
               std::size_t count);

    store_client& store_;
    std::string host_name_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<completion> items_;
    std::size_t writing_count_ = 0;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace egretspindle

#endif
