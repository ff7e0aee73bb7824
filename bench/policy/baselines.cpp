#include "baselines.hpp"

#include "egretspindle/placement/capacity.hpp"
#include "egretspindle/placement/rack_share.hpp"

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

double load_of(const policy_model& model, const target_load& target)
{
    const resources used = committed(model, target);
    return std::max({static_cast<double>(target.tasks.size()) / target.slots,
                     used.cpu_cores / target.capacity.cpu_cores,
                     used.memory_mb / target.capacity.memory_mb});
}

/// Returns the reservation according to the strategy.
resources reservation_with(strategy choice, const policy_model& model,
                           const task_request& request,
                           const target_load& target)
{
    if (choice != strategy::declared)
    {
        return reservation_for(model, request, target.capacity);
    }
    return {std::min(request.size.cpu_cores, target.capacity.cpu_cores),
            std::min(request.size.memory_mb, target.capacity.memory_mb), 0};
}

/// Returns the free capacity of a target according to the strategy.
resources free_capacity_with(strategy choice, const policy_model& model,
                             const target_load& target)
{
    if (choice != strategy::declared)
    {
        return free_capacity(model, target);
    }
    resources free = target.capacity;
    for (const task_load& task : target.tasks)
    {
        free = free - task.reserve;
    }
    return free;
}

/// Returns whether enough places for urgent work remain, without regard to
/// interference.
bool leaves_urgent_places(const rack_share& share, const target_load& target,
                          const resources& free, const resources& need)
{
    const int slots = free_slots(target);
    const int used_places =
        place_count(slots, free, share.urgent_size) -
        place_count(slots - 1, free - need, share.urgent_size);
    return share.urgent_places - used_places >= share.reserved_places;
}

} // namespace

placement_decision choose_with(strategy choice, const rack_load& rack,
                               const task_request& request,
                               const policy_model& model,
                               const policy_limits& limits, time_point now,
                               std::mt19937_64& rng)
{
    if (choice == strategy::policy)
    {
        return choose_target(rack, request, model, limits, now, rng);
    }
    const bool applies_limits =
        choice != strategy::no_admission && choice != strategy::declared;
    const rack_share share = compute_share(rack, model, limits, now);
    const target_load* best = nullptr;
    double lowest = 0;
    for (const target_load& target : rack.targets)
    {
        const resources need = reservation_with(choice, model, request, target);
        const resources free = free_capacity_with(choice, model, target);
        const bool excluded =
            std::find(request.excluded.begin(), request.excluded.end(),
                      target.name) != request.excluded.end();
        if (excluded || !accepts_work(target, request.urgent) ||
            free_slots(target) == 0 || !fits(need, free))
        {
            continue;
        }
        if (applies_limits &&
            (!admission_block_reason(share, limits, request, need).empty() ||
             (!request.urgent && share.reserved_places > 0 &&
              !leaves_urgent_places(share, target, free, need))))
        {
            continue;
        }
        const double load = choice == strategy::random
                                ? std::uniform_real_distribution<>(0, 1)(rng)
                                : load_of(model, target);
        if (best == nullptr || load < lowest)
        {
            best = &target;
            lowest = load;
        }
    }
    placement_decision decision;
    decision.kind = placement_kind::wait;
    if (best != nullptr)
    {
        decision.kind = placement_kind::place;
        decision.target = best->name;
        decision.reservation = reservation_with(choice, model, request, *best);
        decision.predicted_run_ms = request.expected_ms;
    }
    else if (applies_limits && choice != strategy::declared)
    {
        // Waiting, rejection and evictions are left to the policy.
        return choose_target(rack, request, model, limits, now, rng);
    }
    return decision;
}

} // namespace egretspindle::bench
