#include "egretspindle/scheduler/value_window.hpp"

#include <algorithm>

namespace egretspindle
{

void add_value(value_window& window, std::int64_t value, milliseconds period,
               time_point now)
{
    while (!window.empty() && now - window.front().first > period)
    {
        window.pop_front();
    }
    window.emplace_back(now, value);
}

std::int64_t max_value(const value_window& window, milliseconds period,
                       time_point now)
{
    std::int64_t largest = 0;
    for (const auto& [read_at, value] : window)
    {
        if (now - read_at <= period)
        {
            largest = std::max(largest, value);
        }
    }
    return largest;
}

} // namespace egretspindle
