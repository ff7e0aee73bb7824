#include "support/cluster.hpp"

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/plan/plan_digest.hpp"
#include "egretspindle/plan/plan_record.hpp"
#include "egretspindle/plan/plan_store.hpp"

#include "support/json_http.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <stdexcept>

namespace egretspindle::test
{

namespace
{

constexpr std::string_view default_plan = R"([team.rota]
quota = 1.0
weight = 2.0
urgent_floor = 0.3
batch_floor = 0.0
max_queue = 2000
[team.archive]
quota = 1.0
weight = 1.0
urgent_floor = 0.0
batch_floor = 0.3
max_queue = 2000
[hosts]
team = "rota"
leaving = []
[break]
team = "rota"
windows = ["00:00-23:59"]
)";

void wait_for_server(const std::string& address, const std::string& path)
{
    if (!wait_until([&] { return send_http(address, "GET", path).ok(); }))
    {
        throw std::runtime_error("no server responds on " + address);
    }
}

std::string data_center_name(int n)
{
    return std::string(1, static_cast<char>('a' + n));
}

template <typename Map>
std::vector<std::string> names_of(const Map& members,
                                  const std::string& data_center)
{
    std::vector<std::string> result;
    for (const auto& [name, member] : members)
    {
        if (data_center.empty() || member.data_center == data_center)
        {
            result.push_back(name);
        }
    }
    return result;
}

struct visibility
{
    std::int64_t visible_at_ms = 0;
};

template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const visibility* /*tag*/)
{
    visit("visible_at_ms", value.visible_at_ms);
}

} // namespace

void cluster_process::start()
{
    // The old process has to release its ports first.
    process.reset();
    process = std::make_unique<child_process>(program, arguments, log_file);
}

void cluster_process::pause()
{
    process->signal(SIGSTOP);
}

void cluster_process::resume()
{
    process->signal(SIGCONT);
}

void cluster_process::terminate()
{
    process->signal(SIGTERM);
}

cluster::cluster(const cluster_options& options) : options_(options)
{
    build_platform();
    build_targets();
    build_hosts();
    build_proxy();
    host_list_ = std::make_unique<child_process>(
        "standin_host_list",
        std::vector<std::string>{"--listen", host_list_address_, "--lag-ms",
                                 std::to_string(options_.host_list_lag_ms)},
        directory_.file("host_list.log"));
    wait_for_server(host_list_address_, "/v1/hosts");
    (void)control_host_list(
        fmt::format(R"({{"hosts":{}}})", to_json(entries_)));
    for (auto& [name, member] : hosts_)
    {
        member.start();
    }
}

void cluster::build_platform()
{
    store_address_ = ports_.reserve_address();
    host_list_address_ = ports_.reserve_address();
    std::vector<std::string> arguments{"--listen", store_address_, "--journal",
                                       directory_.file("store.journal")};
    arguments.insert(arguments.end(), options_.store_arguments.begin(),
                     options_.store_arguments.end());
    store_ = std::make_unique<child_process>("standin_store", arguments,
                                             directory_.file("store.log"));
    wait_for_server(store_address_, "/stats");
    write_plan();
}

void cluster::build_targets()
{
    for (int d = 0; d < options_.data_centers; ++d)
    {
        const std::string data_center = data_center_name(d);
        for (int n = 0; n < options_.targets; ++n)
        {
            cluster_process member;
            member.name = fmt::format("{}-t{}", data_center, n + 1);
            member.data_center = data_center;
            member.program = "standin_target";
            member.address = ports_.reserve_address();
            member.log_file = directory_.file(member.name + ".log");
            member.arguments = {
                "--listen",    member.address,
                "--name",      member.name,
                "--journal",   directory_.file(member.name + ".journal"),
                "--slots",     std::to_string(options_.slots),
                "--cpu-cores", fmt::format("{}", options_.cpu_cores),
                "--memory-mb", fmt::format("{}", options_.memory_mb)};
            member.arguments.insert(member.arguments.end(),
                                    options_.target_arguments.begin(),
                                    options_.target_arguments.end());
            host_entry entry;
            entry.name = member.name;
            entry.role = "target";
            entry.data_center = data_center;
            entry.rack = fmt::format("{}-r{}", data_center,
                                     n / options_.targets_per_rack + 1);
            entry.address = link("to-" + member.name, member.address);
            entry.slots = options_.slots;
            entry.connections = 60;
            entry.cpu_cores = options_.cpu_cores;
            entry.memory_mb = options_.memory_mb;
            entries_.push_back(entry);
            member.start();
            targets_.emplace(member.name, std::move(member));
        }
    }
}

