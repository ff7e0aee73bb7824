/// \file
/// Limits from the accepted plan.

#ifndef EGRETSPINDLE_PLACEMENT_POLICY_LIMITS_HPP
#define EGRETSPINDLE_PLACEMENT_POLICY_LIMITS_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// Section `[team.<name>]` of the plan.
struct team_limits
{
    /// Share of the slots, processors and memory; 0 means a share by weight.
    double quota = 0;
    double weight = 1;
    int max_queue = 1000; ///< batch requests that may wait
};

/// Section `[service.<kind>]` or `[batch.<kind>]` of the plan.
struct kind_limits
{
    std::string team;       ///< empty means any
    double deadline_ms = 0; ///< 0 means the caller's
    int priority = 0;       ///< of batch work; higher starts earlier
};

/// Limits that govern all decisions of a data centre.
struct policy_limits
{
    double urgent_floor = 0.3; ///< share kept for urgent work on demand
    double batch_floor = 0.3;  ///< share kept for batch work on demand
    std::map<std::string, team_limits> teams;
    std::map<std::string, kind_limits> kinds;
};

/// Returns the limits of a team, or the defaults.
[[nodiscard]] const team_limits& limits_of(const policy_limits& limits,
                                           const std::string& team);

} // namespace egretspindle

#endif
