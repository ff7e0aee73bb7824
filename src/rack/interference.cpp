#include "egretspindle/rack/interference.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

constexpr double milli_per_core = 1'000.0;
// Processors that serving tasks reserve and leave unused on average, as a
// share of their reservation.
constexpr double unused_share = 0.5;
// Response time / target that tasks on idle processors may raise a serving
// task to. Its own load makes it swing by about a third.
constexpr double highest_joined_ratio = 0.8;
// A pair of images is tried where the ratio is at most this high.
constexpr double highest_tried_ratio = 0.6;
// Response time / target above which company is slowed, and below which it
// may work faster again. The band avoids oscillation.
constexpr double slow_above = 0.85;
constexpr double speed_up_below = 0.6;
constexpr double missed_ratio = 0.95;
constexpr std::int64_t speed_step = 25;
// Rise of the ratio from which a task counts as harmful.
constexpr double harmful_rise = 0.05;
// Targets report figures of the last half second; the next change of a task's
// speed waits for longer than that.
constexpr milliseconds averaging_time{400};
constexpr milliseconds shortest_observation{200};
constexpr milliseconds pace_interval{700};
constexpr double least_cores = 0.05;
// A serving task that misses its target for this long, well below the span of
// a few seconds that its users bear, stops all company of its target.
constexpr milliseconds longest_miss{1'300};
// A task that is slowed this far for this long resumes better elsewhere.
constexpr std::int64_t slowed_percent = 25;
constexpr milliseconds slowed_patience{1'500};
// Above the processors of any target.
constexpr std::int64_t preference = 1'000'000;

double cores_of(const step_terms& terms)
{
    return static_cast<double>(terms.size.cpu_milli) / milli_per_core;
}

double ratio_of(const placed_run& run)
{
    return static_cast<double>(run.load) /
           static_cast<double>(run.terms->response_target_ms);
}

double reported_ratio(const rack_target& target)
{
    double worst = 0;
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && run.terms->response_target_ms > 0)
        {
            worst = std::max(worst, ratio_of(run));
        }
    }
    return worst;
}

image_cores company_of(const rack_target& target)
{
    image_cores cores;
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && run.terms->uses_idle_cpu && run.is_taken)
        {
            cores[run.terms->image] +=
                cores_of(*run.terms) * static_cast<double>(run.percent) / 100.0;
        }
    }
    return cores;
}

void average_company(rack_target& target, milliseconds since)
{
    const double share =
        1.0 - std::exp(-static_cast<double>(since.count()) /
                       static_cast<double>(averaging_time.count()));
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

double rise_of(const step_terms& terms, const target_mix& mix,
               const pressure_model& model)
{
    return expected_pressure(model, mix.serving, terms.image, cores_of(terms));
}

} // namespace

std::int64_t unused_by_serving(const target_mix& mix)
{
    return static_cast<std::int64_t>(unused_share *
                                     static_cast<double>(mix.serving_milli));
}

target_mix mix_of(const rack_target& target, const pressure_model& model)
{
    target_mix mix;
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && run.terms->response_target_ms > 0)
        {
            mix.serving_milli += run.terms->size.cpu_milli;
            mix.serving.insert(run.terms->image);
        }
    }
    double expected = model.base;
    for (const auto& [id, run] : target.runs)
    {
        if (run.terms && run.terms->uses_idle_cpu)
        {
            mix.idle_users_milli += run.terms->size.cpu_milli;
            expected += rise_of(*run.terms, mix, model);
        }
    }
    mix.expected_ratio = expected;
    mix.response_ratio = std::max(expected, reported_ratio(target));
    return mix;
}

bool is_harmful(const step_terms& terms, const target_mix& mix,
                const pressure_model& model)
{
    return rise_of(terms, mix, model) > harmful_rise;
}

