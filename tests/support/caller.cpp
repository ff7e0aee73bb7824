#include "support/caller.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/clock.hpp"

#include "support/json_http.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle::test
{

namespace
{

struct reply_body
{
    std::string outcome;
    std::string answer;
    std::string reason;
    int attempt = 0;
    std::string target;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const reply_body* /*tag*/)
{
    visit("outcome", value.outcome);
    visit("answer", value.answer);
    visit("reason", value.reason);
    visit("attempt", value.attempt);
    visit("target", value.target);
}

std::string path_of(const test_request& request)
{
    return "/v1/requests/" + key_of(request);
}

} // namespace

bool caller_reply::is_final() const
{
    return outcome == "done" || outcome == "failed" || outcome == "cancelled" ||
           outcome == "unknown";
}

caller_reply caller::submit(const std::string& address,
                            const test_request& request)
{
    return call("submit", address, "POST", "/v1/requests", to_json(request),
                request, request.wait_ms);
}

caller_reply caller::wait(const std::string& address,
                          const test_request& request, std::int64_t wait_ms)
{
    return call("wait", address, "GET",
                fmt::format("{}?wait_ms={}", path_of(request), wait_ms), "",
                request, wait_ms);
}

caller_reply caller::cancel(const std::string& address,
                            const test_request& request)
{
    return call("cancel", address, "DELETE", path_of(request), "", request, 0);
}

caller_reply caller::follow(const std::vector<std::string>& addresses,
                            const test_request& request,
                            std::chrono::seconds limit)
{
    const time_point end = steady_clock::now() + limit;
    caller_reply reply;
    for (std::size_t n = 0; steady_clock::now() < end; ++n)
    {
        const std::string& address = addresses[n % addresses.size()];
        reply = wait(address, request, 1000);
        if (reply.status == 404)
        {
            reply = submit(address, request);
        }
        if (reply.is_final() || reply.outcome == "not_run")
        {
            break;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return reply;
}

std::vector<caller_reply> caller::replies() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return replies_;
}

caller_reply caller::call(const std::string& name, const std::string& address,
                          const std::string& method, const std::string& path,
                          const std::string& body, const test_request& request,
                          std::int64_t wait_ms)
{
    caller_reply reply;
    reply.key = key_of(request);
    reply.call = name;
    reply.body = request.body;
    reply.is_idempotent = request.idempotent;
    reply.sent_ms = unix_ms();
    const absl::StatusOr<http_response> response =
        send_http(address, method, path, body, milliseconds(wait_ms + 5000));
    reply.received_ms = unix_ms();
    if (response.ok())
    {
        reply.status = response->status;
        const absl::StatusOr<reply_body> parsed =
            from_json<reply_body>(response->body);
        if (parsed.ok() && !parsed->outcome.empty())
        {
            reply.outcome = parsed->outcome;
            reply.answer = parsed->answer;
            reply.reason = parsed->reason;
            reply.attempt = parsed->attempt;
            reply.target = parsed->target;
        }
        else
        {
            reply.error = response->body;
        }
    }
    else
    {
        reply.error = response.status().ToString();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    replies_.push_back(reply);
    return reply;
}

} // namespace egretspindle::test
