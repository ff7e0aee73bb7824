#include "store_api.hpp"

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

// Duration of a transaction; one over several parts takes twice as long.
constexpr milliseconds transaction_time{4};
// Longer than any caller waits, so that it sees no response.
constexpr milliseconds no_answer_time{9'000};
constexpr std::size_t max_rows_per_page = 500;
constexpr std::size_t max_entries = 100;
constexpr long max_follow_ms = 30'000;

// Returns 200 when the entries are allowed, otherwise the status of the error.
int check_entries(const row_changes& body)
{
    std::set<std::string> parts;
    std::size_t count = 0;
    for (const auto* list : {&body.conditions, &body.writes, &body.removals})
    {
        count += list->size();
        for (const stored_row& entry : *list)
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
    const absl::StatusOr<row_changes> body =
        from_json<row_changes>(request.body);
    if (!body.ok())
    {
        return bad_request(body.status());
    }
    const int status = check_entries(*body);
    if (status != 200)
    {
        return json_reply(status, "{}");
    }
    if (faults.mode == "late_writes")
    {
        std::this_thread::sleep_for(faults.delay);
    }
    std::this_thread::sleep_for(body->spans_parts ? 2 * transaction_time
                                                  : transaction_time);
    row_page page;
    const bool is_committed = rows_.commit(*body, page);
    if (faults.mode == "lose_answers" || faults.mode == "late_writes")
    {
        std::this_thread::sleep_for(no_answer_time);
    }
    return json_reply(is_committed ? 200 : 412, to_json(page));
}

http_response store_api::read(const http_request& request)
{
    const long limit =
        query_number(request, "limit", static_cast<long>(max_rows_per_page));
    return reply_with(
        rows_.read(query_of(request, "table"), query_of(request, "part"),
                   query_of(request, "from"), query_of(request, "target"),
                   std::min(max_rows_per_page,
                            static_cast<std::size_t>(std::max(1L, limit)))));
}

http_response store_api::follow(const http_request& request)
{
    row_page page;
    const milliseconds wait(
        std::clamp(query_number(request, "waitMs", 0), 0L, max_follow_ms));
    return rows_.follow(query_of(request, "table"),
                        query_number(request, "after", 0), wait, page)
               ? reply_with(page)
               : json_reply(410, "{}");
}

http_response store_api::handle(const http_request& request)
{
    store_faults faults;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        faults = faults_;
    }
    if (faults.mode == "unavailable" || faults.mode == "overloaded")
    {
        return json_reply(faults.mode == "overloaded" ? 429 : 503, "{}");
    }
    if (faults.mode == "silent")
    {
        std::this_thread::sleep_for(no_answer_time);
        return json_reply(503, "{}");
    }
    if (faults.mode == "slow")
    {
        std::this_thread::sleep_for(faults.delay);
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
    return json_reply(404, "{}");
}

} // namespace egretspindle::standin
