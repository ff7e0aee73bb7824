#include "egretspindle/scheduler/heartbeat.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace egretspindle
{

namespace
{

// Others take a host over after 3 s without a change of its row, so that one
// write in two may fail.
constexpr milliseconds period{1'000};
// Shorter than the period, so that a lost answer delays no further write.
constexpr milliseconds write_timeout{800};

} // namespace

struct heartbeat::impl
{
    impl(table_store& rows, host_row row, milliseconds longest_stall)
        : store(rows), stall(longest_stall), self(std::move(row))
    {
    }

    bool is_stalled();
    void write();
    void run();

    table_store& store;
    const milliseconds stall;
    std::mutex mutex;
    std::condition_variable wake;
    host_row self;
    time_point progress_at = steady_clock::now();
    bool was_stalled = false;
    bool has_failed = false;
    bool has_written = false; ///< or tried to
    bool is_write_wanted = false;
    bool is_stopping = false;
    std::thread thread;
};

bool heartbeat::impl::is_stalled()
{
    const std::lock_guard<std::mutex> lock(mutex);
    const std::int64_t since = elapsed_ms(progress_at, steady_clock::now());
    const bool is_late = since >= stall.count();
    if (is_late != was_stalled)
    {
        log_warning(is_late ? "heartbeats are withheld"
                            : "heartbeats are written again",
                    {{"beat", self.beat}, {"without_progress_ms", since}});
    }
    was_stalled = is_late;
    return is_late;
}

void heartbeat::impl::write()
{
    table_row row;
    row.table = std::string(cluster_table);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ++self.beat;
        row.key = std::string(host_prefix) + self.name;
        row.value = to_json(self);
    }
    row_transaction transaction;
    transaction.writes.push_back(std::move(row));
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, write_timeout);
    const std::lock_guard<std::mutex> lock(mutex);
    if (!result.ok() && !has_failed)
    {
        log_warning("heartbeat was not written",
                    {{"beat", self.beat},
                     {"error", std::string(result.status().message())}});
    }
    else if (result.ok() && has_failed)
    {
        log_info("heartbeat written again", {{"beat", self.beat}});
    }
    has_failed = !result.ok();
}

void heartbeat::impl::run()
{
    for (;;)
    {
        const time_point begun = steady_clock::now();
        if (!is_stalled())
        {
            write();
        }
        std::unique_lock<std::mutex> lock(mutex);
        has_written = true;
        wake.notify_all();
        wake.wait_until(lock, begun + period,
                        [this] { return is_stopping || is_write_wanted; });
        is_write_wanted = false;
        if (is_stopping)
        {
            return;
        }
    }
}

heartbeat::heartbeat(table_store& store, host_row self, milliseconds stall)
    : impl_(std::make_unique<impl>(store, std::move(self), stall))
{
}

heartbeat::~heartbeat()
{
    stop();
}

void heartbeat::start()
{
    report_progress();
    impl_->thread = std::thread([this] { impl_->run(); });
}

void heartbeat::stop()
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

void heartbeat::wait_for_first()
{
    std::unique_lock<std::mutex> lock(impl_->mutex);
    impl_->wake.wait(lock, [this]
                     { return impl_->has_written || impl_->is_stopping; });
}

void heartbeat::report_progress()
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->progress_at = steady_clock::now();
}

void heartbeat::set_pending(std::map<std::string, std::int64_t> pending)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->self.pending = std::move(pending);
}

void heartbeat::leave()
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->self.is_leaving = true;
    impl_->is_write_wanted = true;
    impl_->wake.notify_all();
}

} // namespace egretspindle
