#include "egretspindle/scheduler/table_watch.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace egretspindle
{

namespace
{

// Longest wait of the store for a change. Bounds the time until a dead
// connection is noticed; a new configuration has to be applied within 2 s.
constexpr milliseconds watch_wait{1'000};

} // namespace

struct table_watch::impl
{
    impl(table_store& store, std::string table, milliseconds between,
         change_function callback)
        : rows(store, std::move(table), watch_wait), pause(between),
          on_change(std::move(callback))
    {
    }

    void run();

    table_replica rows;
    milliseconds pause;
    change_function on_change;
    std::mutex mutex;
    std::condition_variable wake;
    bool is_stopping = false;
    std::thread thread;
};

void table_watch::impl::run()
{
    for (;;)
    {
        rows.read();
        if (rows.has_new_rows())
        {
            on_change(rows.rows());
        }
        std::unique_lock<std::mutex> lock(mutex);
        if (is_stopping || wake.wait_for(lock, rows.pause_after_read(pause),
                                         [this] { return is_stopping; }))
        {
            return;
        }
    }
}

table_watch::table_watch(table_store& store, std::string table,
                         milliseconds pause, change_function on_change)
    : impl_(std::make_unique<impl>(store, std::move(table), pause,
                                   std::move(on_change)))
{
}

table_watch::~table_watch()
{
    stop();
}

void table_watch::start()
{
    impl_->thread = std::thread([this] { impl_->run(); });
}

void table_watch::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->is_stopping = true;
        impl_->wake.notify_all();
    }
    if (impl_->thread.joinable())
    {
        impl_->thread.join();
    }
}

} // namespace egretspindle
