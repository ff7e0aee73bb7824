#include "support/fault_plan.hpp"

#include <fmt/format.h>

#include <array>

namespace egretspindle::test
{

namespace
{

std::string choose_name(std::mt19937& random,
                        const std::vector<std::string>& names)
{
    return names[random() % names.size()];
}

fault make_host_fault(std::mt19937& random, cluster& nodes)
{
    fault result;
    result.component = choose_name(random, nodes.host_names());
    cluster_process& host = nodes.host(result.component);
    switch (random() % 3)
    {
    case 0:
        result.text = "kill " + result.component;
        result.inject = [&host]
        {
            host.kill();
        };
        result.remove = [&host]
        {
            host.start();
        };
        break;
    case 1:
        result.text = "pause " + result.component;
        result.inject = [&host]
        {
            host.pause();
        };
        result.remove = [&host]
        {
            host.resume();
        };
        break;
    default:
        result.text = "restart " + result.component;
        result.inject = [&host]
        {
            host.terminate();
        };
        result.remove = [&host]
        {
            // Ends the process if its graceful shutdown has not ended yet.
            host.kill();
            host.start();
        };
        break;
    }
    return result;
}

fault make_target_process_fault(std::mt19937& random, cluster& nodes)
{
    fault result;
    result.component = choose_name(random, nodes.target_names());
    cluster_process& target = nodes.target(result.component);
    if (random() % 2 == 0)
    {
        result.text = "kill " + result.component;
        result.inject = [&target]
        {
            target.kill();
        };
        result.remove = [&target]
        {
            target.start();
        };
    }
    else
    {
        result.text = "pause " + result.component;
        result.inject = [&target]
        {
            target.pause();
        };
        result.remove = [&target]
        {
            target.resume();
        };
    }
    return result;
}

fault make_target_control_fault(std::mt19937& random, cluster& nodes)
{
    fault result;
    result.component = choose_name(random, nodes.target_names());
    const std::string name = result.component;
    switch (random() % 3)
    {
    case 0:
        result.text = "all tasks fail on " + name;
        result.inject = [&nodes, name]
        {
            nodes.control_target(name, R"({"fail_all":true})");
        };
        result.remove = [&nodes, name]
        {
            nodes.control_target(name, R"({"fail_all":false})");
        };
        break;
    case 1:
        result.text = "slow tasks on " + name;
        result.inject = [&nodes, name]
        {
            nodes.control_target(name, R"({"speed":0.1})");
        };
        result.remove = [&nodes, name]
        {
            nodes.control_target(name, R"({"speed":1})");
        };
        break;
    default:
        const auto set_state = [&nodes, name](const std::string& state)
        {
            (void)nodes.control_host_list(
                fmt::format(R"({{"name":"{}","state":"{}"}})", name, state));
        };
        result.text = "leaving " + name;
        result.inject = [set_state]
        {
            set_state("leaving");
        };
        result.remove = [set_state]
        {
            set_state("live");
        };
        break;
    }
    return result;
}

fault make_link_fault(std::mt19937& random, cluster& nodes)
{
    constexpr std::array<const char*, 5> modes{"drop", "cut_requests",
                                               "cut_replies", "reset", "delay"};
    const std::string mode = modes[random() % modes.size()];
    const long delay_ms = 20 + static_cast<long>(random() % 400);
    std::string link;
    switch (random() % 4)
    {
    case 0:
    case 1:
        link = "to-" + choose_name(random, nodes.target_names());
        break;
    case 2:
        link = choose_name(random, nodes.host_names()) + "-store";
        break;
    default:
        link = choose_name(random, nodes.host_names()) + "-??";
        break;
    }
    fault result;
    result.component = "links";
    result.text = fmt::format("{} on {}", mode, link);
    result.inject = [&nodes, link, mode, delay_ms]
    {
        nodes.set_links({link}, mode, delay_ms);
    };
    result.remove = [&nodes, link]
    {
        nodes.set_links({link}, "pass");
    };
    return result;
}

fault make_data_center_fault(std::mt19937& random, cluster& nodes)
{
    const std::string data_center = random() % 2 == 0 ? "a" : "b";
    fault result;
    result.component = "links";
    result.text = "cut off data centre " + data_center;
    result.inject = [&nodes, data_center]
    {
        nodes.set_data_center_link(data_center, "drop");
    };
    result.remove = [&nodes, data_center]
    {
        nodes.set_data_center_link(data_center, "pass");
    };
    return result;
}

fault make_store_fault(std::mt19937& random, cluster& nodes)
{
    fault result;
    result.component = "store";
    std::string command;
    std::string remove_command;
    switch (random() % 3)
    {
    case 0:
        command = R"({"outage":true})";
        remove_command = R"({"outage":false})";
        break;
    case 1:
        command = fmt::format(R"({{"delay_ms":{}}})", 50 + random() % 1500);
        remove_command = R"({"delay_ms":0})";
        break;
    default:
        command = fmt::format(R"({{"lose_answer_probability":0.3,"seed":{}}})",
                              random() % 1000);
        remove_command = R"({"lose_answer_probability":0})";
        break;
    }
    result.text = "store " + command;
    result.inject = [&nodes, command]
    {
        nodes.control_store(command);
    };
    result.remove = [&nodes, remove_command]
    {
        nodes.control_store(remove_command);
    };
    return result;
}

} // namespace

fault choose_fault(std::mt19937& random, cluster& nodes)
{
    // Some faults last longer than a lease of 6 s.
    constexpr unsigned min_length_ms = 300;
    constexpr unsigned length_range_ms = 9000;
    const std::chrono::milliseconds length(min_length_ms +
                                           random() % length_range_ms);
    constexpr std::array choices{
        make_host_fault, make_host_fault,        make_target_process_fault,
        make_link_fault, make_data_center_fault, make_target_control_fault,
        make_store_fault};
    fault result = choices[random() % choices.size()](random, nodes);
    result.length = length;
    return result;
}

} // namespace egretspindle::test
