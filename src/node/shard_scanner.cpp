#include "egretspindle/node/shard_scanner.hpp"

#include "egretspindle/request_path/request_record.hpp"

namespace egretspindle
{

namespace
{

// Combines membership changes in quick succession into one scan.
constexpr milliseconds batch_delay{200};
constexpr milliseconds retry_delay{1000};

} // namespace

shard_scanner::shard_scanner(std::function<bool(int)> is_own,
                             std::function<absl::Status(int)> take_over,
                             milliseconds period)
    : is_own_(std::move(is_own)), take_over_(std::move(take_over)),
      period_(period)
{
}

shard_scanner::~shard_scanner()
{
    stop();
}

void shard_scanner::start()
{
    thread_ = std::thread([this] { run(); });
}

void shard_scanner::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
        changed_.notify_all();
    }
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void shard_scanner::wake()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    is_due_ = true;
    changed_.notify_all();
}

void shard_scanner::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!is_stopping_)
    {
        changed_.wait_for(lock, period_,
                          [this] { return is_due_ || is_stopping_; });
        if (changed_.wait_for(lock, batch_delay,
                              [this] { return is_stopping_; }))
        {
            return;
        }
        is_due_ = false;
        lock.unlock();
        bool is_complete = true;
        for (int shard = 0; shard < shard_count && is_complete; ++shard)
        {
            if (is_own_(shard))
            {
                is_complete = take_over_(shard).ok();
            }
        }
        lock.lock();
        if (!is_complete)
        {
            is_due_ = true;
            changed_.wait_for(lock, retry_delay,
                              [this] { return is_stopping_; });
        }
    }
}

} // namespace egretspindle
