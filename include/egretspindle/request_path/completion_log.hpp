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

/// Rows to write together once a request has ended.
struct completion
{
    std::vector<store_check> checks;
    std::vector<store_write> writes;
    /// Called from the log's thread when the rows are written, or with the
    /// conflicting rows when they differ from what was expected.
    std::function<void(const commit_result&)> on_result;
};

/// Writes completions in batches and retries them until the store answers.
///
/// One transaction carries many completions, which keeps the writes of a
/// task below one; after a conflict each is written on its own.
class completion_log
{
public:
    completion_log(store_client& store, std::string host_name);
    ~completion_log();
    completion_log(const completion_log&) = delete;
    completion_log& operator=(const completion_log&) = delete;

    /// Starts the thread that writes.
    void start();

    /// Adds a completion.
    void add(completion item);

    /// Waits until everything is written.
    ///
    /// \returns whether that happened within the timeout
    bool flush(milliseconds timeout);

    /// Stops the thread. Completions that are not written stay at their
    /// targets until another host records them.
    void stop();

    /// Returns the number of completions that are not written yet.
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
    std::size_t in_write_ = 0;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace egretspindle

#endif
