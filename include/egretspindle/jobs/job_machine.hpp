/// \file
/// Decisions on the tasks of a job. Free functions without I/O.

#ifndef EGRETSPINDLE_JOBS_JOB_MACHINE_HPP
#define EGRETSPINDLE_JOBS_JOB_MACHINE_HPP

#include "egretspindle/jobs/job.hpp"
#include "egretspindle/jobs/run_end.hpp"
#include "egretspindle/jobs/task_key.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Makes the job of a new submission.
///
/// \param now_ms  Unix time
[[nodiscard]] job make_job(std::string id, std::string queue, job_spec spec,
                           std::int64_t now_ms);

/// Tasks of one step that can be started now.
struct due_step
{
    std::size_t occurrence = 0;
    std::size_t step = 0;
    std::vector<std::size_t> tasks; ///< of a gang: all
};

/// Adds occurrences whose time has come.
///
/// \returns whether one was added
bool add_due_occurrences(job& value, std::int64_t now_ms);

/// Returns the tasks that wait and whose earlier steps are done.
[[nodiscard]] std::vector<due_step> due_steps(const job& value);

/// Records a new run of a task.
///
/// \returns the number of the run
std::int64_t assign_run(job& value, const task_key& key, std::string rack);

/// Records one run of all tasks of a gang.
///
/// \returns the number that the members share
std::int64_t assign_gang(job& value, const due_step& gang,
                         const std::string& rack);

/// What an end changed.
enum class end_effect
{
    none,       ///< the run is an earlier one, or the task has ended
    unrecorded, ///< the record names no such run: it is out of date
    changed,
};

/// Records the end of a run.
///
/// \param max_attempts  failed runs after which the job fails
/// \param now_ms        Unix time
end_effect end_run(job& value, const task_key& key, std::int64_t run,
                   run_end how, const std::string& checkpoint,
                   std::int64_t max_attempts, std::int64_t now_ms);

/// Ends a job on its caller's request.
///
/// \returns whether the job was open
bool cancel_job(job& value, std::int64_t now_ms);

/// Run that is recorded and may be at work.
struct assigned_run
{
    task_key key;
    std::int64_t run = 0;
    std::string rack;
};

/// Returns the recorded runs that have not ended.
[[nodiscard]] std::vector<assigned_run> assigned_runs(const job& value);

/// Returns the task, or null when the job has no such task.
[[nodiscard]] const job_task* find_task(const job& value, const task_key& key);

/// Returns the declared work of the longest chain of open steps.
///
/// \returns milliseconds
[[nodiscard]] std::int64_t remaining_chain_ms(const job& value);

/// Returns the declared work of the longest chain of all steps.
///
/// \returns milliseconds
[[nodiscard]] std::int64_t whole_chain_ms(const job& value);

/// Formats the state of a job for its caller: `queued`, `running`,
/// `completed`, `failed` or `cancelled`.
[[nodiscard]] std::string_view shown_state(const job& value) noexcept;

} // namespace egretspindle

#endif
