/// \file
/// Free capacity of a rack as its owner reports it.

#ifndef EGRETSPINDLE_RACK_RACK_LOAD_REPORT_HPP
#define EGRETSPINDLE_RACK_RACK_LOAD_REPORT_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_entry.hpp"
#include "egretspindle/rack/interference_model.hpp"
#include "egretspindle/rack/rack_state.hpp"
#include "egretspindle/rack/target_mix.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace egretspindle
{

/// Room on one target.
struct target_load_report
{
    std::string id;
    task_size room;                    ///< negative when it is overcommitted
    std::int64_t idle_users_milli = 0; ///< wanted by tasks on idle processors
    std::int64_t unused_milli = 0;     ///< reserved by other tasks, not used
    /// Headroom that company may take, by image of the serving tasks.
    image_headroom spare_headroom;
    double scarcity = 0;  ///< see `target_mix`
    double reserved = 0;  ///< see `target_mix`
    bool is_open = false; ///< accepts starts
};

/// Room and queue of a rack.
struct rack_load_report
{
    std::string rack;
    std::int64_t queued = 0;           ///< starts that wait
    std::int64_t queued_cpu_milli = 0; ///< processors that they want
    /// Starts that have waited for idle processors for a while, by image.
    std::map<std::string, std::int64_t> waiting;
    std::vector<target_load_report> targets;
};

/// Returns the room of a rack for a report.
[[nodiscard]] rack_load_report make_load_report(rack_state& rack,
                                                const interference_model& model,
                                                time_point now);

} // namespace egretspindle

#endif
