#include "soak_cluster.hpp"

#include "common/platform_event.hpp"
#include "soak_job.hpp"
#include "support/json_http.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <csignal>
#include <stdexcept>
#include <sys/wait.h>

namespace egretspindle::bench
{

namespace
{

using standin::steady_ms;

constexpr int targets_per_rack = 4;
constexpr std::int64_t max_lease_ms = 10'000;
constexpr std::int64_t wake_up_slack_ms = 300;
// The platform kills a process this long after SIGTERM.
constexpr std::int64_t stop_grace_ms = 15'000;
constexpr std::chrono::milliseconds probe_timeout{500};

std::string data_center_of(int n)
{
    return n % 2 == 0 ? "a" : "b";
}

} // namespace

soak_cluster::soak_cluster(const soak_options& options)
    : host_program_(options.host_program)
{
    reserve_ports(options);
    start_platform(options);
    start_proxy();
    for (host_process& host : hosts_)
    {
        write_settings(host);
        start_host(host);
    }
    for (const host_process& host : hosts_)
    {
        if (!test::wait_until([&] { return is_ready(host); }))
        {
            throw std::runtime_error(host.name + " did not become ready");
        }
    }
}

void soak_cluster::reserve_ports(const soak_options& options)
{
    platform_control_ = ports_.reserve_address();
    proxy_control_ = ports_.reserve_address();
    for (int n = 0; n < options.hosts; ++n)
    {
        host_process host;
        host.name = fmt::format("h{}", n);
        host.member_name = host.name;
        host.data_center = data_center_of(n);
        host.callers = ports_.reserve_address();
        host.proxy_address = ports_.reserve_address();
        host.ready = ports_.reserve_address();
        host.peer = ports_.reserve_address();
        host.store = ports_.reserve_address();
        host.store_server = ports_.reserve_address();
        links_.push_back(fmt::format("front-{}={}->{}", host.name,
                                     host.proxy_address, host.callers));
        links_.push_back(fmt::format("store-{}={}->{}", host.name, host.store,
                                     host.store_server));
        hosts_.push_back(std::move(host));
    }
    for (int n = 0; n < options.targets; ++n)
    {
        const std::string name = fmt::format("t{:02}", n);
        const std::string listen = ports_.reserve_address();
        const std::string address = ports_.reserve_address();
        const int rack = n / targets_per_rack;
        target_arguments_.push_back(fmt::format("{},{},{},{},rack{}", name,
                                                listen, address,
                                                data_center_of(rack), rack));
        links_.push_back(
            fmt::format("target-{}={}->{}", name, address, listen));
        targets_.push_back(name);
    }
}

std::unique_ptr<test::child_process>
soak_cluster::start(const std::string& program,
                    const std::vector<std::string>& arguments,
                    const std::string& control)
{
    auto process = std::make_unique<test::child_process>(
        program, arguments, directory_.file(program + ".log"));
    if (!test::wait_until(
            [&] { return test::send_http(control, "GET", "/control").ok(); }))
    {
        throw std::runtime_error(program + " did not start");
    }
    return process;
}

void soak_cluster::start_platform(const soak_options& options)
{
    std::vector<std::string> arguments{"--control",
                                       platform_control_,
                                       "--journal",
                                       directory_.file("journal"),
                                       "--longest-lease-ms",
                                       std::to_string(max_lease_ms),
                                       "--seed",
                                       std::to_string(options.seed)};
    for (const host_process& host : hosts_)
    {
        arguments.push_back("--store");
        arguments.push_back(host.name + "=" + host.store_server);
    }
    for (const std::string& text : target_arguments_)
    {
        arguments.push_back("--target");
        arguments.push_back(text);
    }
    if (options.has_power_losses)
    {
        arguments.push_back("--max-attempts");
        arguments.push_back(std::to_string(power_loss_max_attempts));
    }
    platform_ = start("standin_platform", arguments, platform_control_);
}

void soak_cluster::start_proxy()
{
    std::vector<std::string> arguments{"--control", proxy_control_};
    for (const std::string& text : links_)
    {
        arguments.push_back("--link");
        arguments.push_back(text);
    }
    proxy_ = start("fault_proxy", arguments, proxy_control_);
}

void soak_cluster::write_settings(const host_process& host)
{
    test::write_file(
        directory_.file(host.name + ".toml"),
        fmt::format("[scheduler]\nhost = \"{}\"\ndata_center = \"{}\"\n"
                    "callers = \"{}\"\nready = \"{}\"\npeer = \"{}\"\n"
                    "store = \"{}\"\ntransactions_span_parts = true\n"
                    "longest_lease_ms = {}\nthaw_slack_ms = {}\n",
                    host.member_name, host.data_center, host.callers,
                    host.ready, host.peer, host.store, max_lease_ms,
                    wake_up_slack_ms));
}

std::vector<host_endpoint> soak_cluster::host_endpoints() const
{
    std::vector<host_endpoint> result;
    for (const host_process& host : hosts_)
    {
        result.push_back({host.name, host.proxy_address});
    }
    return result;
}

std::vector<std::string>
soak_cluster::targets_in(std::string_view data_center) const
{
    std::vector<std::string> names;
    for (std::size_t n = 0; n < targets_.size(); ++n)
    {
        if (data_center_of(static_cast<int>(n) / targets_per_rack) ==
            data_center)
        {
            names.push_back(targets_[n]);
        }
    }
    return names;
}

void soak_cluster::start_host(host_process& host)
{
    if (host.process && host.process->is_running())
    {
        return;
    }
    host.is_stopping = false;
    host.is_killed = false;
    host.start_due_ms = 0;
    host.process = std::make_unique<test::child_process>(
        host_program_,
        std::vector<std::string>{"--settings",
                                 directory_.file(host.name + ".toml")},
        directory_.file(host.name + ".log"));
}

void soak_cluster::kill_host(host_process& host)
{
    host.is_killed = true;
    host.process->kill();
    host.is_stopping = false;
}

void soak_cluster::kill_all_hosts(const std::vector<std::int64_t>& delays_ms)
{
    for (host_process& host : hosts_)
    {
        host.process->signal(SIGKILL);
    }
    for (std::size_t n = 0; n < hosts_.size(); ++n)
    {
        kill_host(hosts_[n]);
        hosts_[n].start_due_ms = steady_ms() + delays_ms[n];
    }
}

void soak_cluster::replace_host(host_process& host)
{
    host.member_name = fmt::format("{}-{}", host.name, ++replacement_count_);
    host.peer = ports_.reserve_address();
    write_settings(host);
}

void soak_cluster::stop_host(host_process& host)
{
    if (!host.process->is_running() || host.is_stopping)
    {
        return;
    }
    host.is_stopping = true;
    host.stops.push_back({steady_ms(), 0});
    host.process->signal(SIGTERM);
}

void soak_cluster::signal_host(host_process& host, int number)
{
    // A host that is stopping is not paused, since its time to stop is limited.
    if (number != SIGSTOP || !host.is_stopping)
    {
        host.process->signal(number);
    }
}

void soak_cluster::start_rolling_restart()
{
    rolling_restart_index_ = 0;
    is_rolling_restart_ = true;
    stop_host(hosts_.front());
}

void soak_cluster::end_rolling_restart()
{
    is_rolling_restart_ = false;
}

void soak_cluster::advance_rolling_restart()
{
    if (hosts_[rolling_restart_index_].is_stopping ||
        !is_ready(hosts_[rolling_restart_index_]))
    {
        return;
    }
    is_rolling_restart_ = ++rolling_restart_index_ < hosts_.size();
    if (is_rolling_restart_)
    {
        stop_host(hosts_[rolling_restart_index_]);
    }
}

void soak_cluster::poll_host(host_process& host)
{
    const bool is_running = host.process->is_running();
    if (host.start_due_ms > 0 && steady_ms() >= host.start_due_ms)
    {
        start_host(host);
        return;
    }
    if (!host.is_stopping)
    {
        if (!host.is_killed && !is_running)
        {
            process_failures_.push_back(fmt::format(
                "{} exited unexpectedly with wait status {}", host.name,
                host.process->wait_exit({}).value_or(0)));
            start_host(host);
        }
        return;
    }
    planned_stop& stop = host.stops.back();
    if (!is_running)
    {
        stop.exited_ms = steady_ms();
        const int status = host.process->wait_exit({}).value_or(0);
        // The signal ends a process that has not blocked it yet.
        const bool is_clean =
            WIFEXITED(status)
                ? WEXITSTATUS(status) == 0
                : WIFSIGNALED(status) && WTERMSIG(status) == SIGTERM;
        if (!is_clean)
        {
            process_failures_.push_back(
                fmt::format("{} exited with wait status {} after SIGTERM at {}",
                            host.name, status, stop.started_ms));
        }
        start_host(host);
    }
    else if (steady_ms() - stop.started_ms > stop_grace_ms)
    {
        process_failures_.push_back(
            fmt::format("{} was still running {} ms after SIGTERM at "
                        "{}",
                        host.name, stop_grace_ms, stop.started_ms));
        kill_host(host);
        start_host(host);
    }
}

void soak_cluster::poll()
{
    for (host_process& host : hosts_)
    {
        poll_host(host);
    }
    if (is_rolling_restart_)
    {
        advance_rolling_restart();
    }
}

bool soak_cluster::is_ready(const host_process& host) const
{
    const absl::StatusOr<http_response> response = test::send_http(
        host.ready, "GET", "/egretspindle/ready", "", probe_timeout);
    return response.ok() && response->status == 200;
}

void soak_cluster::set_link(const std::string& pattern, const std::string& mode,
                            long delay_ms)
{
    (void)test::post_control(
        proxy_control_,
        fmt::format(R"({{"link":"{}","mode":"{}","delay_ms":{}}})", pattern,
                    mode, delay_ms));
}

void soak_cluster::command(const std::string& body)
{
    (void)test::post_control(platform_control_, body);
}

void soak_cluster::remove_all_faults()
{
    set_link("*", "pass");
    command(R"({"what":"store","action":"pass"})");
    command(R"({"what":"target","action":"pass"})");
    command(R"({"what":"target","action":"boot"})");
    for (host_process& host : hosts_)
    {
        signal_host(host, SIGCONT);
        start_host(host);
    }
}

} // namespace egretspindle::bench
