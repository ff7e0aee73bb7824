// Soak test of the job scheduler with real processes and random faults.

#include "checks.hpp"
#include "client.hpp"
#include "common/platform_event.hpp"
#include "lasting_jobs.hpp"
#include "options.hpp"
#include "power_loss_checks.hpp"
#include "soak_cluster.hpp"
#include "soak_fault.hpp"
#include "support/wait_until.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
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

// One more client for each so many, and at least one, is a pressing one.
constexpr int clients_for_one_pressing = 8;
// Pause of these beside faults, which need the processors as well.
constexpr std::chrono::milliseconds pressing_pause{2};

// Failures of one check that are printed.
constexpr std::size_t max_printed_failures = 10;

using client_list = std::vector<std::unique_ptr<client>>;

job_chooser chooser_of(const soak_options& options)
{
    if (options.has_power_losses)
    {
        return choose_failing_or_timed_job;
    }
    return options.has_short_tasks ? choose_short_tasks : choose_job;
}

client_list start_clients(const soak_options& options, soak_cluster& cluster)
{
    client_list clients;
    const int pressing = 1 + options.clients / clients_for_one_pressing;
    for (int n = 0; n < options.clients + pressing; ++n)
    {
        const bool is_pressing = n >= options.clients;
        const client_style style{is_pressing,
                                 options.has_planned_work_only
                                     ? std::chrono::milliseconds(0)
                                     : pressing_pause,
                                 std::chrono::seconds(options.quiet_seconds)};
        const job_chooser chooser =
            is_pressing ? choose_small_job : chooser_of(options);
        clients.push_back(std::make_unique<client>(
            n, options.seed * client_seed_factor + static_cast<unsigned>(n),
            chooser, style, cluster.host_endpoints(),
            cluster.directory().file(fmt::format("client{}.log", n))));
    }
    return clients;
}

