#include "egretspindle/admission/batch_queue.hpp"

#include "egretspindle/core/error.hpp"

#include <algorithm>
#include <vector>

namespace egretspindle
{

namespace
{

// Additional age per priority level. With ten levels, newer items can go before
// one of the lowest level for at most ten minutes.
constexpr std::int64_t priority_bonus_ms = 60000;
// Number of due items that are examined per team and call.
constexpr int backfill_depth = 32;
// Once an item that does not fit has waited for this long, only items expected
// to end within `backfill_run_ms` may go before it.
constexpr milliseconds restrict_backfill_after{60000};
constexpr double backfill_run_ms = 10000;

batch_queue::order_key order_of(const batch_item& item, std::uint64_t sequence)
{
    const std::int64_t enqueued = std::chrono::duration_cast<milliseconds>(
                                      item.enqueued.time_since_epoch())
                                      .count();
    return {enqueued - item.priority * priority_bonus_ms, sequence};
}

bool fits_some_rack(const batch_item& item,
                    absl::Span<const rack_summary> racks)
{
    return std::any_of(racks.begin(), racks.end(),
                       [&item](const rack_summary& rack)
                       {
                           return rack.free_slots > 0 &&
                                  fits(item.size,
                                       {rack.free_cores, rack.free_memory_mb,
                                        rack.free_accelerators});
                       });
}

double weighted_use(const policy_limits& limits, const team_use_map& use,
                    const std::string& team)
{
    const team_limits& own = limits_of(limits, team);
    const auto it = use.find(team);
    const double tasks = it == use.end() ? 0 : it->second.tasks;
    const double cores = it == use.end() ? 0 : it->second.cpu_cores;
    // The larger of the uses of slots and processors counts. One slot equals
    // four cores, the ratio of the smaller targets.
    return std::max(tasks, cores / 4) / std::max(own.weight, 1e-6);
}

/// Returns the first item of a team that is due and may be started.
std::map<batch_queue::order_key, batch_item>::iterator
find_startable(std::map<batch_queue::order_key, batch_item>& items,
               absl::Span<const rack_summary> racks, time_point now)
{
    int examined = 0;
    bool is_restricted = false;
    for (auto it = items.begin();
         it != items.end() && examined < backfill_depth; ++it)
    {
        const batch_item& item = it->second;
        if (item.not_before > now)
        {
            continue;
        }
        ++examined;
        const bool allowed =
            !is_restricted ||
            (item.expected_ms > 0 && item.expected_ms <= backfill_run_ms);
        if (allowed && fits_some_rack(item, racks))
        {
            return it;
        }
        is_restricted =
            is_restricted || now - item.enqueued > restrict_backfill_after;
    }
    return items.end();
}

} // namespace

std::size_t queue_size(const batch_queue& queue) noexcept
{
    return queue.index.size();
}

absl::Status check_queue_capacity(const batch_queue& queue,
                                  const policy_limits& limits,
                                  const std::string& team)
{
    const auto it = queue.teams.find(team);
    const std::size_t own = it == queue.teams.end() ? 0 : it->second.size();
    const int bound = limits_of(limits, team).max_queue;
    if (own >= static_cast<std::size_t>(std::max(bound, 0)))
    {
        return make_error(error_kind::overloaded, "the batch queue of team " +
                                                      team +
                                                      " is full; retry later");
    }
    if (queue.index.size() >= queue.max_items)
    {
        return make_error(error_kind::overloaded,
                          "the batch queue is full; retry later");
    }
    return absl::OkStatus();
}

void push(batch_queue& queue, batch_item item)
{
    if (queue.index.count(item.key) > 0)
    {
        return;
    }
    const batch_queue::order_key order = order_of(item, queue.next_sequence++);
    queue.index.emplace(item.key, std::make_pair(item.team, order));
    std::map<batch_queue::order_key, batch_item>& items =
        queue.teams[item.team];
    items.emplace(order, std::move(item));
}

bool cancel(batch_queue& queue, const std::string& key)
{
    const auto it = queue.index.find(key);
    if (it == queue.index.end())
    {
        return false;
    }
    const auto team = queue.teams.find(it->second.first);
    team->second.erase(it->second.second);
    if (team->second.empty())
    {
        queue.teams.erase(team);
    }
    queue.index.erase(it);
    return true;
}

std::optional<batch_item> next_batch(batch_queue& queue,
                                     const policy_limits& limits,
                                     const team_use_map& use,
                                     absl::Span<const rack_summary> racks,
                                     time_point now)
{
    std::vector<std::pair<double, std::string>> order;
    for (const auto& [team, items] : queue.teams)
    {
        order.emplace_back(weighted_use(limits, use, team), team);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [relative, team] : order)
    {
        std::map<batch_queue::order_key, batch_item>& items = queue.teams[team];
        const auto it = find_startable(items, racks, now);
        if (it != items.end())
        {
            batch_item item = it->second;
            cancel(queue, item.key);
            return item;
        }
    }
    return std::nullopt;
}

void defer(batch_queue& queue, batch_item item, time_point now,
           milliseconds delay)
{
    item.not_before = now + delay;
    push(queue, std::move(item));
}

} // namespace egretspindle
