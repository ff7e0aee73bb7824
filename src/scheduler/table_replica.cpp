#include "egretspindle/scheduler/table_replica.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"

#include <algorithm>
#include <utility>

namespace egretspindle
{

namespace
{

constexpr milliseconds read_timeout{1'000}; // for each page of the table
constexpr milliseconds retry_pause{150};    // after a failed call

} // namespace

table_replica::table_replica(table_store& store, std::string table,
                             milliseconds wait)
    : store_(store), table_(std::move(table)), wait_(wait)
{
}

bool table_replica::read()
{
    has_new_rows_ = false;
    has_lost_history_ = false;
    const bool is_answered = is_current_ ? read_changes() : read_all();
    has_failed_ = !is_answered;
    return is_answered;
}

milliseconds table_replica::pause_after_read(milliseconds pause) const noexcept
{
    if (has_failed_ && !has_lost_history_)
    {
        return retry_pause;
    }
    return has_more_ || has_lost_history_ ? milliseconds(0) : pause;
}

void table_replica::log_failure(const absl::Status& status)
{
    if (!has_failed_)
    {
        log_warning("watch of a table failed",
                    {{"table", table_},
                     {"version", version_},
                     {"error", std::string(status.message())}});
    }
}

void table_replica::log_recovery()
{
    if (has_failed_)
    {
        log_info("watch of a table works again",
                 {{"table", table_}, {"version", version_}});
    }
}

bool table_replica::read_all()
{
    row_map next;
    std::int64_t first_version = 0;
    row_range range;
    range.table = table_;
    for (;;)
    {
        const absl::StatusOr<table_page> page =
            store_.read(range, read_timeout);
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
    has_more_ = true; // rows may have changed while the pages were read
    rows_ = std::move(next);
    version_ = first_version;
    is_current_ = true;
    has_new_rows_ = true;
    return true;
}

bool table_replica::read_changes()
{
    const absl::StatusOr<table_page> page =
        store_.watch(table_, version_, wait_);
    has_more_ = page.ok() && page->has_more;
    if (!page.ok())
    {
        log_failure(page.status());
        has_lost_history_ = kind_of(page.status()) == error_kind::not_found;
        is_current_ = !has_lost_history_;
        return false;
    }
    log_recovery();
    for (const table_row& row : page->rows)
    {
        if (row.is_deleted)
        {
            rows_.erase(row.key);
        }
        else
        {
            rows_[row.key] = row;
        }
    }
    version_ = std::max(version_, page->version);
    has_new_rows_ = !page->rows.empty();
    return true;
}

} // namespace egretspindle
