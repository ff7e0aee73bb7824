/// \file
/// Standing of a target in the failure statistics.

#ifndef EGRETSPINDLE_PLACEMENT_TARGET_HEALTH_STATE_HPP
#define EGRETSPINDLE_PLACEMENT_TARGET_HEALTH_STATE_HPP

#include <string_view>

namespace egretspindle
{

/// Whether a target may take work, judged by the results of its tasks.
enum class target_health_state
{
    healthy,     ///< takes any work
    quarantined, ///< takes none
    probing,     ///< takes one batch task at a time
    returning,   ///< takes any work, up to half of its slots
};

/// Returns the name of a standing, for logs and metrics.
[[nodiscard]] constexpr std::string_view to_string(target_health_state value)
{
    switch (value)
    {
    case target_health_state::healthy:
        return "healthy";
    case target_health_state::quarantined:
        return "quarantined";
    case target_health_state::probing:
        return "probing";
    case target_health_state::returning:
        return "returning";
    }
    return "healthy";
}

} // namespace egretspindle

#endif
