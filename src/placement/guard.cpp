#include "egretspindle/placement/guard.hpp"

#include "egretspindle/placement/capacity.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Fractions of the processors above which batch tasks are throttled, and below
// which throttling ends. Reports are up to 3 s old, so throttling begins before
// the target is full.
constexpr double throttle_above = 0.9;
constexpr double end_throttling_below = 0.7;
// Fraction of its CPU reservation to which a throttled batch task is limited.
constexpr double throttled_share = 0.5;
// Fraction of the memory above which batch tasks are evicted, since memory
// cannot be throttled.
constexpr double evict_memory_above = 0.92;
// Fraction of the processors above which throttled batch tasks are evicted.
constexpr double evict_cpu_above = 0.97;

/// Returns the total use of the tasks that are not stopping. The use of a task
/// that has not been measured is estimated.
resources estimated_use(const target_load& target)
{
    resources sum;
    for (const task_load& task : target.tasks)
    {
        if (task.stopping)
        {
            continue;
        }
        // Until a task has been measured, it is assumed to use half of its
        // reservation, as tasks typically do; the other half is margin.
        const resources assumed_use{task.reserve.cpu_cores * 0.5,
                                    task.reserve.memory_mb * 0.5, 0};
        sum = sum + (task.measured ? task.used : assumed_use);
    }
    return sum;
}

/// Returns the batch tasks that are not stopping, by descending excess of their
/// use over their reservation. The excess is the larger of the excess cores and
/// the excess GiB of memory; one core counts as one GiB.
std::vector<const task_load*> batch_by_excess(const target_load& target)
{
    std::vector<const task_load*> tasks;
    for (const task_load& task : target.tasks)
    {
        if (!task.urgent && !task.stopping)
        {
            tasks.push_back(&task);
        }
    }
    std::sort(tasks.begin(), tasks.end(),
              [](const task_load* lhs, const task_load* rhs)
              {
                  const auto excess = [](const task_load& task)
                  {
                      return std::max(
                          task.used.cpu_cores - task.reserve.cpu_cores,
                          (task.used.memory_mb - task.reserve.memory_mb) /
                              1024);
                  };
                  return excess(*lhs) > excess(*rhs);
              });
    return tasks;
}

void evict_for_memory(guard_actions& actions, const target_load& target,
                      resources& use)
{
    for (const task_load* task : batch_by_excess(target))
    {
        if (use.memory_mb <= evict_memory_above * target.capacity.memory_mb)
        {
            return;
        }
        if (task->checkpointable)
        {
            actions.evictions.push_back({target.name, task->key, task->attempt,
                                         eviction_cause::memory_guard});
            use = use - task->used;
        }
    }
}

void limit_cpu_use(guard_actions& actions, const target_load& target,
                   resources& use)
{
    const double capacity = target.capacity.cpu_cores;
    for (const task_load* task : batch_by_excess(target))
    {
        if (use.cpu_cores <= throttle_above * capacity)
        {
            return;
        }
        if (task->share > throttled_share)
        {
            actions.throttles.push_back(
                {target.name, task->key, task->attempt, throttled_share});
            use.cpu_cores -=
                std::max(0.0, task->used.cpu_cores -
                                  task->reserve.cpu_cores * throttled_share);
        }
        else if (use.cpu_cores > evict_cpu_above * capacity &&
                 task->checkpointable)
        {
            actions.evictions.push_back({target.name, task->key, task->attempt,
                                         eviction_cause::cpu_guard});
            use.cpu_cores -= task->used.cpu_cores;
        }
    }
}

void end_throttling(guard_actions& actions, const target_load& target,
                    resources& use)
{
    for (const task_load& task : target.tasks)
    {
        const double added_cores = task.reserve.cpu_cores * (1 - task.share);
        if (task.share < 1 && !task.stopping &&
            use.cpu_cores + added_cores <
                end_throttling_below * target.capacity.cpu_cores)
        {
            actions.throttles.push_back(
                {target.name, task.key, task.attempt, 1});
            use.cpu_cores += added_cores;
        }
    }
}

} // namespace

guard_actions check_guards(const rack_load& rack, const policy_model& /*model*/,
                           const policy_limits& /*limits*/, time_point /*now*/)
{
    guard_actions actions;
    for (const target_load& target : rack.targets)
    {
        if (!target.reachable)
        {
            continue;
        }
        resources use = estimated_use(target);
        evict_for_memory(actions, target, use);
        limit_cpu_use(actions, target, use);
        end_throttling(actions, target, use);
    }
    return actions;
}

} // namespace egretspindle
