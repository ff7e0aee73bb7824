/// \file
/// Rows of the platform's store.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_ROW_TABLE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_ROW_TABLE_HPP

#include "store_rows.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>

namespace egretspindle::standin
{

/// Rows with one version counter, and the history of their changes.
class row_table
{
public:
    /// Makes all changes, or none when a condition fails.
    ///
    /// \param page  receives the version, and the rows of the conditions when
    ///              one fails
    bool commit(const row_changes& changes, row_page& page);

    /// Writes one row of the platform itself, in the empty part.
    void write(const std::string& table, const std::string& key,
               const std::string& value);

    /// Removes one row of the platform itself, in the empty part.
    void remove(const std::string& table, const std::string& key);

    /// Returns rows of a part in the order of their keys.
    ///
    /// \param until  first key that is left out; empty: none
    [[nodiscard]] row_page read(const std::string& table,
                                const std::string& part,
                                const std::string& from,
                                const std::string& until, std::size_t limit);

    /// Waits for changes of a table after a version.
    ///
    /// \returns false when the history since then is gone
    [[nodiscard]] bool follow(const std::string& table, std::int64_t after,
                              std::chrono::milliseconds wait, row_page& page);

    /// Forgets all past changes.
    void drop_history();

private:
    /// Table, part and key.
    using row_name = std::tuple<std::string, std::string, std::string>;

    [[nodiscard]] static row_name name_of(const stored_row& row)
    {
        return {row.table, row.part, row.key};
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, stored_row> rows_;
    std::deque<stored_row> history_;
    std::int64_t version_ = 0;
    std::int64_t history_begin_ = 0; ///< changes after it are known
};

} // namespace egretspindle::standin

#endif
