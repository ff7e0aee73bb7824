#include "soak_fault.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle::bench
{

using std::chrono::milliseconds;

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
        item.inject = [command]
        {
            command("drain");
        };
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
        item.inject = [command, action]
        {
            command(action);
        };
        item.remove = [command]
        {
            command("pass");
        };
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
        item.remove = [command]
        {
            command("pass");
        };
    }
    else
    {
        return make_link_fault(random, scene, link);
    }
    return item;
}

} // namespace egretspindle::bench