void cluster::build_hosts()
{
    for (int d = 0; d < options_.data_centers; ++d)
    {
        for (int n = 0; n < options_.hosts; ++n)
        {
            cluster_process member;
            member.data_center = data_center_name(d);
            member.name = fmt::format("{}{}", member.data_center, n + 1);
            member.program = options_.host_program;
            member.address = ports_.reserve_address();
            member.peer = ports_.reserve_address();
            member.admin = ports_.reserve_address();
            member.log_file = directory_.file(member.name + ".log");
            member.arguments = {"--settings",
                                directory_.file(member.name + ".toml")};
            host_entry entry;
            entry.name = member.name;
            entry.role = "entry";
            entry.data_center = member.data_center;
            entry.address = member.peer;
            entries_.push_back(entry);
            hosts_.emplace(member.name, std::move(member));
        }
    }
    for (const auto& [name, member] : hosts_)
    {
        write_file(directory_.file(name + ".toml"), settings_of(member));
    }
}

std::string cluster::settings_of(const cluster_process& host)
{
    std::string seeds;
    std::string addresses;
    for (const auto& [name, other] : hosts_)
    {
        if (name == host.name)
        {
            continue;
        }
        const std::string address = link(host.name + "-" + name, other.peer);
        seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ",", address);
        if (options_.has_proxy)
        {
            addresses += fmt::format("{} = \"{}\"\n", name, address);
        }
    }
    std::string timing;
    for (const auto& [name, value] : options_.timing)
    {
        timing += fmt::format("{} = {}\n", name, value);
    }
    return fmt::format(
        R"([host]
name = "{}"
data_center = "{}"
region = "test"
[listen]
caller = "{}"
peer = "{}"
admin = "{}"
[platform]
store = "{}"
host_list = "{}"
[cluster]
key = "a key for tests only"
seeds = [{}]
[cluster.addresses]
{}[timing]
{}[[operators]]
name = "ops"
team = "rota"
role = "supervisor"
token = "operator token for tests"
{})",
        host.name, host.data_center, host.address, host.peer, host.admin,
        link(host.name + "-store", store_address_),
        link(host.name + "-hosts", host_list_address_), seeds, addresses,
        timing, options_.more_settings);
}

std::string cluster::link(const std::string& name, const std::string& server)
{
    if (!options_.has_proxy)
    {
        return server;
    }
    const std::string address = ports_.reserve_address();
    links_.push_back(fmt::format("{}={}->{}", name, address, server));
    return address;
}

void cluster::build_proxy()
{
    if (!options_.has_proxy)
    {
        return;
    }
    proxy_control_ = ports_.reserve_address();
    std::vector<std::string> arguments{"--control", proxy_control_};
    for (const std::string& text : links_)
    {
        arguments.emplace_back("--link");
        arguments.push_back(text);
    }
    proxy_ = std::make_unique<child_process>("fault_proxy", arguments,
                                             directory_.file("proxy.log"));
    wait_for_server(proxy_control_, "/control");
}

