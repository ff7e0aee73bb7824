/// \file
/// Health of targets, derived from the results of their tasks.

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

/// Recent results and health state of one target.
struct target_health
{
    target_health_state health_state = target_health_state::healthy;
    std::deque<task_result> results; ///< the 24 most recent ones
    time_point changed;              ///< last change of the health state
    double quarantine_ms = 0;        ///< length of the last quarantine
    int successes = 0;               ///< successes since the last change
};

/// Health of the targets as one host observes them.
///
/// A failure counts against a target only when the job has not failed on
/// another healthy target, so that a failing job does not quarantine targets.
struct health_table
{
    std::map<std::string, target_health> targets;
    /// Targets on which each job failed, with the time of the last failure.
    std::map<std::string, std::map<std::string, time_point>> failed_on;
    double max_quarantined = 0.25; ///< fraction of the targets
    std::size_t max_jobs = 20000;  ///< limit of `failed_on`
};

/// Sets the known targets and removes those that are not listed.
void set_targets(health_table& table, absl::Span<const std::string> names);

/// Records a result and updates the health state of its target.
///
/// Results of cancelled and evicted attempts are not recorded.
void observe_result(health_table& table, const std::string& target,
                    const task_result& result);

/// Applies changes that depend on time: from quarantined to probing, and from
/// probing to returning when no probe has succeeded for 60 s.
void advance_health(health_table& table, time_point now);

/// Returns the health state of a target.
[[nodiscard]] target_health_state health_state_of(const health_table& table,
                                                  const std::string& target);

/// What to do with a job after a failed attempt. A parked job is not retried.
enum class job_verdict
{
    retry,           ///< try again on another target
    park_failing,    ///< park: failed on several healthy targets
    park_never_fits, ///< park: larger than every target
};

/// Verdict and the targets to exclude from the next attempt.
struct job_decision
{
    job_verdict verdict = job_verdict::retry;
    std::vector<std::string> excluded;
    std::string reason;
};

/// Decides on a job after a failed attempt was recorded.
///
/// A job is parked after failures on three distinct targets that have successes
/// among their recent results; failures on suspect targets, which are not
/// healthy or fail most of their jobs, do not count.
[[nodiscard]] job_decision decide_on_job(const health_table& table,
                                         const std::string& key);

/// Decides on a job that is too large for every rack asked so far.
///
/// \param asked  number of racks that replied that it never fits
/// \param racks  number of racks
[[nodiscard]] job_decision decide_on_oversized_job(std::size_t asked,
                                                   std::size_t racks);

/// Removes the failures of a finished job.
void remove_job(health_table& table, const std::string& key);

} // namespace egretspindle

#endif
