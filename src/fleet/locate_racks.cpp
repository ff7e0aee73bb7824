#include "egretspindle/fleet/locate_racks.hpp"

#include <algorithm>

namespace egretspindle
{

std::map<std::string, std::string>
locate_racks(const std::map<std::string, target_entry>& targets)
{
    // Number of targets by rack and data centre.
    std::map<std::string, std::map<std::string, int>> counts;
    for (const auto& [id, entry] : targets)
    {
        ++counts[entry.rack][entry.data_center];
    }
    std::map<std::string, std::string> data_centers;
    for (const auto& [rack, named] : counts)
    {
        const auto most = std::max_element(named.begin(), named.end(),
                                           [](const auto& lhs, const auto& rhs)
                                           { return lhs.second < rhs.second; });
        data_centers[rack] = most->first;
    }
    return data_centers;
}

} // namespace egretspindle
