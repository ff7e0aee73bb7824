#include "soak_fault.hpp"

#include <fmt/format.h>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;

std::string store_command(const std::string& names, const std::string& mode,
                          long delay)
{
    return fmt::format(
        R"({{"what":"store","names":[{}],"action":"{}","delay_ms":{}}})", names,
        mode, delay);
}

// Returns the names of a random subset of the hosts as elements of a JSON list;
// empty means all hosts.
std::string choose_names(std::mt19937& random, soak_cluster& cluster)
{
    std::string names;
    if (choose(random, 0, 2) == 0)
    {
        return names;
    }
    for (const host_process& host : cluster.hosts())
    {
        if (choose(random, 0, 2) == 0)
        {
            names +=
                fmt::format(R"({}"{}")", names.empty() ? "" : ",", host.name);
        }
    }
    return names;
}

} // namespace

soak_fault choose_store_fault(std::mt19937& random, soak_cluster& cluster,
                              std::int64_t& version)
{
    soak_fault item;
    const long kind = choose(random, 0, 9);
    if (kind == 0)
    {
        version += choose(random, 1, 5);
        const bool has_second = choose(random, 0, 1) == 0;
        item.text = fmt::format("configuration {}", version);
        item.component = "config";
        item.kind = fault_kind::config;
        item.inject = [&cluster, version, has_second]
        {
            cluster.command(fmt::format(
                R"({{"what":"config","version":{},"second_queue":{}}})",
                version, has_second));
        };
        return item;
    }
    if (kind == 1)
    {
        item.text = "drop the history of the store";
        item.component = "history";
        item.inject = [&cluster]
        {
            cluster.command(R"({"what":"drop_history"})");
        };
        return item;
    }
    const char* const modes[] = {"unavailable", "overloaded",   "slow",
                                 "silent",      "lose_answers", "late_writes"};
    const std::string mode = modes[choose(random, 0, 5)];
    const std::string names = choose_names(random, cluster);
    long delay = 0;
    if (mode == "slow")
    {
        delay = choose(random, 50, 900);
    }
    else if (mode == "late_writes")
    {
        delay = choose(random, 200, 5'000);
    }
    item.text = fmt::format("store {} {} for {}", mode, delay,
                            names.empty() ? "all" : names);
    item.component = "store";
    item.length = milliseconds(choose(random, 100, 6'000));
    item.inject = [&cluster, names, mode, delay]
    {
        cluster.command(store_command(names, mode, delay));
    };
    item.remove = [&cluster, names]
    {
        cluster.command(store_command(names, "pass", 0));
    };
    return item;
}

} // namespace egretspindle::bench
