// Queueing and starting of batch requests.

#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Longest pause between two attempts to start a queued request.
constexpr milliseconds dispatch_period{20};
// How long the write of a batch request's record is retried before the caller
// is told that the outcome is unknown.
constexpr milliseconds accept_retry_time{5000};
constexpr std::int64_t full_queue_retry_ms = 5000;

} // namespace

void coordinator::accept_batch(const request_entry_ptr& entry)
{
    absl::Status capacity_status;
    {
        const std::shared_ptr<const policy_limits> limits = hooks_.limits();
        const std::lock_guard<std::mutex> lock(queue_mutex_);
        capacity_status =
            check_queue_capacity(queue_, *limits, entry->spec.team);
    }
    if (!capacity_status.ok())
    {
        finish_not_run(entry, std::string(capacity_status.message()),
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
        commit_record(entry, record, options_.store_timeout,
                      steady_clock::now() + accept_retry_time);
    if (result.ok() && result->committed)
    {
        enqueue(entry, milliseconds(0));
        return;
    }
    if (result.ok() && !result->conflicts.empty())
    {
        resume_from_row(entry, result->conflicts.front());
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
    finish_not_run(entry,
                   "the store cannot record the request; send it again later",
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
    push(queue_, make_batch_item(*entry, steady_clock::now() + delay));
    queue_changed_.notify_one();
}

batch_item coordinator::make_batch_item(const request_entry& entry,
                                        time_point not_before)
{
    batch_item item;
    item.key = entry.key;
    item.team = entry.spec.team;
    item.kind = entry.spec.kind;
    item.size = entry.spec.size;
    item.expected_ms = static_cast<double>(entry.spec.expected_ms);
    item.enqueued = entry.received;
    item.not_before = not_before;
    const std::shared_ptr<const policy_limits> limits = hooks_.limits();
    const auto it = limits->kinds.find(entry.spec.kind);
    if (it != limits->kinds.end())
    {
        item.priority = it->second.priority;
    }
    return item;
}

// Counts the running batch requests of this host and their resources by team.
void coordinator::update_running_use()
{
    team_use_map use;
    for (const request_entry_ptr& entry : table_.entries())
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (!entry->spec.urgent && entry->reply.result == outcome::running)
        {
            team_use& team = use[entry->spec.team];
            ++team.tasks;
            team.cpu_cores += entry->spec.size.cpu_cores;
            team.memory_mb += entry->spec.size.memory_mb;
        }
    }
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    running_use_ = std::move(use);
}

void coordinator::dispatch_loop()
{
    std::unique_lock<std::mutex> lock(queue_mutex_);
    while (!is_stopping_)
    {
        if (queue_size(queue_) == 0 ||
            batch_starts_ >= options_.max_batch_starts)
        {
            queue_changed_.wait_for(lock, dispatch_period);
            continue;
        }
        lock.unlock();
        const std::vector<rack_summary> racks = hooks_.racks();
        const std::shared_ptr<const policy_limits> limits = hooks_.limits();
        lock.lock();
        const std::optional<batch_item> item = next_batch(
            queue_, *limits, running_use_, racks, steady_clock::now());
        if (!item)
        {
            queue_changed_.wait_for(lock, dispatch_period);
            continue;
        }
        ++running_use_[item->team].tasks;
        const request_entry_ptr entry = table_.find(item->key);
        if (!entry)
        {
            continue;
        }
        ++batch_starts_;
        workers_.run(
            [this, entry]
            {
                run_batch(entry);
                const std::lock_guard<std::mutex> guard(queue_mutex_);
                --batch_starts_;
                queue_changed_.notify_one();
            });
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
        schedule_poll(entry);
    }
}

} // namespace egretspindle
