#include "egretspindle/admission/health_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_results = 24;
// Results older than this say nothing about the present state.
constexpr milliseconds result_memory{300000};
// Distinct failed jobs after which a target may be quarantined.
constexpr std::size_t min_failed_jobs = 3;
// Share of failures above which it is quarantined.
constexpr double failure_share = 0.6;
constexpr double first_pause_ms = 10000;
constexpr double max_pause_ms = 600000;
// Successes in a row that end probing, and then the gradual return.
constexpr int probes_to_return = 2;
constexpr int returns_to_healthy = 6;
// Probes are batch tasks. Where there is only urgent work the target returns
// after this time without one; its next failure quarantines it again.
constexpr double probe_wait_ms = 60000;
// Distinct healthy targets on which a job must fail before it is parked.
constexpr std::size_t targets_to_park = 3;

/// Judges the results of one target.
struct evidence
{
    std::set<std::string> failed;    ///< jobs that failed here only
    std::set<std::string> succeeded; ///< jobs
    int failed_elsewhere = 0;        ///< not counted against the target
};

bool is_suspect(const health_table& table, const std::string& target);

/// Returns whether the job failed on another target that is not suspect.
bool fails_elsewhere(const health_table& table, const std::string& key,
                     const std::string& target)
{
    const auto it = table.failed_on.find(key);
    if (it == table.failed_on.end())
    {
        return false;
    }
    return std::any_of(it->second.begin(), it->second.end(),
                       [&](const auto& entry) {
                           return entry.first != target &&
                                  !is_suspect(table, entry.first);
                       });
}

/// Returns whether a target fails most of its jobs, by its own results only.
bool is_suspect(const health_table& table, const std::string& target)
{
    const auto it = table.targets.find(target);
    if (it == table.targets.end())
    {
        return false;
    }
    if (it->second.health_state != target_health_state::healthy)
    {
        return true;
    }
    std::set<std::string> failed;
    std::set<std::string> succeeded;
    for (const task_result& result : it->second.results)
    {
        (result.ok ? succeeded : failed).insert(result.key);
    }
    return failed.size() >= min_failed_jobs && failed.size() > succeeded.size();
}

evidence weigh(const health_table& table, const std::string& target,
               time_point now)
{
    evidence found;
    for (const task_result& result : table.targets.at(target).results)
    {
        if (now - result.ended > result_memory)
        {
            continue;
        }
        if (result.ok)
        {
            found.succeeded.insert(result.key);
        }
        else if (fails_elsewhere(table, result.key, target))
        {
            ++found.failed_elsewhere;
        }
        else
        {
            found.failed.insert(result.key);
        }
    }
    return found;
}

bool may_quarantine(const health_table& table)
{
    const auto n = std::count_if(
        table.targets.begin(), table.targets.end(),
        [](const auto& entry)
        { return entry.second.health_state != target_health_state::healthy; });
    return static_cast<double>(n + 1) <=
           std::floor(table.max_quarantined *
                          static_cast<double>(table.targets.size()) +
                      1e-9);
}

void set_standing(target_health& health, target_health_state health_state,
                  time_point now)
{
    health.health_state = health_state;
    health.changed = now;
    health.good_probes = 0;
}

void quarantine(target_health& health, time_point now)
{
    set_standing(health, target_health_state::quarantined, now);
    health.pause_ms = health.pause_ms <= 0
                          ? first_pause_ms
                          : std::min(2 * health.pause_ms, max_pause_ms);
}

void observe_healthy(health_table& table, const std::string& target,
                     time_point now)
{
    const evidence found = weigh(table, target, now);
    const double all =
        static_cast<double>(found.failed.size() + found.succeeded.size());
    if (found.failed.size() >= min_failed_jobs &&
        static_cast<double>(found.failed.size()) >= failure_share * all &&
        may_quarantine(table))
    {
        quarantine(table.targets[target], now);
    }
}

