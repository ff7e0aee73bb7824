#include "egretspindle/placement/rack_share.hpp"

#include "egretspindle/placement/capacity.hpp"

#include "model_access.hpp"
#include "target_score.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

// A share without demand for this long is lent. Reclaiming it takes one
// eviction, about 0.2 s (`eviction_ms` of the target choice).
constexpr milliseconds demand_window{30000};
// Half-life of the peak of concurrent urgent tasks.
constexpr double peak_half_life_s = 60;
// Fraction of the rack that teams above their entitlement have to leave free,
// so that the first request of another team starts without an eviction.
constexpr double lend_margin = 0.1;
// A team whose use is below the first of these multiples of its entitlement may
// evict batch tasks of teams whose use is above the second. With both at 1, a
// full rack had 110 such evictions per minute.
constexpr double reclaim_below = 0.7;
constexpr double reclaim_above = 1.25;
// Predicted slowdown of urgent tasks up to which interference counts as low.
constexpr double low_interference_slowdown = 0.4;

bool is_recent(time_point last, time_point now)
{
    return last != time_point{} && now - last < demand_window;
}

double decayed_peak(const rack_load& rack, time_point now)
{
    const double elapsed =
        std::chrono::duration<double>(now - rack.urgent_peak_updated).count();
    return rack.urgent_peak *
           std::exp2(-std::max(0.0, elapsed) / peak_half_life_s);
}

int urgent_tasks(const rack_load& rack)
{
    int n = 0;
    for (const target_load& target : rack.targets)
    {
        n += static_cast<int>(
            std::count_if(target.tasks.begin(), target.tasks.end(),
                          [](const task_load& task) { return task.urgent; }));
    }
    return n;
}

void add(resource_use& use, const resources& amount)
{
    ++use.slots;
    use.amount = use.amount + amount;
}

void count_targets(rack_share& share, const rack_load& rack,
                   const policy_model& model)
{
    for (const target_load& target : rack.targets)
    {
        const bool usable = accepts_work(target, false);
        if (usable || !target.tasks.empty())
        {
            share.total.slots += target.slots;
            share.total.amount = share.total.amount + target.capacity;
        }
        for (const task_load& task : target.tasks)
        {
            const resources amount = committed(model, task);
            add(task.urgent ? share.urgent : share.batch, amount);
            add(share.teams[task.team], amount);
        }
    }
}

/// Counts the free places for urgent tasks of mean size, and how many of them
/// batch tasks must leave free.
void count_places(rack_share& share, const rack_load& rack,
                  const policy_model& model, const policy_limits& limits,
                  time_point now)
{
    resources& mean = share.urgent_size;
    if (share.urgent.slots > 0)
    {
        mean.cpu_cores = share.urgent.amount.cpu_cores / share.urgent.slots;
        mean.memory_mb = share.urgent.amount.memory_mb / share.urgent.slots;
    }
    const detail::score_input score =
        detail::make_score_input(model, task_request{}, 0);
    for (const target_load& target : rack.targets)
    {
        share.tasks.push_back(detail::take_snapshot(model, target, now));
        share.urgent_slowdown.push_back(
            detail::urgent_slowdown(score, model, share.tasks.back(), now));
        if (!accepts_work(target, true))
        {
            continue;
        }
        const int places =
            place_count(free_slots(target), free_capacity(model, target), mean);
        share.urgent_places += places;
        share.low_interference_places +=
            share.urgent_slowdown.back() <= low_interference_slowdown ? places
                                                                      : 0;
    }
    if (!share.urgent_demand)
    {
        return;
    }
    const double floor = limits.urgent_floor * share.total.slots;
    // Limits the floor to 1.5 times the recent peak, which covers the bursts of
    // a Poisson process beyond its recent maximum.
    const double wanted = std::ceil(1.5 * decayed_peak(rack, now)) + 1;
    // Even if urgent work exceeds its floor, two standard deviations are kept
    // as a reserve. Without it, every start would need an eviction.
    const double reserve =
        2 * std::sqrt(static_cast<double>(share.urgent.slots));
    const double reserved =
        std::max(std::min(floor, wanted) - share.urgent.slots, reserve);
    share.reserved_places = static_cast<int>(std::ceil(reserved));
}

double share_after(const resource_use& use, const resources& reservation,
                   const resource_use& total)
{
    resource_use after = use;
    add(after, reservation);
    return dominant_share(after, total);
}

const resource_use& use_of_team(const rack_share& share,
                                const std::string& team)
{
    static const resource_use none;
    const auto it = share.teams.find(team);
    return it == share.teams.end() ? none : it->second;
}

/// Returns whether no other team has tasks or had demand within
/// `demand_window`.
bool is_only_active_team(const rack_share& share, const std::string& team)
{
    return share.active_teams == 0 ||
           (share.active_teams == 1 && share.teams.count(team) == 1);
}

/// Returns whether a team uses more than its entitlement.
bool exceeds_entitlement(const rack_share& share, const policy_limits& limits,
                         const std::string& team)
{
    return !is_only_active_team(share, team) &&
           dominant_share(use_of_team(share, team), share.total) >
               entitlement(share, limits, team);
}

} // namespace

void observe_request(rack_load& rack, const std::string& team, bool urgent,
                     time_point now)
{
    rack.last_team_request[team] = now;
    if (!urgent)
    {
        rack.last_batch_request = now;
        return;
    }
    rack.last_urgent_request = now;
    rack.urgent_peak = std::max(decayed_peak(rack, now),
                                static_cast<double>(urgent_tasks(rack) + 1));
    rack.urgent_peak_updated = now;
}

