#include "egretspindle/rack/interference.hpp"

#include "run_colocation.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

constexpr double milli_per_core = 1'000.0;
// Weight of a new slope in the moving average of the trend, and limit of the
// slope in headroom per second: response times measured over half a second are
// noisy.
constexpr double trend_rate = 0.4;
constexpr double max_trend = 1.0;
// Time constant of the average of backfill cores; targets report values of
// the last half second.
constexpr milliseconds averaging_time{400};
// Shortest time between two observations of a target, and longest one over
// which a change of the headroom still says something about backfill tasks.
constexpr milliseconds min_observation{200};
constexpr milliseconds max_observation{2'000};
// Averages below this are dropped.
constexpr double min_averaged_cores = 0.05;

double seconds(milliseconds value)
{
    return static_cast<double>(value.count()) / 1'000.0;
}

void average_backfill_cores(rack_target& target, milliseconds since)
{
    const double share =
        1.0 - std::exp(-seconds(since) / seconds(averaging_time));
    const image_cores current = running_backfill_cores(target);
    for (const auto& [image, cores] : current)
    {
        target.backfill_cores.emplace(image, 0.0);
    }
    for (auto it = target.backfill_cores.begin();
         it != target.backfill_cores.end();)
    {
        const auto found = current.find(it->first);
        const double cores = found == current.end() ? 0.0 : found->second;
        it->second += share * (cores - it->second);
        it = it->second < min_averaged_cores ? target.backfill_cores.erase(it)
                                             : std::next(it);
    }
}

image_cores difference(const image_cores& later, const image_cores& earlier)
{
    image_cores change = later;
    for (const auto& [image, cores] : earlier)
    {
        change[image] -= cores;
    }
    return change;
}

double headroom_drop_by(const interference_model& model,
                        const image_name& serving,
                        const image_cores& backfill_cores)
{
    double drop = 0;
    for (const auto& [image, cores] : backfill_cores)
    {
        drop += expected_headroom_drop(model, serving, image, cores);
    }
    return drop;
}

// Updates the headroom of a serving task and its trend from a report.
void update_headroom(placed_run& run, const image_cores& backfill_cores,
                     interference_model& model, milliseconds since)
{
    const double headroom = reported_headroom(run);
    const double own =
        headroom + headroom_drop_by(model, run.terms->image, backfill_cores);
    if (run.own_headroom > 0)
    {
        const double trend = (own - run.own_headroom) / seconds(since);
        run.headroom_trend +=
            trend_rate *
            (std::clamp(trend, -max_trend, max_trend) - run.headroom_trend);
    }
    run.headroom = headroom;
    run.own_headroom = own;
    observe_headroom(model, own);
}

} // namespace

double cores_of(const step_terms& terms)
{
    return static_cast<double>(terms.size.cpu_milli) / milli_per_core;
}

double current_cores(const placed_run& run)
{
    return cores_of(*run.terms) * static_cast<double>(run.percent) / 100.0;
}

double reported_headroom(const placed_run& run)
{
    return std::min(max_headroom,
                    static_cast<double>(run.terms->response_target_ms) /
                        static_cast<double>(run.load));
}

image_cores running_backfill_cores(const rack_target& target)
{
    image_cores cores;
    for (const auto& [id, run] : target.runs)
    {
        if (is_backfill(run) && run.is_confirmed)
        {
            cores[run.terms->image] += current_cores(run);
        }
    }
    return cores;
}

void observe_target(rack_target& target, interference_model& model,
                    time_point now)
{
    const bool is_first = target.observed_at == time_point{};
    const milliseconds since = is_first
                                   ? averaging_time
                                   : std::chrono::duration_cast<milliseconds>(
                                         now - target.observed_at);
    if (since < min_observation)
    {
        return;
    }
    // Reported response times cover the last half second, so the cores of
    // backfill tasks are averaged over about the same time.
    const image_cores earlier = target.backfill_cores;
    target.observed_at = now;
    average_backfill_cores(target, since);
    const image_cores change = difference(target.backfill_cores, earlier);
    for (auto& [id, run] : target.runs)
    {
        if (!is_serving(run) || run.load <= 0)
        {
            continue;
        }
        if (run.headroom > 0 && since <= max_observation)
        {
            observe_change(model, run.terms->image, change,
                           reported_headroom(run) - run.headroom, since);
        }
        update_headroom(run, target.backfill_cores, model, since);
    }
}

} // namespace egretspindle
