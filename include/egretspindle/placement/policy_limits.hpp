/// \file
/// Placement and admission limits from the accepted plan.

#ifndef EGRETSPINDLE_PLACEMENT_POLICY_LIMITS_HPP
#define EGRETSPINDLE_PLACEMENT_POLICY_LIMITS_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// Section `[team.<name>]` of the plan.
struct team_limits
{
    /// Fraction of slots, processors and memory; 0 means a share by weight.
    double quota = 0;
    double weight = 1;
    int max_queue = 1000; ///< limit of queued batch requests
};

/// Section `[service.<kind>]` or `[batch.<kind>]` of the plan.
struct kind_limits
{
    std::string team;       ///< empty means any team
    double deadline_ms = 0; ///< 0 means the caller's deadline
    int priority = 0;       ///< of batch requests; higher starts earlier
};

/// Limits of all placement and admission decisions in a data centre.
struct policy_limits
{
    double urgent_floor = 0.3; ///< fraction guaranteed to urgent work on demand
    double batch_floor = 0.3;  ///< fraction guaranteed to batch work on demand
    std::map<std::string, team_limits> teams;
    std::map<std::string, kind_limits> kinds;
};

/// Returns the limits of a team, or the defaults if it has none.
[[nodiscard]] const team_limits& limits_of(const policy_limits& limits,
                                           const std::string& team);

} // namespace egretspindle

#endif
