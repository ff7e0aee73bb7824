#include "egretspindle/scheduler/load_summary.hpp"

#include <algorithm>
#include <set>

namespace egretspindle
{

rack_load_summary summarize_rack_loads(const fleet_load& fleet,
                                       const std::vector<std::string>& racks,
                                       time_point now)
{
    rack_load_summary summary;
    const std::set<std::string> names(racks.begin(), racks.end());
    for (const std::string& name : names)
    {
        const auto it = fleet.racks.find(name);
        if (it == fleet.racks.end())
        {
            summary.unreported += name.empty() ? 0 : 1;
            continue;
        }
        summary.oldest_report_ms = std::max(
            summary.oldest_report_ms, elapsed_ms(it->second.measured_at, now));
        summary.queued += it->second.room.queued;
        for (const target_load_report& target : it->second.room.targets)
        {
            summary.free_cpu_milli +=
                target.is_open
                    ? std::max<std::int64_t>(0, target.room.cpu_milli)
                    : 0;
        }
    }
    return summary;
}

service_load_summary summarize_service_load(const fleet_load& fleet,
                                            const std::string& service,
                                            time_point now)
{
    service_load_summary summary;
    for (const auto& [id, entry] : fleet.targets)
    {
        summary.capacity_milli +=
            entry.service == service ? lasting_capacity_milli(entry) : 0;
    }
    for (const auto& [name, view] : fleet.racks)
    {
        if (now - view.measured_at > report_age(fleet.period))
        {
            ++summary.old_reports;
            continue;
        }
        for (const target_load_report& target : view.room.targets)
        {
            const auto it = fleet.targets.find(target.id);
            if (it == fleet.targets.end() || it->second.service != service)
            {
                continue;
            }
            summary.reported_milli += lasting_capacity_milli(it->second);
            summary.free_milli +=
                it->second.is_draining
                    ? 0
                    : std::max<std::int64_t>(0, target.room.cpu_milli);
            summary.usable_milli +=
                usable_by_short_tasks(fleet, it->second, target.room.cpu_milli);
            summary.oldest_report_ms = std::max(
                summary.oldest_report_ms, elapsed_ms(view.measured_at, now));
        }
    }
    for (const recent_placement& item : fleet.recent)
    {
        summary.free_milli -= item.size.cpu_milli;
        summary.usable_milli -= item.size.cpu_milli;
    }
    return summary;
}

} // namespace egretspindle
