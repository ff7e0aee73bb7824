/// \file
/// Rows of the platform's store.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_ROW_TABLE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_ROW_TABLE_HPP

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace egretspindle::standin
{

/// Name of a row.
struct row_name
{
    std::string table;
    std::string part;
    std::string key;

    [[nodiscard]] friend bool operator<(const row_name& a, const row_name& b)
    {
        return std::tie(a.table, a.part, a.key) <
               std::tie(b.table, b.part, b.key);
    }
};

/// Row as it is stored; the value stays in base64.
struct stored_row
{
    row_name name;
    std::string value;
    std::int64_t version = 0;
    bool is_deleted = false;
};

/// Condition on a row; version 0: the row does not exist.
struct version_condition
{
    row_name name;
    std::int64_t version = 0;
};

/// Changes that are made together.
struct row_changes
{
    std::vector<version_condition> conditions;
    std::vector<stored_row> writes;
    std::vector<row_name> removals;
};

/// Result of a transaction.
struct commit_outcome
{
    bool is_committed = false;
    std::int64_t version = 0;
    std::vector<stored_row> current; ///< rows of the conditions that exist
};

/// Rows with one version counter, and the history of their changes.
class row_table
{
public:
    /// Makes all changes, or none when a condition fails.
    commit_outcome commit(const row_changes& changes);

    /// Returns rows of a part in the order of their keys.
    ///
    /// \param until  first key that is left out; empty: none
    [[nodiscard]] std::vector<stored_row>
    read(const std::string& table, const std::string& part,
         const std::string& from, const std::string& until, std::size_t limit,
         bool& has_more, std::int64_t& version);

    /// Waits for changes of a table after a version.
    ///
    /// \returns nothing when the history since then is gone
    [[nodiscard]] std::optional<std::vector<stored_row>>
    follow(const std::string& table, std::int64_t after,
           std::chrono::milliseconds wait, std::int64_t& version);

    /// Returns the parts of a table after a name.
    [[nodiscard]] std::vector<std::string> parts(const std::string& table,
                                                 const std::string& after,
                                                 std::size_t limit);

    /// Forgets all past changes.
    void drop_history();

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_name, stored_row> rows_;
    std::deque<stored_row> history_;
    std::int64_t version_ = 0;
    std::int64_t history_begin_ = 0; ///< changes after it are known
};

} // namespace egretspindle::standin

#endif
