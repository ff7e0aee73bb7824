#include "egretspindle/admin/admin_messages.hpp"
#include "egretspindle/admin/cluster_status.hpp"

#include "commands.hpp"
#include "exit_code.hpp"
#include "table.hpp"

#include <fmt/format.h>

namespace egretspindle::ctl
{

namespace
{

std::string yes_no(bool value)
{
    return value ? "yes" : "no";
}

/// Reads a path, and prints the reply if JSON output is requested.
///
/// \param code  set to the exit code
/// \returns whether the caller has to print `value`
template <typename T>
bool fetch(admin_client& client, const options& opts, const std::string& path,
           T& value, int& code)
{
    const absl::StatusOr<std::string> body = client.get(path);
    if (!body.ok())
    {
        code = report_error(body.status());
        return false;
    }
    absl::StatusOr<T> decoded = from_json<T>(*body);
    if (!decoded.ok())
    {
        code = report_error(decoded.status());
        return false;
    }
    value = *std::move(decoded);
    code = exit_done;
    if (opts.is_json)
    {
        fmt::print("{}\n", *body);
    }
    return !opts.is_json;
}

void print_hosts(const cluster_status& status)
{
    table_rows rows{{"HOST", "DATA CENTRE", "STATE", "ANSWERED", "READY",
                     "STORE", "PLAN", "OPEN", "QUEUED", "RACKS", "ERROR"}};
    for (const cluster_host_status& host : status.hosts)
    {
        // The status of an unreachable host is not known.
        const auto if_reachable = [&host](const std::string& text)
        {
            return host.reachable ? text : std::string("?");
        };
        rows.push_back(
            {host.name, host.data_center, host.state, yes_no(host.reachable),
             if_reachable(yes_no(host.ready)),
             if_reachable(yes_no(host.store_reachable)),
             fmt::format("{}{}", host.plan_version, host.reachable ? "" : "?"),
             if_reachable(std::to_string(host.open_requests)),
             if_reachable(std::to_string(host.queued_batch)),
             if_reachable(std::to_string(host.racks)), host.error});
    }
    fmt::print("{}", format_table(rows));
}

int set_drained(admin_client& client, const options& opts,
                const std::string& path)
{
    if (opts.arguments.size() != 2)
    {
        return report_usage(path + " needs TARGET");
    }
    admin_message::target_name name;
    name.target = opts.arguments[1];
    const absl::StatusOr<std::string> body = client.post(path, to_json(name));
    if (!body.ok())
    {
        return report_error(body.status());
    }
    if (opts.is_json)
    {
        fmt::print("{}\n", *body);
    }
    else
    {
        fmt::print("target {} {}\n", name.target,
                   path == "drain" ? "is drained: it finishes its work and "
                                     "receives none"
                                   : "receives work again");
    }
    return exit_done;
}

} // namespace

int show_status(admin_client& client, const options& opts)
{
    cluster_status status;
    int code = exit_done;
    if (fetch(client, opts, "status", status, code))
    {
        fmt::print("seen from {}: plan version {}\n\n", status.seen_from,
                   status.plan_version);
        table_rows rows{{"DATA CENTRE", "HOSTS", "ANSWERED", "PLAN IN FORCE"}};
        for (const data_center_status& center : status.data_centers)
        {
            const std::string versions =
                center.lowest_plan_version == center.highest_plan_version
                    ? std::to_string(center.lowest_plan_version)
                    : fmt::format("{} to {}", center.lowest_plan_version,
                                  center.highest_plan_version);
            rows.push_back({center.name, std::to_string(center.hosts),
                            std::to_string(center.reachable),
                            center.reachable > 0 ? versions : "?"});
        }
        fmt::print("{}\n", format_table(rows));
        print_hosts(status);
    }
    return code == exit_done && !status.is_complete ? exit_incomplete : code;
}

int show_hosts(admin_client& client, const options& opts)
{
    cluster_status status;
    int code = exit_done;
    if (fetch(client, opts, "status", status, code))
    {
        print_hosts(status);
    }
    return code == exit_done && !status.is_complete ? exit_incomplete : code;
}

int show_targets(admin_client& client, const options& opts)
{
    admin_message::targets_reply reply;
    int code = exit_done;
    if (!fetch(client, opts, "targets", reply, code))
    {
        return code;
    }
    table_rows rows{{"TARGET", "DATA CENTRE", "RACK", "OWNER", "STATE",
                     "DRAINED", "RUNNING", "CORES", "MEMORY MB"}};
    for (const target_status& target : reply.targets)
    {
        rows.push_back({target.name, target.data_center, target.rack,
                        target.owner, target.state, yes_no(target.drained),
                        fmt::format("{}/{}", target.running, target.slots),
                        fmt::format("{:.1f}/{:.0f}", target.reserved_cores,
                                    target.cpu_cores),
                        fmt::format("{:.0f}/{:.0f}", target.reserved_memory_mb,
                                    target.memory_mb)});
    }
    fmt::print("{}", format_table(rows));
    for (const drained_target& drained : reply.drained)
    {
        fmt::print("drained: {} by {} at {} UTC\n", drained.target,
                   printable(drained.changed_by),
                   format_time(drained.changed_unix_ms));
    }
    return code;
}

int show_requests(admin_client& client, const options& opts)
{
    admin_message::requests_reply reply;
    int code = exit_done;
    if (!fetch(client, opts, fmt::format("requests?limit={}", opts.limit),
               reply, code))
    {
        return code;
    }
    table_rows rows{{"REQUEST", "KIND", "URGENCY", "STATE", "ATTEMPT", "TARGET",
                     "AGE", "REASON"}};
    for (const request_status& request : reply.requests)
    {
        rows.push_back({request.key, request.kind,
                        request.urgent ? "urgent" : "batch",
                        std::string(to_string(request.state)),
                        std::to_string(request.attempt), request.target,
                        fmt::format("{:.1f} s",
                                    static_cast<double>(request.age_ms) / 1000),
                        request.reason});
    }
    fmt::print("{}", format_table(rows));
    return code;
}

int explain(admin_client& client, const options& opts)
{
    if (opts.arguments.size() != 2)
    {
        return report_usage("explain needs TEAM/ID");
    }
    admin_message::text_reply reply;
    int code = exit_done;
    if (fetch(client, opts, "explain/" + opts.arguments[1], reply, code))
    {
        fmt::print("{}\n", printable(reply.text));
    }
    return code;
}

int drain(admin_client& client, const options& opts)
{
    return set_drained(client, opts, "drain");
}

int resume(admin_client& client, const options& opts)
{
    return set_drained(client, opts, "resume");
}

} // namespace egretspindle::ctl
