#include "row_table.hpp"

#include <absl/strings/escaping.h>

#include <algorithm>

namespace egretspindle::standin
{

namespace
{

// Number of changes kept for readers that follow a table; hosts are about a
// second behind.
constexpr std::size_t max_history = 20'000;
// Largest number of rows in a page of changes.
constexpr std::size_t max_changes_per_page = 500;

// Truncates a page between two versions, since readers resume after a version.
void truncate_page(row_page& page)
{
    if (page.rows.size() <= max_changes_per_page)
    {
        return;
    }
    const std::int64_t first_omitted_version =
        page.rows[max_changes_per_page].version;
    page.rows.resize(max_changes_per_page);
    while (page.rows.size() > 1 &&
           page.rows.back().version == first_omitted_version)
    {
        page.rows.pop_back();
    }
    page.version = page.rows.back().version;
}

} // namespace

bool row_table::commit(const row_changes& changes, row_page& page)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    bool is_met = true;
    for (const stored_row& item : changes.conditions)
    {
        const auto it = rows_.find(name_of(item));
        is_met &= (it == rows_.end() ? 0 : it->second.version) == item.version;
        if (it != rows_.end())
        {
            page.rows.push_back(it->second);
        }
    }
    page.version = version_;
    if (!is_met)
    {
        return false;
    }
    page.rows.clear();
    page.version = ++version_;
    for (stored_row row : changes.writes)
    {
        row.version = version_;
        rows_[name_of(row)] = row;
        history_.push_back(std::move(row));
    }
    for (stored_row row : changes.removals)
    {
        if (rows_.erase(name_of(row)) > 0)
        {
            row.version = version_;
            row.is_deleted = true;
            history_.push_back(std::move(row));
        }
    }
    while (history_.size() > max_history)
    {
        history_begin_ = history_.front().version;
        history_.pop_front();
    }
    changed_.notify_all();
    return true;
}

void row_table::write(const std::string& table, const std::string& key,
                      const std::string& value)
{
    row_changes changes;
    row_page page;
    changes.writes.push_back(
        {table, "", key, absl::Base64Escape(value), 0, false});
    (void)commit(changes, page);
}

void row_table::remove(const std::string& table, const std::string& key)
{
    row_changes changes;
    row_page page;
    changes.removals.push_back({table, "", key, "", 0, false});
    (void)commit(changes, page);
}

row_page row_table::read(const std::string& table, const std::string& part,
                         const std::string& from, const std::string& until,
                         std::size_t limit)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    row_page page;
    page.version = version_;
    for (auto it = rows_.lower_bound({table, part, from});
         it != rows_.end() && it->second.table == table &&
         it->second.part == part && (until.empty() || it->second.key < until);
         ++it)
    {
        if (page.rows.size() == limit)
        {
            page.has_more = true;
            break;
        }
        page.rows.push_back(it->second);
    }
    return page;
}

bool row_table::follow(const std::string& table, std::int64_t after,
                       std::chrono::milliseconds wait, row_page& page)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const auto end = std::chrono::steady_clock::now() + wait;
    for (;;)
    {
        if (after < history_begin_)
        {
            return false;
        }
        // The history is ordered by version.
        auto it = std::upper_bound(history_.begin(), history_.end(), after,
                                   [](std::int64_t bound, const stored_row& row)
                                   { return bound < row.version; });
        std::copy_if(it, history_.end(), std::back_inserter(page.rows),
                     [&](const stored_row& row) { return row.table == table; });
        page.version = version_;
        truncate_page(page);
        if (!page.rows.empty() ||
            changed_.wait_until(lock, end) == std::cv_status::timeout)
        {
            return true;
        }
    }
}

void row_table::drop_history()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.clear();
    history_begin_ = version_;
}

} // namespace egretspindle::standin
