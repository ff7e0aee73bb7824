/// \file
/// Job of a client and the replies to the requests about it.

#ifndef EGRETSPINDLE_BENCH_SOAK_SOAK_JOB_HPP
#define EGRETSPINDLE_BENCH_SOAK_SOAK_JOB_HPP

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace egretspindle::bench
{

/// Step of a job.
struct soak_step
{
    int count = 1;
    std::int64_t cpu_milli = 1'000;
    std::int64_t duration_ms = 100;
    std::vector<int> after; ///< earlier steps
    int failures = 0;       ///< of the first runs of each task
};

/// One request about a job and the reply to it.
struct job_call
{
    std::string method;
    std::string host;
    int status = 0;    ///< 0: no response
    std::string state; ///< of the job, if the reply has one
    std::int64_t sent_ms = 0;
    std::int64_t answered_ms = 0;
};

/// Job of a client. Only its client's thread uses it while clients run.
struct soak_job
{
    std::string id;
    std::vector<soak_step> steps;
    bool is_long_running = false; ///< runs until it is cancelled
    int repeat_count = 0;         ///< times that the steps run; 0: once
    std::int64_t start_at_ms = 0; ///< of the first time, steady clock
    std::int64_t interval_ms = 0; ///< between two times
    std::vector<job_call> calls;

    bool is_abandoned = false;     ///< not submitted again, after refusals only
    std::int64_t accepted_ms = 0;  ///< first 2xx to a submission; 0: none
    std::int64_t cancelled_ms = 0; ///< first 2xx with `cancelled`; 0: none
    std::int64_t cancel_due_ms = 0; ///< when the client cancels it; 0: never
    std::string last_state;
    bool is_known_at_end = false; ///< a query after the load was answered
};

/// Returns whether the job was shown in a final state.
[[nodiscard]] inline bool is_final(const soak_job& job)
{
    return job.last_state == "completed" || job.last_state == "cancelled" ||
           job.last_state == "failed";
}

/// Returns whether the job was submitted and every submission was refused.
[[nodiscard]] bool was_refused_only(const soak_job& job);

/// Chooses a job of one to three steps.
[[nodiscard]] soak_job choose_job(std::mt19937& random);

/// Chooses a job with one step of many short tasks.
[[nodiscard]] soak_job choose_short_tasks(std::mt19937& random);

/// Number of failed runs of a task after which its job has failed, in the
/// configuration of a soak with losses of all hosts.
constexpr int power_loss_max_attempts = 4;

/// Chooses a job like `choose_job`. In one of six, the tasks of the last step
/// fail in each run, or in one run less than makes the job fail. One of eight
/// runs several times, from a later time on.
[[nodiscard]] soak_job choose_failing_or_timed_job(std::mt19937& random);
/// Chooses a job of one or two small tasks.
[[nodiscard]] soak_job choose_small_job(std::mt19937& random);

/// Chooses the next job of a client.
using job_chooser = soak_job (*)(std::mt19937& random);

/// Returns the body of a submission.
[[nodiscard]] std::string submission_of(const soak_job& job);

/// Returns the name of a task, as targets list it.
[[nodiscard]] std::string task_name(const std::string& job, std::size_t step,
                                    int index, int occurrence = 0);

} // namespace egretspindle::bench

#endif
