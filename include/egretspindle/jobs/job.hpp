/// \file
/// State of a job.

#ifndef EGRETSPINDLE_JOBS_JOB_HPP
#define EGRETSPINDLE_JOBS_JOB_HPP

#include "egretspindle/jobs/job_spec.hpp"
#include "egretspindle/jobs/queue_terms.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Phase of a task.
enum class job_task_phase : char
{
    waiting = 'w',  ///< has no current run
    assigned = 'a', ///< a run is recorded and may be executing
    done = 'd',
    failed = 'f', ///< its failures have reached the limit of its queue
};

/// Recorded state of one task.
struct job_task
{
    job_task_phase phase = job_task_phase::waiting;
    std::int64_t run = 0; ///< number of the latest run; 0: no run yet
    /// Number of runs that ended as `failed`. A gang counts them at its first
    /// task, each of its runs once.
    std::int64_t failures = 0;
    /// Latest run of a gang that is counted in `failures`, at its first task;
    /// 0: none. Other tasks do not need it.
    std::int64_t last_failed_run = 0;
    std::string rack;       ///< rack of the latest run
    std::string checkpoint; ///< state to resume from; empty: none
};

/// State of one occurrence of a job: its tasks by step and index.
struct occurrence_state
{
    std::vector<std::vector<job_task>> steps;
};

/// Outcome of a job.
enum class job_outcome
{
    open,
    completed,
    failed,
    cancelled,
};

/// Returns the name of an outcome, for example `completed`.
[[nodiscard]] std::string_view to_string(job_outcome value) noexcept;

/// Job and the state of its tasks.
struct job
{
    std::string id;
    std::string queue; ///< name of the `queue_config`
    queue_terms terms; ///< latest known ones of the queue
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Unix time in ms
    std::int64_t ended_ms = 0;    ///< Unix time in ms; 0 while open
    bool has_started = false;     ///< a target has started a task
    job_outcome outcome = job_outcome::open;
    std::vector<occurrence_state> occurrences; ///< due so far
};

} // namespace egretspindle

#endif
