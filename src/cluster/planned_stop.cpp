#include "egretspindle/cluster/planned_stop.hpp"

#include <algorithm>

namespace egretspindle
{

milliseconds time_to_hand_over(const stop_limits& limits)
{
    return limits.grace - std::min(limits.margin, limits.grace / 4);
}

bool may_end(const stop_progress& progress, const stop_limits& limits)
{
    if (progress.elapsed >= time_to_hand_over(limits))
    {
        return true;
    }
    return progress.elapsed >= limits.shortest_service &&
           progress.is_announced && progress.owned == 0 &&
           progress.undelivered == 0 && progress.calls == 0;
}

} // namespace egretspindle
