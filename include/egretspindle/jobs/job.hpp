/// \file
/// State of a job.

#ifndef EGRETSPINDLE_JOBS_JOB_HPP
#define EGRETSPINDLE_JOBS_JOB_HPP

#include "egretspindle/jobs/job_spec.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Where a task stands.
enum class job_task_phase : char
{
    waiting = 'w',  ///< no run is recorded
    assigned = 'a', ///< a run is recorded and may be at work
    done = 'd',
    failed = 'f', ///< has used all attempts
};

/// What the record says of one task.
struct job_task
{
    job_task_phase phase = job_task_phase::waiting;
    std::int64_t run = 0;      ///< number of the latest run; 0: none yet
    std::int64_t failures = 0; ///< runs that ended as failed
    std::string rack;          ///< of the latest run
    std::string checkpoint;    ///< to resume from; empty: from the start
};

/// Tasks by step and index.
struct occurrence_state
{
    std::vector<std::vector<job_task>> steps;
};

/// Outcome of a job as its caller sees it.
enum class job_outcome
{
    open,
    completed,
    failed,
    cancelled,
};

/// Returns the name of an outcome, for example `completed`.
[[nodiscard]] std::string_view to_string(job_outcome value) noexcept;

/// Job with the state of its tasks.
struct job
{
    std::string id;
    std::string queue;
    job_spec spec;
    std::int64_t accepted_ms = 0; ///< Unix time
    std::int64_t ended_ms = 0;    ///< Unix time; 0 while open
    bool has_started = false;     ///< a target has begun a task
    job_outcome outcome = job_outcome::open;
    std::vector<occurrence_state> occurrences; ///< those due so far
};

} // namespace egretspindle

#endif
