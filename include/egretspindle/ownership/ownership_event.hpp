/// \file
/// Ownership change reported to the rack runtime.

#ifndef EGRETSPINDLE_OWNERSHIP_OWNERSHIP_EVENT_HPP
#define EGRETSPINDLE_OWNERSHIP_OWNERSHIP_EVENT_HPP

#include "egretspindle/ownership/owned_rack.hpp"

#include <string>
#include <string_view>

namespace egretspindle
{

/// Kind of an ownership change.
enum class ownership_change
{
    acquired,
    updated,
    lost,
};

/// Returns the name of a change for the log.
[[nodiscard]] inline std::string_view
to_string(ownership_change change) noexcept
{
    switch (change)
    {
    case ownership_change::acquired:
        return "acquired";
    case ownership_change::updated:
        return "updated";
    case ownership_change::lost:
        return "lost";
    }
    return "unknown";
}

/// Ownership change and the rack that it concerns.
struct ownership_event
{
    ownership_change change = ownership_change::acquired;
    owned_rack rack;
    std::string reason; ///< for the log
};

} // namespace egretspindle

#endif