rack_share compute_share(const rack_load& rack, const policy_model& model,
                         const policy_limits& limits, time_point now)
{
    rack_share share;
    share.urgent_demand = is_recent(rack.last_urgent_request, now);
    share.batch_demand = is_recent(rack.last_batch_request, now);
    for (const auto& [team, last] : rack.last_team_request)
    {
        if (is_recent(last, now))
        {
            share.teams[team];
        }
    }
    share.batch_floor = limits.batch_floor;
    count_targets(share, rack, model);
    for (const auto& [team, use] : share.teams)
    {
        share.active_weight += limits_of(limits, team).weight;
        ++share.active_teams;
    }
    count_places(share, rack, model, limits, now);
    return share;
}

int place_count(int slots, const resources& free,
                const resources& size) noexcept
{
    double n = slots;
    if (size.cpu_cores > 0)
    {
        n = std::min(n, free.cpu_cores / size.cpu_cores);
    }
    if (size.memory_mb > 0)
    {
        n = std::min(n, free.memory_mb / size.memory_mb);
    }
    // Allows for the rounding errors of summed reservations.
    return static_cast<int>(n + 1e-6);
}

double dominant_share(const resource_use& use,
                      const resource_use& total) noexcept
{
    double share =
        total.slots > 0 ? static_cast<double>(use.slots) / total.slots : 0;
    if (total.amount.cpu_cores > 0)
    {
        share = std::max(share, use.amount.cpu_cores / total.amount.cpu_cores);
    }
    if (total.amount.memory_mb > 0)
    {
        share = std::max(share, use.amount.memory_mb / total.amount.memory_mb);
    }
    return share;
}

double entitlement(const rack_share& share, const policy_limits& limits,
                   const std::string& team)
{
    const team_limits& own = limits_of(limits, team);
    double weight = share.active_weight;
    if (share.teams.count(team) == 0)
    {
        weight += own.weight;
    }
    const double by_weight = weight > 0 ? own.weight / weight : 1;
    const double granted = own.quota > 0 ? own.quota : by_weight;
    // A small quota still allows one task at a time.
    const double one_slot = share.total.slots > 0 ? 1.0 / share.total.slots : 0;
    return std::max(granted, one_slot);
}

std::string admission_block_reason(const rack_share& share,
                                   const policy_limits& limits,
                                   const task_request& request,
                                   const resources& reservation)
{
    if (request.urgent && share.batch_demand &&
        share_after(share.urgent, reservation, share.total) >
            1 - limits.batch_floor + 1e-9)
    {
        return "batch floor";
    }
    if (is_only_active_team(share, request.team) ||
        share_after(use_of_team(share, request.team), reservation,
                    share.total) <=
            entitlement(share, limits, request.team) + 1e-9)
    {
        return {};
    }
    // A team above its entitlement has to leave a margin to the others: of the
    // capacity without the batch floor for urgent work, else of the whole rack.
    resource_use used = share.urgent;
    double bound = share.batch_demand ? 1 - limits.batch_floor : 1;
    if (!request.urgent)
    {
        used.slots += share.batch.slots;
        used.amount = used.amount + share.batch.amount;
        bound = 1;
    }
    if (share_after(used, reservation, share.total) > bound - lend_margin)
    {
        return "quota of the team";
    }
    return {};
}

bool leaves_reserved_places(const rack_share& share, const rack_load& rack,
                            std::size_t target, const resources& free,
                            const resources& reservation)
{
    const target_load& load = rack.targets[target];
    // Within its floor, batch does not have to leave places for urgent work.
    if (share.reserved_places <= 0 || !accepts_work(load, true) ||
        share_after(share.batch, reservation, share.total) <=
            share.batch_floor + 1e-9)
    {
        return true;
    }
    const int slots = free_slots(load);
    const int used_places =
        place_count(slots, free, share.urgent_size) -
        place_count(slots - 1, free - reservation, share.urgent_size);
    if (share.urgent_slowdown[target] <= low_interference_slowdown)
    {
        return share.low_interference_places - used_places >=
               share.reserved_places;
    }
    return share.low_interference_places >= share.reserved_places ||
           share.urgent_places - used_places >= share.reserved_places;
}

bool may_reclaim(const rack_share& share, const policy_limits& limits,
                 const task_request& request, const task_load& victim,
                 const resource_use& evicted)
{
    if (victim.urgent || !victim.checkpointable || victim.stopping)
    {
        return false;
    }
    if (request.urgent && exceeds_entitlement(share, limits, request.team) &&
        !exceeds_entitlement(share, limits, victim.team))
    {
        return false;
    }
    if (request.urgent)
    {
        // Running batch tasks keep their floor, even without demand for more.
        resource_use batch = share.batch;
        batch.slots -= evicted.slots + 1;
        batch.amount = batch.amount - evicted.amount - victim.reserve;
        return dominant_share(batch, share.total) >= limits.batch_floor;
    }
    const double own =
        dominant_share(use_of_team(share, request.team), share.total);
    if (victim.team == request.team ||
        own >= reclaim_below * entitlement(share, limits, request.team))
    {
        return false;
    }
    // The other team must remain above its entitlement, by `reclaim_above`, or
    // the two would evict each other's tasks in turn.
    resource_use other = use_of_team(share, victim.team);
    other.slots -= evicted.slots + 1;
    other.amount = other.amount - evicted.amount - victim.reserve;
    return dominant_share(other, share.total) >=
           reclaim_above * entitlement(share, limits, victim.team);
}

} // namespace egretspindle
