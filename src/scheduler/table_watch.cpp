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

// A connection that has gone silent is noticed this late; a configuration has
// to be in force within 2 s.
constexpr milliseconds watch_wait{1'000};
constexpr milliseconds read_timeout{1'000};
constexpr milliseconds retry_pause{150};

} // namespace

struct table_watch::impl
{
    impl(table_store& rows_store, std::string name, milliseconds between,
         change_function callback)
        : store(rows_store), table(std::move(name)), pause(between),
          changed(std::move(callback))
    {
    }

    bool read_all();
    bool follow();
    [[nodiscard]] milliseconds pause_after(bool is_done) const;
    void note_failure(const absl::Status& status);
    void record_store_contact();
    void run();

    table_store& store;
    std::string table;
    milliseconds pause;
    change_function changed;
    row_map rows;
    std::int64_t version = 0;
    bool is_current = false;
    bool has_more = false; ///< changes that the last answer left out
    bool has_failed = false;
    std::mutex mutex;
    std::condition_variable stopped;
    bool is_stopping = false;
    std::thread thread;
};

void table_watch::impl::note_failure(const absl::Status& status)
{
    if (!has_failed)
    {
        log_warning("watch lost", {{"table", table},
                                   {"version", version},
                                   {"error", std::string(status.message())}});
    }
    has_failed = true;
}

void table_watch::impl::record_store_contact()
{
    if (has_failed)
    {
        log_info("watch regained", {{"table", table}, {"version", version}});
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
            note_failure(page.status());
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
    record_store_contact();
    has_more = true; // what changed while the pages were read
    rows = std::move(next);
    version = first_version;
    is_current = true;
    changed(rows);
    return true;
}

bool table_watch::impl::follow()
{
    const absl::StatusOr<table_page> page =
        store.watch(table, version, watch_wait);
    has_more = page.ok() && page->has_more;
    if (!page.ok())
    {
        note_failure(page.status());
        is_current = kind_of(page.status()) != error_kind::not_found;
        return false;
    }
    record_store_contact();
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
        changed(rows);
    }
    return true;
}

// Without a pause after a full page, the rows are as new as the store's answer
// however fast the table changes.
milliseconds table_watch::impl::pause_after(bool is_done) const
{
    if (!is_done)
    {
        return retry_pause;
    }
    return has_more ? milliseconds(0) : pause;
}

void table_watch::impl::run()
{
    for (;;)
    {
        const bool is_done = is_current ? follow() : read_all();
        std::unique_lock<std::mutex> lock(mutex);
        if (is_stopping || stopped.wait_for(lock, pause_after(is_done),
                                            [this] { return is_stopping; }))
        {
            return;
        }
    }
}

table_watch::table_watch(table_store& store, std::string table,
                         milliseconds pause, change_function changed)
    : impl_(std::make_unique<impl>(store, std::move(table), pause,
                                   std::move(changed)))
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
        impl_->stopped.notify_all();
    }
    if (impl_->thread.joinable())
    {
        impl_->thread.join();
    }
}

} // namespace egretspindle
