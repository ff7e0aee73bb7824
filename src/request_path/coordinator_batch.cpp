// Queue of batch requests and their starts.

#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr milliseconds dispatch_period{20};
constexpr std::int64_t full_queue_retry_ms = 5000;

} // namespace

void coordinator::accept_batch(const request_entry_ptr& entry)
{
    if (static_cast<std::size_t>(queued_count()) >= options_.max_queued_batch)
    {
        withdraw(entry, "the batch queue is full; send it again later",
                 full_queue_retry_ms);
        return;
    }
    request_record record;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->is_busy = true;
        record = entry->record;
    }
    record.state = record_state::accepted;
    record.coordinator = options_.host_name;
    record.data_center = options_.data_center;
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.store_timeout);
    if (result.ok() && result->committed)
    {
        enqueue(entry, milliseconds(0));
        return;
    }
    if (result.ok() && !result->conflicts.empty())
    {
        adopt(entry, result->conflicts.front());
        return;
    }
    if (!result.ok() &&
        kind_of(result.status()) == error_kind::deadline_exceeded)
    {
        // The record may exist; a later request with the same id finds it.
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            entry->reply.result = outcome::unknown;
            entry->reply.reason = "the store did not confirm the record; send "
                                  "the same id again to learn the outcome";
            entry->is_busy = false;
            entry->changed.notify_all();
        }
        table_.erase(entry);
        return;
    }
    withdraw(entry, "the store cannot record the request; send it again later",
             full_queue_retry_ms);
}

void coordinator::enqueue(const request_entry_ptr& entry, milliseconds delay)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->is_busy = false;
        if (is_final(entry->reply.result))
        {
            return;
        }
        entry->reply.result = outcome::accepted;
        entry->record.state = record_state::accepted;
    }
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    queue_.push_back({entry, steady_clock::now() + delay});
    queue_changed_.notify_one();
}

void coordinator::dispatch()
{
    std::unique_lock<std::mutex> lock(queue_mutex_);
    while (!is_stopping_)
    {
        const time_point now = steady_clock::now();
        const auto it = std::find_if(queue_.begin(), queue_.end(),
                                     [now](const queued_request& item)
                                     { return item.not_before <= now; });
        if (it == queue_.end() || batch_starts_ >= options_.max_batch_starts)
        {
            queue_changed_.wait_for(lock, dispatch_period);
            continue;
        }
        const request_entry_ptr entry = it->entry;
        queue_.erase(it);
        ++batch_starts_;
        lock.unlock();
        workers_.run(
            [this, entry]
            {
                run_batch(entry);
                const std::lock_guard<std::mutex> guard(queue_mutex_);
                --batch_starts_;
                queue_changed_.notify_one();
            });
        lock.lock();
    }
}

void coordinator::run_batch(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (is_final(entry->reply.result) || entry->is_busy)
        {
            return;
        }
        entry->is_busy = true;
    }
    if (start_recorded(entry))
    {
        leave_running(entry);
    }
}

} // namespace egretspindle
