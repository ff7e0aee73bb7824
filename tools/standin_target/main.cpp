// Stand-in for a target of the platform. For tests only.

#include "egretspindle/core/error.hpp"

#include "common/reply.hpp"
#include "common/serve.hpp"
#include "target_options.hpp"
#include "task_table.hpp"

#include <fmt/format.h>

namespace
{

using namespace egretspindle;
using namespace egretspindle::standin;

int status_of(error_kind kind)
{
    switch (kind)
    {
    case error_kind::stale_epoch:
    case error_kind::conflict:
        return 409;
    case error_kind::overloaded:
        return 503;
    default:
        return 400;
    }
}

http_response reply_of(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    const absl::string_view message = status.message();
    return error_reply(status_of(kind), kind, {message.data(), message.size()});
}

template <typename Reply>
http_response reply_of(const absl::StatusOr<Reply>& reply)
{
    return reply.ok() ? reply_with(*reply) : reply_of(reply.status());
}

/// Decodes the body and calls `function` with it.
template <typename Command, typename Function>
http_response with_body(const http_request& request, Function function)
{
    const absl::StatusOr<Command> command = from_json<Command>(request.body);
    return command.ok() ? function(*command) : bad_request(command.status());
}

http_response handle_post(task_table& tasks, const http_request& request)
{
    const std::string& path = request.path;
    if (path == "/v1/tasks")
    {
        return with_body<start_command>(
            request, [&](const start_command& command)
            { return reply_of(tasks.start(command)); });
    }
    if (path == "/v1/tasks/stop")
    {
        return with_body<stop_command>(request,
                                       [&](const stop_command& command) {
                                           return reply_of(tasks.stop(command));
                                       });
    }
    if (path == "/v1/tasks/throttle")
    {
        return with_body<throttle_command>(
            request, [&](const throttle_command& command)
            { return reply_of(tasks.throttle(command)); });
    }
    if (path == "/v1/tasks/ack")
    {
        return with_body<ack_command>(
            request, [&](const ack_command& command)
            { return reply_with(tasks.acknowledge(command)); });
    }
    if (path == "/v1/renew")
    {
        return with_body<renew_command>(
            request, [&](const renew_command& command)
            { return reply_of(tasks.renew(command)); });
    }
    if (path == "/v1/claim")
    {
        return with_body<claim_command>(
            request, [&](const claim_command& command)
            { return reply_of(tasks.claim(command)); });
    }
    if (path == "/control")
    {
        target_faults faults = tasks.faults();
        const absl::Status status = update_from_json(request.body, faults);
        if (!status.ok())
        {
            return bad_request(status);
        }
        tasks.set_faults(faults);
        return reply_with(faults);
    }
    return error_reply(404, error_kind::not_found, "no such path");
}

http_response handle(task_table& tasks, const http_request& request)
{
    if (request.method == "POST")
    {
        return handle_post(tasks, request);
    }
    if (request.path == "/v1/tasks")
    {
        return reply_with(
            tasks.find(query_of(request, "key"),
                       static_cast<int>(query_number(request, "attempt", 1)),
                       query_number(request, "wait_ms", 0)));
    }
    if (request.path == "/v1/state")
    {
        return reply_with(tasks.state());
    }
    return error_reply(404, error_kind::not_found, "no such path");
}

} // namespace

int main(int argc, char** argv)
{
    target_options options;
    if (!parse_options(argc, argv, options))
    {
        return 2;
    }
    block_stop_signals();
    task_table tasks(options);
    return serve("standin_target", options.listen,
                 [&](const http_request& request)
                 { return handle(tasks, request); });
}
