#include "soak_fault.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;

// The time of a planned stop, after which another one of the host may follow.
constexpr milliseconds stop_time{6'000};
constexpr milliseconds rolling_restart_time{20'000};
// Signals of one host may follow each other within this time.
constexpr milliseconds reload_time{100};

// Hosts that stop, all but one at most.
soak_fault make_planned_stop(std::mt19937& random, soak_cluster& cluster)
{
    const long count = static_cast<long>(cluster.hosts().size());
    const long first = choose(random, 0, count - 1);
    const long stopped = choose(random, 0, 3) > 0
                             ? 1
                             : choose(random, 1, std::max(1L, count - 1));
    soak_fault item;
    item.kind = fault_kind::stop;
    item.length = stop_time;
    item.component = stopped == 1
                         ? cluster.hosts()[static_cast<std::size_t>(first)].name
                         : "hosts";
    item.text =
        fmt::format("planned stop of {} hosts from h{}", stopped, first);
    item.inject = [&cluster, first, stopped, count]
    {
        for (long n = 0; n < stopped; ++n)
        {
            cluster.stop_host(
                cluster.hosts()[static_cast<std::size_t>((first + n) % count)]);
        }
    };
    return item;
}

soak_fault make_rolling_restart(soak_cluster& cluster)
{
    soak_fault item;
    item.kind = fault_kind::stop;
    item.component = "hosts";
    item.text = "planned restart of all hosts in turn";
    item.length = rolling_restart_time;
    item.inject = [&cluster]
    {
        cluster.start_rolling_restart();
    };
    item.remove = [&cluster]
    {
        cluster.end_rolling_restart();
    };
    return item;
}

// May meet a host that is stopping.
soak_fault make_reload(std::mt19937& random, soak_cluster& cluster)
{
    const long last = static_cast<long>(cluster.hosts().size()) - 1;
    host_process& host =
        cluster.hosts()[static_cast<std::size_t>(choose(random, 0, last))];
    soak_fault item;
    item.kind = fault_kind::reload;
    item.component = "reload-" + host.name;
    item.text = "planned reload of " + host.name;
    item.length = reload_time;
    item.inject = [&cluster, &host]
    {
        cluster.signal_host(host, SIGHUP);
    };
    return item;
}

soak_fault make_configuration(std::mt19937& random, soak_cluster& cluster,
                              std::int64_t& version)
{
    version += choose(random, 1, 5);
    const bool has_second = choose(random, 0, 1) == 0;
    soak_fault item;
    item.kind = fault_kind::config;
    item.component = "config";
    item.text = fmt::format("configuration {}", version);
    item.inject = [&cluster, version, has_second]
    {
        cluster.command(
            fmt::format(R"({{"what":"config","version":{},"second_queue":{}}})",
                        version, has_second));
    };
    return item;
}

} // namespace

soak_fault choose_planned_work(std::mt19937& random, soak_cluster& cluster,
                               std::int64_t& version)
{
    const long kind = choose(random, 0, 9);
    if (kind < 5)
    {
        return make_planned_stop(random, cluster);
    }
    if (kind == 5)
    {
        return make_rolling_restart(cluster);
    }
    return kind < 8 ? make_reload(random, cluster)
                    : make_configuration(random, cluster, version);
}

} // namespace egretspindle::bench
