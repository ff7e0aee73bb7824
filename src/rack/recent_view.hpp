/// \file
/// Age of the reports that choices rest on.

#ifndef EGRETSPINDLE_SRC_RACK_RECENT_VIEW_HPP
#define EGRETSPINDLE_SRC_RACK_RECENT_VIEW_HPP

#include "egretspindle/rack/fleet_load.hpp"

namespace egretspindle
{

/// Returns whether the owner of a rack has reported lately. A rack without a
/// recent report is not trusted to be free.
[[nodiscard]] inline bool is_recent(const fleet_load& fleet,
                                    const rack_view& view, time_point now)
{
    return now - view.reported_at <= report_age(fleet.period);
}

} // namespace egretspindle

#endif
