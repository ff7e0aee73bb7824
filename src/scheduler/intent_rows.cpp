#include "egretspindle/scheduler/intent_rows.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include <map>
#include <utility>
#include <vector>

namespace egretspindle
{

namespace
{

// The platform limits a row to 65'536 bytes.
constexpr std::size_t max_record_bytes = 60'000;

/// Intent of a run, by the target.
struct intent_entry
{
    std::string task;
    std::int64_t run = 0;
    bool is_confirmed = false;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const intent_entry* /*tag*/)
{
    visit("t", value.task);
    visit("n", value.run);
    visit("c", value.is_confirmed);
}

/// Value of a row.
struct intent_row
{
    bool is_incomplete = false;
    std::map<std::string, std::vector<intent_entry>> runs; ///< by target
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const intent_row* /*tag*/)
{
    visit("incomplete", value.is_incomplete);
    visit("runs", value.runs);
}

std::string encode(const intent_record& record)
{
    intent_row row;
    for (const auto& [id, intent] : record.intents)
    {
        row.runs[intent.target].push_back(
            {id.first, id.second, intent.is_confirmed});
    }
    std::string text = to_json(row);
    if (text.size() > max_record_bytes || record.is_incomplete)
    {
        text = to_json(intent_row{true, {}});
    }
    return text;
}

intent_record decode(const table_row& row)
{
    intent_record record;
    record.version = row.version;
    absl::StatusOr<intent_row> value = from_json<intent_row>(row.value);
    if (!value.ok())
    {
        record.is_incomplete = true;
        return record;
    }
    record.is_incomplete = value->is_incomplete;
    for (auto& [target, runs] : value->runs)
    {
        for (intent_entry& run : runs)
        {
            record.intents.emplace(run_id{std::move(run.task), run.run},
                                   start_intent{target, run.is_confirmed});
        }
    }
    return record;
}

} // namespace

absl::StatusOr<intent_record> read_intents(table_store& store,
                                           const std::string& rack,
                                           milliseconds timeout,
                                           bool has_fences)
{
    row_range range;
    range.table = std::string(intents_table);
    range.part = has_fences ? rack : std::string();
    range.from = rack;
    range.limit = 1;
    const absl::StatusOr<table_page> page = store.read(range, timeout);
    if (!page.ok())
    {
        return page.status();
    }
    const bool has_row = !page->rows.empty() && page->rows.front().key == rack;
    return has_row ? decode(page->rows.front()) : intent_record{};
}

absl::StatusOr<intent_write>
write_intents(table_store& store, const std::string& rack, std::int64_t token,
              const intent_record& record, milliseconds timeout,
              bool has_fences)
{
    table_row row;
    row.table = std::string(intents_table);
    row.part = has_fences ? rack : std::string();
    row.key = rack;
    row.value = encode(record);
    const row_condition owner =
        has_fences ? require_rack_fence(rack, token)
                   : row_condition{std::string(cluster_table), "",
                                   std::string(rack_prefix) + rack, token};
    row_transaction transaction;
    transaction.kind = transaction_kind::intents;
    transaction.conditions.push_back(
        {row.table, row.part, rack, record.version});
    transaction.conditions.push_back(owner);
    transaction.writes.push_back(std::move(row));
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, timeout);
    if (!result.ok())
    {
        return result.status();
    }
    intent_write written;
    written.is_committed = result->is_committed;
    written.version = result->is_committed ? result->version : 0;
    written.is_replaced = !result->is_committed;
    if (!result->is_committed)
    {
        for (const table_row& current : result->current)
        {
            if (current.table == owner.table && current.key == owner.key)
            {
                written.is_replaced = current.version != token;
            }
            if (current.table == intents_table && current.key == rack)
            {
                written.version = current.version;
            }
        }
    }
    return written;
}

} // namespace egretspindle
