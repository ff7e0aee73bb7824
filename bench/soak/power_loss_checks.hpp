/// \file
/// Checks of a soak with losses of all hosts.

#ifndef EGRETSPINDLE_BENCH_SOAK_POWER_LOSS_CHECKS_HPP
#define EGRETSPINDLE_BENCH_SOAK_POWER_LOSS_CHECKS_HPP

#include "checks.hpp"
#include "soak_cluster.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Answers after the last loss of all hosts, by job.
using final_answers = std::map<std::string, job_call>;

/// Kills and restarts all hosts, then asks for the state of every job until the
/// system knows it for certain.
[[nodiscard]] final_answers ask_after_loss(soak_cluster& cluster,
                                           const soak_record& record);

/// Waits until no run of a job whose end was shown is left, as the journal of
/// the stand-in platform shows it.
void wait_for_runs(soak_cluster& cluster, const soak_record& record);

/// Checks that each job that was shown in a final state stays in it, also after
/// the last loss, and that refused jobs are not known then.
void check_final_states(const soak_record& record, const final_answers& answers,
                        std::vector<check_failure>& failures);

/// Checks that a job is shown as failed exactly if a task has failed as often
/// as the configuration allows, and that no run of that task follows.
void check_attempts(const soak_record& record,
                    std::vector<check_failure>& failures);

/// Checks that no time of a job starts early, and that a job is shown as
/// completed only after all tasks of all its times have ended as done.
void check_times(const soak_record& record,
                 std::vector<check_failure>& failures);

/// Returns copies of the jobs that have failed with cause, shown as completed:
/// `run_checks` expects this state of all jobs.
[[nodiscard]] std::deque<soak_job>
replace_failed_jobs(const soak_record& record);

} // namespace egretspindle::bench

#endif
