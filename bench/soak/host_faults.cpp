#include "soak_fault.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <thread>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;

// Links hold what is on its way for at most 8 s, so that no message is later
// than the 12 s of the platform.
constexpr long max_link_fault_ms = 8'000;
constexpr long max_delay_ms = 400;

host_process& choose_host(std::mt19937& random, stage& scene)
{
    const long last = static_cast<long>(scene.hosts().size()) - 1;
    return scene.hosts()[static_cast<std::size_t>(choose(random, 0, last))];
}

soak_fault make_kill(std::mt19937& random, stage& scene, host_process& host)
{
    soak_fault item;
    item.text = "kill " + host.name;
    item.victim = host.name;
    item.length = milliseconds(choose(random, 0, 6'000));
    item.inject = [&scene, &host] { scene.kill_host(host); };
    item.remove = [&scene, &host] { scene.start_host(host); };
    return item;
}

soak_fault make_pause(std::mt19937& random, stage& scene, host_process& host)
{
    soak_fault item;
    item.text = "pause " + host.name;
    item.victim = host.name;
    item.length = milliseconds(choose(random, 300, 9'000));
    item.inject = [&scene, &host] { scene.signal_host(host, SIGSTOP); };
    item.remove = [&scene, &host] { scene.signal_host(host, SIGCONT); };
    return item;
}

soak_fault make_stop(stage& scene, host_process& host)
{
    soak_fault item;
    item.text = "stop and restart " + host.name;
    item.victim = host.name;
    // The host starts again when it has gone; until then it takes no other
    // fault.
    item.length = milliseconds(6'000);
    item.inject = [&scene, &host] { scene.stop_host(host); };
    return item;
}

soak_fault make_reload(stage& scene, host_process& host)
{
    soak_fault item;
    item.text = "SIGHUP " + host.name;
    item.victim = host.name;
    item.inject = [&scene, &host] { scene.signal_host(host, SIGHUP); };
    return item;
}

soak_fault make_link_fault(std::mt19937& random, stage& scene,
                           const std::string& link)
{
    const char* const modes[] = {"delay", "drop", "cut_requests", "cut_replies",
                                 "reset", "cut_reply_after_request"};
    const std::string mode = modes[choose(random, 0, 5)];
    const long delay =
        mode == "delay" ? choose(random, 20, max_delay_ms) : 0;
    soak_fault item;
    item.text = fmt::format("{} {} {}", mode, link, delay);
    item.victim = link;
    item.length = milliseconds(choose(random, 200, max_link_fault_ms));
    item.inject = [&scene, link, mode, delay]
    { scene.set_link(link, mode, delay); };
    item.remove = [&scene, link] { scene.set_link(link, "pass"); };
    return item;
}

} // namespace

soak_fault choose_host_fault(std::mt19937& random, stage& scene)
{
    host_process& host = choose_host(random, scene);
    switch (choose(random, 0, 8))
    {
    case 0:
    case 1:
        return make_kill(random, scene, host);
    case 2:
    case 3:
        return make_pause(random, scene, host);
    case 4:
    case 5:
        return make_stop(scene, host);
    case 6:
        return make_reload(scene, host);
    case 7:
        return make_link_fault(random, scene, "front-" + host.name);
    default:
        return make_link_fault(random, scene, "store-" + host.name);
    }
}

soak_fault choose_mass_fault(std::mt19937& random, stage& scene)
{
    soak_fault item;
    item.victim = "hosts";
    const bool are_all = choose(random, 0, 1) == 0;
    std::vector<host_process*> chosen;
    for (host_process& host : scene.hosts())
    {
        if (are_all || choose(random, 0, 1) == 0)
        {
            chosen.push_back(&host);
        }
    }
    switch (choose(random, 0, 2))
    {
    case 0:
        item.text = fmt::format("kill {} hosts at once", chosen.size());
        // All of them are back before the leases of 6 s end.
        item.length = milliseconds(choose(random, 0, 2'500));
        item.inject = [&scene, chosen]
        {
            for (host_process* host : chosen)
            {
                scene.kill_host(*host);
            }
        };
        item.remove = [&scene, chosen]
        {
            for (host_process* host : chosen)
            {
                scene.start_host(*host);
            }
        };
        return item;
    case 1:
        item.text = fmt::format("stop and restart {} hosts at once",
                                chosen.size());
        item.length = milliseconds(6'000);
        item.inject = [&scene, chosen]
        {
            for (host_process* host : chosen)
            {
                scene.stop_host(*host);
            }
        };
        return item;
    default:
        item.text = "stop and restart all hosts in turn";
        item.length = milliseconds(15'000);
        item.inject = [&scene] { scene.restart_in_turn(); };
        item.remove = [&scene] { scene.end_turn(); };
        return item;
    }
}

soak_fault choose_target_fault(std::mt19937& random, stage& scene)
{
    const long last = static_cast<long>(scene.targets().size()) - 1;
    const std::string name =
        scene.targets()[static_cast<std::size_t>(choose(random, 0, last))];
    const std::string link = "target-" + name;
    const auto command = [&scene, name](const char* action)
    {
        scene.command(
            fmt::format(R"({{"what":"target","names":["{}"],"action":"{}"}})",
                        name, action));
    };
    soak_fault item;
    item.victim = link;
    const long kind = choose(random, 0, 9);
    if (kind <= 1)
    {
        const bool keeps_id = choose(random, 0, 1) == 0;
        item.text = fmt::format("crash {}, {}", name,
                                keeps_id ? "same id" : "another id");
        item.length = milliseconds(choose(random, 50, 8'000));
        item.inject = [&scene, link, command]
        {
            scene.set_link(link, "reset");
            command("crash");
        };
        item.remove = [&scene, link, command, keeps_id]
        {
            command(keeps_id ? "boot" : "boot_renamed");
            scene.set_link(link, "pass");
        };
    }
    else if (kind == 2)
    {
        item.text = "drain " + name;
        item.length = milliseconds(choose(random, 6'000, 8'000));
        item.inject = [command] { command("drain"); };
        item.remove = [&scene, link, command]
        {
            scene.set_link(link, "reset");
            command("crash");
            command("boot_renamed");
            scene.set_link(link, "pass");
        };
    }
    else if (kind <= 6)
    {
        const char* const actions[] = {"unhealthy", "delay_orders", "fail_runs",
                                       "slow"};
        const char* const action = actions[kind - 3];
        item.text = fmt::format("{} {}", action, name);
        item.length = milliseconds(choose(random, 300, 6'000));
        item.inject = [command, action] { command(action); };
        item.remove = [command] { command("pass"); };
    }
    else if (kind == 7)
    {
        // Orders whose connection is reset while they wait are sent again and
        // refused; the first copies are executed later.
        item.text = "late first copies at " + name;
        item.length = milliseconds(choose(random, 1'000, 4'000));
        item.inject = [&scene, link, command]
        {
            command("delay_orders");
            std::this_thread::sleep_for(milliseconds(700));
            command("unhealthy");
            scene.set_link(link, "reset");
            std::this_thread::sleep_for(milliseconds(20));
            scene.set_link(link, "pass");
        };
        item.remove = [command] { command("pass"); };
    }
    else
    {
        return make_link_fault(random, scene, link);
    }
    return item;
}

} // namespace egretspindle::bench
