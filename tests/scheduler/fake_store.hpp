/// \file
/// Store of rows in memory, with the faults of the real one.

#ifndef EGRETSPINDLE_TESTS_SCHEDULER_FAKE_STORE_HPP
#define EGRETSPINDLE_TESTS_SCHEDULER_FAKE_STORE_HPP

#include "egretspindle/core/error.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <tuple>

namespace egretspindle
{

/// What happens to the next writes.
enum class write_fault
{
    none,
    refused,     ///< nothing is done, and the answer says so
    answer_lost, ///< the write is done, and no answer comes
};

/// Rows by table, part and key. Usable from several threads.
class fake_store final : public table_store
{
public:
    /// Called when a write has arrived and is not done yet.
    std::function<void()> before_commit;

    absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds /*timeout*/) override
    {
        if (before_commit)
        {
            before_commit();
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        last_was_sent_once_ = transaction.is_sent_once;
        if (fault_ == write_fault::refused)
        {
            return make_error(error_kind::unavailable, "refused");
        }
        transaction_result result;
        result.is_committed = true;
        for (const row_condition& item : transaction.conditions)
        {
            const auto it = rows_.find({item.table, item.part, item.key});
            const std::int64_t version =
                it == rows_.end() ? 0 : it->second.version;
            result.is_committed &= version == item.version;
            if (it != rows_.end())
            {
                result.current.push_back(it->second);
            }
        }
        if (result.is_committed)
        {
            ++version_;
            for (table_row row : transaction.writes)
            {
                row.version = version_;
                rows_[{row.table, row.part, row.key}] = row;
            }
            for (const row_condition& item : transaction.removals)
            {
                rows_.erase({item.table, item.part, item.key});
            }
        }
        result.version = version_;
        if (fault_ == write_fault::answer_lost)
        {
            fault_ = write_fault::none;
            return make_error(error_kind::deadline_exceeded, "lost");
        }
        return result;
    }

    absl::StatusOr<table_page> read(const row_range& range,
                                    std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_unreadable_)
        {
            return make_error(error_kind::unavailable, "refused");
        }
        table_page page;
        page.version = version_;
        for (const auto& [key, row] : rows_)
        {
            if (row.table == range.table && row.part == range.part &&
                row.key >= range.from &&
                (range.limit == 0 ||
                 static_cast<std::int64_t>(page.rows.size()) < range.limit))
            {
                page.rows.push_back(row);
            }
        }
        return page;
    }

    absl::StatusOr<table_page> watch(std::string_view, std::int64_t,
                                     std::chrono::milliseconds) override
    {
        return make_error(error_kind::unavailable, "not in this fake");
    }

    void set_fault(write_fault fault)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault_ = fault;
    }

    void set_unreadable(bool is_unreadable)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_unreadable_ = is_unreadable;
    }

    bool last_was_sent_once()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_was_sent_once_;
    }

    /// Returns a row; version 0 when there is none.
    table_row row(const std::string& table, const std::string& part,
                  const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = rows_.find({table, part, key});
        return it == rows_.end() ? table_row{} : it->second;
    }

private:
    std::mutex mutex_;
    std::map<std::tuple<std::string, std::string, std::string>, table_row>
        rows_;
    std::int64_t version_ = 0;
    write_fault fault_ = write_fault::none;
    bool is_unreadable_ = false;
    bool last_was_sent_once_ = false;
};

} // namespace egretspindle

#endif
