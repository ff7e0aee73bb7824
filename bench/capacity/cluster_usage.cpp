#include "cluster_usage.hpp"

#include "egretspindle/adapters/target_state.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/clock.hpp"

#include "process_sample.hpp"
#include "support/json_http.hpp"
#include "support/make_cluster.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <stdexcept>
#include <thread>

namespace egretspindle::bench
{

namespace
{

using namespace egretspindle::test;

// Longer than any measurement, so that the tasks run throughout.
constexpr int task_ms = 600'000;
constexpr int senders = 8;
constexpr std::chrono::seconds warm_up_time{5};
constexpr std::chrono::seconds task_start_limit{60};

std::string make_plan(int kilobytes)
{
    std::string text = R"([team.rota]
urgent_floor = 0.2
max_queue = 5000
[team.archive]
max_queue = 5000
[hosts]
team = "rota"
[break]
team = "rota"
windows = ["00:00-23:59"]
)";
    for (int n = 0; text.size() < static_cast<std::size_t>(kilobytes) * 1024;
         ++n)
    {
        text += fmt::format("[batch.kind_{:04}]\nteam = \"archive\"\n", n);
    }
    return text;
}

int running_tasks(cluster& nodes)
{
    int count = 0;
    for (const std::string& name : nodes.target_names())
    {
        const absl::StatusOr<http_response> response =
            send_http(nodes.target(name).address, "GET", "/v1/state");
        const absl::StatusOr<target_state> state =
            response.ok() ? from_json<target_state>(response->body)
                          : absl::StatusOr<target_state>(response.status());
        if (state.ok())
        {
            count += static_cast<int>(
                std::count_if(state->tasks.begin(), state->tasks.end(),
                              [](const task_state& task)
                              { return task.state == "running"; }));
        }
    }
    return count;
}

void start_tasks(cluster& nodes, int count)
{
    caller calls;
    const std::vector<std::string> hosts = nodes.addresses();
    for (int n = 0; n < count; ++n)
    {
        test_request request =
            batch_request(fmt::format("capacity-{}", n), task_ms);
        request.size = {0.1, 20, 0};
        request.body = fmt::format(
            R"({{"work_ms":{},"cpu":0.1,"memory_mb":10}})", task_ms);
        (void)calls.submit(hosts[static_cast<std::size_t>(n) % hosts.size()],
                           request);
    }
    const time_point end = steady_clock::now() + task_start_limit;
    while (running_tasks(nodes) < count && steady_clock::now() < end)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
}

/// Sends urgent requests at a fixed rate until it is destroyed.
class request_load
{
public:
    request_load(const std::vector<std::string>& hosts, int rate) : rate_(rate)
    {
        for (int n = 0; rate > 0 && n < senders; ++n)
        {
            threads_.emplace_back([this, hosts, n] { send(hosts, n); });
        }
    }
    ~request_load()
    {
        is_stopping_ = true;
        for (std::thread& thread : threads_)
        {
            thread.join();
        }
    }
    request_load(const request_load&) = delete;
    request_load& operator=(const request_load&) = delete;

private:
    void send(const std::vector<std::string>& hosts, int sender)
    {
        caller calls;
        const time_point start = steady_clock::now();
        for (int n = sender; !is_stopping_; n += senders)
        {
            std::this_thread::sleep_until(
                start + n * std::chrono::nanoseconds(1'000'000'000 / rate_));
            (void)calls.submit(
                hosts[static_cast<std::size_t>(n) % hosts.size()],
                urgent_request(fmt::format("load-{}", n)));
        }
    }

    int rate_;
    std::atomic<bool> is_stopping_{false};
    std::vector<std::thread> threads_;
};

std::vector<process_sample> sample_hosts(cluster& nodes)
{
    std::vector<process_sample> result;
    for (const std::string& name : nodes.host_names())
    {
        cluster_process& host = nodes.host(name);
        if (!host.process->is_running())
        {
            const int status =
                host.process->wait_exit(std::chrono::milliseconds(0))
                    .value_or(0);
            throw std::runtime_error(
                fmt::format("{} ended with wait status {}\n{}", name, status,
                            nodes.log_tails(1000)));
        }
        result.push_back(sample_process(host.process->pid(), host.address));
    }
    return result;
}

} // namespace

host_usage measure_usage(const cluster_size& size, int seconds)
{
    const std::unique_ptr<cluster> nodes =
        make_cluster()
            .with_hosts(size.hosts)
            .with_targets(size.targets)
            .with_targets_per_rack(8)
            .with_slots(64)
            .with_plan(make_plan(size.plan_kb))
            .build();
    start_tasks(*nodes, size.tasks);
    const request_load load(nodes->addresses(), size.starts_per_second);
    std::this_thread::sleep_for(warm_up_time);
    const std::vector<process_sample> before = sample_hosts(*nodes);
    const time_point start = steady_clock::now();
    std::this_thread::sleep_for(std::chrono::seconds(seconds));
    const std::vector<process_sample> after = sample_hosts(*nodes);
    const double elapsed =
        static_cast<double>(elapsed_ms(start, steady_clock::now())) / 1000;
    host_usage usage;
    const double share = 1.0 / static_cast<double>(before.size());
    for (std::size_t n = 0; n < before.size(); ++n)
    {
        usage.cpu_percent += share * 100 *
                             (after[n].cpu_seconds - before[n].cpu_seconds) /
                             elapsed;
        usage.resident_mb += share * after[n].resident_mb;
        usage.peer_kb_per_second +=
            share * (after[n].peer_bytes - before[n].peer_bytes) / elapsed /
            1000;
        usage.io_kb_per_second +=
            share * (after[n].io_bytes - before[n].io_bytes) / elapsed / 1000;
    }
    usage.tasks = running_tasks(*nodes);
    return usage;
}

} // namespace egretspindle::bench
