/// \file
/// Rack as its owner sees it.

#ifndef EGRETSPINDLE_PLACEMENT_RACK_LOAD_HPP
#define EGRETSPINDLE_PLACEMENT_RACK_LOAD_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/placement/target_load.hpp"

#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Targets of one rack and the demand seen lately.
struct rack_load
{
    std::string rack;
    std::vector<target_load> targets;
    /// Last time a request of each class arrived or waited. A floor that has
    /// no demand is lent.
    time_point last_urgent_request;
    time_point last_batch_request;
    /// Last request per team; a team without recent demand lends its quota.
    std::map<std::string, time_point> last_team_request;
    /// Decaying peak of urgent tasks at once, to keep room for the next.
    double urgent_peak = 0;
    time_point urgent_peak_updated;
};

/// Records the arrival of a request, before the decision on it.
///
/// \param rack    view to update
/// \param team    team of the request
/// \param urgent  class of the request
/// \param now     time of arrival
void observe_request(rack_load& rack, const std::string& team, bool urgent,
                     time_point now);

} // namespace egretspindle

#endif
