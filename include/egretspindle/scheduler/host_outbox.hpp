/// \file
/// Outgoing message queues, one per receiving host.

#ifndef EGRETSPINDLE_SCHEDULER_HOST_OUTBOX_HPP
#define EGRETSPINDLE_SCHEDULER_HOST_OUTBOX_HPP

#include "egretspindle/core/clock.hpp"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Items that wait in an outbox.
struct outbox_backlog
{
    std::size_t items = 0;
    milliseconds oldest{0}; ///< longest wait so far
};

/// Delivers items in batches with one thread per receiving host, so that an
/// unresponsive host delays only its own items. A thread without items ends
/// after `max_idle_time`: in a large cluster every host sends to every other
/// one occasionally and would otherwise keep a thread for each.
template <typename Item>
class host_outbox
{
public:
    /// Delivers a batch to a host. May block, and may post items again.
    /// `waited` is the time that the first item has spent in the outbox.
    using deliver_function =
        std::function<void(const std::string& host, std::vector<Item>& items,
                           milliseconds waited)>;

    /// \param max_batch  largest number of items per call of `deliver`
    host_outbox(std::size_t max_batch, deliver_function deliver)
        : max_batch_(max_batch), deliver_(std::move(deliver))
    {
    }

    ~host_outbox()
    {
        stop();
    }

    host_outbox(const host_outbox&) = delete;
    host_outbox& operator=(const host_outbox&) = delete;

    /// Adds an item to the queue of a host. Dropped after `stop`.
    void post(const std::string& host, Item item)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_stopping_)
        {
            return;
        }
        std::unique_ptr<host_queue>& entry = queues_[host];
        if (!entry)
        {
            entry = std::make_unique<host_queue>();
        }
        entry->items.push_back({std::move(item), steady_clock::now()});
        entry->changed.notify_one();
        if (!entry->is_running)
        {
            if (entry->thread.joinable())
            {
                // The thread has ended its work and released the lock.
                entry->thread.join();
            }
            entry->is_running = true;
            host_queue* const queue = entry.get();
            entry->thread =
                std::thread([this, host, queue] { run(host, *queue); });
        }
    }

    /// Returns how many items wait for all hosts together, and for how long.
    [[nodiscard]] outbox_backlog backlog() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const time_point now = steady_clock::now();
        outbox_backlog sum;
        for (const auto& [host, entry] : queues_)
        {
            sum.items += entry->items.size();
            if (!entry->items.empty())
            {
                sum.oldest = std::max(
                    sum.oldest, wait_of(entry->items.front().posted_at, now));
            }
        }
        return sum;
    }

    /// Returns the number of items that are queued or being delivered.
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::size_t count = in_delivery_;
        for (const auto& [host, entry] : queues_)
        {
            count += entry->items.size();
        }
        return count;
    }

    /// Ends the threads, after the deliveries in progress. Items that are still
    /// queued are dropped.
    void stop()
    {
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            is_stopping_ = true;
            for (auto& [host, entry] : queues_)
            {
                entry->changed.notify_all();
            }
        }
        for (auto& [host, entry] : queues_)
        {
            if (entry->thread.joinable())
            {
                entry->thread.join();
            }
        }
    }

private:
    struct posted_item
    {
        Item item;
        time_point posted_at;
    };

    struct host_queue
    {
        std::vector<posted_item> items;
        std::condition_variable changed;
        std::thread thread;
        bool is_running = false; ///< the thread will take further items
    };

    static constexpr std::chrono::milliseconds max_idle_time{1'000};

    static milliseconds wait_of(time_point posted_at, time_point now)
    {
        return std::chrono::duration_cast<milliseconds>(now - posted_at);
    }

    void run(const std::string& host, host_queue& entry)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        for (;;)
        {
            const bool has_work = entry.changed.wait_for(
                lock, max_idle_time,
                [&] { return is_stopping_ || !entry.items.empty(); });
            if (is_stopping_ || !has_work)
            {
                entry.is_running = false;
                return;
            }
            const std::size_t n = std::min(max_batch_, entry.items.size());
            const auto end =
                entry.items.begin() + static_cast<std::ptrdiff_t>(n);
            const milliseconds waited =
                wait_of(entry.items.front().posted_at, steady_clock::now());
            std::vector<Item> batch;
            batch.reserve(n);
            std::for_each(entry.items.begin(), end,
                          [&batch](posted_item& posted)
                          { batch.push_back(std::move(posted.item)); });
            entry.items.erase(entry.items.begin(), end);
            in_delivery_ += n;
            lock.unlock();
            deliver_(host, batch, waited);
            lock.lock();
            in_delivery_ -= n;
        }
    }

    std::size_t max_batch_;
    deliver_function deliver_;
    mutable std::mutex mutex_;
    bool is_stopping_ = false;
    std::size_t in_delivery_ = 0;
    std::map<std::string, std::unique_ptr<host_queue>> queues_;
};

} // namespace egretspindle

#endif
