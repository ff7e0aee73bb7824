/// \file
/// Metrics of the owner of job shards.

#ifndef EGRETSPINDLE_SCHEDULER_JOB_METRICS_HPP
#define EGRETSPINDLE_SCHEDULER_JOB_METRICS_HPP

#include "egretspindle/jobs/run_end.hpp"
#include "egretspindle/metrics/metric_registry.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace egretspindle
{

/// Reason why the owner of a shard refuses a submission.
enum class refusal_reason
{
    no_room,      ///< the remaining capacity is kept for short tasks
    store_down,   ///< writes of records are failing
    not_recorded, ///< the job's record could not be written
    no_queue,     ///< a later configuration does not have the queue
};

/// Returns the name of a reason for labels and log lines.
[[nodiscard]] std::string_view to_string(refusal_reason value) noexcept;

/// What an open job without a task at work waits for.
enum class idle_reason
{
    no_queue,  ///< its queue is not in the configuration
    no_target, ///< no target can take its due tasks
    order,     ///< its starts have not been sent, or not confirmed by a rack
    rack,      ///< racks have its starts, in a queue or on the way to a target
};

/// Open jobs that have had no task at work for too long, by reason, and
/// long-running tasks that are not at work.
struct idle_counts
{
    std::array<std::int64_t, 4> jobs{};       ///< by `idle_reason`
    std::array<std::int64_t, 4> longest_ms{}; ///< by `idle_reason`
    std::int64_t away = 0;                    ///< long-running tasks
    std::int64_t long_away = 0; ///< those of them that are for too long
};

/// Series for jobs or tasks that are short, then for long-running ones.
template <typename Metric>
using by_task_kind = std::array<Metric*, 2>;

/// Returns the series for long-running tasks, or for short ones.
template <typename Metric>
[[nodiscard]] Metric& series_of(const by_task_kind<Metric>& all,
                                bool is_long_running) noexcept
{
    return *all[is_long_running ? 1 : 0];
}

/// Metrics of a job coordinator.
///
/// All series exist from the start. An update is an atomic operation or takes a
/// lock briefly.
struct job_metrics
{
    explicit job_metrics(metric_registry& registry);

    /// Counts a submission that was refused.
    ///
    /// \param is_certain  whether no earlier attempt can be stored either
    void count_refusal(refusal_reason reason, bool is_certain) const noexcept;

    /// Counts the end of a run.
    void count_end(run_end how) const noexcept;

    /// Sets the gauges of idle jobs and absent long-running tasks.
    void set_idle(const idle_counts& counts) const noexcept;

    static constexpr std::size_t idle_reason_count = 4;
    static constexpr std::size_t refusal_reason_count = 4;
    static constexpr std::size_t run_end_count = 8;

    counter& accepted;
    /// Submissions neither recorded nor refused within the caller's time limit,
    /// or whose shard was lost meanwhile.
    counter& unknown;
    /// Certain refusals, by reason.
    std::array<counter*, refusal_reason_count> refused{};
    /// Refusals while an earlier attempt may be stored, by reason.
    std::array<counter*, refusal_reason_count> uncertain{};
    std::array<counter*, run_end_count> ended{}; ///< by `run_end`
    /// Time in ms from the acceptance of a job, or from its `start_at_ms` if
    /// that is later, to its first start. Only jobs submitted to this host.
    by_task_kind<latency_summary> first_start{};
    /// Longest such time of the open jobs without a start.
    by_task_kind<gauge> oldest_unstarted{};
    /// Time in ms from the end of the last run of a task, or from when it
    /// became due, until it is at work.
    by_task_kind<latency_summary> away{};
    /// Longest time in ms for which a task of an open job has not been at work.
    by_task_kind<gauge> longest_away{};
    std::array<gauge*, idle_reason_count> idle_jobs{};    ///< by `idle_reason`
    std::array<gauge*, idle_reason_count> longest_idle{}; ///< ms
    gauge& long_running_away;
    gauge& long_running_long_away; ///< for longer than users expect
    /// Time in ms from the close of a job, or from when this host read it as a
    /// closed one, until its first stops are sent. Only jobs with assigned
    /// runs.
    latency_summary& first_stops;
    // Duration in ms of a write of job records, by its result.
    latency_summary& write_committed;
    latency_summary& write_conflict;
    latency_summary& write_overloaded; ///< refused for overload
    latency_summary& write_failed;
    gauge& write_interval; ///< in ms, of limited writes; 0: not limited
    gauge& open_jobs;
    gauge& queued_jobs;        ///< open and not started
    gauge& steps_without_rack; ///< due steps not assigned in the last tick
    gauge& unwritten_jobs;     ///< changed jobs that wait for a writer
    gauge& shards;             ///< owned by this host
    gauge& loading_shards;     ///< owned, but their jobs are not all read
};

} // namespace egretspindle

#endif
