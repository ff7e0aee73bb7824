/// \file
/// Running batch work of a team.

#ifndef EGRETSPINDLE_ADMISSION_TEAM_USE_HPP
#define EGRETSPINDLE_ADMISSION_TEAM_USE_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// What a team's started batch requests occupy, as a coordinator counts it.
struct team_use
{
    int tasks = 0;
    double cpu_cores = 0;
    double memory_mb = 0;
};

/// Use by team name.
using team_use_map = std::map<std::string, team_use>;

} // namespace egretspindle

#endif
