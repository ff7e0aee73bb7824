/// \file
/// Health of targets judged by the results of tasks.

#ifndef EGRETSPINDLE_ADMISSION_HEALTH_TABLE_HPP
#define EGRETSPINDLE_ADMISSION_HEALTH_TABLE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/target_health_state.hpp"

#include <absl/types/span.h>

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Result of one attempt on a target.
struct task_result
{
    std::string key;
    std::string kind;
    std::string team;
    bool ok = false;
    time_point ended;
};

/// Recent results and standing of one target.
struct target_health
{
    target_health_state health_state = target_health_state::healthy;
    std::deque<task_result> results; ///< latest results, bounded
    time_point changed;              ///< of the standing
    double pause_ms = 0;             ///< time before the next probe
    int good_probes = 0;
};

/// Health of the targets that one host sees.
///
/// A failure counts against a target only when the job has not failed on
/// another target that is healthy, so that a bad job condemns no target.
struct health_table
{
    std::map<std::string, target_health> targets;
    /// Targets on which a job failed, and whether it was ever successful.
    std::map<std::string, std::map<std::string, time_point>> failed_on;
    double max_quarantined = 0.25; ///< share of the targets
    std::size_t max_jobs = 20000;  ///< bound of `failed_on`
};

/// Makes the targets known; forgets those that are not listed.
void set_targets(health_table& table, absl::Span<const std::string> names);

/// Records a result and changes the standing of its target when due.
///
/// Results of cancelled and evicted attempts are not recorded.
void observe_result(health_table& table, const std::string& target,
                    const task_result& result);

/// Moves standings that change with time: quarantined to probing, and on to
/// returning when no probe came.
void advance_health(health_table& table, time_point now);

/// Returns the standing of a target.
[[nodiscard]] target_health_state health_state_of(const health_table& table,
                                                  const std::string& target);

/// Verdict on a job after a failed attempt.
enum class job_verdict
{
    retry,           ///< try again on another target
    park_fails,      ///< failed on several healthy targets
    park_never_fits, ///< larger than every target
};

/// Verdict and the targets to avoid in the next attempt.
struct job_decision
{
    job_verdict verdict = job_verdict::retry;
    std::vector<std::string> excluded;
    std::string reason;
};

/// Judges a job after a failed attempt was recorded.
///
/// A job is parked after failures on three distinct targets that succeed with
/// other jobs; failures on suspect targets do not count.
[[nodiscard]] job_decision judge_job(const health_table& table,
                                     const std::string& key);

/// Judges a job that no rack could ever hold.
///
/// \param asked  racks that answered, of which all said it never fits
[[nodiscard]] job_decision judge_misfit(std::size_t asked, std::size_t racks);

/// Forgets a finished job.
void forget_job(health_table& table, const std::string& key);

} // namespace egretspindle

#endif
