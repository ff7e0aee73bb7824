#include "options.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <getopt.h>

namespace egretspindle::bench
{

namespace
{

constexpr const char* usage =
    R"(usage: overhead [OPTION...]
Compares an urgent request through an entry host with the direct call to a
target; both are sent in turn at the same rate within one run.
  --runs N            runs (3)
  --rate N            requests per second of each variant (200)
  --seconds N         measured time of a run (20)
  --hosts N           entry hosts (3)
  --work-ms N         work of a task (5)
  --non-idempotent    requests that run at most once
Exits with 1 when the median or the 99th percentile exceeds 1.5 times that of
the direct call in the median of the runs, or a request fails.
)";

} // namespace

bool parse_options(int argc, char** argv, overhead_options& result)
{
    const option known[] = {{"runs", required_argument, nullptr, 'r'},
                            {"rate", required_argument, nullptr, 'q'},
                            {"seconds", required_argument, nullptr, 's'},
                            {"hosts", required_argument, nullptr, 'h'},
                            {"work-ms", required_argument, nullptr, 'w'},
                            {"non-idempotent", no_argument, nullptr, 'n'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        const int number = optarg == nullptr ? 0 : std::atoi(optarg);
        switch (c)
        {
        case 'r':
            result.runs = number;
            break;
        case 'q':
            result.rate = number;
            break;
        case 's':
            result.seconds = number;
            break;
        case 'h':
            result.hosts = number;
            break;
        case 'w':
            result.work_ms = number;
            break;
        case 'n':
            result.is_idempotent = false;
            break;
        default:
            fmt::print(stderr, "{}", usage);
            return false;
        }
    }
    // Limits the load on the machine.
    const bool is_valid = optind == argc && result.runs >= 1 &&
                          result.runs <= 20 && result.rate >= 1 &&
                          result.rate <= 1000 && result.seconds >= 1 &&
                          result.seconds <= 120 && result.hosts >= 1 &&
                          result.hosts <= 20 && result.work_ms >= 1;
    if (!is_valid)
    {
        fmt::print(stderr, "{}", usage);
    }
    return is_valid;
}

} // namespace egretspindle::bench
