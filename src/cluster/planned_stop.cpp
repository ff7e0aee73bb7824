#include "egretspindle/cluster/planned_stop.hpp"

#include <algorithm>

namespace egretspindle
{

milliseconds time_to_hand_over(const stop_limits& limits)
{
    return limits.grace - std::min(limits.margin, limits.grace / 4);
}

milliseconds longest_call(const stop_limits& limits)
{
    return std::max(limits.shortest_call,
                    time_to_hand_over(limits) - limits.shortest_call);
}

std::optional<milliseconds> time_for_call(milliseconds elapsed,
                                          const stop_limits& limits)
{
    const milliseconds left = time_to_hand_over(limits) - elapsed;
    if (left < limits.shortest_call)
    {
        return std::nullopt;
    }
    return std::min(left, longest_call(limits));
}

bool must_release(const stop_progress& progress, const stop_limits& limits)
{
    const milliseconds end = time_to_hand_over(limits);
    return !progress.is_released &&
           (progress.owned > 0 || progress.undelivered > 0) &&
           progress.elapsed >= end - std::min(limits.release_time, end / 4);
}

bool may_end(const stop_progress& progress, const stop_limits& limits)
{
    if (progress.elapsed >= time_to_hand_over(limits))
    {
        return true;
    }
    const bool is_handed_over = progress.is_announced && progress.owned == 0 &&
                                progress.undelivered == 0;
    return progress.elapsed >= limits.shortest_service &&
           (is_handed_over || progress.is_released) && progress.calls == 0;
}

} // namespace egretspindle
