/// \file
/// Pool of worker threads that grows on demand.

#ifndef EGRETSPINDLE_REQUEST_PATH_WORKER_POOL_HPP
#define EGRETSPINDLE_REQUEST_PATH_WORKER_POOL_HPP

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace egretspindle
{

/// Runs jobs on threads that are started on demand, when none is idle.
class worker_pool
{
public:
    /// \param max_threads  largest number of threads; further jobs wait
    explicit worker_pool(std::size_t max_threads);
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /// Queues a job. Does nothing after `stop`.
    void run(std::function<void()> job);

    /// Drops waiting jobs, waits for running ones and joins the threads.
    void stop();

private:
    void run_jobs();

    std::size_t max_threads_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> jobs_;
    std::vector<std::thread> threads_;
    std::size_t idle_count_ = 0;
    bool is_stopping_ = false;
};

} // namespace egretspindle

#endif
