#include "egretspindle/rack/end_list_summary.hpp"

#include <algorithm>

namespace egretspindle
{

void add_end_lists(end_list_summary& summary, const rack_state& rack,
                   time_point now)
{
    for (const auto& [id, target] : rack.targets)
    {
        if (target.listed_ends == 0)
        {
            continue;
        }
        summary.longest = std::max(summary.longest, target.listed_ends);
        summary.full += has_room_for_end(target) ? 0 : 1;
        const milliseconds waited = std::chrono::duration_cast<milliseconds>(
            now - target.oldest_end_since);
        if (summary.oldest.target.empty() || waited > summary.oldest.waited)
        {
            summary.oldest = {rack.name, id, target.listed_ends, waited,
                              find_ack_blocker(target, now)};
        }
    }
}

} // namespace egretspindle