void observe_returning(health_table& table, const std::string& target,
                       const task_result& result)
{
    target_health& health = table.targets[target];
    if (!result.ok)
    {
        if (!fails_elsewhere(table, result.key, target))
        {
            quarantine(health, result.ended);
        }
        return;
    }
    ++health.good_probes;
    if (health.health_state == target_health_state::probing &&
        health.good_probes >= probes_to_return)
    {
        set_standing(health, target_health_state::returning, result.ended);
    }
    else if (health.health_state == target_health_state::returning &&
             health.good_probes >= returns_to_healthy)
    {
        set_standing(health, target_health_state::healthy, result.ended);
        health.pause_ms = 0;
        health.results.clear();
    }
}

void bound_jobs(health_table& table)
{
    while (table.failed_on.size() > table.max_jobs)
    {
        table.failed_on.erase(table.failed_on.begin());
    }
}

} // namespace

void set_targets(health_table& table, absl::Span<const std::string> names)
{
    std::map<std::string, target_health> known;
    for (const std::string& name : names)
    {
        const auto it = table.targets.find(name);
        known[name] = it == table.targets.end() ? target_health{} : it->second;
    }
    table.targets = std::move(known);
}

void observe_result(health_table& table, const std::string& target,
                    const task_result& result)
{
    target_health& health = table.targets[target];
    health.results.push_back(result);
    if (health.results.size() > max_results)
    {
        health.results.pop_front();
    }
    if (!result.ok)
    {
        table.failed_on[result.key][target] = result.ended;
        bound_jobs(table);
    }
    switch (health.health_state)
    {
    case target_health_state::healthy:
        if (!result.ok)
        {
            observe_healthy(table, target, result.ended);
        }
        break;
    case target_health_state::quarantined:
        break;
    case target_health_state::probing:
    case target_health_state::returning:
        observe_returning(table, target, result);
        break;
    }
}

void advance_health(health_table& table, time_point now)
{
    for (auto& [name, health] : table.targets)
    {
        const double paused =
            std::chrono::duration<double, std::milli>(now - health.changed)
                .count();
        if (health.health_state == target_health_state::quarantined &&
            paused >= health.pause_ms)
        {
            set_standing(health, target_health_state::probing, now);
        }
        else if (health.health_state == target_health_state::probing &&
                 health.good_probes == 0 && paused >= probe_wait_ms)
        {
            set_standing(health, target_health_state::returning, now);
        }
    }
}

target_health_state health_state_of(const health_table& table,
                                    const std::string& target)
{
    const auto it = table.targets.find(target);
    return it == table.targets.end() ? target_health_state::healthy
                                     : it->second.health_state;
}

job_decision judge_job(const health_table& table, const std::string& key)
{
    job_decision decision;
    const auto it = table.failed_on.find(key);
    if (it == table.failed_on.end())
    {
        return decision;
    }
    std::size_t counted = 0;
    for (const auto& [target, last] : it->second)
    {
        decision.excluded.push_back(target);
        const auto health = table.targets.find(target);
        const bool proven =
            health != table.targets.end() && !is_suspect(table, target) &&
            std::any_of(health->second.results.begin(),
                        health->second.results.end(),
                        [](const task_result& result) { return result.ok; });
        counted += proven ? 1 : 0;
    }
    if (counted >= targets_to_park)
    {
        decision.verdict = job_verdict::park_fails;
        decision.reason = "failed on " + std::to_string(counted) +
                          " targets that succeed with other jobs";
    }
    return decision;
}

job_decision judge_misfit(std::size_t asked, std::size_t racks)
{
    job_decision decision;
    if (asked >= racks && racks > 0)
    {
        decision.verdict = job_verdict::park_never_fits;
        decision.reason = "larger than every target";
    }
    return decision;
}

void forget_job(health_table& table, const std::string& key)
{
    table.failed_on.erase(key);
}

} // namespace egretspindle
