#include "egretspindle/admission/health_table.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_results = 24;
// Older results are ignored, as they do not reflect the present state.
constexpr milliseconds max_result_age{300000};
// Number of distinct failed jobs that is needed for a quarantine.
constexpr std::size_t min_failed_jobs = 3;
// Fraction of failed jobs from which a target is quarantined.
constexpr double failure_share = 0.6;
constexpr double initial_quarantine_ms = 10000;
constexpr double max_quarantine_ms = 600000;
// Consecutive successes that end probing, and then the return at half load.
constexpr int successes_to_return = 2;
constexpr int successes_to_healthy = 6;
// Probes are batch tasks. Without any batch work, the target returns after this
// time without a successful probe; its next failure quarantines it again.
constexpr double max_probe_wait_ms = 60000;
// Number of distinct targets, not suspect and with successes, on which a job
// fails before it is parked.
constexpr std::size_t targets_to_park = 3;

/// Recent results of one target.
struct target_results
{
    std::set<std::string> failed;    ///< jobs that failed only here
    std::set<std::string> succeeded; ///< jobs that succeeded here
    int failed_elsewhere = 0;        ///< failures blamed on the job
};

bool is_suspect(const health_table& table, const std::string& target);

/// Returns whether the job also failed on another target that is not suspect.
bool has_failed_elsewhere(const health_table& table, const std::string& key,
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

/// Returns whether a target is not healthy, or at least `min_failed_jobs` jobs
/// and more than have succeeded failed on it, by its own results of any age.
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

target_results evaluate_results(const health_table& table,
                                const std::string& target, time_point now)
{
    target_results found;
    for (const task_result& result : table.targets.at(target).results)
    {
        if (now - result.ended > max_result_age)
        {
            continue;
        }
        if (result.ok)
        {
            found.succeeded.insert(result.key);
        }
        else if (has_failed_elsewhere(table, result.key, target))
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

void set_health_state(target_health& health, target_health_state health_state,
                      time_point now)
{
    health.health_state = health_state;
    health.changed = now;
    health.successes = 0;
}

void quarantine(target_health& health, time_point now)
{
    set_health_state(health, target_health_state::quarantined, now);
    health.quarantine_ms =
        health.quarantine_ms <= 0
            ? initial_quarantine_ms
            : std::min(2 * health.quarantine_ms, max_quarantine_ms);
}

void quarantine_if_failing(health_table& table, const std::string& target,
                           time_point now)
{
    const target_results found = evaluate_results(table, target, now);
    const double all =
        static_cast<double>(found.failed.size() + found.succeeded.size());
    if (found.failed.size() >= min_failed_jobs &&
        static_cast<double>(found.failed.size()) >= failure_share * all &&
        may_quarantine(table))
    {
        quarantine(table.targets[target], now);
    }
}

void count_probe_result(health_table& table, const std::string& target,
                        const task_result& result)
{
    target_health& health = table.targets[target];
    if (!result.ok)
    {
        if (!has_failed_elsewhere(table, result.key, target))
        {
            quarantine(health, result.ended);
        }
        return;
    }
    ++health.successes;
    if (health.health_state == target_health_state::probing &&
        health.successes >= successes_to_return)
    {
        set_health_state(health, target_health_state::returning, result.ended);
    }
    else if (health.health_state == target_health_state::returning &&
             health.successes >= successes_to_healthy)
    {
        set_health_state(health, target_health_state::healthy, result.ended);
        health.quarantine_ms = 0;
        health.results.clear();
    }
}

void limit_failed_jobs(health_table& table)
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
        limit_failed_jobs(table);
    }
    switch (health.health_state)
    {
    case target_health_state::healthy:
        if (!result.ok)
        {
            quarantine_if_failing(table, target, result.ended);
        }
        break;
    case target_health_state::quarantined:
        break;
    case target_health_state::probing:
    case target_health_state::returning:
        count_probe_result(table, target, result);
        break;
    }
}

void advance_health(health_table& table, time_point now)
{
    for (auto& [name, health] : table.targets)
    {
        const double time_in_state_ms =
            std::chrono::duration<double, std::milli>(now - health.changed)
                .count();
        if (health.health_state == target_health_state::quarantined &&
            time_in_state_ms >= health.quarantine_ms)
        {
            set_health_state(health, target_health_state::probing, now);
        }
        else if (health.health_state == target_health_state::probing &&
                 health.successes == 0 && time_in_state_ms >= max_probe_wait_ms)
        {
            set_health_state(health, target_health_state::returning, now);
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

job_decision decide_on_job(const health_table& table, const std::string& key)
{
    job_decision decision;
    const auto it = table.failed_on.find(key);
    if (it == table.failed_on.end())
    {
        return decision;
    }
    std::size_t failures = 0;
    for (const auto& [target, last] : it->second)
    {
        decision.excluded.push_back(target);
        const auto health = table.targets.find(target);
        const bool is_proven =
            health != table.targets.end() && !is_suspect(table, target) &&
            std::any_of(health->second.results.begin(),
                        health->second.results.end(),
                        [](const task_result& result) { return result.ok; });
        failures += is_proven ? 1 : 0;
    }
    if (failures >= targets_to_park)
    {
        decision.verdict = job_verdict::park_failing;
        decision.reason = "failed on " + std::to_string(failures) +
                          " targets that succeed with other jobs";
    }
    return decision;
}

job_decision decide_on_oversized_job(std::size_t asked, std::size_t racks)
{
    job_decision decision;
    if (asked >= racks && racks > 0)
    {
        decision.verdict = job_verdict::park_never_fits;
        decision.reason = "larger than every target";
    }
    return decision;
}

void remove_job(health_table& table, const std::string& key)
{
    table.failed_on.erase(key);
}

} // namespace egretspindle
