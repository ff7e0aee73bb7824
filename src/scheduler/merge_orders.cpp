#include "egretspindle/scheduler/merge_orders.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace egretspindle
{

namespace
{

bool can_merge(const rack_orders& lhs, const rack_orders& rhs)
{
    return lhs.rack == rhs.rack && lhs.token == rhs.token &&
           lhs.starts.size() + rhs.starts.size() <= max_merged_steps;
}

void append(rack_orders& orders, rack_orders added)
{
    for (start_batch& batch : added.starts)
    {
        if (orders.starts.empty() ||
            orders.starts.back().terms.step != batch.terms.step ||
            orders.starts.back().terms.gang_size != batch.terms.gang_size)
        {
            orders.starts.push_back(std::move(batch));
            continue;
        }
        std::vector<step_run>& runs = orders.starts.back().runs;
        std::move(batch.runs.begin(), batch.runs.end(),
                  std::back_inserter(runs));
    }
    std::move(added.stops.begin(), added.stops.end(),
              std::back_inserter(orders.stops));
    std::move(added.overdue.begin(), added.overdue.end(),
              std::back_inserter(orders.overdue));
    orders.collected_at.insert(orders.collected_at.end(),
                               added.collected_at.begin(),
                               added.collected_at.end());
}

} // namespace

std::vector<rack_orders> merge_orders(std::vector<rack_orders> orders)
{
    std::vector<rack_orders> merged;
    for (rack_orders& item : orders)
    {
        // A later message for the rack may be the one that has room.
        const auto it = std::find_if(merged.rbegin(), merged.rend(),
                                     [&item](const rack_orders& other)
                                     { return can_merge(other, item); });
        if (it == merged.rend())
        {
            merged.push_back(std::move(item));
        }
        else
        {
            append(*it, std::move(item));
        }
    }
    return merged;
}

} // namespace egretspindle
