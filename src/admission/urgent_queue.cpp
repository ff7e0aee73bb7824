#include "egretspindle/admission/urgent_queue.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace egretspindle
{

namespace
{

constexpr double served_half_life_s = 5;

double ms_between(time_point from, time_point to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

double remaining_ms(const task_request& request, time_point now)
{
    return request.deadline ? ms_between(now, *request.deadline)
                            : std::numeric_limits<double>::infinity();
}

std::map<std::string, int> count_by_team(const urgent_queue& queue)
{
    std::map<std::string, int> counts;
    for (const urgent_item& item : queue.items)
    {
        ++counts[item.request.team];
    }
    return counts;
}

double served_by(const urgent_queue& queue, const policy_limits& limits,
                 const std::string& team)
{
    const auto it = queue.served.find(team);
    const double served = it == queue.served.end() ? 0 : it->second;
    return served / std::max(limits_of(limits, team).weight, 1e-6);
}

void add_served(urgent_queue& queue, const std::string& team, time_point now)
{
    const double elapsed =
        std::chrono::duration<double>(now - queue.served_updated).count();
    if (elapsed > 0.1)
    {
        const double factor = std::exp2(-elapsed / served_half_life_s);
        for (auto it = queue.served.begin(); it != queue.served.end();)
        {
            it->second *= factor;
            it = it->second < 0.01 ? queue.served.erase(it) : std::next(it);
        }
        queue.served_updated = now;
    }
    queue.served[team] += 1;
}

void update_rate(urgent_queue& queue, time_point now)
{
    if (queue.last_start != time_point{})
    {
        const double gap_s =
            std::max(1e-4, ms_between(queue.last_start, now) / 1000);
        // Weights the gap by its length, so that bursts do not dominate.
        const double step = 1 - std::exp(-gap_s / 1.0);
        queue.starts_per_s += step * (1 / gap_s - queue.starts_per_s);
    }
    queue.last_start = now;
}

/// Returns how many waiting items are started before a new one of the team.
double ahead_of(const std::map<std::string, int>& counts,
                const policy_limits& limits, const std::string& team)
{
    // With weighted fair order, each other team starts at most as many per
    // weight before the new item as its own team has.
    const auto it = counts.find(team);
    const double own = (it == counts.end() ? 0 : it->second) + 1;
    const double weight = std::max(limits_of(limits, team).weight, 1e-6);
    double sum = 0;
    for (const auto& [other, count] : counts)
    {
        const double bound =
            other == team ? own - 1
                          : own * limits_of(limits, other).weight / weight;
        sum += std::min(static_cast<double>(count), bound);
    }
    return sum;
}

/// Returns the newest item of the team with the most items per weight.
std::uint64_t displaceable(const urgent_queue& queue,
                           const policy_limits& limits,
                           const std::map<std::string, int>& counts,
                           const std::string& team)
{
    const auto per_weight = [&](const std::string& name, int count)
    {
        return count / std::max(limits_of(limits, name).weight, 1e-6);
    };
    const auto own = counts.find(team);
    const double own_load =
        per_weight(team, (own == counts.end() ? 0 : own->second) + 1);
    std::string largest;
    double most = own_load;
    for (const auto& [name, count] : counts)
    {
        if (per_weight(name, count) > most)
        {
            most = per_weight(name, count);
            largest = name;
        }
    }
    for (auto it = queue.items.rbegin();
         !largest.empty() && it != queue.items.rend(); ++it)
    {
        if (it->request.team == largest)
        {
            return it->id;
        }
    }
    return 0;
}

urgent_admission rejected(std::string reason, double wait_ms)
{
    urgent_admission result;
    result.predicted_wait_ms = wait_ms;
    result.reason = std::move(reason);
    result.retry_after_ms = std::max<std::int64_t>(
        100, static_cast<std::int64_t>(std::min(wait_ms, 30000.0)));
    return result;
}

} // namespace

urgent_admission admit(urgent_queue& queue, const policy_limits& limits,
                       const task_request& request, double run_ms,
                       double wait_ms, time_point now)
{
    const std::map<std::string, int> counts = count_by_team(queue);
    const double ahead = ahead_of(counts, limits, request.team);
    double wait = std::min(wait_ms, 60000.0);
    if (queue.starts_per_s > 0)
    {
        wait = std::max(std::min(wait, 1000.0),
                        (ahead + 1) * 1000 / queue.starts_per_s);
    }
    if (wait + run_ms > remaining_ms(request, now))
    {
        return rejected("the deadline cannot be met", wait);
    }
    urgent_admission result;
    if (queue.items.size() >= queue.max_items)
    {
        result.displaced = displaceable(queue, limits, counts, request.team);
        if (result.displaced == 0)
        {
            return rejected("the urgent queue is full", wait);
        }
        const std::uint64_t id = result.displaced;
        queue.items.erase(std::find_if(queue.items.begin(), queue.items.end(),
                                       [id](const urgent_item& item)
                                       { return item.id == id; }));
    }
    result.admitted = true;
    result.predicted_wait_ms = wait;
    result.id = queue.next_id++;
    queue.items.push_back({request, run_ms, now, result.id});
    return result;
}

std::optional<std::uint64_t> next_urgent(const urgent_queue& queue,
                                         const policy_limits& limits,
                                         const std::vector<std::uint64_t>& skip,
                                         time_point now)
{
    const urgent_item* best = nullptr;
    double best_served = 0;
    for (const urgent_item& item : queue.items)
    {
        if (std::find(skip.begin(), skip.end(), item.id) != skip.end())
        {
            continue;
        }
        const double served = served_by(queue, limits, item.request.team);
        const bool earlier =
            best != nullptr && served == best_served &&
            remaining_ms(item.request, now) - item.run_ms <
                remaining_ms(best->request, now) - best->run_ms;
        if (best == nullptr || served < best_served || earlier)
        {
            best = &item;
            best_served = served;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return best->id;
}

const urgent_item* find_urgent(const urgent_queue& queue, std::uint64_t id)
{
    const auto it =
        std::find_if(queue.items.begin(), queue.items.end(),
                     [id](const urgent_item& item) { return item.id == id; });
    return it == queue.items.end() ? nullptr : &*it;
}

bool remove(urgent_queue& queue, std::uint64_t id, bool started, time_point now)
{
    const auto it =
        std::find_if(queue.items.begin(), queue.items.end(),
                     [id](const urgent_item& item) { return item.id == id; });
    if (it == queue.items.end())
    {
        return false;
    }
    if (started)
    {
        add_served(queue, it->request.team, now);
        update_rate(queue, now);
    }
    queue.items.erase(it);
    return true;
}

void observe_start(urgent_queue& queue, const std::string& team, time_point now)
{
    add_served(queue, team, now);
}

std::vector<std::uint64_t> expire(urgent_queue& queue, time_point now)
{
    std::vector<std::uint64_t> expired;
    for (const urgent_item& item : queue.items)
    {
        if (remaining_ms(item.request, now) < item.run_ms)
        {
            expired.push_back(item.id);
        }
    }
    queue.items.erase(std::remove_if(queue.items.begin(), queue.items.end(),
                                     [now](const urgent_item& item) {
                                         return remaining_ms(item.request,
                                                             now) < item.run_ms;
                                     }),
                      queue.items.end());
    return expired;
}

} // namespace egretspindle
