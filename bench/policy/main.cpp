/// \file
/// Compares the placement and admission policy with baselines on simulated
/// targets in virtual time.

#include "comparison.hpp"
#include "decision_cost.hpp"
#include "simulation.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <getopt.h>
#include <thread>

namespace
{

using namespace egretspindle::bench;

struct options
{
    std::string only;
    int seeds = 5;
    int threads = 4;
    bool details = false;
};

/// Runs all variants with all seeds. The results are ordered by seed, then by
/// variant.
std::vector<std::vector<run_result>> run_all(const comparison& entry,
                                             const options& chosen)
{
    const std::size_t variants = entry.variants.size();
    const std::size_t total = variants * static_cast<std::size_t>(chosen.seeds);
    std::vector<std::vector<run_result>> all(
        static_cast<std::size_t>(chosen.seeds),
        std::vector<run_result>(variants));
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(chosen.threads));
    for (int n = 0; n < chosen.threads; ++n)
    {
        threads.emplace_back(
            [&]
            {
                for (std::size_t i = next++; i < total; i = next++)
                {
                    scenario run = entry.variants[i % variants].run;
                    run.seed = i / variants + 1;
                    all[i / variants][i % variants] = simulation(run).run();
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    return all;
}

void print_details(const comparison& entry,
                   const std::vector<std::vector<run_result>>& all)
{
    for (std::size_t seed = 0; seed < all.size(); ++seed)
    {
        for (std::size_t n = 0; n < entry.variants.size(); ++n)
        {
            const run_result& result = all[seed][n];
            fmt::print("  seed {} {:<32} p50 {:.0f} p99 {:.0f} done {} "
                       "lost {} reject {:.0f}ms batch {} work {:.0f} "
                       "slots {:.2f} overload {} throttles {}",
                       seed + 1, entry.variants[n].name, result.urgent_p50_ms,
                       result.urgent_p99_ms, result.urgent_done,
                       result.urgent_lost, result.max_reject_ms,
                       result.batch_done, result.batch_work_s,
                       result.batch_slots, result.overloads, result.throttles);
            for (const auto& [cause, count] : result.evictions)
            {
                fmt::print(" {} {}", cause, count);
            }
            for (const auto& [reason, count] : result.not_placed)
            {
                fmt::print(" [{}: {}]", reason, count);
            }
            fmt::print("\n");
        }
    }
}

/// Prints the minimum, median and maximum of a figure over the seeds.
///
/// \returns whether all seeds meet the bound of the figure
bool print_figure(const figure& item,
                  const std::vector<std::vector<run_result>>& all)
{
    std::vector<double> values;
    bool pass = true;
    for (const std::vector<run_result>& results : all)
    {
        const double value = item.value(results);
        values.push_back(value);
        pass =
            pass && (item.at_most ? value <= item.bound : value >= item.bound);
    }
    std::sort(values.begin(), values.end());
    fmt::print("  {:<38} min {:8.3f}  median {:8.3f}  max {:8.3f}", item.name,
               values.front(), values[values.size() / 2], values.back());
    if (item.is_required)
    {
        fmt::print("  target {} {}  {}", item.at_most ? "<=" : ">=", item.bound,
                   pass ? "pass" : "MISS");
    }
    fmt::print("\n");
    return pass || !item.is_required;
}

options parse(int argc, char** argv)
{
    options chosen;
    const option known[] = {{"only", required_argument, nullptr, 'o'},
                            {"seeds", required_argument, nullptr, 's'},
                            {"threads", required_argument, nullptr, 't'},
                            {"details", no_argument, nullptr, 'd'},
                            {nullptr, 0, nullptr, 0}};
    for (int c = 0;
         (c = getopt_long(argc, argv, "o:s:t:d", known, nullptr)) != -1;)
    {
        switch (c)
        {
        case 'o':
            chosen.only = optarg;
            break;
        case 's':
            chosen.seeds = std::max(1, std::atoi(optarg));
            break;
        case 't':
            chosen.threads = std::max(1, std::atoi(optarg));
            break;
        case 'd':
            chosen.details = true;
            break;
        default:
            fmt::print(stderr, "usage: policy [--only NAME] [--seeds N] "
                               "[--threads N] [--details]\n");
            std::exit(2);
        }
    }
    return chosen;
}

} // namespace

int main(int argc, char** argv)
{
    const options chosen = parse(argc, argv);
    bool pass = true;
    for (const comparison& entry : make_comparisons())
    {
        if (!chosen.only.empty() && chosen.only != entry.name)
        {
            continue;
        }
        fmt::print("{}, seeds 1 to {}\n", entry.name, chosen.seeds);
        const std::vector<std::vector<run_result>> all = run_all(entry, chosen);
        if (chosen.details)
        {
            print_details(entry, all);
        }
        for (const figure& item : entry.figures)
        {
            pass = print_figure(item, all) && pass;
        }
        std::fflush(stdout);
    }
    if (chosen.only.empty() || chosen.only == "cost")
    {
        print_decision_cost(21);
    }
    return pass ? 0 : 1;
}
