#include "egretspindle/scheduler/host_metrics.hpp"

namespace egretspindle
{

namespace
{

constexpr std::array<const char*, 2> resource_names{"rack", "shard"};
constexpr std::array<const char*, 3> former_owner_names{"none", "other",
                                                        "restart"};
constexpr std::array<const char*, 3> orders_result_names{"taken", "not_owner",
                                                         "failed"};

counter& submission_counter(metric_registry& registry, const char* verdict,
                            const char* reason)
{
    return registry.get_counter("egretspindle_job_submissions_total",
                                "Submissions that this host answered.",
                                {{"verdict", verdict}, {"reason", reason}});
}

counter& lookup_counter(metric_registry& registry, const char* verdict)
{
    return registry.get_counter(
        "egretspindle_job_lookups_failed_total",
        "Questions and cancellations that named no known job.",
        {{"verdict", verdict}});
}

} // namespace

host_metrics::host_metrics(metric_registry& registry)
    : accepted(submission_counter(registry, "accepted", "")),
      refused(submission_counter(registry, "refused", "owner")),
      no_owner(submission_counter(registry, "refused", "no_owner")),
      unknown(submission_counter(registry, "unknown", "")),
      lookups_absent(lookup_counter(registry, "absent")),
      lookups_unknown(lookup_counter(registry, "unknown")),
      orders_without_owner(registry.get_counter(
          "egretspindle_rack_orders_without_owner_total",
          "Orders that were not sent, since the rack had no owner.")),
      tick(registry.get_summary("egretspindle_tick_milliseconds",
                                "Work of one period of the scheduler.")),
      has_store_contact(
          registry.get_gauge("egretspindle_store_contact",
                             "Whether the store has answered lately, 0 or 1.")),
      config_version(registry.get_gauge("egretspindle_config_version",
                                        "Configuration in force."))
{
    for (std::size_t n = 0; n < resource_names.size(); ++n)
    {
        for (std::size_t m = 0; m < former_owner_names.size(); ++m)
        {
            taken[n][m] = &registry.get_counter(
                "egretspindle_ownership_taken_total",
                "Racks and shards taken, by former owner.",
                {{"resource", resource_names[n]},
                 {"former", former_owner_names[m]}});
        }
        lost[n] = &registry.get_counter("egretspindle_ownership_lost_total",
                                        "Racks and shards lost.",
                                        {{"resource", resource_names[n]}});
    }
    for (std::size_t n = 0; n < orders_result_names.size(); ++n)
    {
        rack_orders[n] = &registry.get_summary(
            "egretspindle_rack_orders_milliseconds",
            "Duration of orders to the owner of a rack on another host.",
            {{"result", orders_result_names[n]}});
    }
    for (const bool is_answered : {false, true})
    {
        run_reports[is_answered ? 1 : 0] = &registry.get_summary(
            "egretspindle_run_reports_milliseconds",
            "Duration of reports to the owner of a shard on another host.",
            {{"result", is_answered ? "answered" : "failed"}});
    }
}

void host_metrics::count_taken(resource_kind resource,
                               former_owner former) const noexcept
{
    taken[static_cast<std::size_t>(resource)][static_cast<std::size_t>(former)]
        ->add();
}

void host_metrics::count_lost(resource_kind resource) const noexcept
{
    lost[static_cast<std::size_t>(resource)]->add();
}

void host_metrics::observe_orders(orders_result result,
                                  fractional_ms duration) const
{
    rack_orders[static_cast<std::size_t>(result)]->observe(duration.count());
}

void host_metrics::observe_reports(bool is_answered,
                                   fractional_ms duration) const
{
    run_reports[is_answered ? 1 : 0]->observe(duration.count());
}

} // namespace egretspindle
