// Injects random faults under mixed load for a given time. The seed repeats the
// choice of the faults.

#include "support/fault_run.hpp"

#include <fmt/format.h>

#include <cstdlib>
#include <exception>
#include <getopt.h>
#include <map>
#include <random>

namespace
{

using namespace egretspindle::test;

constexpr std::string_view usage =
    R"(usage: faults [--seed N] [--seconds S] [--most-faults N]
              [--host-program FILE]
Injects random faults for S seconds (60), at most N (3) at a time, removes
them, waits for the final outcome of every request and checks every guarantee.
Without a seed, a random one is chosen and printed. FILE is the absolute path
of a program that replaces the egretspindle of this build.
)";

bool parse(int argc, char** argv, fault_run_options& result)
{
    const option known[] = {{"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {"most-faults", required_argument, nullptr, 'm'},
                            {"host-program", required_argument, nullptr, 'p'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (c)
        {
        case 's':
            result.seed =
                static_cast<std::uint32_t>(std::strtoul(optarg, nullptr, 10));
            break;
        case 't':
            result.length = std::chrono::seconds(std::atol(optarg));
            break;
        case 'm':
            result.max_faults = std::atoi(optarg);
            break;
        case 'p':
            result.host_program = optarg;
            break;
        default:
            return false;
        }
    }
    return optind == argc;
}

int run(const fault_run_options& options)
{
    fmt::print("seed {}, {} s\n", options.seed, options.length.count());
    const fault_run_result result = run_faults(options);
    std::map<std::string, int> outcomes;
    for (const caller_reply& reply : result.replies)
    {
        ++outcomes[reply.outcome.empty() ? "none" : reply.outcome];
    }
    fmt::print("{} requests", result.replies.size());
    for (const auto& [outcome, count] : outcomes)
    {
        fmt::print(", {} {}", count, outcome);
    }
    fmt::print("\n{} violations\n", result.found_violations.size());
    for (const std::string& text : result.found_violations)
    {
        fmt::print("{}\n", text);
    }
    return result.found_violations.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    fault_run_options options;
    options.seed = std::random_device{}();
    options.length = std::chrono::seconds(60);
    if (!parse(argc, argv, options))
    {
        fmt::print(stderr, "{}", usage);
        return 2;
    }
    options.report = [](const std::string& text)
    {
        fmt::print("{}\n", text);
        std::fflush(stdout);
    };
    try
    {
        return run(options);
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "faults: {}\n", error.what());
        return 2;
    }
}
