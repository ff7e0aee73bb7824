#include "store_api.hpp"

#include "common/reply.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle::standin
{

namespace
{

// Longer than any client of the store waits for an answer.
constexpr std::chrono::seconds lost_answer_delay{5};

struct row_page
{
    std::vector<store_row> rows;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const row_page* /*tag*/)
{
    visit("rows", value.rows);
}

bool is_write(const http_request& request)
{
    return request.method == "POST" || request.method == "PUT";
}

} // namespace

http_response store_api::handle(const http_request& request)
{
    if (request.path == "/control" && request.method == "POST")
    {
        return control(request);
    }
    if (request.path == "/stats")
    {
        return stats();
    }
    http_response refusal;
    return admit(request, refusal) ? serve(request) : refusal;
}

http_response store_api::serve(const http_request& request)
{
    const std::string& path = request.path;
    if (path == "/v1/tx" && request.method == "POST")
    {
        return commit(request);
    }
    if (path.rfind("/v1/tx/", 0) == 0)
    {
        return transaction(path.substr(7));
    }
    if (path == "/v1/rows")
    {
        const store_row row = table_.read(query_of(request, "key"));
        return row.version > 0
                   ? reply_with(row)
                   : error_reply(404, error_kind::not_found, "no such row");
    }
    if (path == "/v1/scan")
    {
        return reply_with(row_page{
            table_.scan(query_of(request, "prefix"), query_of(request, "after"),
                        query_number(request, "limit", 1000))});
    }
    if (path == "/v1/objects")
    {
        return object(request);
    }
    return error_reply(404, error_kind::not_found, "no such path");
}

http_response store_api::control(const http_request& request)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    store_faults faults = faults_;
    faults.seed = 0;
    const absl::Status status = update_from_json(request.body, faults);
    if (!status.ok())
    {
        return bad_request(status);
    }
    faults_ = faults;
    if (faults.seed != 0)
    {
        random_.seed(static_cast<unsigned>(faults.seed));
    }
    return reply_with(faults_);
}

http_response store_api::commit(const http_request& request)
{
    const absl::StatusOr<store_transaction> transaction =
        from_json<store_transaction>(request.body);
    if (!transaction.ok())
    {
        return bad_request(transaction.status());
    }
    const commit_result result = table_.commit(*transaction);
    if (is_answer_lost())
    {
        std::this_thread::sleep_for(lost_answer_delay);
        return error_reply(504, error_kind::deadline_exceeded,
                           "the answer was lost; look up the transaction id");
    }
    if (!result.committed)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++stats_.conflicts;
    }
    return json_reply(result.committed ? 200 : 409, to_json(result));
}

http_response store_api::transaction(const std::string& tx_id)
{
    const std::optional<commit_result> result = table_.find_transaction(tx_id);
    return json_reply(
        200, fmt::format(R"({{"known":{},"committed":{},"version":{}}})",
                         result.has_value(), result && result->committed,
                         result ? result->version : 0));
}

http_response store_api::object(const http_request& request)
{
    const std::string key = query_of(request, "key");
    if (request.method == "PUT")
    {
        table_.put_object(key, request.body);
        return json_reply(200, "{}");
    }
    std::optional<std::string> value = table_.object(key);
    if (!value)
    {
        return error_reply(404, error_kind::not_found, "no such object");
    }
    http_response response = json_reply(200, *std::move(value));
    response.content_type = "application/octet-stream";
    return response;
}

http_response store_api::stats()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return reply_with(stats_);
}

bool store_api::admit(const http_request& request, http_response& refusal)
{
    long delay_ms = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (faults_.outage)
        {
            ++stats_.refused;
            refusal = error_reply(503, error_kind::unavailable,
                                  "the store is out of service; retry later");
            return false;
        }
        rate_limit& limit = is_write(request) ? writes_ : reads_;
        if (!limit.admit(steady_clock::now()))
        {
            ++stats_.limited;
            refusal = error_reply(429, error_kind::overloaded,
                                  "rate limit exceeded; retry more slowly");
            return false;
        }
        ++(is_write(request) ? stats_.writes : stats_.reads);
        delay_ms = faults_.delay_ms;
    }
    if (delay_ms > 0)
    {
        std::this_thread::sleep_for(milliseconds(delay_ms));
    }
    return true;
}

bool store_api::is_answer_lost()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    bool is_lost = faults_.lose_answer_probability > 0 &&
                   std::uniform_real_distribution<double>()(random_) <
                       faults_.lose_answer_probability;
    if (faults_.lose_answers > 0)
    {
        --faults_.lose_answers;
        is_lost = true;
    }
    stats_.lost_answers += is_lost ? 1 : 0;
    return is_lost;
}

} // namespace egretspindle::standin
