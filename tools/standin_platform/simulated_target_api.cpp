#include "simulated_target_api.hpp"

#include "common/reply.hpp"

#include <thread>

namespace egretspindle::standin
{

namespace
{

using std::chrono::milliseconds;

// A delayed order is executed up to 12 s later; the lower bound exceeds the
// time that a host waits for an answer.
constexpr int min_order_delay_ms = 1'500;
constexpr int max_order_delay_ms = 12'000;
// A target that is unreachable or down gives no answer for this long, which
// exceeds every timeout of a host.
constexpr milliseconds no_answer_time{9'000};

} // namespace

milliseconds simulated_target_api::choose_delay()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::uniform_int_distribution<int> delay(min_order_delay_ms,
                                             max_order_delay_ms);
    return milliseconds(delay(random_));
}

http_response simulated_target_api::execute(const std::string& path,
                                            const target_order& order)
{
    std::string body;
    order_result result;
    if (path == "/egretspindle/hold")
    {
        result = target_.poll(order, body);
        if (result.status == 0)
        {
            std::this_thread::sleep_for(no_answer_time);
            result.status = 421;
        }
    }
    else if (path == "/egretspindle/run-start")
    {
        result = target_.start(order);
    }
    else if (path == "/egretspindle/run-stop")
    {
        result = target_.stop(order);
    }
    else if (path != "/egretspindle/pace")
    {
        return json_reply(404, "{}");
    }
    return json_reply(result.status,
                      body.empty() ? target_.answer_body(result.reason) : body);
}

http_response simulated_target_api::handle(const http_request& request)
{
    const absl::StatusOr<target_order> order =
        from_json<target_order>(request.body);
    if (!order.ok())
    {
        return bad_request(order.status());
    }
    const auto it = request.headers.find("egretspindle-expected-instance");
    const std::string wanted = it == request.headers.end() ? "" : it->second;
    const simulated_target_state before = target_.view();
    if (before.faults.answers_known_owner_only && order->token > before.token)
    {
        std::this_thread::sleep_for(no_answer_time);
        return json_reply(421, "{}");
    }
    if (before.faults.delays_orders && request.path != "/egretspindle/hold")
    {
        std::this_thread::sleep_for(choose_delay());
    }
    // Orders name no boot. The next boot under the same id executes those that
    // were sent to the former one.
    const bool is_running = target_.wait_for_boot(no_answer_time);
    if (!is_running || (!wanted.empty() && wanted != target_.view().id))
    {
        return json_reply(421, "{}");
    }
    return execute(request.path, *order);
}

} // namespace egretspindle::standin
