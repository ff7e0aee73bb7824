/// \file
/// What the reports of racks say, for log lines of decisions that use them.

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

/// Reports of some racks.
struct rack_load_summary
{
    std::int64_t oldest_report_ms = 0; ///< age
    std::size_t unreported = 0;        ///< racks without any report
    std::int64_t queued = 0;           ///< starts that wait
    std::int64_t free_cpu_milli = 0;   ///< on targets that accept starts
};

/// Room of a service as `has_room_for_long_running` sees it.
struct service_load_summary
{
    std::int64_t capacity_milli = 0;   ///< of all targets
    std::int64_t reported_milli = 0;   ///< capacity with a recent report
    std::int64_t free_milli = 0;       ///< less recent placements
    std::int64_t oldest_report_ms = 0; ///< of the recent reports
    std::size_t old_reports = 0;       ///< racks whose report is not trusted
};

/// Sums up the reports of racks. Names may repeat; empty ones are left out.
[[nodiscard]] rack_load_summary
summarize_rack_loads(const fleet_load& fleet,
                     const std::vector<std::string>& racks, time_point now);

/// Sums up the reports of all racks for a service.
[[nodiscard]] service_load_summary
summarize_service_load(const fleet_load& fleet, const std::string& service,
                       time_point now);

} // namespace egretspindle

#endif
