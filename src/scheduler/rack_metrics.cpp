#include "egretspindle/scheduler/rack_metrics.hpp"

#include <string>

namespace egretspindle
{

namespace
{

constexpr std::array<const char*, 3> order_names{"start", "stop", "pace"};
constexpr std::array<const char*, 3> use_names{"poll", "start", "place"};
constexpr std::array<const char*, 4> stop_names{"placed", "withdrawn",
                                                "unknown", "ended"};
// In the order of `wait_reason`.
constexpr std::array<const char*, wait_reason_count> wait_reason_names{
    "record", "closed",        "no_room",  "no_memory",   "step_limit",
    "held",   "no_processors", "reserved", "no_headroom", "nothing"};

counter& count_repeated(metric_registry& registry, const char* result)
{
    return registry.get_counter(
        "egretspindle_starts_repeated_total",
        "Repeated starts, held until the record is read.",
        {{"result", result}});
}

} // namespace

std::string_view name_of(order_verdict verdict)
{
    switch (verdict)
    {
    case order_verdict::taken:
        return "taken";
    case order_verdict::wrong_token:
        return "wrong_token";
    case order_verdict::old_run:
        return "old_run";
    case order_verdict::too_late:
        return "too_late";
    case order_verdict::no_room:
        return "no_room";
    case order_verdict::no_permission:
        return "no_permission";
    case order_verdict::other_boot:
        return "other_life";
    case order_verdict::unhealthy:
        return "unhealthy";
    case order_verdict::malformed:
        break;
    }
    return "malformed";
}

rack_metrics::rack_metrics(metric_registry& registry)
    : handed_back_wait(registry.get_summary(
          "egretspindle_start_handed_back_milliseconds",
          "Time in a rack's queue of starts that were handed back.")),
      repeated_held(count_repeated(registry, "held")),
      repeated_started(count_repeated(registry, "started")),
      repeated_dropped(count_repeated(registry, "dropped")),
      confirmation_time(registry.get_summary(
          "egretspindle_start_confirmed_milliseconds",
          "Time from the choice of a target to its confirmation.")),
      stopped(registry.get_summary(
          "egretspindle_run_stopped_milliseconds",
          "Time from the arrival of a stop until the end of the run is "
          "listed.")),
      evicted(registry.get_counter(
          "egretspindle_runs_evicted_total",
          "Runs stopped for a serving or long-running task.")),
      moved(registry.get_counter(
          "egretspindle_runs_moved_total",
          "Long-running runs stopped on draining targets.")),
      fenced(registry.get_counter(
          "egretspindle_racks_refused_total",
          "Racks given up because a target had seen a newer owner.")),
      queued(registry.get_gauge("egretspindle_queue_starts",
                                "Starts in the queues of racks.")),
      queued_long_running(
          registry.get_gauge("egretspindle_queue_lasting_starts",
                             "Starts in the queues of tasks that last.")),
      oldest(registry.get_gauge("egretspindle_queue_oldest_milliseconds",
                                "Longest wait of a start in a queue.")),
      total_cpu(registry.get_gauge(
          "egretspindle_rack_cpu_milli",
          "Processors of the targets that accept starts, in thousandths.")),
      free_cpu(registry.get_gauge("egretspindle_rack_free_cpu_milli",
                                  "Free ones of these.")),
      largest_free_cpu(
          registry.get_gauge("egretspindle_rack_largest_free_cpu_milli",
                             "Most free ones of one target.")),
      racks(registry.get_gauge("egretspindle_racks_owned",
                               "Racks of this host.")),
      fenced_racks(registry.get_gauge(
          "egretspindle_racks_fenced",
          "Racks of this host that a newer owner is known to have.")),
      unsettled_racks(registry.get_gauge(
          "egretspindle_racks_unsettled",
          "Racks where an earlier owner may have unknown runs.")),
      targets(registry.get_gauge("egretspindle_rack_targets",
                                 "Targets of the racks of this host.")),
      silent_targets(
          registry.get_gauge("egretspindle_rack_targets_silent",
                             "Targets that did not answer the last poll.")),
      kept_stops(registry.get_gauge(
          "egretspindle_rack_stops_kept",
          "Stops of unknown runs that wait for targets to be reached.")),
      longest_end_list(
          registry.get_gauge("egretspindle_target_ends_listed",
                             "Ends in the longest list of a target.")),
      full_end_lists(registry.get_gauge(
          "egretspindle_rack_targets_full",
          "Targets that get no starts since their lists of ends are full."))
{
    for (const bool is_long_running : {false, true})
    {
        const metric_labels labels{
            {"tasks", is_long_running ? "lasting" : "short"}};
        const std::size_t n = is_long_running ? 1 : 0;
        placed[n] = &registry.get_counter("egretspindle_starts_placed_total",
                                          "Starts sent to a target.", labels);
        waited[n] = &registry.get_summary(
            "egretspindle_start_waited_milliseconds",
            "Time in a rack's queue of starts that were placed.", labels);
    }
    for (std::size_t n = 0; n < cause_count; ++n)
    {
        inferred_ends[n] = &registry.get_counter(
            "egretspindle_ends_concluded_total",
            "Ends of runs that no list of a target names.",
            {{"cause", std::string(to_string(static_cast<end_cause>(n)))}});
    }
    for (std::size_t n = 0; n < verdict_count; ++n)
    {
        refused[n] = &registry.get_counter(
            "egretspindle_starts_refused_total",
            "Starts that a target refused.",
            {{"verdict", std::string(name_of(static_cast<order_verdict>(n)))}});
    }
    for (std::size_t n = 0; n < stops.size(); ++n)
    {
        stops[n] = &registry.get_counter(
            "egretspindle_stops_received_total",
            "Stops from owners of jobs, by the state of the run in the rack.",
            {{"run", stop_names[n]}});
    }
    for (std::size_t n = 0; n < orders.size(); ++n)
    {
        orders[n] = &registry.get_summary(
            "egretspindle_target_order_milliseconds",
            "Duration of an order to a target.", {{"order", order_names[n]}});
        orders_failed[n] =
            &registry.get_counter("egretspindle_target_orders_failed_total",
                                  "Orders to targets without an answer.",
                                  {{"order", order_names[n]}});
        leases_not_granted[n] = &registry.get_counter(
            "egretspindle_leases_not_granted_total",
            "Leases not granted, as the store has not confirmed the ownership.",
            {{"use", use_names[n]}});
    }
    for (const bool is_answered : {false, true})
    {
        polls[is_answered ? 1 : 0] = &registry.get_summary(
            "egretspindle_poll_milliseconds",
            "Duration of a poll of a target, with its wait for news.",
            {{"result", is_answered ? "answered" : "failed"}});
    }
    for (std::size_t n = 0; n < ack_blocker_count; ++n)
    {
        oldest_end_waits[n] = &registry.get_gauge(
            "egretspindle_target_ends_waited_milliseconds",
            "Longest time for which an end has been listed as the oldest.",
            {{"for", std::string(to_string(static_cast<ack_blocker>(n)))}});
    }
    for (std::size_t n = 0; n < wait_reason_count; ++n)
    {
        waiting[n] =
            &registry.get_gauge("egretspindle_queue_waiting_starts",
                                "Starts in the queues by what they wait for.",
                                {{"for", wait_reason_names[n]}});
        for (const bool is_long_running : {false, true})
        {
            longest_waiting[n][is_long_running ? 1 : 0] = &registry.get_gauge(
                "egretspindle_queue_longest_wait_milliseconds",
                "Longest wait of a start, with that in earlier racks.",
                {{"for", wait_reason_names[n]},
                 {"tasks", is_long_running ? "lasting" : "short"}});
        }
    }
}

void rack_metrics::count_placed(const queued_start& start, time_point now) const
{
    const bool is_long_running = start.terms->is_long_running;
    series_of(placed, is_long_running).add();
    series_of(waited, is_long_running)
        .observe(static_cast<double>(elapsed_ms(start.queued_at, now)), now);
}

void rack_metrics::count_inferred_end(const run_event& event) const
{
    inferred_ends[static_cast<std::size_t>(event.cause)]->add();
    if (event.cause == end_cause::handed_back)
    {
        handed_back_wait.observe(static_cast<double>(event.waited.count()));
    }
}

void rack_metrics::observe_order(order_kind what, fractional_ms duration,
                                 bool is_answered) const
{
    const std::size_t n = static_cast<std::size_t>(what);
    orders[n]->observe(duration.count());
    orders_failed[n]->add(is_answered ? 0 : 1);
}

void rack_metrics::observe_poll(fractional_ms duration, bool is_answered) const
{
    polls[is_answered ? 1 : 0]->observe(duration.count());
}

void rack_metrics::count_refused(order_verdict verdict) const noexcept
{
    refused[static_cast<std::size_t>(verdict)]->add();
}

void rack_metrics::count_stops(const received_stops& received) const noexcept
{
    // In the order of `stop_names`.
    const std::array<std::size_t, 4> counts{received.placed, received.withdrawn,
                                            received.unknown, received.ended};
    for (std::size_t n = 0; n < counts.size(); ++n)
    {
        stops[n]->add(counts[n]);
    }
}

void rack_metrics::count_no_lease(lease_use use) const noexcept
{
    leases_not_granted[static_cast<std::size_t>(use)]->add();
}

void rack_metrics::set_queues(const queue_summary& sum) const noexcept
{
    queued.set(static_cast<double>(sum.queued));
    queued_long_running.set(static_cast<double>(sum.long_running));
    oldest.set(static_cast<double>(sum.oldest.count()));
    // In the order of `wait_reason`.
    const std::array<std::size_t, wait_reason_count> counts{
        sum.repeated, sum.closed,   sum.room,       sum.memory,
        sum.limit,    sum.held,     sum.processors, sum.reserved,
        sum.headroom, sum.placeable};
    for (std::size_t n = 0; n < wait_reason_count; ++n)
    {
        waiting[n]->set(static_cast<double>(counts[n]));
        for (std::size_t m = 0; m < sum.waits[n].size(); ++m)
        {
            longest_waiting[n][m]->set(
                static_cast<double>(sum.waits[n][m].count()));
        }
    }
}

void rack_metrics::set_room(const room_summary& sum) const noexcept
{
    total_cpu.set(static_cast<double>(sum.total_milli));
    free_cpu.set(static_cast<double>(sum.free_milli));
    largest_free_cpu.set(static_cast<double>(sum.largest_free_milli));
}

void rack_metrics::set_counts(const rack_counts& counts) const noexcept
{
    racks.set(static_cast<double>(counts.racks));
    fenced_racks.set(static_cast<double>(counts.fenced));
    unsettled_racks.set(static_cast<double>(counts.unsettled));
    targets.set(static_cast<double>(counts.targets));
    silent_targets.set(static_cast<double>(counts.silent_targets));
    kept_stops.set(static_cast<double>(counts.kept_stops));
}

void rack_metrics::set_end_lists(const end_list_summary& lists) const noexcept
{
    longest_end_list.set(static_cast<double>(lists.longest));
    full_end_lists.set(static_cast<double>(lists.full));
    for (std::size_t n = 0; n < ack_blocker_count; ++n)
    {
        const bool is_reason =
            static_cast<ack_blocker>(n) == lists.oldest.reason;
        oldest_end_waits[n]->set(
            is_reason ? static_cast<double>(lists.oldest.waited.count()) : 0.0);
    }
}

} // namespace egretspindle
