#include "store_api.hpp"

#include "common/platform_event.hpp"
#include "common/reply.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <thread>

namespace egretspindle::standin
{

namespace
{

using std::chrono::milliseconds;

// Time of a transaction; one over several parts takes twice as long.
constexpr milliseconds transaction_time{4};
// Longer than any caller waits, so that it sees no response.
constexpr milliseconds silence{9'000};
constexpr std::size_t page_rows = 500;
constexpr std::size_t page_parts = 1'000;
constexpr std::size_t max_entries = 100;
constexpr long max_follow_ms = 30'000;

/// Entry of a transaction.
struct wire_entry
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_entry* /*tag*/)
{
    visit("table", value.table);
    visit("part", value.part);
    visit("key", value.key);
    visit("value", value.value);
    visit("rowVersion", value.version);
}

/// Body of a transaction.
struct wire_transaction
{
    std::vector<wire_entry> conditions;
    std::vector<wire_entry> writes;
    std::vector<wire_entry> removals;
    bool spans_parts = false;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value,
                  const wire_transaction* /*tag*/)
{
    visit("precondition", value.conditions);
    visit("writes", value.writes);
    visit("remove", value.removals);
    visit("across", value.spans_parts);
}

/// Row of a response.
struct wire_row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    bool is_deleted = false;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_row* /*tag*/)
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

/// Response with rows.
struct wire_page
{
    std::vector<wire_row> rows;
    bool has_more = false;
    std::int64_t version = 0;
    std::int64_t now_ms = steady_ms();
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_page* /*tag*/)
{
    visit("rows", value.rows);
    visit("hasMore", value.has_more);
    visit("rowVersion", value.version);
    visit("nowMs", value.now_ms);
}

/// Response with the names of parts.
struct wire_parts
{
    std::vector<std::string> parts;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_parts* /*tag*/)
{
    visit("parts", value.parts);
}

std::vector<wire_row> to_wire(const std::vector<stored_row>& rows)
{
    std::vector<wire_row> result;
    result.reserve(rows.size());
    for (const stored_row& row : rows)
    {
        result.push_back({row.name.table, row.name.part, row.name.key,
                          row.value, row.version, row.is_deleted});
    }
    return result;
}

row_name name_of(const wire_entry& entry)
{
    return {entry.table, entry.part, entry.key};
}

// Returns 200 when the entries are allowed.
int check_entries(const wire_transaction& body)
{
    std::set<std::string> parts;
    std::size_t count = 0;
    for (const auto* list : {&body.conditions, &body.writes, &body.removals})
    {
        count += list->size();
        for (const wire_entry& entry : *list)
        {
            parts.insert(entry.part);
            if (list != &body.conditions &&
                (entry.table == "op" || entry.table == "servers"))
            {
                return 403;
            }
        }
    }
    const bool is_valid =
        count <= max_entries && (parts.size() <= 1 || body.spans_parts);
    return is_valid ? 200 : 400;
}

} // namespace

void store_api::set_faults(const store_faults& faults)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    faults_ = faults;
}

http_response store_api::commit(const http_request& request,
                                const store_faults& faults)
{
    const absl::StatusOr<wire_transaction> body =
        from_json<wire_transaction>(request.body);
    if (!body.ok())
    {
        return bad_request(body.status());
    }
    const int status = check_entries(*body);
    if (status != 200)
    {
        return json_reply(status, "{}");
    }
    row_changes changes;
    for (const wire_entry& entry : body->conditions)
    {
        changes.conditions.push_back({name_of(entry), entry.version});
    }
    for (const wire_entry& entry : body->writes)
    {
        changes.writes.push_back({name_of(entry), entry.value, 0, false});
    }
    for (const wire_entry& entry : body->removals)
    {
        changes.removals.push_back(name_of(entry));
    }
    if (faults.mode == store_mode::late_writes)
    {
        std::this_thread::sleep_for(faults.delay);
    }
    std::this_thread::sleep_for(body->spans_parts ? 2 * transaction_time
                                                  : transaction_time);
    const commit_outcome outcome = rows_.commit(changes);
    if (faults.mode == store_mode::lose_answers ||
        faults.mode == store_mode::late_writes)
    {
        std::this_thread::sleep_for(silence);
    }
    wire_page page;
    page.rows = to_wire(outcome.current);
    page.version = outcome.version;
    return json_reply(outcome.is_committed ? 200 : 412, to_json(page));
}

http_response store_api::read(const http_request& request)
{
    wire_page page;
    const long limit =
        query_number(request, "limit", static_cast<long>(page_rows));
    page.rows = to_wire(
        rows_.read(query_of(request, "table"), query_of(request, "part"),
                   query_of(request, "from"), query_of(request, "target"),
                   std::clamp<std::size_t>(static_cast<std::size_t>(limit), 1,
                                           page_rows),
                   page.has_more, page.version));
    return reply_with(page);
}

http_response store_api::follow(const http_request& request)
{
    wire_page page;
    const milliseconds wait(
        std::clamp(query_number(request, "waitMs", 0), 0L, max_follow_ms));
    const std::optional<std::vector<stored_row>> rows =
        rows_.follow(query_of(request, "table"),
                     query_number(request, "after", 0), wait, page.version);
    if (!rows)
    {
        return json_reply(410, "{}");
    }
    page.rows = to_wire(*rows);
    return reply_with(page);
}

http_response store_api::parts(const http_request& request)
{
    return reply_with(wire_parts{rows_.parts(
        query_of(request, "table"), query_of(request, "after"), page_parts)});
}

http_response store_api::handle(const http_request& request)
{
    store_faults faults;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        faults = faults_;
    }
    switch (faults.mode)
    {
    case store_mode::unavailable:
        return json_reply(503, "{}");
    case store_mode::overloaded:
        return json_reply(429, "{}");
    case store_mode::silent:
        std::this_thread::sleep_for(silence);
        return json_reply(503, "{}");
    case store_mode::slow:
        std::this_thread::sleep_for(faults.delay);
        break;
    case store_mode::pass:
    case store_mode::lose_answers:
    case store_mode::late_writes:
        break;
    }
    if (request.path == "/egretspindle/rows-tx")
    {
        return commit(request, faults);
    }
    if (request.path == "/egretspindle/rows-get")
    {
        return read(request);
    }
    if (request.path == "/egretspindle/rows-feed")
    {
        return follow(request);
    }
    if (request.path == "/egretspindle/rows-parts")
    {
        return parts(request);
    }
    return json_reply(404, "{}");
}

} // namespace egretspindle::standin
