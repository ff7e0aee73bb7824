#include "egretspindle/rack/interference.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

constexpr double milli_per_core = 1'000.0;
// Processors that serving tasks reserve and leave unused on average, as a
// share of their reservation. Their load swings around 0.45.
constexpr double unused_share = 0.55;
// Headroom 1 means that a response time is at its target. Company may take a
// serving task down to the first figure; below the second it is slowed until
// the third is reached, and above the fourth it may work faster again. The
// band avoids oscillation.
constexpr double lowest_joined = 1.1;
constexpr double slow_below = 1.08;
constexpr double slow_until = 1.15;
constexpr double speed_up_above = 1.25;
constexpr double missed_below = 1.05;
// Reported response times are rounded to milliseconds; beyond this the load
// does not matter any more.
constexpr double highest_headroom = 10.0;
// Headroom that harmful company has to leave beyond that: users' load may rise
// while it works.
constexpr double harmful_margin = 0.4;
constexpr std::int64_t least_pace_change = 10;
// Most tasks on idle processors end within this time; their own load can take
// serving tasks further down in the meantime.
constexpr double join_horizon_s = 2.0;
// An ordered speed shows in the reports after this time.
constexpr double pace_horizon_s = 0.7;
constexpr double trend_rate = 0.4;
constexpr double steepest_trend = 1.0;
// Targets report figures of the last half second; the next change of a task's
// speed waits for longer than that.
constexpr milliseconds averaging_time{400};
constexpr milliseconds shortest_observation{200};
constexpr milliseconds longest_observation{2'000};
constexpr milliseconds pace_interval{700};
constexpr double least_cores = 0.05;
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
// Above the processors of any target.
constexpr std::int64_t preference = 1'000'000;

double seconds(milliseconds value)
{
    return static_cast<double>(value.count()) / 1'000.0;
}

double cores_of(const step_terms& terms)
{
    return static_cast<double>(terms.size.cpu_milli) / milli_per_core;
}

bool is_serving(const placed_run& run)
{
    return run.terms && run.terms->response_target_ms > 0;
}

bool is_filling(const placed_run& run)
{
    return run.terms && run.terms->uses_idle_cpu;
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

// Processors that a task uses at full speed. Many tasks use less than they
// declare; until a report tells, the declared size counts.
std::int64_t used_milli(const placed_run& run)
{
    const std::int64_t declared = run.terms->size.cpu_milli;
    if (!run.is_taken || run.load <= 0 || run.percent <= 0)
    {
        return declared;
    }
    return std::clamp(run.load * 100 / run.percent, declared / 2, declared);
}

image_cores company_of(const rack_target& target)
{
    image_cores cores;
    for (const auto& [id, run] : target.runs)
    {
        if (is_filling(run) && run.is_taken)
        {
            cores[run.terms->image] += current_cores(run);
        }
    }
    return cores;
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

double drop_by(const pressure_model& model, const std::string& serving,
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
                   pressure_model& model, milliseconds since)
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

// Lowest headroom of a serving task without company in the near future.
double predicted_headroom(const placed_run& run, const pressure_model& model)
{
    if (run.own_headroom <= 0)
    {
        return model.low_headroom;
    }
    const double ahead =
        run.own_headroom + std::min(0.0, run.headroom_trend) * join_horizon_s;
    return std::max(ahead, std::min(run.own_headroom, model.low_headroom));
}

/// Serving task that company has to leave room.
struct served
{
    std::string image;
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
                        const image_cores& company, const pressure_model& model)
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
                     const pressure_model& model)
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
                   const image_cores& company, const pressure_model& model,
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

bool harms_nobody(const target_mix& mix, const pressure_model& model,
                  const std::string& filling)
{
    return std::none_of(mix.spare.begin(), mix.spare.end(),
                        [&](const auto& item) {
                            return is_harmful_pair(model, item.first, filling);
                        });
}

// Rates a target by the hardest image that can work there without harm, and by
// the hardest of those that wait.
void rate_scarcity(target_mix& mix, const pressure_model& model)
{
    for (const auto& [image, hardness] : model.hardness)
    {
        const bool is_waiting = model.waiting.count(image) > 0;
        const double rated = is_waiting ? mix.reserved : mix.scarcity;
        if (hardness > rated && harms_nobody(mix, model, image))
        {
            mix.scarcity = std::max(mix.scarcity, hardness);
            mix.reserved = is_waiting ? hardness : mix.reserved;
        }
    }
}

} // namespace

std::int64_t idle_cpu(const target_mix& mix, const task_size& room) noexcept
{
    return room.cpu_milli + mix.unused_milli - mix.idle_users_milli;
}

void take_spare(target_mix& mix, const pressure_model& model,
                const std::string& filling, double cores)
{
    for (auto& [image, spare] : mix.spare)
    {
        spare -= expected_drop(model, image, filling, cores);
    }
}

target_mix mix_of(const rack_target& target, const pressure_model& model)
{
    target_mix mix;
    for (const auto& [id, run] : target.runs)
    {
        if (is_serving(run))
        {
            mix.unused_milli += static_cast<std::int64_t>(
                unused_share * static_cast<double>(run.terms->size.cpu_milli));
            const double spare = predicted_headroom(run, model) - lowest_joined;
            const auto it = mix.spare.emplace(run.terms->image, spare).first;
            it->second = std::min(it->second, spare);
        }
    }
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && !is_serving(run) && !is_filling(run))
        {
            mix.unused_milli += run.terms->size.cpu_milli - used_milli(run);
        }
        if (is_filling(run))
        {
            mix.idle_users_milli += used_milli(run);
            take_spare(mix, model, run.terms->image, current_cores(run));
        }
    }
    rate_scarcity(mix, model);
    return mix;
}

bool is_harmful(const step_terms& terms, const target_mix& mix,
                const pressure_model& model)
{
    return !harms_nobody(mix, model, terms.image);
}

bool finds_idle_cpu(const target_mix& mix, const step_terms& terms,
                    const task_size& room, const pressure_model& model)
{
    if (idle_cpu(mix, room) < terms.size.cpu_milli ||
        hardness_of(model, terms.image) < mix.reserved)
    {
        return false;
    }
    return std::all_of(mix.spare.begin(), mix.spare.end(),
                       [&](const auto& item)
                       {
                           const double drop = expected_drop(
                               model, item.first, terms.image, cores_of(terms));
                           const double margin =
                               is_harmful_pair(model, item.first, terms.image)
                                   ? harmful_margin
                                   : 0.0;
                           return drop + margin <= item.second;
                       });
}

std::int64_t rate_company(const target_mix& mix, const step_terms& terms,
                          const task_size& room, const pressure_model& model)
{
    const std::int64_t idle = idle_cpu(mix, room);
    if (is_harmful(terms, mix, model))
    {
        return idle;
    }
    const double preferred = 2.0 - mix.scarcity;
    return idle + static_cast<std::int64_t>(preferred *
                                            static_cast<double>(preference));
}

void observe_target(rack_target& target, pressure_model& model, time_point now)
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

std::vector<pace_change>
decide_pace(rack_target& target, const pressure_model& model, time_point now)
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
        if (!is_filling(run) || !run.is_taken || run.is_stopping)
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
            is_filling(run) && run.is_taken && !run.is_stopping &&
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
