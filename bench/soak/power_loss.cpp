#include "soak_fault.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <thread>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;
using delay_list = std::vector<std::int64_t>;

// Time of a fault of the store before the loss. Writes that began in it have no
// answer when the hosts are killed.
constexpr long max_store_lead_ms = 700;
// Time from SIGTERM to some hosts to the loss.
constexpr long max_stop_lead_ms = 900;
// Longest time in which the hosts of a loss start again, so that leases of 6 s
// survive some losses and expire in others.
constexpr long max_quick_start_ms = 2'500;
constexpr long max_late_start_ms = 9'000;
// Largest time between two starts in a row.
constexpr long max_start_gap_ms = 900;
// Time from the last start to the end of the fault. The next loss may follow
// while the hosts still read the store.
constexpr long max_calm_ms = 2'000;
// Shorter than a link fault of one target, since both may hold a message.
constexpr long max_data_center_fault_ms = 3'000;

/// Choices of one loss.
struct power_loss
{
    std::string store_mode; ///< empty: no fault of the store
    long store_delay_ms = 0;
    long store_lead_ms = 0;
    std::vector<std::size_t> stopped_hosts; ///< get SIGTERM before the loss
    long stop_lead_ms = 0;
    std::vector<std::string> crashed_targets;
    bool are_crashed_first = false;
    delay_list start_delays_ms; ///< by index of the host
    bool are_replaced = false;
    std::string pattern;
};

