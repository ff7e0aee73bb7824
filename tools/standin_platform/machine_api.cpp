#include "machine_api.hpp"

#include "common/reply.hpp"

#include <algorithm>
#include <thread>

namespace egretspindle::standin
{

namespace
{

using std::chrono::milliseconds;

// An order without an answer is executed up to 12 s later; the lower bound is
// beyond the time that a host waits for an answer.
constexpr int min_order_delay_ms = 1'500;
constexpr int max_order_delay_ms = 12'000;
// A dead target gives no answer for this long, which exceeds every wait of a
// host.
constexpr milliseconds silence{9'000};
constexpr std::int64_t max_wait_ms = 2'000;

/// Body of an order.
struct wire_order
{
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::int64_t lease_until_ms = 0;
    std::int64_t token = 0;
    std::int64_t acknowledged = 0;
    std::int64_t wait_ms = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const wire_order* /*tag*/)
{
    visit("task", value.task);
    visit("run", value.run);
    visit("spec", value.spec);
    visit("deadlineMs", value.lease_until_ms);
    visit("fencingToken", value.token);
    visit("ackCursor", value.acknowledged);
    visit("waitMs", value.wait_ms);
}

} // namespace

milliseconds machine_api::choose_delay()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::uniform_int_distribution<int> delay(min_order_delay_ms,
                                             max_order_delay_ms);
    return milliseconds(delay(random_));
}

http_response machine_api::hold(const http_request& request)
{
    const absl::StatusOr<wire_order> wire =
        from_json<wire_order>(request.body);
    if (!wire.ok())
    {
        return bad_request(wire.status());
    }
    const hold_order order{wire->token, wire->acknowledged,
                           wire->lease_until_ms,
                           std::clamp<std::int64_t>(wire->wait_ms, 0,
                                                    max_wait_ms)};
    std::string body;
    const order_result result = machine_.hold(order, body);
    return json_reply(result.status, result.status == 200
                                         ? body
                                         : machine_.answer_body(result.reason));
}

http_response machine_api::execute(const http_request& request)
{
    const absl::StatusOr<wire_order> wire =
        from_json<wire_order>(request.body);
    if (!wire.ok())
    {
        return bad_request(wire.status());
    }
    order_result result;
    if (request.path == "/egretspindle/run-start")
    {
        result = machine_.start({wire->task, wire->run, wire->spec,
                                 wire->lease_until_ms, wire->token});
    }
    else if (request.path == "/egretspindle/run-stop")
    {
        result = machine_.stop(wire->task, wire->run, wire->token);
    }
    else if (request.path != "/egretspindle/pace")
    {
        return json_reply(404, "{}");
    }
    return json_reply(result.status, machine_.answer_body(result.reason));
}

http_response machine_api::handle(const http_request& request)
{
    const auto it = request.headers.find("egretspindle-expected-instance");
    const std::string wanted =
        it == request.headers.end() ? "" : it->second;
    const bool is_hold = request.path == "/egretspindle/hold";
    const int life = machine_.life();
    if (machine_.live_id().empty())
    {
        std::this_thread::sleep_for(silence);
        return json_reply(421, "{}");
    }
    if (!is_hold && machine_.faults().delays_orders)
    {
        std::this_thread::sleep_for(choose_delay());
    }
    // An order does not outlive the process that received it.
    if (machine_.life() != life ||
        (!wanted.empty() && wanted != machine_.live_id()))
    {
        return json_reply(421, "{}");
    }
    return is_hold ? hold(request) : execute(request);
}

} // namespace egretspindle::standin
