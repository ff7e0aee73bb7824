/// \file
/// Outgoing message queues, one per receiving host.

#ifndef EGRETSPINDLE_SCHEDULER_HOST_OUTBOX_HPP
#define EGRETSPINDLE_SCHEDULER_HOST_OUTBOX_HPP

#include <chrono>
#include <condition_variable>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Delivers items in batches with one thread per receiving host, so that an
/// unresponsive host delays only its own items. A thread without items ends
/// after `max_idle_time`: in a large cluster every host sends to every other
/// one occasionally and would otherwise keep a thread for each.
template <typename Item>
class host_outbox
{
public:
    /// Delivers a batch to a host. May block, and may post items again.
    using deliver_function =
        std::function<void(const std::string& host, std::vector<Item>& items)>;

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
        entry->items.push_back(std::move(item));
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
    struct host_queue
    {
        std::vector<Item> items;
        std::condition_variable changed;
        std::thread thread;
        bool is_running = false; ///< the thread will take further items
    };

    static constexpr std::chrono::milliseconds max_idle_time{1'000};

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
            std::vector<Item> batch(
                std::make_move_iterator(entry.items.begin()),
                std::make_move_iterator(end));
            entry.items.erase(entry.items.begin(), end);
            lock.unlock();
            deliver_(host, batch);
            lock.lock();
        }
    }

    std::size_t max_batch_;
    deliver_function deliver_;
    std::mutex mutex_;
    bool is_stopping_ = false;
    std::map<std::string, std::unique_ptr<host_queue>> queues_;
};

} // namespace egretspindle

#endif
