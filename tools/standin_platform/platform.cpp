#include "platform.hpp"

#include "egretspindle/core/endpoint.hpp"

#include "common/reply.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle::standin
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tick{10};
// Interval at which the rows of the targets are written; a row is removed after
// three intervals without a write.
constexpr std::int64_t row_interval_ms = 1'100;
constexpr std::int64_t row_lifetime_ms = 3 * row_interval_ms;

/// Command of the control address.
struct command
{
    std::string what; ///< `store`, `target`, `config` or `drop_history`
    std::vector<std::string> names; ///< stores or targets; empty: all
    std::string action;             ///< mode of the store, or for a target
    std::int64_t delay_ms = 0;
    std::int64_t version = 0; ///< of the configuration
    bool second_queue = false;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const command* /*tag*/)
{
    visit("what", value.what);
    visit("names", value.names);
    visit("action", value.action);
    visit("delay_ms", value.delay_ms);
    visit("version", value.version);
    visit("second_queue", value.second_queue);
}

absl::Status listen(http_server& server, const std::string& address)
{
    const absl::StatusOr<endpoint> server_endpoint = parse_endpoint(address);
    return server_endpoint.ok()
               ? server.start(server_endpoint->address, server_endpoint->port)
               : server_endpoint.status();
}

http_limits server_limits()
{
    http_limits limits;
    limits.max_in_service = 200;
    // Hosts may be paused for seconds and use their connections again
    // afterwards.
    limits.keep_alive_timeout_ms = 60'000;
    return limits;
}

bool applies_to(const command& order, const std::string& name)
{
    return order.names.empty() ||
           std::find(order.names.begin(), order.names.end(), name) !=
               order.names.end();
}

} // namespace

platform::platform(const platform_options& options)
    : options_(options), journal_(options.journal)
{
    for (const auto& [name, address] : options_.stores)
    {
        store_server& store = stores_[name];
        store.api = std::make_unique<store_api>(rows_);
        store.server = std::make_unique<http_server>(
            server_limits(),
            [api = store.api.get()](const http_request& request)
            { return api->handle(request); });
    }
    for (const simulated_target_options& settings : options_.targets)
    {
        target_server& item = targets_[settings.name];
        item.target = std::make_unique<simulated_target>(settings, journal_);
        item.api = std::make_unique<simulated_target_api>(*item.target);
        item.server = std::make_unique<http_server>(
            server_limits(), [api = item.api.get()](const http_request& request)
            { return api->handle(request); });
    }
}

platform::~platform()
{
    is_stopping_ = true;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

absl::Status platform::start()
{
    set_config(1, false);
    for (auto& [name, item] : targets_)
    {
        item.target->boot(true);
        const absl::Status status =
            listen(*item.server, item.target->options().listen);
        if (!status.ok())
        {
            return status;
        }
    }
    for (const auto& [name, address] : options_.stores)
    {
        const absl::Status status = listen(*stores_[name].server, address);
        if (!status.ok())
        {
            return status;
        }
    }
    thread_ = std::thread([this] { run(); });
    return absl::OkStatus();
}

void platform::set_config(std::int64_t version, bool has_second_queue)
{
    const std::string attempts =
        fmt::format(R"("maxAttempts":{}}})", options_.max_attempts);
    std::string routes =
        R"({"name":"main","host":"jobs.test","pathPrefix":"/jobs/",)"
        R"("service":"work","priority":1,"stretch":4,)"
        R"("targetDurationMs":2000,"timeoutMs":3000,)" +
        attempts;
    if (has_second_queue)
    {
        routes += R"(,{"name":"second","host":"jobs.test",)"
                  R"("pathPrefix":"/second/","service":"work","priority":0,)"
                  R"("stretch":2,"targetDurationMs":1000,"timeoutMs":3000,)" +
                  attempts;
    }
    rows_.write("op", "config",
                fmt::format(R"({{"version":{},"routes":[{}],"services":)"
                            R"([{{"name":"work","rejectsOverload":true}}],)"
                            R"("limits":{{}}}})",
                            version, routes));
}

void platform::register_target(target_server& item, std::int64_t now)
{
    const std::string id = item.target->view().id;
    const std::int64_t age = now - item.row_ms;
    const bool is_former = !item.row_id.empty() && item.row_id != id;
    if (is_former && (!id.empty() || age > row_lifetime_ms))
    {
        rows_.remove("servers", item.row_id);
        item.row_id.clear();
    }
    if (!id.empty() && (item.row_id != id || age >= row_interval_ms))
    {
        rows_.write("servers", id, item.target->row_value());
        item.row_id = id;
        item.row_ms = now;
    }
}

void platform::run()
{
    while (!is_stopping_)
    {
        const std::int64_t now = steady_ms();
        for (auto& [name, item] : targets_)
        {
            item.target->advance();
            register_target(item, now);
        }
        std::this_thread::sleep_for(tick);
    }
}

void platform::command_target(simulated_target& target,
                              const std::string& action)
{
    if (action == "crash")
    {
        target.crash();
    }
    else if (action == "boot" || action == "boot_renamed")
    {
        target.boot(action == "boot");
    }
    else if (action == "drain")
    {
        target.drain();
    }
    // Factor on the duration of runs that start on a slow target.
    constexpr std::int64_t slowness = 6;
    simulated_target_faults faults;
    faults.is_unhealthy = action == "unhealthy";
    faults.delays_orders = action == "delay_orders";
    faults.answers_known_owner_only = action == "known_owner_only";
    faults.fails_runs = action == "fail_runs";
    faults.slowness = action == "slow" ? slowness : 1;
    target.set_faults(faults);
}

http_response platform::control(const http_request& request)
{
    const absl::StatusOr<command> order =
        from_json<command>(request.body, codec::unknown_fields::reject);
    if (request.path != "/control" || !order.ok())
    {
        return json_reply(400, "{}");
    }
    for (auto& [name, store] : stores_)
    {
        if (order->what == "store" && applies_to(*order, name))
        {
            store.api->set_faults(
                {order->action, milliseconds(order->delay_ms)});
        }
    }
    for (auto& [name, item] : targets_)
    {
        if (order->what == "target" && applies_to(*order, name))
        {
            command_target(*item.target, order->action);
        }
    }
    if (order->what == "config")
    {
        set_config(order->version, order->second_queue);
    }
    if (order->what == "drop_history")
    {
        rows_.drop_history();
    }
    return json_reply(200, "{}");
}

} // namespace egretspindle::standin
