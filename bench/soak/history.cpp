#include "history.hpp"

#include "egretspindle/codec/json.hpp"

#include "common/platform_event.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace egretspindle::bench
{

namespace
{

execution* find_run(std::vector<execution>& runs,
                    const standin::platform_event& event)
{
    const auto it = std::find_if(runs.rbegin(), runs.rend(),
                                 [&](const execution& item)
                                 {
                                     return item.target == event.target &&
                                            item.booted_ms == event.booted_ms &&
                                            item.run == event.run;
                                 });
    return it == runs.rend() ? nullptr : &*it;
}

void apply(history& result, const standin::platform_event& event)
{
    if (event.task.empty())
    {
        return;
    }
    std::vector<execution>& runs = result[event.task];
    if (event.event == "begun")
    {
        execution item;
        item.target = event.target;
        item.id = event.id;
        item.booted_ms = event.booted_ms;
        item.run = event.run;
        item.token = event.token;
        item.started_ms = event.at_ms;
        runs.push_back(std::move(item));
        return;
    }
    execution* const item = find_run(runs, event);
    if (item == nullptr)
    {
        throw std::runtime_error(
            "the journal has an end without a start of task " + event.task);
    }
    if (event.event == "ended")
    {
        item->ended_ms = event.at_ms;
        item->outcome = event.outcome;
    }
    else if (event.event == "acknowledged" && event.detail != "void")
    {
        item->acknowledged_ms = event.at_ms;
    }
}

template <typename Visitor>
void for_each_event(const std::string& file, Visitor visit)
{
    std::ifstream in(file);
    std::string line;
    while (std::getline(in, line))
    {
        const absl::StatusOr<standin::platform_event> event =
            from_json<standin::platform_event>(line);
        if (!event.ok())
        {
            throw std::runtime_error("the journal has a malformed line: " +
                                     line);
        }
        visit(*event);
    }
}

} // namespace

history read_history(const std::string& file)
{
    history result;
    for_each_event(file, [&](const standin::platform_event& event)
                   { apply(result, event); });
    for (auto& [task, runs] : result)
    {
        std::stable_sort(runs.begin(), runs.end(),
                         [](const execution& a, const execution& b)
                         { return a.started_ms < b.started_ms; });
    }
    return result;
}

std::vector<target_boot> read_boots(const std::string& file)
{
    std::vector<target_boot> result;
    for_each_event(
        file,
        [&](const standin::platform_event& event)
        {
            if (event.event == "life")
            {
                result.push_back({event.target, event.at_ms, still_running});
            }
            const auto it = std::find_if(result.rbegin(), result.rend(),
                                         [&](const target_boot& item) {
                                             return item.target == event.target;
                                         });
            if (event.event == "dead" && it != result.rend())
            {
                it->ended_ms = event.at_ms;
            }
        });
    return result;
}

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

std::string describe(const execution& item)
{
    return fmt::format(
        "run {} on {} (booted at {}, token {}) from {} to {}{}", item.run,
        item.id, item.booted_ms, item.token, item.started_ms,
        item.ended_ms == still_running ? "now" : std::to_string(item.ended_ms),
        item.outcome.empty() ? "" : " (" + item.outcome + ")");
}

} // namespace egretspindle::bench
