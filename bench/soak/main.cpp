// Soak test of the job scheduler with real processes and random faults.

#include "checks.hpp"
#include "client.hpp"
#include "common/platform_event.hpp"
#include "options.hpp"
#include "soak_fault.hpp"
#include "stage.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <vector>

namespace
{

using namespace egretspindle;
using namespace egretspindle::bench;
using standin::steady_ms;

// Time for all accepted jobs to end after the faults. Leases last up to 10 s
// and orders may be 12 s late; the rest allows for a busy machine.
constexpr std::chrono::seconds settle_limit{60};
// Seeds of the clients differ from that of the faults and from each other.
constexpr unsigned client_seed_factor = 1'000;

using client_list = std::vector<std::unique_ptr<client>>;

client_list start_clients(const soak_options& options, stage& scene)
{
    client_list clients;
    for (int n = 0; n < options.clients; ++n)
    {
        clients.push_back(std::make_unique<client>(
            n, options.seed * client_seed_factor + static_cast<unsigned>(n),
            scene.fronts(),
            scene.directory().file(fmt::format("client{}.log", n))));
    }
    return clients;
}

void settle(client_list& clients, stage& scene)
{
    for (const std::unique_ptr<client>& item : clients)
    {
        item->set_phase(client_phase::settle);
    }
    (void)test::wait_until(
        [&]
        {
            scene.poll();
            bool is_done = true;
            for (const std::unique_ptr<client>& item : clients)
            {
                is_done &= item->is_settled();
            }
            return is_done;
        },
        settle_limit);
    for (const std::unique_ptr<client>& item : clients)
    {
        item->join();
    }
}

void print_summary(const soak_options& options, const evidence& all)
{
    const auto count = [&all](auto condition)
    {
        return std::count_if(all.jobs.begin(), all.jobs.end(),
                             [&](const auto& item)
                             { return condition(*item.second); });
    };
    std::size_t runs = 0;
    for (const auto& [task, list] : all.runs)
    {
        runs += list.size();
    }
    fmt::print("seed {}: {} jobs, {} accepted, {} refused, {} cancelled; {} "
               "runs of {} tasks; {} faults; settled after {} ms\n",
               options.seed, all.jobs.size(),
               count([](const soak_job& job) { return job.accepted_ms > 0; }),
               count([](const soak_job& job) { return job.is_given_up; }),
               count([](const soak_job& job) { return job.cancelled_ms > 0; }),
               runs, all.runs.size(), all.faults.size(),
               all.finished_ms - all.healed_ms);
}

// Returns whether all checks passed.
bool run_soak(const soak_options& options)
{
    stage scene(options);
    fmt::print("seed {}: logs in {}\n", options.seed, scene.directory().path());
    std::fflush(stdout);
    client_list clients = start_clients(options, scene);
    evidence all;
    all.faults = inject_faults(options, scene);
    all.healed_ms = steady_ms();
    settle(clients, scene);
    all.finished_ms = steady_ms();
    for (const std::unique_ptr<client>& item : clients)
    {
        for (const soak_job& job : item->jobs())
        {
            all.jobs[job.id] = &job;
        }
        all.cut_calls.insert(all.cut_calls.end(), item->cut_calls().begin(),
                             item->cut_calls().end());
    }
    for (const host_process& host : scene.hosts())
    {
        all.stops[host.name] = host.stops;
    }
    all.runs = read_history(scene.directory().file("journal"));
    print_summary(options, all);
    std::vector<finding> found = judge(all);
    for (const std::string& text : scene.problems())
    {
        found.push_back({"no unexpected host exits", text});
    }
    for (const finding& item : found)
    {
        fmt::print("FAILED seed {}: {}: {}\n", options.seed, item.check,
                   item.what);
    }
    if (!found.empty() || options.keeps_logs)
    {
        setenv("EGRETSPINDLE_KEEP_LOGS", "1", 1);
        fmt::print("seed {}: logs kept in {}\n", options.seed,
                   scene.directory().path());
    }
    return found.empty();
}

} // namespace

int main(int argc, char** argv)
{
    soak_options options;
    if (!parse_options(argc, argv, options))
    {
        return 2;
    }
    try
    {
        return run_soak(options) ? 0 : 1;
    }
    catch (const std::exception& ex)
    {
        fmt::print(stderr, "soak: seed {}: {}\n", options.seed, ex.what());
        return 3;
    }
}
