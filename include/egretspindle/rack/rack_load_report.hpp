/// \file
/// Load report of a rack: free capacity and queue, as its owner reports them.

#ifndef EGRETSPINDLE_RACK_RACK_LOAD_REPORT_HPP
#define EGRETSPINDLE_RACK_RACK_LOAD_REPORT_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/colocation_summary.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Free capacity of one target in a load report.
struct target_load_report
{
    std::string id;
    task_size room; ///< not reserved; negative when overcommitted
    // See the same members of `colocation_summary`.
    std::int64_t backfill_milli = 0;
    std::int64_t unused_milli = 0;
    image_headroom spare_headroom;
    double scarcity = 0;
    double reserved = 0;
    /// See `accepts_starts`; false for a reserved target.
    bool is_open = false;
};

/// Room that a start may move to another rack for.
enum class room_kind
{
    free,     ///< that no task has reserved
    eventual, ///< that, or `rack_load_report::eventual_cpu_milli`
};

/// Free capacity and queue of a rack.
struct rack_load_report
{
    std::string rack;
    std::int64_t queued = 0;           ///< starts in the queue
    std::int64_t queued_cpu_milli = 0; ///< thousandths of a core they request
    /// Number of backfill starts that have been in the queue for more than
    /// 400 ms (`min_waiting_age`), by image.
    std::map<std::string, std::int64_t> waiting;
    /// Processors of the largest `eventual_capacity` of the targets that take
    /// starts, in thousandths of a core; 0 if none does. A long-running task
    /// that wants more has to wait until another one ends. No value if no
    /// target is known, and in reports of hosts of earlier versions.
    std::optional<std::int64_t> eventual_cpu_milli;
    std::vector<target_load_report> targets;
};

/// Updates the cached summaries of a rack and returns its load report.
[[nodiscard]] rack_load_report make_load_report(rack_state& rack,
                                                const interference_model& model,
                                                time_point now);

} // namespace egretspindle

#endif
