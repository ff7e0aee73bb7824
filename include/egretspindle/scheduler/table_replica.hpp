/// \file
/// Reads of a table and of its changes.

#ifndef EGRETSPINDLE_SCHEDULER_TABLE_REPLICA_HPP
#define EGRETSPINDLE_SCHEDULER_TABLE_REPLICA_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace egretspindle
{

/// Rows of a table by key.
using row_map = std::map<std::string, table_row>;

/// Local copy of a table. Each call of `read` reads the whole table or the
/// changes since the last read. Not thread-safe.
class table_replica
{
public:
    /// \param wait  longest wait of the store for a change
    table_replica(table_store& store, std::string table, milliseconds wait);

    /// Reads the whole table the first time and when the store has discarded
    /// the history of changes; otherwise one page of changes. Logs the first of
    /// several failures, and the recovery.
    ///
    /// \returns whether the store answered
    bool read();

    /// Lets the next read be one of the whole table. For a copy that has not
    /// been read for long, this is cheaper than all changes.
    void restart() noexcept
    {
        is_current_ = false;
    }

    /// Rows as of the last answered read.
    [[nodiscard]] const row_map& rows() const noexcept
    {
        return rows_;
    }

    /// Version of the store up to which the rows are current.
    [[nodiscard]] std::int64_t version() const noexcept
    {
        return version_;
    }

    /// Whether the last read may have changed the rows.
    [[nodiscard]] bool has_new_rows() const noexcept
    {
        return has_new_rows_;
    }

    /// Returns the pause before the next read: `pause` after an answer with all
    /// changes, none after an incomplete one, so that the rows stay current
    /// however fast the table changes, or when the history is gone, and 150 ms
    /// after another failure.
    [[nodiscard]] milliseconds
    pause_after_read(milliseconds pause) const noexcept;

private:
    bool read_all();
    bool read_changes();
    void log_failure(const absl::Status& status);
    void log_recovery();

    table_store& store_;
    std::string table_;
    milliseconds wait_;
    row_map rows_;
    std::int64_t version_ = 0;
    bool is_current_ = false;       ///< the next call may ask for changes only
    bool has_more_ = false;         ///< further changes may be read at once
    bool has_failed_ = false;       ///< the last call
    bool has_lost_history_ = false; ///< as the last call showed
    bool has_new_rows_ = false;
};

} // namespace egretspindle

#endif
