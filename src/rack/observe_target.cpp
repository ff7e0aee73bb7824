#include "egretspindle/rack/interference.hpp"

#include "company.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

constexpr double milli_per_core = 1'000.0;
// Share of a new slope that enters the trend, and the steepest slope that
// counts: response times of half a second are rough.
constexpr double trend_rate = 0.4;
constexpr double steepest_trend = 1.0;
// Targets report figures of the last half second.
constexpr milliseconds averaging_time{400};
constexpr milliseconds shortest_observation{200};
constexpr milliseconds longest_observation{2'000};
constexpr double least_cores = 0.05;

double seconds(milliseconds value)
{
    return static_cast<double>(value.count()) / 1'000.0;
}

void average_company(rack_target& target, milliseconds since)
{
    const double share =
        1.0 - std::exp(-seconds(since) / seconds(averaging_time));
    const image_cores current = company_of(target);
    for (const auto& [image, cores] : current)
    {
        target.company.emplace(image, 0.0);
    }
    for (auto it = target.company.begin(); it != target.company.end();)
    {
        const auto found = current.find(it->first);
        const double cores = found == current.end() ? 0.0 : found->second;
        it->second += share * (cores - it->second);
        it =
            it->second < least_cores ? target.company.erase(it) : std::next(it);
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

double drop_by(const interference_model& model, const image_name& serving,
               const image_cores& company)
{
    double drop = 0;
    for (const auto& [image, cores] : company)
    {
        drop += expected_drop(model, serving, image, cores);
    }
    return drop;
}

// Takes over what a target reported of one serving task.
void note_headroom(placed_run& run, const image_cores& company,
                   interference_model& model, milliseconds since)
{
    const double headroom = reported_headroom(run);
    const double own = headroom + drop_by(model, run.terms->image, company);
    if (run.own_headroom > 0)
    {
        const double trend = (own - run.own_headroom) / seconds(since);
        run.headroom_trend +=
            trend_rate * (std::clamp(trend, -steepest_trend, steepest_trend) -
                          run.headroom_trend);
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
    return std::min(highest_headroom,
                    static_cast<double>(run.terms->response_target_ms) /
                        static_cast<double>(run.load));
}

image_cores company_of(const rack_target& target)
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
    if (since < shortest_observation)
    {
        return;
    }
    // Reported response times cover the last half second, so the company is
    // averaged over about that time.
    const image_cores earlier = target.company;
    target.observed_at = now;
    average_company(target, since);
    const image_cores change = difference(target.company, earlier);
    for (auto& [id, run] : target.runs)
    {
        if (!is_serving(run) || run.load <= 0)
        {
            continue;
        }
        if (run.headroom > 0 && since <= longest_observation)
        {
            observe_change(model, run.terms->image, change,
                           reported_headroom(run) - run.headroom, since);
        }
        note_headroom(run, target.company, model, since);
    }
}

} // namespace egretspindle
