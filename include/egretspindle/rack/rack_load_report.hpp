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
#include <string>
#include <vector>

namespace egretspindle
{

/// Free capacity of one target in a load report.
struct target_load_report
{
    std::string id;
    task_size room; ///< not reserved; negative when overcommitted
    std::int64_t backfill_milli = 0; ///< wanted by backfill tasks
    std::int64_t unused_milli = 0;   ///< reserved by other tasks, not used
    /// Headroom that backfill tasks may still take, by serving image.
    image_headroom spare_headroom;
    double scarcity = 0;  ///< see `colocation_summary`
    double reserved = 0;  ///< see `colocation_summary`
    bool is_open = false; ///< accepts starts
};

/// Free capacity and queue of a rack.
struct rack_load_report
{
    std::string rack;
    std::int64_t queued = 0;           ///< starts in the queue
    std::int64_t queued_cpu_milli = 0; ///< processors that they request
    /// Backfill starts that have waited for more than 400 ms, by image.
    std::map<std::string, std::int64_t> waiting;
    std::vector<target_load_report> targets;
};

/// Returns the load report of a rack.
[[nodiscard]] rack_load_report make_load_report(rack_state& rack,
                                                const interference_model& model,
                                                time_point now);

} // namespace egretspindle

#endif
