#include "egretspindle/scheduler/job_metrics.hpp"

#include <string>

namespace egretspindle
{

namespace
{

// In the order of `idle_reason`.
constexpr std::array<const char*, job_metrics::idle_reason_count>
    idle_reason_names{"no_queue", "no_target", "order", "rack"};

counter& verdict_counter(metric_registry& registry, const char* verdict,
                         std::string_view reason)
{
    return registry.get_counter(
        "egretspindle_job_verdicts_total",
        "Submissions by the verdict of the shard's owner.",
        {{"verdict", verdict}, {"reason", std::string(reason)}});
}

latency_summary& write_summary(metric_registry& registry, const char* result)
{
    return registry.get_summary("egretspindle_record_write_milliseconds",
                                "Duration of a transaction of job records.",
                                {{"result", result}});
}

} // namespace

std::string_view to_string(refusal_reason value) noexcept
{
    switch (value)
    {
    case refusal_reason::no_room:
        return "no_room";
    case refusal_reason::store_down:
        return "store_down";
    case refusal_reason::no_queue:
        return "no_queue";
    case refusal_reason::not_recorded:
        break;
    }
    return "not_recorded";
}

job_metrics::job_metrics(metric_registry& registry)
    : accepted(verdict_counter(registry, "accepted", "")),
      unknown(verdict_counter(registry, "unknown", "")),
      long_running_away(
          registry.get_gauge("egretspindle_lasting_tasks_away",
                             "Tasks that last and are not at work.")),
      long_running_long_away(registry.get_gauge(
          "egretspindle_lasting_tasks_away_long",
          "Tasks that last and have not been at work for over 6 s.")),
      first_stops(registry.get_summary(
          "egretspindle_job_first_stops_milliseconds",
          "Time from the end of a job until the stops of its runs are sent.")),
      write_committed(write_summary(registry, "committed")),
      write_conflict(write_summary(registry, "conflict")),
      write_overloaded(write_summary(registry, "overloaded")),
      write_failed(write_summary(registry, "failed")),
      write_interval(registry.get_gauge(
          "egretspindle_record_write_interval_milliseconds",
          "Interval of writes that an overloaded store limits; 0: none.")),
      open_jobs(registry.get_gauge("egretspindle_open_jobs",
                                   "Open jobs of the shards of this host.")),
      queued_jobs(registry.get_gauge("egretspindle_queued_jobs",
                                     "Open jobs that no target has begun.")),
      steps_without_rack(registry.get_gauge(
          "egretspindle_steps_without_rack",
          "Due steps that no rack can take, at the last look.")),
      unwritten_jobs(
          registry.get_gauge("egretspindle_unwritten_jobs",
                             "Changed records that wait for a writer.")),
      shards(registry.get_gauge("egretspindle_shards_owned",
                                "Job shards of this host.")),
      loading_shards(
          registry.get_gauge("egretspindle_shards_loading",
                             "Job shards whose records are being read."))
{
    for (std::size_t n = 0; n < refusal_reason_count; ++n)
    {
        const std::string_view reason =
            to_string(static_cast<refusal_reason>(n));
        refused[n] = &verdict_counter(registry, "refused", reason);
        uncertain[n] = &verdict_counter(registry, "uncertain", reason);
    }
    for (std::size_t n = 0; n < run_end_count; ++n)
    {
        ended[n] = &registry.get_counter(
            "egretspindle_runs_ended_total", "Recorded ends of runs.",
            {{"how", std::string(to_string(static_cast<run_end>(n)))}});
    }
    for (std::size_t n = 0; n < idle_reason_count; ++n)
    {
        const metric_labels labels{{"for", idle_reason_names[n]}};
        idle_jobs[n] =
            &registry.get_gauge("egretspindle_idle_jobs",
                                "Open jobs with a due task that have had none "
                                "at work for over 3 s.",
                                labels);
        longest_idle[n] = &registry.get_gauge(
            "egretspindle_idle_job_longest_milliseconds",
            "Longest time for which such a job has had none at work.", labels);
    }
    for (const bool is_long_running : {false, true})
    {
        const metric_labels labels{
            {"tasks", is_long_running ? "lasting" : "short"}};
        const std::size_t n = is_long_running ? 1 : 0;
        first_start[n] = &registry.get_summary(
            "egretspindle_job_first_start_milliseconds",
            "Time from the acceptance of a job to its first start.", labels);
        oldest_unstarted[n] = &registry.get_gauge(
            "egretspindle_oldest_unstarted_job_milliseconds",
            "Age of the oldest job that no target has begun.", labels);
        away[n] = &registry.get_summary(
            "egretspindle_task_away_milliseconds",
            "Time for which a task that is due was not at work.", labels);
        longest_away[n] = &registry.get_gauge(
            "egretspindle_task_longest_away_milliseconds",
            "Longest time for which a task has not been at work.", labels);
    }
}

void job_metrics::count_refusal(refusal_reason reason,
                                bool is_certain) const noexcept
{
    (is_certain ? refused : uncertain)[static_cast<std::size_t>(reason)]->add();
}

void job_metrics::count_end(run_end how) const noexcept
{
    ended[static_cast<std::size_t>(how)]->add();
}

void job_metrics::set_idle(const idle_counts& counts) const noexcept
{
    for (std::size_t n = 0; n < idle_reason_count; ++n)
    {
        idle_jobs[n]->set(static_cast<double>(counts.jobs[n]));
        longest_idle[n]->set(static_cast<double>(counts.longest_ms[n]));
    }
    long_running_away.set(static_cast<double>(counts.away));
    long_running_long_away.set(static_cast<double>(counts.long_away));
}

} // namespace egretspindle
