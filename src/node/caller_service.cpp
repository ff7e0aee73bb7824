#include "egretspindle/node/caller_service.hpp"

#include "egretspindle/adapters/caller_query.hpp"
#include "egretspindle/adapters/caller_request.hpp"
#include "egretspindle/adapters/caller_response.hpp"
#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

constexpr std::string_view requests_path = "/v1/requests";
constexpr std::string_view request_prefix = "/v1/requests/";
constexpr std::int64_t default_retry_after_ms = 500;

http_response text_response(int status, std::string body)
{
    http_response response;
    response.status = status;
    response.content_type = "text/plain; charset=utf-8";
    response.body = std::move(body);
    return response;
}

/// Counts an urgent request while it is in service.
class in_service_guard
{
public:
    explicit in_service_guard(std::atomic<std::int64_t>& count)
        : count_(count), position_(++count)
    {
    }
    ~in_service_guard()
    {
        --count_;
    }
    in_service_guard(const in_service_guard&) = delete;
    in_service_guard& operator=(const in_service_guard&) = delete;

    [[nodiscard]] std::int64_t position() const
    {
        return position_;
    }

private:
    std::atomic<std::int64_t>& count_;
    std::int64_t position_;
};

request_reply make_not_run_reply(const request_spec& spec,
                                 std::string_view reason,
                                 std::int64_t retry_after_ms)
{
    request_reply reply;
    reply.key = key_of(spec);
    reply.result = outcome::not_run;
    reply.reason = reason;
    reply.retry_after_ms = retry_after_ms;
    return reply;
}

} // namespace

caller_service::caller_service(limit_settings limits, request_router& router,
                               plan_table& plans, metric_registry& metrics,
                               caller_hooks hooks)
    : limits_(limits), router_(router), plans_(plans), metrics_(metrics),
      hooks_(std::move(hooks))
{
}

http_response caller_service::handle(const http_request& request)
{
    const std::string& path = request.path;
    if (path == "/healthz")
    {
        return text_response(200, "ok\n");
    }
    if (path == "/readyz")
    {
        const std::string reason = hooks_.not_ready_reason();
        return reason.empty() ? text_response(200, "ready\n")
                              : text_response(503, reason + "\n");
    }
    if (path == "/metrics")
    {
        hooks_.update_gauges();
        http_response response = text_response(200, metrics_.prometheus_text());
        response.content_type = "text/plain; version=0.0.4";
        return response;
    }
    if (path == requests_path && request.method == "POST")
    {
        return submit(request);
    }
    if (path.compare(0, request_prefix.size(), request_prefix) == 0)
    {
        if (request.method == "GET" || request.method == "DELETE")
        {
            return query(request);
        }
    }
    return format_error(make_error(
        error_kind::not_found, fmt::format("no resource {} {}; see docs/api.md",
                                           request.method, path)));
}

http_response caller_service::submit(const http_request& request)
{
    const time_point received = steady_clock::now();
    const absl::StatusOr<caller_request> parsed =
        parse_caller_request(request, make_caller_limits());
    if (!parsed.ok())
    {
        return format_error(parsed.status());
    }
    const milliseconds wait(parsed->wait_ms);
    const bool is_urgent = parsed->spec.urgent;
    const absl::StatusOr<request_reply> result =
        submit_if_permitted(parsed->spec, wait);
    if (result.ok())
    {
        metrics_
            .get_summary("egretspindle_request_milliseconds",
                         "Time from receipt to reply.",
                         {{"urgency", is_urgent ? "urgent" : "batch"}})
            .observe(std::chrono::duration<double, std::milli>(
                         steady_clock::now() - received)
                         .count());
    }
    return reply(result);
}

absl::StatusOr<request_reply>
caller_service::submit_if_permitted(request_spec spec, milliseconds wait)
{
    const absl::Status status = check_plan(spec);
    if (!status.ok())
    {
        if (kind_of(status) == error_kind::unavailable)
        {
            return make_not_run_reply(spec, std::string(status.message()),
                                      default_retry_after_ms);
        }
        return status;
    }
    if (!spec.urgent)
    {
        return router_.submit(spec, wait);
    }
    const in_service_guard guard(urgent_in_service_);
    if (guard.position() > limits_.max_urgent_in_service)
    {
        return make_not_run_reply(
            spec,
            "too many urgent requests are in service; send "
            "it again later",
            default_retry_after_ms);
    }
    return router_.submit(spec, wait);
}

absl::Status caller_service::check_plan(request_spec& spec) const
{
    const std::shared_ptr<const plan_in_force> plan = plans_.current();
    if (!plan)
    {
        return make_error(error_kind::unavailable,
                          "no plan is in force yet; send it again later");
    }
    if (plan->document.teams.count(spec.team) == 0)
    {
        return make_error(error_kind::unknown_team,
                          fmt::format("team '{}' is not in the plan; ask a "
                                      "supervisor to add it",
                                      spec.team));
    }
    const auto service = plan->document.services.find(spec.kind);
    if (service == plan->document.services.end())
    {
        return absl::OkStatus();
    }
    const service_section& limits = service->second;
    const bool exceeds_limits =
        (limits.max_cpu_cores > 0 &&
         spec.size.cpu_cores > limits.max_cpu_cores) ||
        (limits.max_memory_mb > 0 &&
         spec.size.memory_mb > limits.max_memory_mb) ||
        (limits.max_accelerators > 0 &&
         spec.size.accelerators > limits.max_accelerators);
    if (exceeds_limits)
    {
        return make_error(error_kind::invalid_argument,
                          fmt::format("the size exceeds the plan's limits of "
                                      "service '{}'; ask for less",
                                      spec.kind));
    }
    return absl::OkStatus();
}

http_response caller_service::query(const http_request& request)
{
    const absl::StatusOr<caller_query> parsed =
        parse_caller_query(request, make_caller_limits());
    if (!parsed.ok())
    {
        return format_error(parsed.status());
    }
    if (request.method == "DELETE")
    {
        return reply(router_.cancel(parsed->key));
    }
    return reply(router_.wait({parsed->key, parsed->wait_ms}));
}

caller_limits caller_service::make_caller_limits() const
{
    caller_limits limits;
    limits.max_body_bytes = static_cast<std::size_t>(limits_.max_body_bytes);
    limits.max_request_bytes =
        static_cast<std::size_t>(limits_.max_request_bytes);
    limits.max_wait_ms = limits_.max_wait_ms;
    return limits;
}

http_response caller_service::reply(const absl::StatusOr<request_reply>& result)
{
    if (!result.ok())
    {
        metrics_
            .get_counter(
                "egretspindle_request_errors_total",
                "Requests refused with an error.",
                {{"kind", std::string(to_string(kind_of(result.status())))}})
            .add();
        return format_error(result.status());
    }
    metrics_
        .get_counter("egretspindle_replies_total", "Replies by outcome.",
                     {{"outcome", std::string(to_string(result->result))}})
        .add();
    return format_reply(*result);
}

} // namespace egretspindle
