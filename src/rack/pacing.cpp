#include "egretspindle/rack/interference.hpp"

#include "company.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Headroom 1 means that a response time is at its target. Below the first
// figure harmful company is slowed until the second is reached, and above the
// third it may work faster again. The band avoids oscillation.
constexpr double slow_below = 1.08;
constexpr double slow_until = 1.15;
constexpr double speed_up_above = 1.25;
constexpr double missed_below = 1.05;
constexpr std::int64_t least_pace_change = 10;
// An ordered speed shows in the reports after this time.
constexpr double pace_horizon_s = 0.7;
// The next change of a task's speed waits until the last one shows.
constexpr milliseconds pace_interval{700};
// A serving task that misses its target for this long stops its harmful
// company, and after the second time all company of its target. Both are well
// below the span of a few seconds that its users bear.
constexpr milliseconds longest_miss{1'000};
constexpr milliseconds longest_miss_of_all{2'000};
// A task that is slowed this far for this long resumes better elsewhere.
constexpr std::int64_t slowed_percent = 25;
constexpr milliseconds slowed_patience{1'500};
// A task that saves no progress starts over; most of them run for 2 s.
constexpr milliseconds restarted_patience{4'000};

/// Serving task that company has to leave room.
struct served
{
    image_name image;
    double next = 0; ///< headroom when an order takes effect
};

std::vector<served> serving_of(const rack_target& target)
{
    std::vector<served> items;
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

// Percentage at which a task leaves enough headroom to one serving task, if
// all harmful company slows down alike.
std::int64_t slowed_for(const served& item, const placed_run& run,
                        const image_cores& company,
                        const interference_model& model)
{
    if (item.next >= slow_below ||
        !is_harmful_pair(model, item.image, run.terms->image))
    {
        return run.percent;
    }
    double whole = 0;
    for (const auto& [image, cores] : company)
    {
        whole += is_harmful_pair(model, item.image, image)
                     ? expected_drop(model, item.image, image, cores)
                     : 0.0;
    }
    const double kept =
        whole > 0 ? std::clamp(1.0 - (slow_until - item.next) / whole, 0.0, 1.0)
                  : 1.0;
    return static_cast<std::int64_t>(kept * static_cast<double>(run.percent));
}

// Takes from what the serving tasks can spare, and returns the percentage at
// which the task may work.
std::int64_t sped_up(std::vector<served>& items, const placed_run& run,
                     const interference_model& model)
{
    double added = static_cast<double>(100 - run.percent);
    for (const served& item : items)
    {
        const double each = expected_drop(model, item.image, run.terms->image,
                                          cores_of(*run.terms)) /
                            100.0;
        if (each > 0)
        {
            added = std::min(added, (item.next - speed_up_above) / each);
        }
    }
    if (added < static_cast<double>(least_pace_change))
    {
        return run.percent;
    }
    for (served& item : items)
    {
        item.next -= expected_drop(model, item.image, run.terms->image,
                                   cores_of(*run.terms) * added / 100.0);
    }
    return run.percent + static_cast<std::int64_t>(added);
}

// Percentage at which a task may work from now on.
std::int64_t paced(std::vector<served>& items, const placed_run& run,
                   const image_cores& company, const interference_model& model,
                   milliseconds miss, bool is_low)
{
    if (miss > longest_miss_of_all)
    {
        return 0;
    }
    if (!is_low)
    {
        return sped_up(items, run, model);
    }
    std::int64_t percent = run.percent;
    for (const served& item : items)
    {
        percent = std::min(percent, slowed_for(item, run, company, model));
    }
    const bool is_slowed = percent < run.percent;
    return miss > longest_miss && is_slowed ? 0 : percent;
}

// Returns for how long a serving task has missed its target.
milliseconds miss_of(rack_target& target, time_point now)
{
    double lowest = highest_headroom;
    for (const auto& [id, run] : target.runs)
    {
        if (is_serving(run) && run.load > 0)
        {
            lowest = std::min(lowest, reported_headroom(run));
        }
    }
    if (lowest >= missed_below)
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
    const milliseconds miss = miss_of(target, now);
    if (now - target.paced_at < pace_interval)
    {
        return changes;
    }
    std::vector<served> items = serving_of(target);
    const bool is_low =
        std::any_of(items.begin(), items.end(),
                    [](const served& item) { return item.next < slow_below; });
    const image_cores company = company_of(target);
    for (auto& [id, run] : target.runs)
    {
        if (!is_backfill(run) || !run.is_confirmed || run.is_stopping)
        {
            continue;
        }
        const std::int64_t percent =
            paced(items, run, company, model, miss, is_low);
        if (percent != run.percent)
        {
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
        const milliseconds patience = run.terms && run.terms->is_checkpointing
                                          ? slowed_patience
                                          : restarted_patience;
        const bool is_slowed =
            is_backfill(run) && run.is_confirmed && !run.is_stopping &&
            run.percent <= slowed_percent && now - run.slowed_at > patience;
        if (is_slowed)
        {
            run.is_stopping = true;
            evicted.push_back(id);
        }
    }
    return evicted;
}

} // namespace egretspindle
