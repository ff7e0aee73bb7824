#include "egretspindle/rack/fleet_load.hpp"

#include "recent_view.hpp"

#include <algorithm>
#include <map>

namespace egretspindle
{

namespace
{

// Counts the targets where an image harms no serving task.
std::int64_t count_suitable(const fleet_load& fleet, const std::string& image,
                            time_point now)
{
    std::map<image_name, bool> harmed; // by serving image
    const auto is_harmed = [&](const auto& item)
    {
        const auto it = harmed.find(item.first);
        if (it != harmed.end())
        {
            return it->second;
        }
        const bool value =
            is_harmful_pair(fleet.interference, item.first, image);
        harmed.emplace(item.first, value);
        return value;
    };
    std::int64_t count = 0;
    for (const auto& [name, view] : fleet.racks)
    {
        if (!is_recent(fleet, view, now))
        {
            continue;
        }
        for (const target_load_report& report : view.room.targets)
        {
            count += std::none_of(report.spare_headroom.begin(),
                                  report.spare_headroom.end(), is_harmed)
                         ? 1
                         : 0;
        }
    }
    return count;
}

} // namespace

std::map<std::string, double> reserved_shares(const fleet_load& fleet,
                                              time_point now)
{
    std::map<std::string, std::int64_t> starts;
    for (const auto& [name, view] : fleet.racks)
    {
        if (is_recent(fleet, view, now))
        {
            for (const auto& [image, count] : view.room.waiting)
            {
                starts[image] += count;
            }
        }
    }
    std::map<std::string, double> shares;
    for (const auto& [image, count] : starts)
    {
        const std::int64_t suitable = count_suitable(fleet, image, now);
        shares[image] = suitable > count ? static_cast<double>(count) /
                                               static_cast<double>(suitable)
                                         : 1.0;
    }
    return shares;
}

std::set<std::string> lightly_used_services(const fleet_load& fleet,
                                            time_point now)
{
    std::map<std::string, std::int64_t> unreserved; // less half of the capacity
    for (const auto& [id, entry] : fleet.targets)
    {
        if (!entry.is_draining)
        {
            unreserved[entry.service] -= entry.capacity.cpu_milli / 2;
        }
    }
    for (const auto& [name, view] : fleet.racks)
    {
        if (!is_recent(fleet, view, now))
        {
            continue;
        }
        for (const target_load_report& report : view.room.targets)
        {
            const auto it = fleet.targets.find(report.id);
            if (it != fleet.targets.end() && !it->second.is_draining)
            {
                unreserved[it->second.service] += report.room.cpu_milli;
            }
        }
    }
    std::set<std::string> services;
    for (const auto& [service, milli] : unreserved)
    {
        if (milli > 0)
        {
            services.insert(service);
        }
    }
    return services;
}

} // namespace egretspindle
