#include "egretspindle/rack/rack_handover.hpp"

#include <algorithm>

namespace egretspindle
{

rack_handover make_handover(const rack_state& rack, time_point now)
{
    rack_handover handover;
    handover.rack = rack.name;
    handover.token = rack.token;
    for (const auto& [id, target] : rack.targets)
    {
        const time_point end = target.is_reached
                                   ? target.expires_at
                                   : former_leases_end(rack, target);
        handover.targets.push_back(
            {id, std::max<std::int64_t>(0, elapsed_ms(now, end))});
    }
    return handover;
}

rack_handover age_handover(rack_handover handover, milliseconds elapsed)
{
    for (handed_over_target& item : handover.targets)
    {
        item.remaining_ms =
            std::max<std::int64_t>(0, item.remaining_ms - elapsed.count());
    }
    return handover;
}

void apply_handover(rack_state& rack, const rack_handover& handover,
                    const lease_limits& limits, time_point now)
{
    if (rack.former_token == 0 || handover.token != rack.former_token)
    {
        return;
    }
    for (const handed_over_target& item : handover.targets)
    {
        const auto it = rack.targets.find(item.target);
        if (it != rack.targets.end())
        {
            // Rounding and the transfer make the time later, never earlier.
            const milliseconds left(
                std::max<std::int64_t>(0, item.remaining_ms) + 1);
            set_former_leases_end(it->second, now + left, limits);
        }
    }
}

time_point former_leases_end(const rack_state& rack, const rack_target& target)
{
    return target.former_leases_end.value_or(rack.unknown_until);
}

} // namespace egretspindle
