/// \file
/// Age check of load reports.

#ifndef EGRETSPINDLE_SRC_RACK_RECENT_VIEW_HPP
#define EGRETSPINDLE_SRC_RACK_RECENT_VIEW_HPP

#include "egretspindle/rack/fleet_load.hpp"

namespace egretspindle
{

/// Returns whether the load report of a rack is recent enough to be used: at
/// most `report_age` old. Without such a report a rack does not count as free.
[[nodiscard]] inline bool is_recent(const fleet_load& fleet,
                                    const rack_view& view, time_point now)
{
    return now - view.measured_at <= report_age(fleet.period);
}

} // namespace egretspindle

#endif
