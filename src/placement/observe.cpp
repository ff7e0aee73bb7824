#include "egretspindle/placement/observe.hpp"

#include "model_access.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

// Usage reports describe the state of the target 1 to 3 s before their receipt.
constexpr milliseconds min_lag{1000};
constexpr milliseconds max_lag{3000};
constexpr std::size_t max_snapshots = 12;
// Half-life of the difference between a peak and the current measurements.
constexpr double peak_half_life_s = 600;
// Minimum learning rate of the slowdowns, so that they follow changes.
constexpr double min_step = 0.02;
// The co-running tasks change during longer tasks, so that their slowdown is
// learned from progress reports and not from the run time.
constexpr double max_short_run_ms = 3000;
// Number of ends from which the base run time is precise enough.
constexpr std::int64_t min_base_ends = 20;
// Half-life of the arrival rates of urgent kinds.
constexpr double rate_half_life_s = 60;

void update_peak(double& peak, double value, double elapsed_s)
{
    const double remaining = std::exp2(-elapsed_s / peak_half_life_s);
    peak = value >= peak ? value : value + remaining * (peak - value);
}

void learn_peak(kind_estimate& estimate, const usage_sample& sample,
                time_point now)
{
    double cores = sample.cpu_cores;
    if (sample.reserved_cores > 0 && cores >= 0.98 * sample.reserved_cores)
    {
        // The use is limited by the reservation, so that the actual need is not
        // known. The estimate is raised in steps.
        cores = std::max(cores, sample.reserved_cores * 1.25);
    }
    // Without an earlier measurement there is no peak to decay.
    const double elapsed_s =
        estimate.reports == 0
            ? 0
            : std::max(0.0,
                       std::chrono::duration<double>(now - estimate.updated)
                           .count());
    update_peak(estimate.peak.cpu_cores, cores, elapsed_s);
    update_peak(estimate.peak.memory_mb, sample.memory_mb, elapsed_s);
    ++estimate.reports;
    estimate.updated = now;
}

/// Returns the mean of the snapshots that a report may describe.
load_snapshot lagged_snapshot(const std::deque<load_snapshot>& history,
                              time_point now)
{
    load_snapshot mean;
    int n = 0;
    for (const load_snapshot& entry : history)
    {
        const auto age = now - entry.taken;
        if (age < min_lag || age > max_lag)
        {
            continue;
        }
        ++n;
        mean.load += entry.load;
        for (const auto& [kind, count] : entry.counts)
        {
            const std::size_t wanted = kind;
            const auto it = std::find_if(mean.counts.begin(), mean.counts.end(),
                                         [wanted](const auto& pair)
                                         { return pair.first == wanted; });
            if (it == mean.counts.end())
            {
                mean.counts.emplace_back(kind, count);
            }
            else
            {
                it->second += count;
            }
        }
    }
    for (auto& [kind, count] : mean.counts)
    {
        count /= std::max(n, 1);
    }
    mean.load /= std::max(n, 1);
    return mean;
}

/// Returns the snapshot without one task of `kind`.
load_snapshot without_one(load_snapshot snapshot, std::size_t kind)
{
    for (auto& [other, count] : snapshot.counts)
    {
        if (other == kind)
        {
            count = std::max(0.0, count - 1);
        }
    }
    return snapshot;
}

/// Adjusts the cells of one row to a measured slowdown by normalized least mean
/// squares, with larger steps for cells with few samples.
void learn_slowdown(policy_model& model, std::size_t kind,
                    const load_snapshot& co_running, double measured,
                    time_point now)
{
    double norm = 0.5;
    for (const auto& [other, count] : co_running.counts)
    {
        norm += count * count;
    }
    const double error =
        measured - detail::predict_slowdown(model, kind, co_running, now);
    const std::size_t band = detail::load_band(co_running.load);
    for (const auto& [other, count] : co_running.counts)
    {
        if (count <= 0 || other == 0)
        {
            continue;
        }
        interference_cell& cell =
            model.cells[kind * model.kinds.size() + other];
        double& weight = cell.weight[band];
        double& slowdown = cell.slowdown[band];
        if (weight <= 0)
        {
            slowdown = slowdown_by(model, kind, other, co_running.load, now);
        }
        const double step = std::max(min_step, 1 / (2 + weight));
        slowdown = std::clamp(slowdown + step * error * count / norm, 0.0,
                              detail::max_slowdown);
        weight = std::min(weight + count * count / norm, 200.0);
        cell.updated = now;
    }
}

