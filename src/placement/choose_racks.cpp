#include "egretspindle/placement/choose_racks.hpp"

#include "egretspindle/placement/capacity.hpp"
#include "egretspindle/placement/rack_share.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

// Weight of a rack without free slots; not zero, since its summary is delayed.
constexpr double full_rack_weight = 0.05;
// Urgent tasks are shorter than the age of a summary, so urgent work is spread
// by the size of the racks, and free slots have a small weight. With weights by
// free slots alone the load of two racks oscillated between 6 and 38 of 64
// slots.
constexpr double urgent_free_weight = 0.1;
// Advantage in predicted wait from which the second rack is preferred.
constexpr double swap_advantage_ms = 250;

double weight_of(const rack_summary& rack, const task_request& request)
{
    if (rack.targets <= 0)
    {
        return 0;
    }
    const bool has_room = rack.free_slots > 0 &&
                          rack.free_cores >= request.size.cpu_cores &&
                          rack.free_memory_mb >= request.size.memory_mb &&
                          rack.free_accelerators >= request.size.accelerators;
    const double free = has_room ? static_cast<double>(rack.free_slots) : 0;
    if (request.urgent)
    {
        return rack.targets + urgent_free_weight * free;
    }
    return std::max(free, full_rack_weight);
}

/// Returns the cost by which two racks are compared.
///
/// The number of free slots is not included: the random choice is weighted by
/// it already, and as summaries are up to a second old, all hosts would send
/// their work to the rack that was less loaded then.
double cost_of(const rack_summary& rack, const task_request& request)
{
    const double queue = request.urgent ? 10.0 * rack.urgent_queue : 0;
    const double full = rack.free_slots > 0 ? 0 : 100;
    return rack.urgent_wait_ms + queue + full;
}

std::size_t draw_weighted(const std::vector<double>& weights, double total,
                          std::mt19937_64& rng)
{
    double at = std::uniform_real_distribution<>(0, total)(rng);
    std::size_t last = weights.size();
    for (std::size_t n = 0; n < weights.size(); ++n)
    {
        if (weights[n] > 0)
        {
            last = n;
            at -= weights[n];
            if (at <= 0)
            {
                return n;
            }
        }
    }
    return last;
}

} // namespace

rack_summary summarize(const rack_load& rack, const policy_model& model,
                       std::int64_t epoch, int urgent_queue, time_point now)
{
    rack_summary summary;
    summary.rack = rack.rack;
    summary.epoch = epoch;
    summary.urgent_queue = urgent_queue;
    double wait = 30000;
    for (const target_load& target : rack.targets)
    {
        if (!accepts_work(target, true))
        {
            continue;
        }
        ++summary.targets;
        const int slots = free_slots(target);
        const resources free = free_capacity(model, target);
        summary.free_slots += slots;
        summary.free_cores += free.cpu_cores;
        summary.free_memory_mb += free.memory_mb;
        summary.free_accelerators += free.accelerators;
        if (slots > 0)
        {
            wait = 0;
        }
        for (const task_load& task : target.tasks)
        {
            const double left = std::chrono::duration<double, std::milli>(
                                    task.expected_end - now)
                                    .count();
            const bool evictable = !task.urgent && task.checkpointable;
            wait = std::min(wait, evictable ? 200.0 : std::max(1.0, left));
        }
    }
    summary.urgent_wait_ms = summary.targets > 0 ? wait : 30000;
    return summary;
}

std::vector<std::size_t> choose_racks(absl::Span<const rack_summary> racks,
                                      const task_request& request,
                                      std::mt19937_64& rng)
{
    std::vector<double> weights;
    std::vector<std::size_t> order;
    double total = 0;
    for (std::size_t n = 0; n < racks.size(); ++n)
    {
        weights.push_back(weight_of(racks[n], request));
        total += weights.back();
        if (weights.back() > 0)
        {
            order.push_back(n);
        }
    }
    if (order.size() < 2)
    {
        return order;
    }
    const std::size_t first = draw_weighted(weights, total, rng);
    std::vector<double> others = weights;
    others[first] = 0;
    const std::size_t second =
        draw_weighted(others, total - weights[first], rng);
    const bool swap = cost_of(racks[second], request) + swap_advantage_ms <
                      cost_of(racks[first], request);
    std::sort(order.begin(), order.end(),
              [&weights](std::size_t lhs, std::size_t rhs)
              { return weights[lhs] > weights[rhs]; });
    const auto to_front = [&order](std::size_t rack)
    {
        const auto it = std::find(order.begin(), order.end(), rack);
        std::rotate(order.begin(), it, it + 1);
    };
    to_front(swap ? first : second);
    to_front(swap ? second : first);
    return order;
}

} // namespace egretspindle
