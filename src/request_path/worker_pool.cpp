#include "egretspindle/request_path/worker_pool.hpp"

#include <utility>

namespace egretspindle
{

worker_pool::worker_pool(std::size_t max_threads) : max_threads_(max_threads) {}

worker_pool::~worker_pool()
{
    stop();
}

void worker_pool::run(std::function<void()> job)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_stopping_)
    {
        return;
    }
    jobs_.push_back(std::move(job));
    if (idle_count_ < jobs_.size() && threads_.size() < max_threads_)
    {
        threads_.emplace_back([this] { run_jobs(); });
    }
    else
    {
        changed_.notify_one();
    }
}

void worker_pool::stop()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
        jobs_.clear();
        threads.swap(threads_);
        changed_.notify_all();
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

void worker_pool::run_jobs()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (true)
    {
        ++idle_count_;
        changed_.wait(lock, [this] { return is_stopping_ || !jobs_.empty(); });
        --idle_count_;
        if (is_stopping_)
        {
            return;
        }
        std::function<void()> job = std::move(jobs_.front());
        jobs_.pop_front();
        lock.unlock();
        job();
        job = nullptr;
        lock.lock();
    }
}

} // namespace egretspindle
