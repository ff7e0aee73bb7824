#include "egretspindle/membership/membership_view.hpp"

#include <algorithm>
#include <set>

namespace egretspindle
{

namespace
{

// Each host probes one host of another data centre per cross period, so that
// with few hosts a data centre is only heard of once per round.
milliseconds silence_limit(const membership_state& state)
{
    std::set<std::string> others;
    for (const auto& [name, record] : state.members)
    {
        others.insert(record.digest.data_center);
    }
    others.erase(state.self.data_center);
    const std::int64_t rounds =
        std::max<std::int64_t>(3, 2 * static_cast<std::int64_t>(others.size()));
    return state.options.cross_center_period * rounds;
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
           now - it->second <= silence_limit(state);
}

member_digest shown_digest(const membership_state& state,
                           const member_record& record, time_point now)
{
    member_digest shown = record.digest;
    if (shown.data_center != state.self.data_center && shown.state == "alive" &&
        (now - record.last_advance > state.options.stale_after ||
         !is_reachable(state, shown.data_center, now)))
    {
        shown.state = "suspect";
    }
    return shown;
}

std::vector<member_digest> all_digests(const membership_state& state,
                                       time_point now)
{
    std::vector<member_digest> digests{state.self};
    for (const auto& [name, record] : state.members)
    {
        digests.push_back(shown_digest(state, record, now));
    }
    std::sort(digests.begin(), digests.end(),
              [](const member_digest& lhs, const member_digest& rhs)
              { return lhs.name < rhs.name; });
    return digests;
}

std::vector<std::string> live_names(const membership_state& state,
                                    std::string_view data_center,
                                    time_point now)
{
    std::vector<std::string> names;
    const bool is_own = data_center == state.self.data_center;
    if (is_own && state.self.state == "alive")
    {
        names.push_back(state.self.name);
    }
    for (const auto& [name, record] : state.members)
    {
        if (record.digest.data_center != data_center)
        {
            continue;
        }
        const std::string shown = shown_digest(state, record, now).state;
        if (shown == "alive" || (is_own && shown == "suspect"))
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
