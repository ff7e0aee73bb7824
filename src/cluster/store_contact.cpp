#include "egretspindle/cluster/store_contact.hpp"

#include <algorithm>

namespace egretspindle
{

bool is_cluster_wide_outage(const cluster_view& view, const std::string& self,
                            const contact_reports& reports,
                            const liveness_limits& limits, boot_time_point now)
{
    const auto is_recent = [now](const contact_report& report)
    {
        return now - report.measured_at < contact_report_lifetime;
    };
    // A host that the view does not show may have read the store, too.
    const bool is_contradicted =
        std::any_of(reports.begin(), reports.end(),
                    [&](const auto& item)
                    {
                        return item.first != self &&
                               item.second.has_store_contact &&
                               is_recent(item.second);
                    });
    if (is_contradicted)
    {
        return false;
    }
    return std::all_of(
        view.hosts.begin(), view.hosts.end(),
        [&](const auto& item)
        {
            if (item.first == self ||
                !is_live(view, item.first, limits, view.last_read))
            {
                return true;
            }
            const auto it = reports.find(item.first);
            return it != reports.end() && is_recent(it->second);
        });
}

} // namespace egretspindle