void learn_run_time(kind_estimate& estimate, double run_ms)
{
    ++estimate.ends;
    if (estimate.ends == 1)
    {
        estimate.run_ms = estimate.base_ms = estimate.tail_ms = run_ms;
        return;
    }
    const double step = std::max(0.02, 1 / static_cast<double>(estimate.ends));
    estimate.run_ms += step * (run_ms - estimate.run_ms);
    // Stochastic approximation of a quantile: steps up by q and down by 1 - q
    // converge to the value with a fraction q of the samples below it.
    const double unit = estimate.run_ms * std::max(0.02, step) * 2;
    const double base_quantile = 0.25;
    estimate.base_ms += run_ms > estimate.base_ms ? unit * base_quantile
                                                  : -unit * (1 - base_quantile);
    const double tail_quantile = 0.95;
    estimate.tail_ms += run_ms > estimate.tail_ms ? unit * tail_quantile
                                                  : -unit * (1 - tail_quantile);
    estimate.base_ms =
        std::clamp(estimate.base_ms, 0.05 * estimate.run_ms, estimate.run_ms);
    estimate.tail_ms = std::max(estimate.tail_ms, estimate.run_ms);
}

void record_snapshot(policy_model& model, const target_load& target,
                     time_point now)
{
    std::deque<load_snapshot>& history = model.history[target.name];
    history.push_back(detail::take_snapshot(model, target, now));
    while (history.size() > max_snapshots)
    {
        history.pop_front();
    }
}

} // namespace

load_snapshot detail::take_snapshot(const policy_model& model,
                                    const target_load& target, time_point now)
{
    load_snapshot snapshot;
    snapshot.taken = now;
    double cores = 0;
    for (const task_load& task : target.tasks)
    {
        cores += task.measured ? task.used.cpu_cores
                               : task.reserve.cpu_cores * task.share;
        const std::size_t kind = kind_index(model, task.kind);
        const auto it = std::find_if(
            snapshot.counts.begin(), snapshot.counts.end(),
            [kind](const auto& pair) { return pair.first == kind; });
        if (it == snapshot.counts.end())
        {
            snapshot.counts.emplace_back(kind, task.share);
        }
        else
        {
            it->second += task.share;
        }
    }
    const double by_slots = target.slots > 0
                                ? static_cast<double>(target.tasks.size()) /
                                      static_cast<double>(target.slots)
                                : 0;
    const double by_cores =
        target.capacity.cpu_cores > 0 ? cores / target.capacity.cpu_cores : 0;
    snapshot.load = std::min(1.0, std::max(by_slots, by_cores));
    return snapshot;
}

double detail::predict_slowdown(const policy_model& model, std::size_t kind,
                                const load_snapshot& co_running, time_point now)
{
    double sum = 0;
    for (const auto& [other, count] : co_running.counts)
    {
        sum += count * slowdown_by(model, kind, other, co_running.load, now);
    }
    return sum;
}

void observe_usage(policy_model& model, const target_load& target,
                   absl::Span<const usage_sample> samples, time_point now)
{
    for (const task_load& task : target.tasks)
    {
        detail::add_kind(model, task.kind);
    }
    record_snapshot(model, target, now);
    const load_snapshot lagged =
        lagged_snapshot(model.history[target.name], now);
    for (const usage_sample& sample : samples)
    {
        const std::size_t kind = detail::add_kind(model, sample.kind);
        if (kind == 0)
        {
            continue;
        }
        learn_peak(model.kinds[kind], sample, now);
        if (sample.progress > 0 && !lagged.counts.empty())
        {
            const double measured =
                std::clamp(1 / sample.progress - 1, 0.0, 10.0);
            learn_slowdown(model, kind, without_one(lagged, kind), measured,
                           now);
        }
    }
}

void observe_end(policy_model& model, const target_load& target,
                 const task_end& end, time_point now)
{
    const std::size_t kind = detail::add_kind(model, end.kind);
    if (kind == 0 || !end.ok || end.interrupted || end.run_ms <= 0)
    {
        return;
    }
    kind_estimate& estimate = model.kinds[kind];
    estimate.urgent = end.urgent;
    learn_run_time(estimate, end.run_ms);
    if (estimate.ends >= min_base_ends && estimate.base_ms <= max_short_run_ms)
    {
        const double measured =
            std::clamp(end.run_ms / estimate.base_ms - 1, 0.0, 10.0);
        const load_snapshot co_running =
            without_one(detail::take_snapshot(model, target, now), kind);
        learn_slowdown(model, kind, co_running, measured, now);
    }
}

void observe_urgent_arrival(policy_model& model, std::string_view kind,
                            time_point now)
{
    const std::size_t n = detail::add_kind(model, kind);
    const double elapsed =
        std::chrono::duration<double>(now - model.rate_updated).count();
    if (elapsed > 1)
    {
        const double factor = std::exp2(-elapsed / rate_half_life_s);
        for (double& rate : model.urgent_rate)
        {
            rate *= factor;
        }
        model.rate_updated = now;
    }
    model.urgent_rate[n] += 1;
}

} // namespace egretspindle
