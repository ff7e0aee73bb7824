/// \file
/// In-memory store of rows with injectable faults.

#ifndef EGRETSPINDLE_TESTS_SCHEDULER_FAKE_STORE_HPP
#define EGRETSPINDLE_TESTS_SCHEDULER_FAKE_STORE_HPP

#include "egretspindle/core/error.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>

namespace egretspindle
{

/// Fault that is injected into writes.
enum class write_fault
{
    none,
    refused, ///< writes fail with `unavailable` and change nothing
    /// The next commit is carried out, but fails with `deadline_exceeded`.
    answer_lost,
    overloaded, ///< writes fail with `overloaded` and change nothing
    /// The next commit is carried out, but fails with `overloaded`, as if the
    /// HTTP library had sent it twice and the second copy had been refused.
    overloaded_after_commit,
};

/// Calls of `fake_store::commit` since `limit_writes`.
struct write_counts
{
    int admitted = 0;
    int refused = 0; ///< above the limit
};

/// Rows by table, part and key. Thread-safe; the functions below are called
/// without its lock and may be set only while no other thread uses the store.
class fake_store final : public table_store
{
public:
    /// Called before a write is carried out.
    std::function<void()> before_commit;

    /// Called before each read and each watch.
    std::function<void()> before_read;

    /// Called before each read that does not begin at the first key.
    std::function<void()> before_next_page;

    absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds timeout) override
    {
        if (before_commit)
        {
            before_commit();
        }
        std::unique_lock<std::mutex> lock(mutex_);
        held_writes_ += uses_held_part(transaction) ? 1 : 0;
        if (!part_released_.wait_for(
                lock, timeout, [&] { return !uses_held_part(transaction); }))
        {
            return make_error(error_kind::deadline_exceeded, "held");
        }
        last_was_sent_once_ = transaction.is_sent_once;
        ++commits_;
        if (fault_ == write_fault::refused)
        {
            return make_error(error_kind::unavailable, "refused");
        }
        if (fault_ == write_fault::overloaded || !admit_write())
        {
            return make_error(error_kind::overloaded, "overloaded");
        }
        if (entry_count(transaction) > max_transaction_entries)
        {
            return make_error(error_kind::internal, "too many entries");
        }
        if (value_bytes(transaction) > max_transaction_bytes)
        {
            return make_error(error_kind::internal, "too many bytes");
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
                row.is_deleted = false;
                rows_[{row.table, row.part, row.key}] = row;
                removed_.erase({row.table, row.part, row.key});
            }
            for (const row_condition& item : transaction.removals)
            {
                remove({item.table, item.part, item.key});
            }
            changed_.notify_all();
        }
        result.version = version_;
        if (fault_ == write_fault::answer_lost)
        {
            fault_ = write_fault::none;
            return make_error(error_kind::deadline_exceeded, "lost");
        }
        if (fault_ == write_fault::overloaded_after_commit)
        {
            fault_ = write_fault::none;
            return make_error(error_kind::overloaded, "overloaded");
        }
        return result;
    }

    absl::StatusOr<table_page> read(const row_range& range,
                                    std::chrono::milliseconds timeout) override
    {
        if (before_read)
        {
            before_read();
        }
        if (before_next_page && !range.from.empty())
        {
            before_next_page();
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        last_read_timeout_ = timeout;
        if (is_unreadable_)
        {
            return make_error(error_kind::unavailable, "refused");
        }
        reads_ += range.from.empty() ? 1 : 0;
        table_page page;
        page.version = version_;
        const std::size_t limit =
            range.limit == 0
                ? page_size_
                : std::min(page_size_, static_cast<std::size_t>(range.limit));
        for (const auto& [key, row] : rows_)
        {
            if (row.table != range.table || row.part != range.part ||
                row.key < range.from ||
                (!range.until.empty() && row.key >= range.until))
            {
                continue;
            }
            if (page.rows.size() == limit)
            {
                page.has_more = true;
                break;
            }
            page.rows.push_back(row);
        }
        return page;
    }

    /// Returns the newest state of each row with a version above `after`, in
    /// the order of their versions. Waits at most `wait` for the first one.
    /// Fails with `not_found` if changes after `after` have been dropped.
    absl::StatusOr<table_page> watch(std::string_view table, std::int64_t after,
                                     std::chrono::milliseconds wait) override
    {
        if (before_read)
        {
            before_read();
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (is_unreadable_)
        {
            return make_error(error_kind::unavailable, "refused");
        }
        ++watches_;
        if (after < history_start_)
        {
            return make_error(error_kind::not_found, "history is gone");
        }
        table_page page;
        changed_.wait_for(lock, wait,
                          [&]
                          {
                              page.rows = changes(table, after);
                              return !page.rows.empty();
                          });
        page.version = version_;
        if (page.rows.size() > page_size_)
        {
            page.rows.resize(page_size_);
            page.version = page.rows.back().version;
            page.has_more = true;
        }
        return page;
    }

    /// Sets the fault of later writes.
    void set_fault(write_fault fault)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        fault_ = fault;
    }

    /// Refuses writes above a rate with `overloaded`, and starts to count
    /// writes. Calls of a tenth of a second may come at once.
    ///
    /// \param calls_per_s  0: no limit
    void limit_writes(double calls_per_s)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        writes_per_s_ = calls_per_s;
        write_credit_ = calls_per_s / 10;
        credit_at_ = std::chrono::steady_clock::now();
        write_counts_ = {};
    }

    /// Returns the writes since the last call of `limit_writes`.
    write_counts counted_writes()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return write_counts_;
    }

    /// Lets writes that use a part, also by a condition, wait until
    /// `release_part`, as behind other transactions of this part. They fail
    /// with `deadline_exceeded` after their time-out and are not carried out.
    void hold_part(std::string part)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        held_part_ = std::move(part);
    }

    /// Returns the number of writes that had to wait for a held part.
    int held_writes()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return held_writes_;
    }

    /// Ends `hold_part`.
    void release_part()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        held_part_.reset();
        part_released_.notify_all();
    }

    /// Makes reads and watches fail with `unavailable`.
    void set_unreadable(bool is_unreadable)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_unreadable_ = is_unreadable;
    }

    /// Limits the number of rows per page of a read or a watch.
    void set_page_size(std::size_t rows)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        page_size_ = rows;
    }

    /// Drops the history of changes. Watches after an earlier version fail.
    void forget_history()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        history_start_ = ++version_;
        removed_.clear();
    }

    /// Returns the number of successful reads that began at the first key.
    /// Later pages are not counted.
    int reads()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return reads_;
    }

    /// Returns the timeout of the last read.
    std::chrono::milliseconds last_read_timeout()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_read_timeout_;
    }

    /// Returns the number of watches while the store was readable.
    int watches()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return watches_;
    }

    /// Returns the number of commits, including those that failed.
    int commits()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return commits_;
    }

    /// Returns `row_transaction::is_sent_once` of the last commit.
    bool last_was_sent_once()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_was_sent_once_;
    }

    /// Returns a row, with version 0 when it does not exist.
    table_row row(const std::string& table, const std::string& part,
                  const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = rows_.find({table, part, key});
        return it == rows_.end() ? table_row{} : it->second;
    }

