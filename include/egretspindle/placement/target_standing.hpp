/// \file
/// Standing of a target in the failure statistics.

#ifndef EGRETSPINDLE_PLACEMENT_TARGET_STANDING_HPP
#define EGRETSPINDLE_PLACEMENT_TARGET_STANDING_HPP

#include <string_view>

namespace egretspindle
{

/// Whether a target may take work, judged by the results of its tasks.
enum class target_standing
{
    healthy,     ///< takes any work
    quarantined, ///< takes none
    probing,     ///< takes one batch task at a time
    returning,   ///< takes any work, up to half of its slots
};

/// Returns the name of a standing, for logs and metrics.
[[nodiscard]] constexpr std::string_view to_string(target_standing value)
{
    switch (value)
    {
    case target_standing::healthy:
        return "healthy";
    case target_standing::quarantined:
        return "quarantined";
    case target_standing::probing:
        return "probing";
    case target_standing::returning:
        return "returning";
    }
    return "healthy";
}

} // namespace egretspindle

#endif
