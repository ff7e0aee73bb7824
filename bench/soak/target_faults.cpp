#include "soak_fault.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;

// Time during which orders are delayed; shorter than a host waits for an
// answer.
constexpr milliseconds delayed_time{700};
// Long enough for the proxy to reset its connections.
constexpr milliseconds reset_time{20};
// Shorter than the timeout of a poll, so that polls of the former boot reach
// the next one.
constexpr milliseconds restart_time{600};

void command(soak_cluster& cluster, const std::string& name,
             const std::string& action)
{
    cluster.command(fmt::format(
        R"({{"what":"target","names":["{}"],"action":"{}"}})", name, action));
}

// Crashes a target and resets its connections.
void crash(soak_cluster& cluster, const std::string& name)
{
    cluster.set_link("target-" + name, "reset");
    command(cluster, name, "crash");
}

void boot(soak_cluster& cluster, const std::string& name,
          const std::string& action)
{
    command(cluster, name, action);
    cluster.set_link("target-" + name, "pass");
}

soak_fault make_crash(std::mt19937& random, soak_cluster& cluster,
                      const std::string& name)
{
    const std::string action =
        choose(random, 0, 1) == 0 ? "boot" : "boot_renamed";
    soak_fault item;
    item.text = fmt::format("crash {}, then {}", name, action);
    item.length = milliseconds(choose(random, 50, 8'000));
    item.inject = [&cluster, name]
    {
        crash(cluster, name);
    };
    item.remove = [&cluster, name, action]
    {
        boot(cluster, name, action);
    };
    return item;
}

soak_fault make_drain(std::mt19937& random, soak_cluster& cluster,
                      const std::string& name)
{
    soak_fault item;
    item.text = "drain " + name;
    item.length = milliseconds(choose(random, 6'000, 8'000));
    item.inject = [&cluster, name]
    {
        command(cluster, name, "drain");
    };
    item.remove = [&cluster, name]
    {
        crash(cluster, name);
        boot(cluster, name, "boot_renamed");
    };
    return item;
}

soak_fault make_action_fault(std::mt19937& random, soak_cluster& cluster,
                             const std::string& name, const std::string& action)
{
    soak_fault item;
    item.text = fmt::format("{} {}", action, name);
    item.length = milliseconds(choose(random, 300, 6'000));
    item.inject = [&cluster, name, action]
    {
        command(cluster, name, action);
    };
    item.remove = [&cluster, name]
    {
        command(cluster, name, "pass");
    };
    return item;
}

// Resets connections while orders are delayed. Hosts send these orders again
// and are refused; the first copies are executed later.
soak_fault make_late_copies(std::mt19937& random, soak_cluster& cluster,
                            const std::string& name)
{
    soak_fault item;
    item.text = "late first copies at " + name;
    item.length = milliseconds(choose(random, 1'000, 4'000));
    item.inject = [&cluster, name]
    {
        command(cluster, name, "delay_orders");
        std::this_thread::sleep_for(delayed_time);
        command(cluster, name, "unhealthy");
        cluster.set_link("target-" + name, "reset");
        std::this_thread::sleep_for(reset_time);
        cluster.set_link("target-" + name, "pass");
    };
    item.remove = [&cluster, name]
    {
        command(cluster, name, "pass");
    };
    return item;
}

std::string choose_target(std::mt19937& random, const soak_cluster& cluster)
{
    const long last = static_cast<long>(cluster.targets().size()) - 1;
    return cluster.targets()[static_cast<std::size_t>(choose(random, 0, last))];
}

void set_links(soak_cluster& cluster, const std::vector<std::string>& names,
               const std::string& mode)
{
    for (const std::string& name : names)
    {
        cluster.set_link("target-" + name, mode);
    }
}

} // namespace

soak_fault make_restarts(std::mt19937& random, soak_cluster& cluster)
{
    const std::vector<std::string> names =
        cluster.targets_in(choose(random, 0, 1) == 0 ? "a" : "b");
    const milliseconds uptime(choose(random, 500, 2'500));
    soak_fault item;
    item.text = fmt::format("restart targets {} to {}, cut off after {} ms",
                            names.front(), names.back(), uptime.count());
    item.component = "targets";
    item.length = milliseconds(choose(random, 7'000, 10'000));
    item.inject = [&cluster, names, uptime]
    {
        for (const std::string& name : names)
        {
            command(cluster, name, "crash");
        }
        std::this_thread::sleep_for(restart_time);
        for (const std::string& name : names)
        {
            command(cluster, name, "boot");
        }
        std::this_thread::sleep_for(uptime);
        set_links(cluster, names, "drop");
    };
    item.remove = [&cluster, names]
    {
        set_links(cluster, names, "pass");
    };
    return item;
}

soak_fault make_late_orders(std::mt19937& random, soak_cluster& cluster)
{
    const std::string name = choose_target(random, cluster);
    soak_fault item = make_action_fault(random, cluster, name, "delay_orders");
    item.component = "target-" + name;
    item.length = delayed_time;
    return item;
}

soak_fault choose_target_fault(std::mt19937& random, soak_cluster& cluster)
{
    const char* const actions[] = {"unhealthy", "delay_orders", "fail_runs",
                                   "slow"};
    const std::string name = choose_target(random, cluster);
    const long kind = choose(random, 0, 9);
    soak_fault item;
    if (kind <= 1)
    {
        item = make_crash(random, cluster, name);
    }
    else if (kind == 2)
    {
        item = make_drain(random, cluster, name);
    }
    else if (kind <= 6)
    {
        item = make_action_fault(random, cluster, name, actions[kind - 3]);
    }
    else if (kind == 7)
    {
        item = make_late_copies(random, cluster, name);
    }
    else
    {
        item = make_link_fault(random, cluster, "target-" + name);
    }
    item.component = "target-" + name;
    return item;
}

} // namespace egretspindle::bench
