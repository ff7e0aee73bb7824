// Measures the resource usage of an entry host for several cluster sizes.

#include "cluster_usage.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <string>
#include <vector>

namespace
{

using namespace egretspindle::bench;

constexpr const char* usage_text =
    R"(usage: capacity [OPTION...]
Measures processor time, resident memory and control traffic of entry hosts
with real processes, and prints how they grow with the size of the cluster.
  --runs N      runs (3)
  --seconds N   measured time of each size (8)
  --only NAME   hosts, targets, tasks, plan_kb or starts_per_second
)";

/// One property of the cluster and the values at which it is measured.
struct dimension
{
    const char* name;
    int cluster_size::*member;
    std::vector<int> values;
};

const std::vector<dimension> dimensions{
    {"hosts", &cluster_size::hosts, {3, 9, 18}},
    {"targets", &cluster_size::targets, {8, 24, 48}},
    {"tasks", &cluster_size::tasks, {0, 120, 240}},
    {"plan_kb", &cluster_size::plan_kb, {1, 30, 60}},
    {"starts_per_second", &cluster_size::starts_per_second, {0, 30, 60}},
};

struct options
{
    int runs = 3;
    int seconds = 8;
    std::string only;
};

bool parse(int argc, char** argv, options& result)
{
    const option known[] = {{"runs", required_argument, nullptr, 'r'},
                            {"seconds", required_argument, nullptr, 's'},
                            {"only", required_argument, nullptr, 'o'},
                            {nullptr, 0, nullptr, 0}};
    int c = 0;
    bool is_valid = true;
    while ((c = getopt_long(argc, argv, "", known, nullptr)) != -1)
    {
        switch (c)
        {
        case 'r':
            result.runs = std::atoi(optarg);
            break;
        case 's':
            result.seconds = std::atoi(optarg);
            break;
        case 'o':
            result.only = optarg;
            break;
        default:
            is_valid = false;
        }
    }
    is_valid = is_valid && optind == argc && result.runs >= 1 &&
               result.runs <= 10 && result.seconds >= 1 && result.seconds <= 60;
    if (!is_valid)
    {
        fmt::print(stderr, "{}", usage_text);
    }
    return is_valid;
}

/// Returns the slope of the least-squares line.
double slope(const std::vector<int>& x, const std::vector<double>& y)
{
    const auto n = static_cast<double>(x.size());
    double mean_x = 0;
    double mean_y = 0;
    for (std::size_t it = 0; it < x.size(); ++it)
    {
        mean_x += x[it] / n;
        mean_y += y[it] / n;
    }
    double covariance = 0;
    double variance = 0;
    for (std::size_t it = 0; it < x.size(); ++it)
    {
        covariance += (x[it] - mean_x) * (y[it] - mean_y);
        variance += (x[it] - mean_x) * (x[it] - mean_x);
    }
    return covariance / variance;
}

std::string describe(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return fmt::format("min {:.5f} median {:.5f} max {:.5f}", values.front(),
                       values[values.size() / 2], values.back());
}

/// Slopes of one dimension over all runs.
struct slopes
{
    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> peer;
    std::vector<double> io;
};

void measure_dimension(const dimension& item, int run, int seconds,
                       slopes& result)
{
    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> peer;
    std::vector<double> io;
    for (const int value : item.values)
    {
        cluster_size size;
        size.*item.member = value;
        const host_usage usage = measure_usage(size, seconds);
        cpu.push_back(usage.cpu_percent);
        memory.push_back(usage.resident_mb);
        peer.push_back(usage.peer_kb_per_second);
        io.push_back(usage.io_kb_per_second);
        fmt::print("run {} {} {}: cpu {:.2f} % memory {:.1f} MB peer {:.2f} "
                   "KB/s io {:.2f} KB/s running tasks {}\n",
                   run, item.name, value, usage.cpu_percent, usage.resident_mb,
                   usage.peer_kb_per_second, usage.io_kb_per_second,
                   usage.tasks);
        std::fflush(stdout);
    }
    result.cpu.push_back(slope(item.values, cpu));
    result.memory.push_back(slope(item.values, memory));
    result.peer.push_back(slope(item.values, peer));
    result.io.push_back(slope(item.values, io));
}

} // namespace

int main(int argc, char** argv)
{
    options settings;
    if (!parse(argc, argv, settings))
    {
        return 2;
    }
    for (const dimension& item : dimensions)
    {
        if (!settings.only.empty() && settings.only != item.name)
        {
            continue;
        }
        slopes result;
        for (int run = 1; run <= settings.runs; ++run)
        {
            measure_dimension(item, run, settings.seconds, result);
        }
        fmt::print("slope per {}: cpu % {}\n", item.name, describe(result.cpu));
        fmt::print("slope per {}: memory MB {}\n", item.name,
                   describe(result.memory));
        fmt::print("slope per {}: peer KB/s {}\n", item.name,
                   describe(result.peer));
        fmt::print("slope per {}: io KB/s {}\n", item.name,
                   describe(result.io));
    }
    return 0;
}
