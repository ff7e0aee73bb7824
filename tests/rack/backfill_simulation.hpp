/// \file
/// Simulated rack whose targets run one serving task each, with backfill starts
/// that wait for headroom.

#ifndef EGRETSPINDLE_TESTS_RACK_BACKFILL_SIMULATION_HPP
#define EGRETSPINDLE_TESTS_RACK_BACKFILL_SIMULATION_HPP

#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::backfill_simulation
{

inline constexpr milliseconds step{100};
inline constexpr std::int64_t steps_per_poll = 4;
// Reported response times cover the last half second.
inline constexpr std::size_t steps_per_report = 5;
inline constexpr double work_s = 2.0; // of a backfill task at full speed
inline constexpr double response_target_ms = 50;
inline constexpr double true_drop_per_core = 0.2;
inline const time_point start_time = time_point{} + milliseconds(1'000'000);

inline step_terms make_serving()
{
    step_terms terms;
    terms.step = "serving.0.0";
    terms.service = "svc";
    terms.size = {8'000, 4'000, 0};
    terms.image = "serving";
    terms.is_long_running = true;
    terms.response_target_ms = static_cast<std::int64_t>(response_target_ms);
    return terms;
}

inline queued_start make_backfill(int job)
{
    step_terms terms;
    terms.step = "job" + std::to_string(job) + ".0.0";
    terms.service = "svc";
    terms.size = {5'000, 1'000, 0};
    terms.image = "heavy";
    terms.uses_idle_cpu = true;
    terms.is_checkpointing = true;
    queued_start start;
    start.task = terms.step + ".0";
    start.run = 1;
    start.terms = std::make_shared<const step_terms>(terms);
    start.queued_at = start_time;
    return start;
}

/// Backfill run at work on a target.
struct simulated_run
{
    double percent = 100; ///< in force at the target
    double done_s = 0;    ///< work done, in seconds at full speed
};

/// Target whose serving task has a headroom of 1.5 to 2 without backfill.
struct simulated_target
{
    double phase = 0;
    std::map<run_id, simulated_run> runs;
    std::deque<double> headrooms; ///< of the last half second
    milliseconds over_target{0};  ///< of its serving task, until now
};

inline double headroom_without_backfill(const simulated_target& item,
                                        milliseconds at)
{
    constexpr double period_ms = 14'000;
    constexpr double two_pi = 6.283185307;
    const double turn =
        item.phase + two_pi * static_cast<double>(at.count()) / period_ms;
    return 1.75 + 0.25 * std::sin(turn);
}

/// What happens to a run that was evicted.
struct eviction_effect
{
    bool saves_work = false;      ///< the next run resumes its work
    milliseconds return_delay{0}; ///< until the start is queued again
};

struct waiting_backfill
{
    eviction_effect on_eviction;
    /// The owners of jobs ask about a start after this long without a run; {}:
    /// they do not.
    std::optional<milliseconds> asks_after;
    rack_state rack;
    interference_model model;
    std::map<std::string, simulated_target> targets;
    std::map<std::string, milliseconds> started; ///< first start, by task
    std::map<std::string, milliseconds> ended;   ///< by task
    milliseconds longest_over_target{0};
    double lowest_headroom_at_start = 10; ///< expected with the ordered speeds
    milliseconds longest_absence{0};      ///< of a job without a run, until now
    std::map<std::string, milliseconds> absent_since; ///< by task; {}: start
    std::map<std::string, double> saved_s;            ///< by task
    std::deque<std::pair<milliseconds, queued_start>> returning;
    std::minstd_rand random;

    waiting_backfill(int count, unsigned seed) : random(seed)
    {
        update_peer_interference(
            model, "h2", 1, {{"serving", "heavy", true_drop_per_core, 5'000}});
        merge_interference(model);
        std::uniform_real_distribution<double> any_phase(0, 6.28);
        for (int n = 0; n < count; ++n)
        {
            rack_target target;
            target.entry.id = "t" + std::to_string(n);
            target.entry.service = "svc";
            target.entry.capacity = {32'000, 125'000, 0};
            target.is_recorded = true;
            target.is_reached = true;
            target.started_ms = 1;
            placed_run serving;
            serving.task = "serving.0.0." + std::to_string(n);
            serving.run = 1;
            serving.terms = std::make_shared<const step_terms>(make_serving());
            serving.is_confirmed = true;
            target.runs[{serving.task, 1}] = serving;
            targets[target.entry.id].phase = any_phase(random);
            rack.targets[target.entry.id] = target;
        }
    }

    void run(milliseconds duration)
    {
        for (milliseconds at{0}; at < duration; at += step)
        {
            std::int64_t n = at / step;
            for (auto& [id, target] : rack.targets)
            {
                advance(targets[id], target, at);
                if (n++ % steps_per_poll == 0)
                {
                    poll(targets[id], target, at);
                }
            }
            queue_returning(at);
            ask(at);
            place(at);
        }
    }

    // Lets a target work for one step, with the speed limits that were ordered
    // before.
    void advance(simulated_target& item, rack_target& target, milliseconds at)
    {
        double headroom = headroom_without_backfill(item, at);
        for (auto it = item.runs.begin(); it != item.runs.end();)
        {
            const double speed = it->second.percent / 100.0;
            headroom -= true_drop_per_core * 5.0 * speed;
            it->second.done_s +=
                speed * static_cast<double>(step.count()) / 1'000.0;
            if (it->second.done_s >= work_s)
            {
                ended.emplace(it->first.first, at);
                target.runs.erase(it->first);
                it = item.runs.erase(it);
                continue;
            }
            it->second.percent =
                static_cast<double>(target.runs.at(it->first).percent);
            ++it;
        }
        item.headrooms.push_back(std::max(0.1, headroom));
        if (item.headrooms.size() > steps_per_report)
        {
            item.headrooms.pop_front();
        }
        item.over_target =
            headroom < 1.0 ? item.over_target + step : milliseconds(0);
        longest_over_target = std::max(longest_over_target, item.over_target);
    }

    void poll(simulated_target& item, rack_target& target, milliseconds at)
    {
        std::uniform_real_distribution<double> noise(0.97, 1.03);
        const double lowest =
            *std::min_element(item.headrooms.begin(), item.headrooms.end());
        for (auto& [id, run] : target.runs)
        {
            run.load =
                run.terms->uses_idle_cpu
                    ? std::lround(5'000 * item.runs.at(id).percent / 100.0)
                    : std::lround(response_target_ms / lowest * noise(random));
        }
        for (const run_id& id : decide_evictions(target, start_time + at))
        {
            queued_start again = make_backfill(0);
            again.task = id.first;
            again.run = id.second + 1;
            again.terms = target.runs.at(id).terms;
            again.waiting_since = start_time + at;
            target.runs.erase(id);
            if (on_eviction.saves_work)
            {
                saved_s[id.first] = item.runs.at(id).done_s;
            }
            item.runs.erase(id);
            absent_since[id.first] = at;
            returning.emplace_back(at + on_eviction.return_delay, again);
        }
        observe_target(target, model, start_time + at);
        static_cast<void>(decide_pace(target, model, start_time + at));
    }

    // Queues the starts of evicted runs whose delay is over.
    void queue_returning(milliseconds at)
    {
        while (!returning.empty() && returning.front().first <= at)
        {
            queued_start start = std::move(returning.front().second);
            returning.pop_front();
            start.queued_at = start_time + at;
            enqueue(rack, std::move(start));
        }
    }

    void ask(milliseconds at)
    {
        for (const queued_start& item : rack.queue)
        {
            const milliseconds absence = at - absent_since[item.task];
            longest_absence = std::max(longest_absence, absence);
            if (asks_after && absence >= *asks_after)
            {
                static_cast<void>(mark_overdue(rack, {item.task, item.run}));
            }
        }
    }

    void place(milliseconds at)
    {
        for (const placement& placed :
             place_starts(rack, model, start_time + at, 0))
        {
            const run_id id{placed.start.task, placed.start.run};
            placed_run& run = rack.targets.at(placed.target).runs.at(id);
            run.is_confirmed = true;
            run.confirmed_at = start_time + at;
            targets[placed.target].runs[id] = {100, saved_s[id.first]};
            started.emplace(id.first, at);
            double expected =
                headroom_without_backfill(targets[placed.target], at);
            for (const auto& [other, item] : targets[placed.target].runs)
            {
                expected -=
                    true_drop_per_core * 5.0 *
                    static_cast<double>(
                        rack.targets.at(placed.target).runs.at(other).percent) /
                    100.0;
            }
            lowest_headroom_at_start =
                std::min(lowest_headroom_at_start, expected);
        }
    }
};

} // namespace egretspindle::backfill_simulation

#endif
