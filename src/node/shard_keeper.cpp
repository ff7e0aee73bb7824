#include "egretspindle/node/shard_keeper.hpp"

#include "egretspindle/request_path/request_record.hpp"

namespace egretspindle
{

namespace
{

// Combines membership changes in quick succession into one scan.
constexpr milliseconds settle_delay{200};
constexpr milliseconds retry_delay{1000};

} // namespace

shard_keeper::shard_keeper(std::function<bool(int)> is_own,
                           std::function<absl::Status(int)> adopt,
                           milliseconds period)
    : is_own_(std::move(is_own)), adopt_(std::move(adopt)), period_(period)
{
}

shard_keeper::~shard_keeper()
{
    stop();
}

void shard_keeper::start()
{
    thread_ = std::thread([this] { run(); });
}

void shard_keeper::stop()
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

void shard_keeper::wake()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    is_due_ = true;
    changed_.notify_all();
}

void shard_keeper::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!is_stopping_)
    {
        changed_.wait_for(lock, period_,
                          [this] { return is_due_ || is_stopping_; });
        if (changed_.wait_for(lock, settle_delay,
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
                is_complete = adopt_(shard).ok();
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
