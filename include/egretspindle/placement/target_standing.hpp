/// \file
/// Health state of a target according to its failure statistics.

#ifndef EGRETSPINDLE_PLACEMENT_TARGET_STANDING_HPP
#define EGRETSPINDLE_PLACEMENT_TARGET_STANDING_HPP

#include <string_view>

namespace egretspindle
{

/// Which work a target accepts, derived from the results of its tasks.
enum class target_standing
{
    healthy,     ///< accepts any work
    quarantined, ///< accepts no work
    probing,     ///< accepts one batch task at a time
    returning,   ///< accepts any work, up to half of its slots
};

/// Returns the name of a health state, for logs and metrics.
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
