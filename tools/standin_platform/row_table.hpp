/// \file
/// Rows of the platform's store.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_ROW_TABLE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_ROW_TABLE_HPP

#include "common/platform_event.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace egretspindle::standin
{

/// Row of a transaction or of a response.
struct stored_row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value; ///< base64
    std::int64_t version = 0;
    bool is_deleted = false;
};

/// Visits the fields of `stored_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const stored_row* /*tag*/)
{
    visit("table", value.table);
    visit("part", value.part);
    visit("key", value.key);
    visit("value", value.value);
    visit("rowVersion", value.version);
    if (value.is_deleted)
    {
        visit("deleted", value.is_deleted);
    }
}

/// Changes that are applied as one transaction.
struct row_changes
{
    std::vector<stored_row> conditions; ///< version 0: there is no such row
    std::vector<stored_row> writes;
    std::vector<stored_row> removals;
    bool spans_parts = false;
};

/// Visits the fields of `row_changes` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const row_changes* /*tag*/)
{
    visit("precondition", value.conditions);
    visit("writes", value.writes);
    visit("remove", value.removals);
    visit("across", value.spans_parts);
}

/// Rows of a response.
struct row_page
{
    std::vector<stored_row> rows;
    bool has_more = false;
    std::int64_t version = 0; ///< newest of the store
    std::int64_t now_ms = steady_ms();
};

/// Visits the fields of `row_page` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const row_page* /*tag*/)
{
    visit("rows", value.rows);
    visit("hasMore", value.has_more);
    visit("rowVersion", value.version);
    visit("nowMs", value.now_ms);
}

/// Rows with one version counter, and the history of their changes.
class row_table
{
public:
    /// Applies all changes, or none when a condition fails.
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
    /// \returns false when the history after that version was deleted
    [[nodiscard]] bool follow(const std::string& table, std::int64_t after,
                              std::chrono::milliseconds wait, row_page& page);

    /// Deletes the history of changes.
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
    std::int64_t history_begin_ = 0; ///< only later changes are in the history
};

} // namespace egretspindle::standin

#endif