void cluster::write_plan()
{
    const std::string document =
        options_.plan.empty() ? std::string(default_plan) : options_.plan;
    plan_record record;
    record.plan.version = 1;
    record.plan.digest = plan_digest(document);
    record.plan.document = document;
    record.plan.accepted_by = "test";
    record.plan.accepted_unix_ms = unix_ms();
    record.host = "test";
    record.tx_id = "plan-1";
    accepted_row accepted;
    accepted.version = 1;
    accepted.digest = record.plan.digest;
    accepted.tx_id = record.tx_id;
    store_transaction transaction;
    transaction.tx_id = record.tx_id;
    transaction.writes = {
        {"plan/accepted", to_json(accepted), false},
        {"plan/history/000000000001", to_json(record), false}};
    const absl::StatusOr<http_response> response =
        send_http(store_address_, "POST", "/v1/tx", to_json(transaction));
    if (!response.ok() || response->status != 200)
    {
        throw std::runtime_error("cannot write the plan");
    }
}

cluster_process& cluster::host(const std::string& name)
{
    return hosts_.at(name);
}

cluster_process& cluster::target(const std::string& name)
{
    return targets_.at(name);
}

std::vector<std::string>
cluster::host_names(const std::string& data_center) const
{
    return names_of(hosts_, data_center);
}

std::vector<std::string>
cluster::target_names(const std::string& data_center) const
{
    return names_of(targets_, data_center);
}

std::vector<std::string>
cluster::addresses(const std::string& data_center) const
{
    std::vector<std::string> result;
    for (const std::string& name : host_names(data_center))
    {
        result.push_back(hosts_.at(name).address);
    }
    return result;
}

void cluster::wait_ready(const std::vector<std::string>& names)
{
    for (const std::string& name : names)
    {
        std::string reason;
        const bool is_ready = wait_until(
            [&]
            {
                const absl::StatusOr<http_response> response =
                    send_http(hosts_.at(name).address, "GET", "/readyz");
                reason = response.ok() ? response->body
                                       : response.status().ToString();
                return response.ok() && response->status == 200;
            });
        if (!is_ready)
        {
            throw std::runtime_error(fmt::format("{} is not ready: {}\n{}",
                                                 name, reason, log_tails()));
        }
    }
}

void cluster::control_store(const std::string& command)
{
    (void)post_control(store_address_, command);
}

std::int64_t cluster::control_host_list(const std::string& command)
{
    return from_json<visibility>(post_control(host_list_address_, command))
        ->visible_at_ms;
}

void cluster::control_target(const std::string& name,
                             const std::string& command)
{
    (void)post_control(targets_.at(name).address, command);
}

void cluster::set_links(const std::vector<std::string>& patterns,
                        const std::string& mode, long delay_ms, long count)
{
    (void)post_control(
        proxy_control_,
        fmt::format(R"({{"links":{},"mode":"{}","delay_ms":{},"count":{}}})",
                    to_json(patterns), mode, delay_ms, count));
}

void cluster::set_data_center_link(const std::string& data_center,
                                   const std::string& mode)
{
    std::vector<std::string> patterns{data_center + "?-store",
                                      data_center + "?-hosts"};
    for (int d = 0; d < options_.data_centers; ++d)
    {
        const std::string other = data_center_name(d);
        if (other != data_center)
        {
            patterns.push_back(fmt::format("{}?-{}?", data_center, other));
            patterns.push_back(fmt::format("{}?-{}?", other, data_center));
        }
    }
    set_links(patterns, mode);
}

run_record cluster::record(const caller& calls) const
{
    run_record result;
    for (const auto& [name, member] : targets_)
    {
        const std::vector<standin::journal_event> events =
            read_target_journal(directory_.file(name + ".journal"));
        const std::vector<execution> executions = executions_of(events);
        result.events.insert(result.events.end(), events.begin(), events.end());
        result.executions.insert(result.executions.end(), executions.begin(),
                                 executions.end());
    }
    result.store = read_store_journal(directory_.file("store.journal"));
    result.replies = calls.replies();
    return result;
}

std::string cluster::log_tails(std::size_t bytes) const
{
    std::string text;
    for (const auto& [name, member] : hosts_)
    {
        const std::string log = read_file(member.log_file);
        text +=
            fmt::format("--- {} ---\n{}\n", name,
                        log.substr(log.size() - std::min(bytes, log.size())));
    }
    return text;
}

} // namespace egretspindle::test
