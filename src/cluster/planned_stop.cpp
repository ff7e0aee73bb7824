#include "egretspindle/cluster/planned_stop.hpp"

#include <algorithm>

namespace egretspindle
{

milliseconds time_to_hand_over(const stop_limits& limits)
{
    return limits.grace - std::min(limits.margin, limits.grace / 4);
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
