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

/// Summary of the latest load reports of some racks, whatever their age.
struct rack_load_summary
{
    std::int64_t oldest_report_ms = 0; ///< age of the oldest report in ms
    std::size_t unreported = 0;        ///< racks without any report
    std::int64_t queued = 0;           ///< starts in the queues
    /// Free CPU of the targets that accept starts, in thousandths of a core.
    std::int64_t free_cpu_milli = 0;
};

/// CPU capacity of a service in thousandths of a core, as
/// `has_room_for_long_running` computes it. A report is recent up to an age of
/// `report_age`.
struct service_load_summary
{
    std::int64_t capacity_milli = 0; ///< of all targets
    std::int64_t reported_milli = 0; ///< capacity with a recent report
    /// Free capacity by recent reports, less the placements in
    /// `fleet_load::recent`, which no report includes yet.
    std::int64_t free_milli = 0;
    /// The part of `free_milli` in pieces that short tasks can use; see
    /// `usable_by_short_tasks`.
    std::int64_t usable_milli = 0;
    std::int64_t oldest_report_ms = 0; ///< age of the oldest recent report
    /// Racks of the fleet, of any service, whose report is not recent.
    std::size_t old_reports = 0;
};

/// Summarizes the latest reports of the named racks. A name may be given
/// several times and counts once; empty ones are ignored.
[[nodiscard]] rack_load_summary
summarize_rack_loads(const fleet_load& fleet,
                     const std::vector<std::string>& racks, time_point now);

/// Summarizes the recent reports on the targets of a service, in all racks.
[[nodiscard]] service_load_summary
summarize_service_load(const fleet_load& fleet, const std::string& service,
                       time_point now);

} // namespace egretspindle

#endif
