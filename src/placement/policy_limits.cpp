#include "egretspindle/placement/policy_limits.hpp"

namespace egretspindle
{

const team_limits& limits_of(const policy_limits& limits,
                             const std::string& team)
{
    static const team_limits defaults;
    const auto it = limits.teams.find(team);
    return it == limits.teams.end() ? defaults : it->second;
}

} // namespace egretspindle
