/// \file
/// Line of the journal of the stand-in platform.

#ifndef EGRETSPINDLE_TOOLS_COMMON_PLATFORM_EVENT_HPP
#define EGRETSPINDLE_TOOLS_COMMON_PLATFORM_EVENT_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace egretspindle::standin
{

/// Event of a target. Values of `event`:
/// - `life`: the target boots
/// - `dead`: the boot ends, after all of its runs
/// - `begun`: a run starts
/// - `ended`: a run ends; `outcome` is as in the list of the target, or
///   `crashed`
/// - `acknowledged`: the end of a run is removed from the list; `detail` is
///   `void` when the lease expired between the end and its acknowledgement
/// - `expired`: the lease of the target expires
struct platform_event
{
    std::int64_t at_ms = 0; ///< steady clock, the same for all processes
    std::string event;
    std::string target; ///< name of the target, the same for all of its boots
    std::string id;     ///< registered for this boot of the target
    std::int64_t booted_ms = 0; ///< time of the boot, Unix epoch, ms
    std::string task;
    std::int64_t run = 0;
    std::string outcome;
    std::int64_t token = 0; ///< of the order
    std::string detail;
};

/// Visits the fields of `platform_event` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const platform_event* /*tag*/)
{
    visit("at_ms", value.at_ms);
    visit("event", value.event);
    visit("target", value.target);
    visit("id", value.id);
    visit("born", value.booted_ms);
    visit("task", value.task);
    visit("run", value.run);
    visit("how", value.outcome);
    visit("token", value.token);
    visit("detail", value.detail);
}

/// Returns the time of the steady clock, which is the same for all processes.
[[nodiscard]] inline std::int64_t steady_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace egretspindle::standin

#endif
