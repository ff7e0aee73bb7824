#include "support/executions.hpp"

#include "egretspindle/codec/json.hpp"

#include <algorithm>
#include <fstream>
#include <map>
#include <stdexcept>
#include <tuple>

namespace egretspindle::test
{

namespace
{

template <typename Event>
std::vector<Event> read_lines(const std::string& path)
{
    std::vector<Event> events;
    std::ifstream in(path);
    std::string line;
    while (std::getline(in, line))
    {
        if (in.eof())
        {
            break; // a stand-in is writing this line; a later read sees it
        }
        absl::StatusOr<Event> event = from_json<Event>(line);
        if (!event.ok())
        {
            throw std::runtime_error(path + ": " + event.status().ToString());
        }
        events.push_back(*std::move(event));
    }
    return events;
}

execution begin_execution(const standin::journal_event& event)
{
    execution result;
    result.key = event.key;
    result.attempt = event.attempt;
    result.target = event.target;
    result.boot_id = event.boot_id;
    result.team = event.team;
    result.kind = event.kind;
    result.urgent = event.urgent;
    result.start_ms = event.wall_ms;
    result.last_tick_ms = event.wall_ms;
    result.resumed_ms = event.done_ms;
    return result;
}

} // namespace

std::vector<standin::journal_event> read_target_journal(const std::string& path)
{
    return read_lines<standin::journal_event>(path);
}

std::vector<standin::store_event> read_store_journal(const std::string& path)
{
    return read_lines<standin::store_event>(path);
}

std::vector<execution>
executions_of(const std::vector<standin::journal_event>& events)
{
    std::vector<execution> result;
    std::map<std::tuple<std::string, std::string, int>, std::size_t> open;
    for (const standin::journal_event& event : events)
    {
        const auto id = std::tuple(event.boot_id, event.key, event.attempt);
        if (event.event == "start")
        {
            open[id] = result.size();
            result.push_back(begin_execution(event));
        }
        else if (event.event == "tick")
        {
            for (const auto& [open_id, n] : open)
            {
                if (std::get<0>(open_id) == event.boot_id)
                {
                    result[n].last_tick_ms =
                        std::max(result[n].last_tick_ms, event.last_tick_ms);
                }
            }
        }
        else if (open.count(id) > 0)
        {
            execution& ended = result[open[id]];
            ended.last_tick_ms = std::max(ended.start_ms, event.last_tick_ms);
            ended.ended = event.event;
            ended.ok = event.ok;
            ended.done_ms = event.done_ms;
            open.erase(id);
        }
    }
    return result;
}

std::vector<execution> executions_for(const std::vector<execution>& executions,
                                      const std::string& key)
{
    std::vector<execution> result;
    std::copy_if(executions.begin(), executions.end(),
                 std::back_inserter(result),
                 [&](const execution& it) { return it.key == key; });
    return result;
}

} // namespace egretspindle::test
