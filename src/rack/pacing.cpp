#include "egretspindle/rack/interference.hpp"

#include "run_colocation.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Thresholds of the headroom, which is 1 when a response time is exactly at its
// target. Below `slow_below` harmful tasks are slowed to reach `slow_until`;
// above `speed_up_above` they are sped up again. The gap avoids oscillation.
constexpr double slow_below = 1.08;
constexpr double slow_until = 1.15;
constexpr double speed_up_above = 1.25;
// Below this headroom a serving task counts as missing its target.
constexpr double missed_below = 1.05;
// Smallest increase of a speed limit that is ordered, in percentage points.
constexpr std::int64_t min_speed_up = 10;
// Time in seconds until a change of speed is visible in the reports; the trend
// of the headroom is extrapolated over it.
constexpr double pace_horizon_s = 0.7;
// Minimum time between changes on a target, so that the last one is visible in
// the reports.
constexpr milliseconds pace_interval{700};
// When a serving task has missed its response-time target for `max_miss`,
// harmful backfill tasks beside it are stopped, and after `max_miss_of_all`
// all of them. Both are well below the few seconds that users tolerate.
constexpr milliseconds max_miss{1'000};
constexpr milliseconds max_miss_of_all{2'000};
// A checkpointing task is evicted when it has been slowed to this percentage or
// less for this long, since it resumes sooner elsewhere.
constexpr std::int64_t slowed_percent = 25;
constexpr milliseconds checkpointing_eviction_delay{1'500};
// The same for a task without checkpoints, which has to start over elsewhere.
// Most of these run for 2 s.
constexpr milliseconds restart_eviction_delay{4'000};

/// Serving task whose headroom backfill tasks have to respect.
struct serving_task
{
    image_name image;
    double predicted = 0; ///< predicted headroom when an order takes effect
};

std::vector<serving_task> serving_tasks_of(const rack_target& target)
{
    std::vector<serving_task> items;
    for (const auto& [id, run] : target.runs)
    {
        if (is_serving(run) && run.headroom > 0)
        {
            items.push_back({run.terms->image,
                             run.headroom + std::min(0.0, run.headroom_trend) *
                                                pace_horizon_s});
        }
    }
    return items;
}

// Returns the speed in percent at which a backfill task leaves enough
// headroom to a serving task, if all harmful tasks are slowed in proportion.
std::int64_t slowed_percent_for(const serving_task& item, const placed_run& run,
                                const image_cores& backfill_cores,
                                const interference_model& model)
{
    if (item.predicted >= slow_below ||
        !is_harmful_pair(model, item.image, run.terms->image))
    {
        return run.percent;
    }
    double total_drop = 0;
    for (const auto& [image, cores] : backfill_cores)
    {
        total_drop +=
            is_harmful_pair(model, item.image, image)
                ? expected_headroom_drop(model, item.image, image, cores)
                : 0.0;
    }
    const double remaining_share =
        total_drop > 0
            ? std::clamp(1.0 - (slow_until - item.predicted) / total_drop, 0.0,
                         1.0)
            : 1.0;
    return static_cast<std::int64_t>(remaining_share *
                                     static_cast<double>(run.percent));
}

// Returns the speed in percent to which a backfill task may be raised, and
// reduces the predicted headroom of the serving tasks by the effect of that.
std::int64_t raised_percent(std::vector<serving_task>& items,
                            const placed_run& run,
                            const interference_model& model)
{
    double added_percent = static_cast<double>(100 - run.percent);
    for (const serving_task& item : items)
    {
        const double drop_per_percent =
            expected_headroom_drop(model, item.image, run.terms->image,
                                   cores_of(*run.terms)) /
            100.0;
        if (drop_per_percent > 0)
        {
            added_percent =
                std::min(added_percent,
                         (item.predicted - speed_up_above) / drop_per_percent);
        }
    }
    if (added_percent < static_cast<double>(min_speed_up))
    {
        return run.percent;
    }
    for (serving_task& item : items)
    {
        item.predicted -= expected_headroom_drop(
            model, item.image, run.terms->image,
            cores_of(*run.terms) * added_percent / 100.0);
    }
    return run.percent + static_cast<std::int64_t>(added_percent);
}

// Returns the speed in percent at which a backfill task may run from now on.
std::int64_t paced_percent(std::vector<serving_task>& items,
                           const placed_run& run,
                           const image_cores& backfill_cores,
                           const interference_model& model, milliseconds miss,
                           bool is_low)
{
    if (miss > max_miss_of_all)
    {
        return 0;
    }
    if (!is_low)
    {
        return raised_percent(items, run, model);
    }
    std::int64_t percent = run.percent;
    for (const serving_task& item : items)
    {
        percent = std::min(
            percent, slowed_percent_for(item, run, backfill_cores, model));
    }
    const bool is_slowed = percent < run.percent;
    return miss > max_miss && is_slowed ? 0 : percent;
}

// Returns for how long any serving task of a target has missed its
// response-time target.
milliseconds miss_duration(rack_target& target, time_point now)
{
    double lowest_headroom = max_headroom;
    for (const auto& [id, run] : target.runs)
    {
        if (is_serving(run) && run.load > 0)
        {
            lowest_headroom = std::min(lowest_headroom, reported_headroom(run));
        }
    }
    if (lowest_headroom >= missed_below)
    {
        target.missed_since = time_point{};
        return milliseconds(0);
    }
    if (target.missed_since == time_point{})
    {
        target.missed_since = now;
    }
    return std::chrono::duration_cast<milliseconds>(now - target.missed_since);
}

void set_pace(placed_run& run, std::int64_t percent, time_point now)
{
    if (percent <= slowed_percent && run.percent > slowed_percent)
    {
        run.slowed_at = now;
    }
    run.percent = percent;
}

} // namespace

std::vector<pace_change> decide_pace(rack_target& target,
                                     const interference_model& model,
                                     time_point now)
{
    std::vector<pace_change> changes;
    const milliseconds miss = miss_duration(target, now);
    if (now - target.paced_at < pace_interval)
    {
        return changes;
    }
    std::vector<serving_task> items = serving_tasks_of(target);
    const bool is_low = std::any_of(items.begin(), items.end(),
                                    [](const serving_task& item)
                                    { return item.predicted < slow_below; });
    const image_cores backfill_cores = running_backfill_cores(target);
    for (auto& [id, run] : target.runs)
    {
        if (!is_backfill(run) || !run.is_confirmed || run.is_stopping)
        {
            continue;
        }
        const std::int64_t percent =
            paced_percent(items, run, backfill_cores, model, miss, is_low);
        if (percent != run.percent || run.may_be_slowed)
        {
            run.may_be_slowed = false;
            changes.push_back({run.task, run.run, percent});
            target.paced_at = now;
        }
    }
    for (const pace_change& change : changes)
    {
        set_pace(target.runs.at({change.task, change.run}), change.percent,
                 now);
    }
    return changes;
}

std::vector<run_id> decide_evictions(rack_target& target, time_point now)
{
    std::vector<run_id> evicted;
    for (auto& [id, run] : target.runs)
    {
        const milliseconds eviction_delay =
            run.terms && run.terms->is_checkpointing
                ? checkpointing_eviction_delay
                : restart_eviction_delay;
        const bool is_slowed = is_backfill(run) && run.is_confirmed &&
                               !run.is_stopping &&
                               run.percent <= slowed_percent &&
                               now - run.slowed_at > eviction_delay;
        if (is_slowed)
        {
            run.is_stopping = true;
            evicted.push_back(id);
        }
    }
    return evicted;
}

} // namespace egretspindle
