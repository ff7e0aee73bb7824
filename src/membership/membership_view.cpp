#include "egretspindle/membership/membership_view.hpp"

#include <algorithm>
#include <set>

namespace egretspindle
{

namespace
{

// Time without an update after which a data centre counts as unreachable. Each
// host contacts one member of another data centre per `cross_center_period`,
// and the data centres take turns. With few hosts, updates of a data centre may
// arrive only once in as many periods as there are other data centres.
milliseconds contact_timeout(const membership_state& state)
{
    std::set<std::string> other_centers;
    for (const auto& [name, record] : state.members)
    {
        other_centers.insert(record.digest.data_center);
    }
    other_centers.erase(state.self.data_center);
    const std::int64_t periods = std::max<std::int64_t>(
        3, 2 * static_cast<std::int64_t>(other_centers.size()));
    return state.options.cross_center_period * periods;
}

} // namespace

bool is_reachable(const membership_state& state, const std::string& data_center,
                  time_point now)
{
    if (data_center == state.self.data_center)
    {
        return true;
    }
    const auto it = state.last_contact.find(data_center);
    return it != state.last_contact.end() &&
           now - it->second <= contact_timeout(state);
}

member_digest effective_digest(const membership_state& state,
                               const member_record& record, time_point now)
{
    member_digest effective = record.digest;
    if (effective.data_center != state.self.data_center &&
        effective.state == "alive" &&
        (now - record.last_update > state.options.stale_after ||
         !is_reachable(state, effective.data_center, now)))
    {
        effective.state = "suspect";
    }
    return effective;
}

std::vector<member_digest> all_digests(const membership_state& state,
                                       time_point now)
{
    std::vector<member_digest> digests{state.self};
    for (const auto& [name, record] : state.members)
    {
        digests.push_back(effective_digest(state, record, now));
    }
    std::sort(digests.begin(), digests.end(),
              [](const member_digest& lhs, const member_digest& rhs)
              { return lhs.name < rhs.name; });
    return digests;
}

std::vector<std::string> live_host_names(const membership_state& state,
                                         std::string_view data_center,
                                         time_point now)
{
    std::vector<std::string> names;
    const bool is_local = data_center == state.self.data_center;
    if (is_local && state.self.state == "alive")
    {
        names.push_back(state.self.name);
    }
    for (const auto& [name, record] : state.members)
    {
        if (record.digest.data_center != data_center)
        {
            continue;
        }
        const std::string effective =
            effective_digest(state, record, now).state;
        if (effective == "alive" || (is_local && effective == "suspect"))
        {
            names.push_back(name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::string address_of(const membership_state& state, const std::string& name)
{
    const auto override_it = state.options.address_overrides.find(name);
    if (override_it != state.options.address_overrides.end())
    {
        return override_it->second;
    }
    if (name == state.self.name)
    {
        return state.self.address;
    }
    const auto it = state.members.find(name);
    return it == state.members.end() ? std::string()
                                     : it->second.digest.address;
}

} // namespace egretspindle