private:
    using row_id = std::tuple<std::string, std::string, std::string>;

    // Returns whether a transaction has a row in the part of `hold_part`.
    bool uses_held_part(const row_transaction& transaction) const
    {
        const auto is_held = [this](const auto& row)
        {
            return row.part == held_part_;
        };
        return held_part_ &&
               (std::any_of(transaction.conditions.begin(),
                            transaction.conditions.end(), is_held) ||
                std::any_of(transaction.writes.begin(),
                            transaction.writes.end(), is_held) ||
                std::any_of(transaction.removals.begin(),
                            transaction.removals.end(), is_held));
    }

    // Returns the size of the values of a transaction in base64.
    static std::size_t value_bytes(const row_transaction& transaction)
    {
        std::size_t bytes = 0;
        for (const table_row& row : transaction.writes)
        {
            bytes += (row.value.size() + 2) / 3 * 4;
        }
        return bytes;
    }

    // Returns whether a write is within the limit, and counts it.
    bool admit_write()
    {
        if (writes_per_s_ > 0)
        {
            const auto now = std::chrono::steady_clock::now();
            const std::chrono::duration<double> elapsed = now - credit_at_;
            credit_at_ = now;
            write_credit_ =
                std::min(writes_per_s_ / 10,
                         write_credit_ + writes_per_s_ * elapsed.count());
            if (write_credit_ < 1)
            {
                ++write_counts_.refused;
                return false;
            }
            write_credit_ -= 1;
        }
        ++write_counts_.admitted;
        return true;
    }

    void remove(const row_id& id)
    {
        const auto it = rows_.find(id);
        if (it == rows_.end())
        {
            return;
        }
        table_row row = it->second;
        row.value.clear();
        row.version = version_;
        row.is_deleted = true;
        removed_[id] = row;
        rows_.erase(it);
    }

    std::vector<table_row> changes(std::string_view table, std::int64_t after)
    {
        std::vector<table_row> found;
        for (const auto* map : {&rows_, &removed_})
        {
            for (const auto& [id, row] : *map)
            {
                if (row.table == table && row.version > after)
                {
                    found.push_back(row);
                }
            }
        }
        std::stable_sort(found.begin(), found.end(),
                         [](const table_row& lhs, const table_row& rhs)
                         { return lhs.version < rhs.version; });
        return found;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::condition_variable part_released_;
    std::optional<std::string> held_part_;
    int held_writes_ = 0;
    std::map<row_id, table_row> rows_;
    std::map<row_id, table_row> removed_; ///< marked as deleted, without value
    std::int64_t version_ = 0;
    std::int64_t history_start_ =
        0; ///< changes up to this version were dropped
    std::size_t page_size_ = 1'000;
    int reads_ = 0;
    std::chrono::milliseconds last_read_timeout_{0};
    int watches_ = 0;
    int commits_ = 0;
    write_fault fault_ = write_fault::none;
    double writes_per_s_ = 0; ///< 0: no limit
    double write_credit_ = 0; ///< writes that may come at once
    std::chrono::steady_clock::time_point credit_at_;
    write_counts write_counts_;
    bool is_unreadable_ = false;
    bool last_was_sent_once_ = false;
};

} // namespace egretspindle

#endif
