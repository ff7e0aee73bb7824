#include "egretspindle/scheduler/heartbeat.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace egretspindle
{

namespace
{

// Other hosts take over after 3 s without a change of the row
// (`liveness_limits::heartbeat_timeout`), so every second write may fail, even
// if it takes `transaction_timeout`.
constexpr milliseconds period{1'000};
// After a failed write of a host that leaves, whose time is limited.
constexpr milliseconds leave_retry{250};

} // namespace

struct heartbeat::impl
{
    impl(table_store& rows, std::string row_part, host_row row,
         milliseconds longest_stall)
        : store(rows), part(std::move(row_part)), stall_timeout(longest_stall),
          self(std::move(row))
    {
    }

    bool is_stalled();
    void write();
    void run();

    table_store& store;
    const std::string part;
    const milliseconds stall_timeout;
    std::mutex mutex;
    std::condition_variable wake;
    host_row self;
    time_point progress_at = steady_clock::now(); ///< see `report_progress`
    bool was_stalled = false;                     ///< at the last check
    bool has_failed = false;                      ///< the last write
    /// The store has confirmed that this host leaves.
    bool is_leave_confirmed = false;
    boot_time_point confirmed_at; ///< start of the last confirmed write
    std::optional<known_host> confirmed_row;
    bool has_tried_write = false; ///< or has skipped a write in a stall
    bool is_write_requested = false;
    bool is_stopping = false;
    std::thread thread;
};

// Returns whether heartbeats are suspended, and logs each change.
bool heartbeat::impl::is_stalled()
{
    const std::lock_guard<std::mutex> lock(mutex);
    const std::int64_t since = elapsed_ms(progress_at, steady_clock::now());
    const bool is_stalled_now = since >= stall_timeout.count();
    if (is_stalled_now != was_stalled)
    {
        log_warning(is_stalled_now
                        ? "loop of reads and claims makes no progress; "
                          "heartbeats are suspended"
                        : "loop of reads and claims makes progress again; "
                          "heartbeats are resumed",
                    {{"beat", self.beat}, {"without_progress_ms", since}});
    }
    was_stalled = is_stalled_now;
    return is_stalled_now;
}

void heartbeat::impl::write()
{
    table_row row;
    row.table = std::string(cluster_table);
    row.part = part;
    host_row written;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (is_leave_confirmed)
        {
            return;
        }
        ++self.beat;
        written = self;
        row.key = std::string(host_prefix) + written.name;
        row.value = to_json(written);
    }
    row_transaction transaction;
    transaction.kind = transaction_kind::heartbeat;
    transaction.writes.push_back(std::move(row));
    const boot_time_point begun_at = boot_clock::now();
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, transaction_timeout);
    const std::lock_guard<std::mutex> lock(mutex);
    if (!result.ok() && !has_failed)
    {
        log_warning("heartbeat write failed",
                    {{"beat", self.beat},
                     {"error", std::string(result.status().message())}});
    }
    else if (result.ok() && has_failed)
    {
        log_info("heartbeat write succeeded again", {{"beat", self.beat}});
    }
    has_failed = !result.ok();
    if (result.ok())
    {
        confirmed_at = begun_at;
        is_leave_confirmed = written.is_leaving;
        known_host& confirmed = confirmed_row.emplace();
        confirmed.row = std::move(written);
        confirmed.version = result->version;
    }
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
        has_tried_write = true;
        wake.notify_all();
        const bool is_hurried = self.is_leaving && !is_leave_confirmed;
        wake.wait_until(lock, begun + (is_hurried ? leave_retry : period),
                        [this] { return is_stopping || is_write_requested; });
        is_write_requested = false;
        if (is_stopping)
        {
            return;
        }
    }
}

heartbeat::heartbeat(table_store& store, std::string part, host_row self,
                     milliseconds stall_timeout)
    : impl_(std::make_unique<impl>(store, std::move(part), std::move(self),
                                   stall_timeout))
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
                     { return impl_->has_tried_write || impl_->is_stopping; });
}

void heartbeat::report_progress()
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->progress_at = steady_clock::now();
}

boot_time_point heartbeat::confirmed_at() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->confirmed_at;
}

std::optional<known_host> heartbeat::confirmed_row() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return impl_->confirmed_row;
}

void heartbeat::set_state(std::map<std::string, std::int64_t> pending,
                          std::vector<std::string> unmovable)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->self.pending = std::move(pending);
    impl_->self.unmovable = std::move(unmovable);
}

void heartbeat::leave()
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->self.is_leaving = true;
    impl_->is_leave_confirmed = false;
    impl_->is_write_requested = true;
    impl_->wake.notify_all();
}

} // namespace egretspindle
