// Stand-in for the platform's host list. For tests only.

#include "common/reply.hpp"
#include "common/serve.hpp"
#include "host_table.hpp"

#include <fmt/format.h>

#include <fstream>
#include <getopt.h>
#include <sstream>

namespace
{

using namespace egretspindle;
using namespace egretspindle::standin;

constexpr std::string_view usage =
    R"(usage: standin_host_list --listen IP:PORT [OPTION...]
Serves GET /v1/hosts.
  --hosts FILE    initial list, JSON {"hosts":[...]}
  --lag-ms N      delay until readers see a change (default 0)
POST /control accepts one or more of
  {"hosts":[...]}                        replaces the list
  {"name":"t1","state":"live|leaving"}   changes a host
  {"remove":"t1"}                        deletes a host
  {"lag_ms":N}                           changes the delay
and replies with the Unix time from which readers see the change.
)";

struct options
{
    std::string listen;
    std::string hosts_file;
    long lag_ms = 0;
};

struct control
{
    std::vector<host_entry> hosts;
    std::string name;
    std::string state;
    std::string remove;
    long lag_ms = -1;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const control* /*tag*/)
{
    visit("hosts", value.hosts);
    visit("name", value.name);
    visit("state", value.state);
    visit("remove", value.remove);
    visit("lag_ms", value.lag_ms);
}

http_response apply(host_table& table, const http_request& request)
{
    const absl::StatusOr<control> command =
        from_json<control>(request.body, codec::unknown_fields::reject);
    if (!command.ok())
    {
        return bad_request(command.status());
    }
    if (command->lag_ms >= 0)
    {
        table.set_lag(milliseconds(command->lag_ms));
    }
    if (!command->hosts.empty())
    {
        table.replace({command->hosts});
    }
    const bool is_known =
        (command->name.empty() ||
         table.set_state(command->name, command->state)) &&
        (command->remove.empty() || table.remove(command->remove));
    if (!is_known)
    {
        return error_reply(404, error_kind::not_found,
                           "no host of this name; see GET /v1/hosts");
    }
    return json_reply(
        200, fmt::format(R"({{"visible_at_ms":{}}})", table.visible_at_ms()));
}

http_response handle(host_table& table, const http_request& request)
{
    if (request.method == "GET" && request.path == "/v1/hosts")
    {
        return reply_with(table.visible());
    }
    if (request.method == "POST" && request.path == "/control")
    {
        return apply(table, request);
    }
    return error_reply(404, error_kind::not_found, "use GET /v1/hosts");
}

bool parse(int argc, char** argv, options& result)
{
    const option known[] = {{"listen", required_argument, nullptr, 'l'},
                            {"hosts", required_argument, nullptr, 'f'},
                            {"lag-ms", required_argument, nullptr, 'g'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (c)
        {
        case 'l':
            result.listen = optarg;
            break;
        case 'f':
            result.hosts_file = optarg;
            break;
        case 'g':
            result.lag_ms = std::atol(optarg);
            break;
        default:
            return false;
        }
    }
    return !result.listen.empty() && optind == argc;
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
    host_table table{milliseconds(settings.lag_ms)};
    if (!settings.hosts_file.empty())
    {
        std::ifstream in(settings.hosts_file);
        std::stringstream text;
        text << in.rdbuf();
        absl::StatusOr<host_document> document =
            from_json<host_document>(text.str());
        if (!document.ok())
        {
            fmt::print(stderr, "standin_host_list: {}: {}\n",
                       settings.hosts_file, document.status().ToString());
            return 2;
        }
        table.replace(*std::move(document));
    }
    return serve("standin_host_list", settings.listen,
                 [&](const http_request& request)
                 { return handle(table, request); });
}
