/// \file
/// Summaries of the load reports of racks, for log lines of decisions.

#ifndef EGRETSPINDLE_SCHEDULER_LOAD_SUMMARY_HPP
#define EGRETSPINDLE_SCHEDULER_LOAD_SUMMARY_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/rack/fleet_load.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Summary of the reports of some racks.
struct rack_load_summary
{
    std::int64_t oldest_report_ms = 0; ///< age
    std::size_t unreported = 0;        ///< racks without any report
    std::int64_t queued = 0;           ///< starts in the queues
    std::int64_t free_cpu_milli = 0;   ///< on targets that accept starts
};

/// Free capacity of a service, as `has_room_for_long_running` computes it.
struct service_load_summary
{
    std::int64_t capacity_milli = 0;   ///< of all targets
    std::int64_t reported_milli = 0;   ///< capacity with a recent report
    std::int64_t free_milli = 0;       ///< recent placements are subtracted
    std::int64_t oldest_report_ms = 0; ///< age of the oldest recent report
    std::size_t old_reports = 0;       ///< racks whose report is too old to use
};

/// Summarizes the reports of racks. Names may repeat; empty ones are ignored.
[[nodiscard]] rack_load_summary
summarize_rack_loads(const fleet_load& fleet,
                     const std::vector<std::string>& racks, time_point now);

/// Summarizes the reports of all racks for a service.
[[nodiscard]] service_load_summary
summarize_service_load(const fleet_load& fleet, const std::string& service,
                       time_point now);

} // namespace egretspindle

#endif
