/// \file
/// Section of a team in the plan document.

#ifndef EGRETSPINDLE_PLAN_TEAM_SECTION_HPP
#define EGRETSPINDLE_PLAN_TEAM_SECTION_HPP

#include <cstdint>

namespace egretspindle
{

/// What a team may use. Shares are of the slots of each data centre.
struct team_section
{
    double quota = 1;        ///< largest share, from 0 to 1
    double weight = 1;       ///< relative to the other teams, above 0
    double urgent_floor = 0; ///< share that its urgent work can always claim
    double batch_floor = 0;  ///< share that its batch work can always claim
    std::int64_t max_queue = 1000; ///< requests that may wait for a start
};

} // namespace egretspindle

#endif
