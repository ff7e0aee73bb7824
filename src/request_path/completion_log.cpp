#include "egretspindle/request_path/completion_log.hpp"

#include <algorithm>
#include <iterator>

namespace egretspindle
{

namespace
{

// Completions in one transaction.
constexpr std::size_t max_batch = 64;
constexpr milliseconds write_timeout{2000};
constexpr milliseconds retry_delay{250};
// Waits this long for further completions, to write them in one transaction.
constexpr milliseconds batch_window{5};

} // namespace

completion_log::completion_log(store_client& store, std::string host_name)
    : store_(store), host_name_(std::move(host_name))
{
}

completion_log::~completion_log()
{
    stop();
}

void completion_log::start()
{
    thread_ = std::thread([this] { write_batches(); });
}

void completion_log::add(completion item)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    items_.push_back(std::move(item));
    changed_.notify_all();
}

bool completion_log::flush(milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, timeout,
                             [this]
                             { return items_.empty() && writing_count_ == 0; });
}

void completion_log::stop()
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

std::size_t completion_log::pending() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return items_.size() + writing_count_;
}

void completion_log::write_batches()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (true)
    {
        changed_.wait(lock, [this] { return is_stopping_ || !items_.empty(); });
        if (is_stopping_)
        {
            return;
        }
        changed_.wait_for(
            lock, batch_window,
            [this] { return is_stopping_ || items_.size() >= max_batch; });
        const std::size_t count = std::min(max_batch, items_.size());
        std::vector<completion> batch(
            std::make_move_iterator(items_.begin()),
            std::make_move_iterator(items_.begin() +
                                    static_cast<std::ptrdiff_t>(count)));
        items_.erase(items_.begin(),
                     items_.begin() + static_cast<std::ptrdiff_t>(count));
        writing_count_ = count;
        lock.unlock();
        const bool is_written = write(batch, 0, batch.size());
        lock.lock();
        writing_count_ = 0;
        if (!is_written)
        {
            items_.insert(items_.begin(),
                          std::make_move_iterator(batch.begin()),
                          std::make_move_iterator(batch.end()));
            changed_.wait_for(lock, retry_delay,
                              [this] { return is_stopping_; });
        }
        changed_.notify_all();
    }
}

bool completion_log::write(const std::vector<completion>& batch,
                           std::size_t first, std::size_t count)
{
    store_transaction transaction;
    transaction.tx_id = make_transaction_id(host_name_);
    for (std::size_t n = first; n < first + count; ++n)
    {
        const completion& item = batch[n];
        transaction.checks.insert(transaction.checks.end(), item.checks.begin(),
                                  item.checks.end());
        transaction.writes.insert(transaction.writes.end(), item.writes.begin(),
                                  item.writes.end());
    }
    const absl::StatusOr<commit_result> result =
        store_.commit(transaction, write_timeout);
    if (!result.ok())
    {
        return false;
    }
    if (!result->committed && count > 1)
    {
        // After an error, completions that were already written are retried and
        // conflict with their own rows; their callbacks compare the rows.
        bool is_written = true;
        for (std::size_t n = first; n < first + count; ++n)
        {
            is_written = write(batch, n, 1) && is_written;
        }
        return is_written;
    }
    for (std::size_t n = first; n < first + count; ++n)
    {
        batch[n].on_result(*result);
    }
    return true;
}

} // namespace egretspindle
