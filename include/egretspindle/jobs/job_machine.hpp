/// \file
/// State transitions of a job and its tasks. Free functions without I/O.

#ifndef EGRETSPINDLE_JOBS_JOB_MACHINE_HPP
#define EGRETSPINDLE_JOBS_JOB_MACHINE_HPP

#include "egretspindle/jobs/job.hpp"
#include "egretspindle/jobs/run_end.hpp"
#include "egretspindle/jobs/task_key.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Creates the job for a new submission, with the occurrences that are due.
///
/// \param now_ms  Unix time in ms
[[nodiscard]] job make_job(std::string id, std::string queue, job_spec spec,
                           std::int64_t now_ms);

/// Tasks of one step that can be started now.
struct due_step
{
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::vector<std::size_t> tasks; ///< indices in the step; of a gang: all
};

/// Adds the occurrences of an open job that have become due.
///
/// \param now_ms  Unix time in ms
/// \returns whether at least one was added
bool add_due_occurrences(job& value, std::int64_t now_ms);

/// Returns the waiting tasks of an open job whose preceding steps are done. A
/// gang is included only when all its tasks are waiting.
[[nodiscard]] std::vector<due_step> due_steps(const job& value);

/// Assigns a new run of a task, which must exist, to a rack.
///
/// \returns the number of the run, counted from 1 for each task
std::int64_t assign_run(job& value, const task_key& key, std::string rack);

/// Effect of the end of a run on its job.
enum class end_effect
{
    none,       ///< the run is outdated or has already ended
    unrecorded, ///< no such run is known; the job may be outdated
    changed,    ///< the job was changed and has to be written
};

/// Records the end of a run, and the end of the job if it follows from it.
///
/// \param max_attempts  failed runs of one task or gang after which the job
///                      fails; no value: not known now, see
///                      `apply_attempt_limit`. Long-running tasks have no limit
/// \param now_ms        Unix time in ms
/// \returns the effect; the job is unchanged unless it is `changed`
end_effect end_run(job& value, const task_key& key, std::int64_t run,
                   run_end how, const std::string& checkpoint,
                   std::optional<std::int64_t> max_attempts,
                   std::int64_t now_ms);

/// Ends an open job as failed if the failures of one of its waiting tasks or
/// gangs have reached the limit. They may have been recorded while the limit
/// was not known.
///
/// \param max_attempts  see `end_run`
/// \param now_ms        Unix time in ms
/// \returns whether the job has failed
bool apply_attempt_limit(job& value, std::int64_t max_attempts,
                         std::int64_t now_ms);

/// Cancels a job if it is open. Its assigned runs remain until they end.
///
/// \param now_ms  Unix time in ms
/// \returns whether the job was open
bool cancel_job(job& value, std::int64_t now_ms);

/// Recorded run that may be executing.
struct assigned_run
{
    task_key key;
    std::int64_t run = 0;
    std::string rack;
};

/// Returns the runs that are recorded and have not ended.
[[nodiscard]] std::vector<assigned_run> assigned_runs(const job& value);

/// Returns a task, or null when the job has no such task.
[[nodiscard]] const job_task* find_task(const job& value, const task_key& key);

/// Returns the declared duration of the longest chain of dependent steps that
/// are not done, in the occurrences due so far.
///
/// \returns milliseconds
[[nodiscard]] std::int64_t remaining_chain_ms(const job& value);

/// Returns the declared duration of the longest chain of dependent steps of one
/// occurrence, done or not.
///
/// \returns milliseconds
[[nodiscard]] std::int64_t total_chain_ms(const job& value);

/// Returns the name of a job's state as shown to callers: `queued`, `running`,
/// `completed`, `failed` or `cancelled`.
[[nodiscard]] std::string_view state_name(const job& value) noexcept;

} // namespace egretspindle

#endif
