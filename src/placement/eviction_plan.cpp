#include "eviction_plan.hpp"

#include "egretspindle/placement/capacity.hpp"

#include <algorithm>

namespace egretspindle::detail
{

namespace
{

// Cost of one eviction besides the work lost: stop, checkpoint and restart.
constexpr double fixed_cost_ms = 2000;
// A task of a team above its share is the cheaper victim.
constexpr double over_share_factor = 0.3;
// Batch is not evicted for other batch before it has run this long, so that
// two teams do not evict each other in turn.
constexpr milliseconds min_batch_run{10000};

double victim_cost(const rack_share& share, const policy_limits& limits,
                   const task_load& task, time_point now)
{
    const double run =
        std::chrono::duration<double, std::milli>(now - task.started).count();
    // Work since the last checkpoint is lost; its age is not known, so part
    // of the run time counts.
    double cost = fixed_cost_ms + 0.1 * std::max(0.0, run);
    const auto it = share.teams.find(task.team);
    if (it != share.teams.end() && dominant_share(it->second, share.total) >
                                       entitlement(share, limits, task.team))
    {
        cost *= over_share_factor;
    }
    return cost;
}

std::vector<const task_load*> victims_of(const target_load& target,
                                         const rack_share& share,
                                         const task_request& request,
                                         const policy_limits& limits,
                                         time_point now)
{
    std::vector<std::pair<double, const task_load*>> order;
    for (const task_load& task : target.tasks)
    {
        const bool settled =
            request.urgent || now - task.started >= min_batch_run;
        if (settled && may_reclaim(share, limits, request, task, {}))
        {
            order.emplace_back(victim_cost(share, limits, task, now), &task);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<const task_load*> victims;
    victims.reserve(order.size());
    for (const auto& [cost, task] : order)
    {
        victims.push_back(task);
    }
    return victims;
}

eviction_plan plan_on(const target_load& target, const rack_share& share,
                      const task_request& request, const policy_model& model,
                      const policy_limits& limits, time_point now)
{
    eviction_plan plan;
    const resources need = reservation_for(model, request, target.capacity);
    resources free = free_capacity(model, target);
    int slots = free_slots(target);
    held_share evicted;
    for (const task_load* task :
         victims_of(target, share, request, limits, now))
    {
        if (!may_reclaim(share, limits, request, *task, evicted))
        {
            continue;
        }
        free = free + committed(model, *task);
        ++slots;
        ++evicted.slots;
        evicted.amount = evicted.amount + task->reserve;
        plan.cost_ms += victim_cost(share, limits, *task, now);
        plan.evictions.push_back({target.name, task->key, task->attempt,
                                  request.urgent ? eviction_cause::urgent_room
                                                 : eviction_cause::quota});
        if (slots > 0 && fits(need, free))
        {
            return plan;
        }
    }
    plan.evictions.clear();
    return plan;
}

} // namespace

eviction_plan plan_evictions(const rack_load& rack, const task_request& request,
                             const policy_model& model,
                             const policy_limits& limits,
                             const rack_share& share, time_point now)
{
    eviction_plan best;
    const auto own = share.teams.find(request.team);
    if (!request.urgent && own != share.teams.end() &&
        dominant_share(own->second, share.total) >=
            entitlement(share, limits, request.team))
    {
        return best;
    }
    for (std::size_t n = 0; n < rack.targets.size(); ++n)
    {
        const target_load& target = rack.targets[n];
        const bool excluded =
            std::find(request.excluded.begin(), request.excluded.end(),
                      target.name) != request.excluded.end();
        if (excluded || !takes_work(target, request.urgent) ||
            target.health_state != target_health_state::healthy)
        {
            continue;
        }
        eviction_plan plan =
            plan_on(target, share, request, model, limits, now);
        if (!plan.evictions.empty() &&
            (best.evictions.empty() || plan.cost_ms < best.cost_ms))
        {
            plan.target = n;
            best = std::move(plan);
        }
    }
    return best;
}

} // namespace egretspindle::detail
