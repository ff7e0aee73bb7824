/// \file
/// Section of a team in the plan document.

#ifndef EGRETSPINDLE_PLAN_TEAM_SECTION_HPP
#define EGRETSPINDLE_PLAN_TEAM_SECTION_HPP

#include <cstdint>

namespace egretspindle
{

/// Section `team.NAME`: resources of a team. A share is a fraction of the slots
/// of each data centre.
struct team_section
{
    double quota = 1;              ///< largest share, from 0 to 1
    double weight = 1;             ///< relative to the other teams, above 0
    double urgent_floor = 0;       ///< share guaranteed to its urgent work
    double batch_floor = 0;        ///< share guaranteed to its batch work
    std::int64_t max_queue = 1000; ///< batch requests that may wait
};

} // namespace egretspindle

#endif
