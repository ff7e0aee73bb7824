#include "options.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <iterator>

namespace egretspindle::bench
{

namespace
{

constexpr std::string_view usage =
    R"(usage: soak [OPTION...]
Runs hosts, a stand-in of the platform and clients under random faults and
checks the results. Exits with 1 when a check fails.
  --seed N       seed of all random choices (default 1)
  --seconds S    time during which faults are injected (default 20)
  --hosts M      number of hosts (default 5)
  --targets N    number of targets (default 16)
  --clients N    number of clients (default 5)
  --host-program FILE  absolute path, instead of the egretspindle of this build
  --no-faults    run the load without faults
  --takeovers    inject only takeovers that targets do not notice
  --restarts     inject only restarts of targets under their ids
  --short-tasks  run many short tasks, and inject only late orders
  --power-loss   kill all hosts at once again and again, among faults of
                 targets, links and the store
  --planned-work inject only planned stops, reloads and new configurations
  --quiet S      keep long-running jobs for S seconds after the faults
  --store-ms N   duration of each call to the store (default 0)
  --keep-logs    keep the logs after a pass as well
)";

// Bounds the number of processes, threads and connections of one run.
constexpr int max_hosts = 20;
constexpr int max_targets = 64;
constexpr int max_clients = 32;
constexpr int max_seconds = 3'600;
// Accepted jobs have 60 s to end after the faults.
constexpr int max_quiet_seconds = 30;
constexpr int max_store_ms = 200;

} // namespace

bool parse_options(int argc, char** argv, soak_options& result)
{
    int seed = static_cast<int>(result.seed);
    int has_no_faults = 0;
    int has_takeovers = 0;
    int has_restarts = 0;
    int has_short_tasks = 0;
    int has_power_losses = 0;
    int has_planned_work = 0;
    int keeps_logs = 0;
    int* const numbers[] = {&seed, &result.seconds, &result.hosts,
                            &result.targets, &result.clients};
    const option known[] = {{"seed", required_argument, nullptr, 0},
                            {"seconds", required_argument, nullptr, 1},
                            {"hosts", required_argument, nullptr, 2},
                            {"targets", required_argument, nullptr, 3},
                            {"clients", required_argument, nullptr, 4},
                            {"host-program", required_argument, nullptr, 5},
                            {"no-faults", no_argument, &has_no_faults, 1},
                            {"takeovers", no_argument, &has_takeovers, 1},
                            {"restarts", no_argument, &has_restarts, 1},
                            {"short-tasks", no_argument, &has_short_tasks, 1},
                            {"power-loss", no_argument, &has_power_losses, 1},
                            {"planned-work", no_argument, &has_planned_work, 1},
                            {"quiet", required_argument, nullptr, 6},
                            {"store-ms", required_argument, nullptr, 7},
                            {"keep-logs", no_argument, &keeps_logs, 1},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    int index = 0;
    bool is_valid = true;
    while ((c = getopt_long(argc, argv, "", known, &index)) != -1)
    {
        is_valid &= c != '?';
        if (c == '?' || known[index].flag != nullptr)
        {
            continue;
        }
        if (c == 5)
        {
            result.host_program = optarg;
            is_valid &= result.host_program.front() == '/';
        }
        else if (c == 6 || c == 7)
        {
            int& value = c == 6 ? result.quiet_seconds : result.store_ms;
            value = std::atoi(optarg);
            is_valid &= value >= 0 &&
                        value <= (c == 6 ? max_quiet_seconds : max_store_ms);
        }
        else
        {
            *numbers[c] = std::atoi(optarg);
        }
    }
    result.seed = static_cast<unsigned>(seed);
    result.is_without_faults = has_no_faults != 0;
    result.has_takeovers_only = has_takeovers != 0;
    result.has_restarts_only = has_restarts != 0;
    result.has_short_tasks = has_short_tasks != 0;
    result.has_power_losses = has_power_losses != 0;
    result.has_planned_work_only = has_planned_work != 0;
    result.keeps_logs = keeps_logs != 0;
    const int bounds[] = {std::max(seed, 0), max_seconds, max_hosts,
                          max_targets, max_clients};
    for (std::size_t n = 0; n < std::size(bounds); ++n)
    {
        is_valid &= *numbers[n] >= (n == 0 ? 0 : 1) && *numbers[n] <= bounds[n];
    }
    is_valid &= optind == argc;
    if (!is_valid)
    {
        fmt::print(stderr, "{}", usage);
    }
    return is_valid;
}

} // namespace egretspindle::bench
