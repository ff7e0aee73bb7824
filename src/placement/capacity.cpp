#include "egretspindle/placement/capacity.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Declared sizes are off by factors of 0.1 to 10, so a kind without
// measurements may need ten times its declared size.
constexpr double unmeasured_factor = 10;
// The reservation of an unmeasured kind exceeds its declared size only up to
// this fraction of a target; otherwise it could start only on an empty one.
constexpr double max_unmeasured_share = 0.5;
// Margins over the observed peak. Memory beyond the reservation can be regained
// only by an eviction, so its margin is larger.
constexpr double cpu_margin = 1.1;
constexpr double memory_margin = 1.2;
// Number of finished tasks, and of usage reports, from which the peak of a kind
// counts as known.
constexpr std::int64_t min_known_ends = 5;

double reserve_measured(double declared, double need, std::int64_t ends)
{
    // With more results, a declared size above the peak has less influence.
    const double headroom = 1 + 2.0 / static_cast<double>(ends);
    return std::clamp(declared, need, need * headroom);
}

/// Returns the factor applied to the declared size of a kind without enough
/// measurements.
double uncertainty_factor(const kind_estimate* estimate)
{
    // Short tasks end before a usage report includes them. Each success is weak
    // evidence that the declared size is sufficient.
    const double ends =
        estimate == nullptr ? 0 : static_cast<double>(estimate->ends);
    return std::max(1.0, unmeasured_factor / (1 + ends / 5));
}

double reserve_unmeasured(double declared, double need, double capacity,
                          double factor)
{
    const double wanted = std::max(declared * factor, need);
    const double bound =
        std::max({declared, need, capacity * max_unmeasured_share});
    return std::min(wanted, bound);
}

} // namespace

resources reservation_for(const policy_model& model,
                          const task_request& request,
                          const resources& capacity)
{
    const kind_estimate* estimate = find_estimate(model, request.kind);
    const double cpu = std::max(request.size.cpu_cores, 0.05);
    const double memory = std::max(request.size.memory_mb, 16.0);
    resources reserve;
    reserve.accelerators = request.size.accelerators;
    const double cpu_need =
        estimate == nullptr ? 0 : estimate->peak.cpu_cores * cpu_margin;
    const double memory_need =
        estimate == nullptr ? 0 : estimate->peak.memory_mb * memory_margin;
    if (estimate != nullptr && estimate->ends >= min_known_ends &&
        estimate->reports >= min_known_ends)
    {
        reserve.cpu_cores = reserve_measured(cpu, cpu_need, estimate->ends);
        reserve.memory_mb =
            reserve_measured(memory, memory_need, estimate->ends);
    }
    else
    {
        const double factor = uncertainty_factor(estimate);
        reserve.cpu_cores =
            reserve_unmeasured(cpu, cpu_need, capacity.cpu_cores, factor);
        reserve.memory_mb =
            reserve_unmeasured(memory, memory_need, capacity.memory_mb, factor);
    }
    // The peak with its margin may exceed a target that the declared size fits.
    if (cpu <= capacity.cpu_cores)
    {
        reserve.cpu_cores = std::min(reserve.cpu_cores, capacity.cpu_cores);
    }
    if (memory <= capacity.memory_mb)
    {
        reserve.memory_mb = std::min(reserve.memory_mb, capacity.memory_mb);
    }
    return reserve;
}

resources committed(const policy_model& model, const task_load& task)
{
    resources amount = task.reserve;
    const kind_estimate* estimate = find_estimate(model, task.kind);
    if (estimate != nullptr)
    {
        // The task may still grow to a peak that other tasks of its kind have
        // reached since it was placed.
        amount.cpu_cores = std::max(amount.cpu_cores, estimate->peak.cpu_cores);
        amount.memory_mb = std::max(amount.memory_mb, estimate->peak.memory_mb);
    }
    amount.cpu_cores *= std::clamp(task.share, 0.0, 1.0);
    if (task.measured)
    {
        amount.cpu_cores = std::max(amount.cpu_cores, task.used.cpu_cores);
        amount.memory_mb = std::max(amount.memory_mb, task.used.memory_mb);
    }
    return amount;
}

resources committed(const policy_model& model, const target_load& target)
{
    resources sum;
    for (const task_load& task : target.tasks)
    {
        sum = sum + committed(model, task);
    }
    return sum;
}

resources free_capacity(const policy_model& model, const target_load& target)
{
    const resources left = target.capacity - committed(model, target);
    return {std::max(0.0, left.cpu_cores), std::max(0.0, left.memory_mb),
            std::max(0, left.accelerators)};
}

int free_slots(const target_load& target)
{
    const int tasks = static_cast<int>(target.tasks.size());
    const int connections =
        target.connections - target.other_connections - tasks;
    return std::max(0, std::min(target.slots - tasks, connections));
}

bool accepts_work(const target_load& target, bool urgent)
{
    if (target.leaving || !target.reachable)
    {
        return false;
    }
    switch (target.health_state)
    {
    case target_health_state::healthy:
        return true;
    case target_health_state::quarantined:
        return false;
    case target_health_state::probing:
        return !urgent && target.tasks.empty();
    case target_health_state::returning:
        return static_cast<int>(target.tasks.size()) * 2 < target.slots;
    }
    return false;
}

} // namespace egretspindle
