#include "egretspindle/rack/room_summary.hpp"

#include "target_check.hpp"

#include <algorithm>

namespace egretspindle
{

void add_room(room_summary& sum, const rack_state& rack, time_point now)
{
    for (const auto& [id, target] : rack.targets)
    {
        if (accepts_starts(target, now))
        {
            const std::int64_t free =
                std::max<std::int64_t>(0, free_capacity(target).cpu_milli);
            sum.total_milli += target.entry.capacity.cpu_milli;
            sum.free_milli += free;
            sum.largest_free_milli = std::max(sum.largest_free_milli, free);
        }
    }
}

} // namespace egretspindle
