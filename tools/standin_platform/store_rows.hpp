/// \file
/// Rows on the wire of the store.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_ROWS_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_STORE_ROWS_HPP

#include "common/platform_event.hpp"

#include <cstdint>
#include <string>
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

/// Changes that are made together.
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

} // namespace egretspindle::standin

#endif
