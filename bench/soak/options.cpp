#include "options.hpp"

#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <getopt.h>

namespace egretspindle::bench
{

namespace
{

constexpr std::string_view usage =
    R"(usage: soak [OPTION...]
Runs hosts, a stand-in of the platform and clients under random faults and
checks what they did. Exits with 1 when a check fails.
  --seed N       of all random choices (default 1)
  --seconds S    of faults (default 20)
  --hosts M      (default 5)
  --targets N    (default 16)
  --clients N    (default 5)
  --no-faults    load only
  --keep-logs    keep the logs after a pass as well
)";

// Bounds the number of processes, threads and connections of one run.
constexpr int max_hosts = 20;
constexpr int max_targets = 64;
constexpr int max_clients = 32;
constexpr int max_seconds = 3'600;

bool is_between(int value, int least, int most)
{
    return value >= least && value <= most;
}

} // namespace

bool parse_options(int argc, char** argv, soak_options& result)
{
    const option known[] = {{"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"hosts", required_argument, nullptr, 'h'},
                            {"targets", required_argument, nullptr, 'n'},
                            {"clients", required_argument, nullptr, 'c'},
                            {"no-faults", no_argument, nullptr, 'f'},
                            {"keep-logs", no_argument, nullptr, 'k'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (c)
        {
        case 's':
            result.seed = static_cast<unsigned>(std::atol(optarg));
            break;
        case 't':
            result.seconds = std::atoi(optarg);
            break;
        case 'h':
            result.hosts = std::atoi(optarg);
            break;
        case 'n':
            result.targets = std::atoi(optarg);
            break;
        case 'c':
            result.clients = std::atoi(optarg);
            break;
        case 'f':
            result.is_without_faults = true;
            break;
        case 'k':
            result.keeps_logs = true;
            break;
        default:
            fmt::print(stderr, "{}", usage);
            return false;
        }
    }
    const bool is_valid = optind == argc &&
                          is_between(result.seconds, 1, max_seconds) &&
                          is_between(result.hosts, 1, max_hosts) &&
                          is_between(result.targets, 1, max_targets) &&
                          is_between(result.clients, 1, max_clients);
    if (!is_valid)
    {
        fmt::print(stderr, "{}", usage);
    }
    return is_valid;
}

} // namespace egretspindle::bench
