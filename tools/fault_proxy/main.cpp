// TCP proxy that injects faults on command. For tests only.

#include "common/reply.hpp"
#include "common/serve.hpp"
#include "proxy.hpp"

#include <fmt/format.h>

#include <getopt.h>

namespace
{

using namespace egretspindle;
using namespace egretspindle::standin;

constexpr std::string_view usage =
    R"(usage: fault_proxy --control IP:PORT --link NAME=IP:PORT->IP:PORT...
Forwards TCP connections and injects faults.
POST /control accepts {"link":PATTERN,"links":[PATTERN...],"mode":MODE,
"delay_ms":N,"count":N}; GET /control lists the links. Modes:
  pass                     forwards
  delay                    forwards each byte delay_ms later
  drop                     holds both directions until the mode changes
  cut_requests             holds the direction to the server
  cut_replies              holds the direction to the client
  reset                    resets open and new connections
  cut_reply_after_request  resets a connection when its reply arrives; with
                           count, only that many replies
)";

struct options
{
    std::string control;
    std::vector<proxy_link> links;
};

bool parse(int argc, char** argv, options& result)
{
    const option known[] = {{"control", required_argument, nullptr, 'c'},
                            {"link", required_argument, nullptr, 'l'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        if (c == 'c')
        {
            result.control = optarg;
            continue;
        }
        const std::optional<proxy_link> parsed =
            c == 'l' ? parse_link(optarg) : std::nullopt;
        if (!parsed)
        {
            return false;
        }
        result.links.push_back(*parsed);
    }
    return !result.control.empty() && optind == argc;
}

http_response handle(proxy& links, const http_request& request)
{
    if (request.path != "/control")
    {
        return error_reply(404, error_kind::not_found, "use /control");
    }
    if (request.method == "GET")
    {
        return reply_with(links.state());
    }
    const absl::StatusOr<link_command> command =
        from_json<link_command>(request.body, codec::unknown_fields::reject);
    if (!command.ok())
    {
        return bad_request(command.status());
    }
    const absl::Status status = links.apply(*command);
    return status.ok() ? json_reply(200, "{}") : bad_request(status);
}

} // namespace

int main(int argc, char** argv)
{
    options settings;
    if (!parse(argc, argv, settings))
    {
        fmt::print(stderr, "{}", usage);
        return 2;
    }
    block_stop_signals();
    proxy links(std::move(settings.links));
    const absl::Status status = links.start();
    if (!status.ok())
    {
        fmt::print(stderr, "fault_proxy: {}\n", status.ToString());
        return 3;
    }
    return serve("fault_proxy", settings.control,
                 [&](const http_request& request)
                 { return handle(links, request); });
}
