#include "egretspindle/scheduler/table_watch.hpp"

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace egretspindle
{

namespace
{

// Longest wait of the store for a change. Bounds the time until a dead
// connection is noticed; a new configuration has to be applied within 2 s.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds read_timeout{1'000}; // for each page of the table
constexpr milliseconds retry_pause{150};    // after a failed call

} // namespace

struct table_watch::impl
{
    impl(table_store& rows_store, std::string name, milliseconds between,
         change_function callback)
        : store(rows_store), table(std::move(name)), pause(between),
          on_change(std::move(callback))
    {
    }

    // Both return whether the store answered.
    bool read_all();
    bool read_changes();
    [[nodiscard]] milliseconds pause_after(bool is_answered) const;
    void log_failure(const absl::Status& status);
    void log_recovery();
    void run();

    table_store& store;
    std::string table;
    milliseconds pause;
    change_function on_change;
    row_map rows;
    std::int64_t version = 0; ///< of the store, up to which `rows` are current
    bool is_current = false;  ///< the next call may ask for changes only
    bool has_more = false;    ///< further changes may be read at once
    bool has_failed = false;  ///< the last call
    std::mutex mutex;
    std::condition_variable wake;
    bool is_stopping = false;
    std::thread thread;
};

void table_watch::impl::log_failure(const absl::Status& status)
{
    if (!has_failed)
    {
        log_warning("watch of a table failed",
                    {{"table", table},
                     {"version", version},
                     {"error", std::string(status.message())}});
    }
    has_failed = true;
}

void table_watch::impl::log_recovery()
{
    if (has_failed)
    {
        log_info("watch of a table works again",
                 {{"table", table}, {"version", version}});
    }
    has_failed = false;
}

bool table_watch::impl::read_all()
{
    row_map next;
    std::int64_t first_version = 0;
    row_range range;
    range.table = table;
    for (;;)
    {
        const absl::StatusOr<table_page> page = store.read(range, read_timeout);
        if (!page.ok())
        {
            log_failure(page.status());
            return false;
        }
        first_version = first_version == 0 ? page->version : first_version;
        for (const table_row& row : page->rows)
        {
            next[row.key] = row;
        }
        if (!page->has_more || page->rows.empty())
        {
            break;
        }
        range.from = page->rows.back().key + '\0';
    }
    log_recovery();
    has_more = true; // rows may have changed while the pages were read
    rows = std::move(next);
    version = first_version;
    is_current = true;
    on_change(rows);
    return true;
}

bool table_watch::impl::read_changes()
{
    const absl::StatusOr<table_page> page =
        store.watch(table, version, watch_wait);
    has_more = page.ok() && page->has_more;
    if (!page.ok())
    {
        log_failure(page.status());
        is_current = kind_of(page.status()) != error_kind::not_found;
        return false;
    }
    log_recovery();
    for (const table_row& row : page->rows)
    {
        if (row.is_deleted)
        {
            rows.erase(row.key);
        }
        else
        {
            rows[row.key] = row;
        }
    }
    version = std::max(version, page->version);
    if (!page->rows.empty())
    {
        on_change(rows);
    }
    return true;
}

// There is no pause after an incomplete answer, so that the rows stay current
// however fast the table changes.
milliseconds table_watch::impl::pause_after(bool is_answered) const
{
    if (!is_answered)
    {
        return retry_pause;
    }
    return has_more ? milliseconds(0) : pause;
}

void table_watch::impl::run()
{
    for (;;)
    {
        const bool is_answered = is_current ? read_changes() : read_all();
        std::unique_lock<std::mutex> lock(mutex);
        if (is_stopping || wake.wait_for(lock, pause_after(is_answered),
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
