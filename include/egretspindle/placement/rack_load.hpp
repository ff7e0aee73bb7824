/// \file
/// A rack as its owner sees it.

#ifndef EGRETSPINDLE_PLACEMENT_RACK_LOAD_HPP
#define EGRETSPINDLE_PLACEMENT_RACK_LOAD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/target_load.hpp"

#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Targets of one rack and the recent demand for it.
struct rack_load
{
    std::string rack;
    std::vector<target_load> targets;
    /// Last time at which a request of each class arrived or was waiting. The
    /// floor of a class without demand for 30 s (`demand_window`) is lent to
    /// the other class.
    time_point last_urgent_request;
    time_point last_batch_request;
    /// Last request per team. The quota of a team without demand for 30 s is
    /// lent to other teams.
    std::map<std::string, time_point> last_team_request;
    /// Peak of concurrent urgent tasks, decaying with a half-life of 60 s, to
    /// keep capacity for the next ones.
    double urgent_peak = 0;
    time_point urgent_peak_updated;
};

/// Records the arrival of a request; called before the decision on it.
///
/// \param rack    view to update
/// \param team    team of the request
/// \param urgent  class of the request
/// \param now     time of arrival
void observe_request(rack_load& rack, const std::string& team, bool urgent,
                     time_point now);

} // namespace egretspindle

#endif