bool finds_idle_cpu(const target_mix& mix, const step_terms& terms,
                    const task_size& room, const pressure_model& model)
{
    const bool is_idle =
        room.cpu_milli + unused_by_serving(mix) - mix.idle_users_milli >=
        terms.size.cpu_milli;
    if (!is_idle || mix.serving.empty())
    {
        return is_idle;
    }
    if (!are_known_pairs(model, mix.serving, terms.image))
    {
        return mix.response_ratio < highest_tried_ratio;
    }
    const double rise = rise_of(terms, mix, model);
    // Small rises add up; what the tasks' own load adds for a moment does not
    // matter to tasks that hardly disturb them.
    const double ratio =
        rise <= harmful_rise ? mix.expected_ratio : mix.response_ratio;
    return ratio + rise < highest_joined_ratio;
}

std::int64_t rate_company(const target_mix& mix, const step_terms& terms,
                          const task_size& room, const pressure_model& model)
{
    const std::int64_t idle =
        room.cpu_milli + unused_by_serving(mix) - mix.idle_users_milli;
    if (mix.serving.empty())
    {
        return idle + preference;
    }
    return is_harmful(terms, mix, model) ? idle : idle + 2 * preference;
}

void observe_target(rack_target& target, pressure_model& model, time_point now)
{
    // Reported response times cover the last half second, so the company is
    // averaged over about that time.
    const bool is_first = target.observed_at == time_point{};
    const milliseconds since = is_first
                                   ? averaging_time
                                   : std::chrono::duration_cast<milliseconds>(
                                         now - target.observed_at);
    if (since < shortest_observation)
    {
        return;
    }
    target.observed_at = now;
    average_company(target, since);
    for (const auto& [id, run] : target.runs)
    {
        if (!is_first && run.terms && run.terms->response_target_ms > 0 &&
            run.load > 0)
        {
            observe_pressure(model, run.terms->image, target.company,
                             ratio_of(run));
        }
    }
}

std::vector<pace_change>
decide_pace(rack_target& target, const pressure_model& model, time_point now)
{
    std::vector<pace_change> changes;
    const double worst = reported_ratio(target);
    if (worst <= missed_ratio)
    {
        target.missed_since = time_point{};
    }
    else if (target.missed_since == time_point{})
    {
        target.missed_since = now;
    }
    if (now - target.paced_at < pace_interval)
    {
        return changes;
    }
    const target_mix mix = mix_of(target, model);
    const bool is_missed_long = target.missed_since != time_point{} &&
                                now - target.missed_since > longest_miss;
    for (auto& [id, run] : target.runs)
    {
        if (!run.terms || !run.terms->uses_idle_cpu || !run.is_taken ||
            run.is_stopping)
        {
            continue;
        }
        std::int64_t percent = run.percent;
        if (is_missed_long)
        {
            percent = 0;
        }
        else if (worst > slow_above && is_harmful(*run.terms, mix, model))
        {
            percent = percent <= slowed_percent ? 0 : percent / 2;
        }
        else if (worst < speed_up_below)
        {
            percent = std::min<std::int64_t>(100, percent + speed_step);
        }
        if (percent != run.percent)
        {
            if (percent <= slowed_percent && run.percent > slowed_percent)
            {
                run.slowed_at = now;
            }
            run.percent = percent;
            changes.push_back({run.task, run.run, percent});
            target.paced_at = now;
        }
    }
    return changes;
}

std::vector<run_id> decide_evictions(rack_target& target, time_point now)
{
    std::vector<run_id> evicted;
    for (auto& [id, run] : target.runs)
    {
        const bool is_slowed = run.terms && run.terms->uses_idle_cpu &&
                               run.is_taken && !run.is_stopping &&
                               run.percent <= slowed_percent &&
                               now - run.slowed_at > slowed_patience;
        if (is_slowed)
        {
            run.is_stopping = true;
            evicted.push_back(id);
        }
    }
    return evicted;
}

} // namespace egretspindle