void wait_for_jobs(client_list& clients, soak_cluster& cluster)
{
    for (const std::unique_ptr<client>& item : clients)
    {
        item->set_phase(client_phase::settle);
    }
    (void)test::wait_until(
        [&]
        {
            cluster.poll();
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

void print_summary(const soak_options& options, const soak_record& record)
{
    const auto count = [&record](auto condition)
    {
        return std::count_if(record.jobs.begin(), record.jobs.end(),
                             [&](const auto& item)
                             { return condition(*item.second); });
    };
    std::size_t runs = 0;
    for (const auto& [task, list] : record.runs)
    {
        runs += list.size();
    }
    std::size_t calls = 0;
    for (const auto& [id, job] : record.jobs)
    {
        calls += job->calls.size();
    }
    fmt::print("seed {}: {} jobs, {} accepted, {} refused, {} cancelled; {} "
               "runs of {} tasks; {} faults; {} calls, {} without an answer; "
               "settled after {} ms\n",
               options.seed, record.jobs.size(),
               count([](const soak_job& job) { return job.accepted_ms > 0; }),
               count([](const soak_job& job) { return job.is_abandoned; }),
               count([](const soak_job& job) { return job.cancelled_ms > 0; }),
               runs, record.runs.size(), record.faults.size(), calls,
               record.unanswered_calls.size(),
               record.finished_ms - record.faults_ended_ms);
}

void print_failures(const soak_options& options,
                    const std::vector<check_failure>& failures)
{
    std::map<std::string, std::size_t> counts;
    for (const check_failure& item : failures)
    {
        if (++counts[item.check] <= max_printed_failures)
        {
            fmt::print("FAILED seed {}: {}: {}\n", options.seed, item.check,
                       item.what);
        }
    }
    for (const auto& [check, count] : counts)
    {
        if (count > max_printed_failures)
        {
            fmt::print("FAILED seed {}: {}: {} failures in total\n",
                       options.seed, check, count);
        }
    }
}

// Adds what clients and hosts have recorded; call it after the clients.
void collect_record(const client_list& clients, soak_cluster& cluster,
                    soak_record& record)
{
    for (const std::unique_ptr<client>& item : clients)
    {
        for (const soak_job& job : item->jobs())
        {
            record.jobs[job.id] = &job;
        }
        record.unanswered_calls.insert(record.unanswered_calls.end(),
                                       item->unanswered_calls().begin(),
                                       item->unanswered_calls().end());
    }
    for (const host_process& host : cluster.hosts())
    {
        record.stops[host.name] = host.stops;
    }
}

// Watches the long-running jobs for a while after the last fault, cancels them,
// kills all hosts at once when that is acknowledged, and runs the checks.
std::vector<check_failure>
check_losses(soak_cluster& cluster, lasting_jobs& lasting, soak_record& record)
{
    std::vector<check_failure> failures;
    const std::int64_t observed_until =
        record.faults_ended_ms + at_work_observed_ms;
    (void)test::wait_until(
        [&]
        {
            cluster.poll();
            return steady_ms() >= observed_until;
        });
    if (!lasting.cancel())
    {
        failures.push_back({"cancellations are answered", "long-running jobs"});
    }
    for (const soak_job& job : lasting.jobs())
    {
        record.jobs[job.id] = &job;
    }
    const std::int64_t killed_ms = steady_ms();
    const final_answers answers = ask_after_loss(cluster, record);
    wait_for_runs(cluster, record);
    record.finished_ms = steady_ms();
    record.faults.push_back(
        {"last loss of all hosts", "hosts", killed_ms, steady_ms()});
    record.runs = read_history(cluster.directory().file("journal"));
    fmt::print("long-running jobs: last start {} ms after the faults\n",
               check_at_work(record, lasting.jobs(), observed_until, failures));
    check_final_states(record, answers, failures);
    check_attempts(record, failures);
    check_times(record, failures);
    return failures;
}

// Runs the checks of all soaks.
std::vector<check_failure> check_record(const soak_options& options,
                                        const soak_record& record)
{
    if (!options.has_power_losses)
    {
        return run_checks(record);
    }
    const std::deque<soak_job> replaced = replace_failed_jobs(record);
    soak_record adapted = record;
    adapted.max_attempts = power_loss_max_attempts;
    for (const soak_job& job : replaced)
    {
        adapted.jobs[job.id] = &job;
    }
    return run_checks(adapted);
}

// Returns whether all checks passed.
bool run_soak(const soak_options& options)
{
    soak_cluster cluster(options);
    fmt::print("seed {}: logs in {}\n", options.seed,
               cluster.directory().path());
    std::fflush(stdout);
    lasting_jobs lasting(options.seed, cluster.host_endpoints());
    if (options.has_power_losses && !lasting.submit())
    {
        throw std::runtime_error("long-running jobs were not accepted");
    }
    if (options.store_ms > 0)
    {
        cluster.command(
            fmt::format(R"({{"what":"store","action":"slow","delay_ms":{}}})",
                        options.store_ms));
    }
    client_list clients = start_clients(options, cluster);
    soak_record record;
    record.faults = inject_faults(options, cluster);
    record.faults_ended_ms = steady_ms();
    wait_for_jobs(clients, cluster);
    record.finished_ms = steady_ms();
    collect_record(clients, cluster, record);
    std::vector<check_failure> failures;
    if (options.has_power_losses)
    {
        failures = check_losses(cluster, lasting, record);
    }
    record.runs = read_history(cluster.directory().file("journal"));
    record.boots = read_boots(cluster.directory().file("journal"));
    print_summary(options, record);
    for (check_failure& item : check_record(options, record))
    {
        failures.push_back(std::move(item));
    }
    for (const std::string& text : cluster.process_failures())
    {
        failures.push_back({"no unexpected host exits", text});
    }
    print_failures(options, failures);
    if (!failures.empty() || options.keeps_logs)
    {
        setenv("EGRETSPINDLE_KEEP_LOGS", "1", 1);
        fmt::print("seed {}: logs kept in {}\n", options.seed,
                   cluster.directory().path());
    }
    return failures.empty();
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
