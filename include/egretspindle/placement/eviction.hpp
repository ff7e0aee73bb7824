/// \file
/// Eviction of a batch task.

#ifndef EGRETSPINDLE_PLACEMENT_EVICTION_HPP
#define EGRETSPINDLE_PLACEMENT_EVICTION_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Cause of an eviction; a metric counts evictions by cause.
enum class eviction_cause
{
    urgent_room,  ///< to make room for an urgent task
    quota,        ///< to reclaim lent capacity for another team's quota
    floor,        ///< to reclaim lent capacity for the urgent floor
    cpu_guard,    ///< processors of the target overloaded
    memory_guard, ///< memory of the target nearly exhausted
};

/// Returns the name of a cause, for logs and metrics.
[[nodiscard]] constexpr std::string_view to_string(eviction_cause value)
{
    switch (value)
    {
    case eviction_cause::urgent_room:
        return "urgent_room";
    case eviction_cause::quota:
        return "quota";
    case eviction_cause::floor:
        return "floor";
    case eviction_cause::cpu_guard:
        return "cpu_guard";
    case eviction_cause::memory_guard:
        return "memory_guard";
    }
    return "urgent_room";
}

/// Order to stop one attempt after a checkpoint.
struct eviction
{
    std::string target;
    std::string key;
    int attempt = 0;
    eviction_cause cause = eviction_cause::urgent_room;
};

} // namespace egretspindle

#endif
