#include "soak_fault.hpp"

#include <fmt/format.h>

#include <csignal>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;

// A link fault holds messages back for at most 8 s, so that no message is later
// than the 12 s that the platform allows.
constexpr long max_link_fault_ms = 8'000;
constexpr long max_delay_ms = 400;

using host_list = std::vector<host_process*>;

host_process& choose_host(std::mt19937& random, soak_cluster& cluster)
{
    const long last = static_cast<long>(cluster.hosts().size()) - 1;
    return cluster.hosts()[static_cast<std::size_t>(choose(random, 0, last))];
}

std::string fault_text(const char* what, const host_list& hosts)
{
    return hosts.size() == 1
               ? fmt::format("{} {}", what, hosts.front()->name)
               : fmt::format("{} {} hosts at once", what, hosts.size());
}

soak_fault make_kill(soak_cluster& cluster, const host_list& hosts, long length)
{
    soak_fault item;
    item.text = fault_text("kill", hosts);
    item.length = milliseconds(length);
    item.inject = [&cluster, hosts]
    {
        for (host_process* host : hosts)
        {
            cluster.kill_host(*host);
        }
    };
    item.remove = [&cluster, hosts]
    {
        for (host_process* host : hosts)
        {
            cluster.start_host(*host);
        }
    };
    return item;
}

// The hosts are started again after their exit.
soak_fault make_stop(soak_cluster& cluster, const host_list& hosts)
{
    soak_fault item;
    item.text = fault_text("stop and restart", hosts);
    item.length = milliseconds(6'000);
    item.kind = fault_kind::stop;
    item.inject = [&cluster, hosts]
    {
        for (host_process* host : hosts)
        {
            cluster.stop_host(*host);
        }
    };
    return item;
}

soak_fault make_signal(soak_cluster& cluster, const char* text,
                       host_process& host, int first, int last, long length)
{
    soak_fault item;
    item.text = fault_text(text, {&host});
    item.length = milliseconds(length);
    item.kind = first == SIGHUP ? fault_kind::reload : fault_kind::unplanned;
    item.inject = [&cluster, &host, first]
    {
        cluster.signal_host(host, first);
    };
    item.remove = [&cluster, &host, last]
    {
        cluster.signal_host(host, last);
    };
    return item;
}

soak_fault choose_process_fault(std::mt19937& random, soak_cluster& cluster,
                                host_process& host)
{
    switch (choose(random, 0, 6))
    {
    case 0:
    case 1:
        return make_kill(cluster, {&host}, choose(random, 0, 6'000));
    case 2:
    case 3:
        return make_signal(cluster, "pause", host, SIGSTOP, SIGCONT,
                           choose(random, 300, 9'000));
    case 4:
    case 5:
        return make_stop(cluster, {&host});
    default:
        return make_signal(cluster, "reload", host, SIGHUP, SIGCONT, 0);
    }
}

} // namespace

soak_fault make_link_fault(std::mt19937& random, soak_cluster& cluster,
                           const std::string& link)
{
    const char* const modes[] = {"delay",        "drop",
                                 "cut_requests", "cut_replies",
                                 "reset",        "cut_reply_after_request"};
    const std::string mode = modes[choose(random, 0, 5)];
    const long delay = mode == "delay" ? choose(random, 20, max_delay_ms) : 0;
    soak_fault item;
    item.text = fmt::format("{} {} {}", mode, link, delay);
    item.component = link;
    item.length = milliseconds(choose(random, 200, max_link_fault_ms));
    item.inject = [&cluster, link, mode, delay]
    {
        cluster.set_link(link, mode, delay);
    };
    item.remove = [&cluster, link]
    {
        cluster.set_link(link, "pass");
    };
    return item;
}

soak_fault choose_host_fault(std::mt19937& random, soak_cluster& cluster)
{
    host_process& host = choose_host(random, cluster);
    const long kind = choose(random, 0, 8);
    if (kind > 6)
    {
        const char* const link = kind == 7 ? "front-" : "store-";
        return make_link_fault(random, cluster, link + host.name);
    }
    soak_fault item = choose_process_fault(random, cluster, host);
    item.component = host.name;
    return item;
}

soak_fault choose_multi_host_fault(std::mt19937& random, soak_cluster& cluster)
{
    soak_fault item;
    const bool is_all = choose(random, 0, 1) == 0;
    host_list chosen;
    for (host_process& host : cluster.hosts())
    {
        if (is_all || chosen.empty() || choose(random, 0, 1) == 0)
        {
            chosen.push_back(&host);
        }
    }
    const long kind = choose(random, 0, 2);
    if (kind == 0)
    {
        // All hosts run again before the leases of 6 s expire.
        item = make_kill(cluster, chosen, choose(random, 0, 2'500));
    }
    else if (kind == 1)
    {
        item = make_stop(cluster, chosen);
    }
    else
    {
        item.text = "stop and restart all hosts in turn";
        item.length = milliseconds(15'000);
        item.kind = fault_kind::stop;
        item.inject = [&cluster]
        {
            cluster.start_rolling_restart();
        };
        item.remove = [&cluster]
        {
            cluster.end_rolling_restart();
        };
    }
    item.component = "hosts";
    return item;
}

soak_fault make_unnoticed_takeover(std::mt19937& random, soak_cluster& cluster)
{
    host_process& host = choose_host(random, cluster);
    const std::string link = "store-" + host.name;
    soak_fault item;
    item.text = "takeover unnoticed by the targets, store unreachable from " +
                host.name;
    item.component = "targets";
    // A takeover takes 3 s, then the new owner waits until a lease of 6 s
    // expires.
    item.length = milliseconds(choose(random, 16'000, 18'000));
    item.inject = [&cluster, link]
    {
        cluster.command(R"({"what":"target","action":"known_owner_only"})");
        cluster.set_link(link, "drop");
    };
    item.remove = [&cluster, link]
    {
        cluster.command(R"({"what":"target","action":"pass"})");
        cluster.set_link(link, "pass");
    };
    return item;
}

} // namespace egretspindle::bench