delay_list choose_delays(std::mt19937& random, std::size_t count,
                         std::string& pattern)
{
    delay_list delays(count, 0);
    switch (choose(random, 0, 4))
    {
    case 0:
        pattern = "together";
        std::fill(delays.begin(), delays.end(),
                  choose(random, 0, max_quick_start_ms));
        break;
    case 1:
    {
        pattern = "one after another";
        std::int64_t at = choose(random, 0, max_quick_start_ms);
        for (std::int64_t& delay : delays)
        {
            delay = at;
            at += choose(random, 50, max_start_gap_ms);
        }
        std::shuffle(delays.begin(), delays.end(), random);
        break;
    }
    case 2:
        pattern = "some late";
        for (std::int64_t& delay : delays)
        {
            delay = choose(random, 0, 1) == 0
                        ? choose(random, 0, max_quick_start_ms)
                        : choose(random, 3'000, max_late_start_ms);
        }
        break;
    case 3:
        pattern = "late";
        std::fill(delays.begin(), delays.end(),
                  choose(random, 5'000, max_late_start_ms));
        break;
    default:
        pattern = "each on its own";
        for (std::int64_t& delay : delays)
        {
            delay = choose(random, 0, max_quick_start_ms);
        }
    }
    return delays;
}

void choose_store_mode(std::mt19937& random, power_loss& loss)
{
    const char* const modes[] = {"lose_answers", "late_writes", "lose_answers",
                                 "late_writes",  "slow",        "silent"};
    const long n = choose(random, 0, 8);
    if (n < 6)
    {
        loss.store_mode = modes[n];
        loss.store_lead_ms = choose(random, 0, max_store_lead_ms);
        loss.store_delay_ms = loss.store_mode == "late_writes"
                                  ? choose(random, 50, 5'000)
                                  : choose(random, 50, 900);
    }
}

power_loss choose_loss(std::mt19937& random, const soak_cluster& cluster,
                       std::size_t host_count)
{
    power_loss loss;
    choose_store_mode(random, loss);
    if (choose(random, 0, 2) == 0)
    {
        const long share = choose(random, 1, 4);
        for (const std::string& name : cluster.targets())
        {
            if (choose(random, 1, 4) <= share)
            {
                loss.crashed_targets.push_back(name);
            }
        }
        loss.are_crashed_first = choose(random, 0, 1) == 0;
    }
    if (choose(random, 0, 3) == 0)
    {
        for (std::size_t n = 0; n < host_count; ++n)
        {
            if (choose(random, 0, 1) == 0)
            {
                loss.stopped_hosts.push_back(n);
            }
        }
        loss.stop_lead_ms = choose(random, 0, max_stop_lead_ms);
    }
    loss.start_delays_ms = choose_delays(random, host_count, loss.pattern);
    loss.are_replaced = choose(random, 0, 3) == 0;
    return loss;
}

void crash_targets(soak_cluster& cluster, const std::vector<std::string>& names)
{
    for (const std::string& name : names)
    {
        cluster.set_link("target-" + name, "reset");
        cluster.command(fmt::format(
            R"({{"what":"target","names":["{}"],"action":"crash"}})", name));
    }
}

void boot_targets(soak_cluster& cluster, const std::vector<std::string>& names)
{
    for (const std::string& name : names)
    {
        cluster.command(fmt::format(
            R"({{"what":"target","names":["{}"],"action":"boot"}})", name));
        cluster.set_link("target-" + name, "pass");
    }
}

void inject_loss(soak_cluster& cluster, const power_loss& loss)
{
    if (!loss.store_mode.empty())
    {
        cluster.command(
            fmt::format(R"({{"what":"store","action":"{}","delay_ms":{}}})",
                        loss.store_mode, loss.store_delay_ms));
        std::this_thread::sleep_for(milliseconds(loss.store_lead_ms));
    }
    if (!loss.stopped_hosts.empty())
    {
        for (const std::size_t n : loss.stopped_hosts)
        {
            cluster.stop_host(cluster.hosts()[n]);
        }
        std::this_thread::sleep_for(milliseconds(loss.stop_lead_ms));
    }
    if (loss.are_crashed_first)
    {
        crash_targets(cluster, loss.crashed_targets);
    }
    cluster.kill_all_hosts(loss.start_delays_ms);
    if (!loss.are_crashed_first)
    {
        crash_targets(cluster, loss.crashed_targets);
    }
    if (!loss.store_mode.empty())
    {
        cluster.command(R"({"what":"store","action":"pass"})");
    }
    if (loss.are_replaced)
    {
        for (host_process& host : cluster.hosts())
        {
            cluster.replace_host(host);
        }
    }
    boot_targets(cluster, loss.crashed_targets);
}

soak_fault make_data_center_fault(std::mt19937& random, soak_cluster& cluster)
{
    const char* const modes[] = {"drop", "delay", "cut_requests", "cut_replies",
                                 "cut_reply_after_request"};
    const std::string mode = modes[choose(random, 0, 4)];
    const std::string data_center = choose(random, 0, 1) == 0 ? "a" : "b";
    const std::vector<std::string> names = cluster.targets_in(data_center);
    const long delay_ms = choose(random, 20, 400);
    const auto set_links =
        [&cluster, names](const std::string& link_mode, long delay)
    {
        for (const std::string& name : names)
        {
            cluster.set_link("target-" + name, link_mode, delay);
        }
    };
    soak_fault item;
    item.text = fmt::format("{} targets of data centre {}", mode, data_center);
    item.component = "targets";
    item.length = milliseconds(choose(random, 200, max_data_center_fault_ms));
    item.inject = [set_links, mode, delay_ms]
    {
        set_links(mode, mode == "delay" ? delay_ms : 0);
    };
    item.remove = [set_links]
    {
        set_links("pass", 0);
    };
    return item;
}

soak_fault make_link_of_host_fault(std::mt19937& random, soak_cluster& cluster)
{
    const long last = static_cast<long>(cluster.hosts().size()) - 1;
    const host_process& host =
        cluster.hosts()[static_cast<std::size_t>(choose(random, 0, last))];
    const std::string link = choose(random, 0, 1) == 0 ? "front-" : "store-";
    return make_link_fault(random, cluster, link + host.name);
}

} // namespace

soak_fault make_power_loss(std::mt19937& random, soak_cluster& cluster)
{
    const power_loss loss =
        choose_loss(random, cluster, cluster.hosts().size());
    const std::int64_t last_start = *std::max_element(
        loss.start_delays_ms.begin(), loss.start_delays_ms.end());
    soak_fault item;
    item.text = fmt::format(
        "kill all hosts, {} of them stopping, start {}{}; store {} for {} ms, "
        "{} targets crash",
        loss.stopped_hosts.size(), loss.pattern,
        loss.are_replaced ? " as new hosts" : "",
        loss.store_mode.empty() ? "pass" : loss.store_mode, loss.store_lead_ms,
        loss.crashed_targets.size());
    item.component = "hosts";
    item.length = milliseconds(loss.store_lead_ms + loss.stop_lead_ms +
                               last_start + choose(random, 200, max_calm_ms));
    item.inject = [&cluster, loss]
    {
        inject_loss(cluster, loss);
    };
    item.remove = [&cluster]
    {
        for (host_process& host : cluster.hosts())
        {
            cluster.start_host(host);
        }
    };
    return item;
}

soak_fault choose_power_loss_fault(std::mt19937& random, soak_cluster& cluster,
                                   std::int64_t& version)
{
    const long kind = choose(random, 0, 99);
    if (kind < 28)
    {
        return make_power_loss(random, cluster);
    }
    if (kind < 56)
    {
        return choose_target_fault(random, cluster);
    }
    if (kind < 70)
    {
        return make_data_center_fault(random, cluster);
    }
    if (kind < 80)
    {
        return make_link_of_host_fault(random, cluster);
    }
    return choose_store_fault(random, cluster, version);
}

} // namespace egretspindle::bench
