/// \file
/// Resources used by the batch work of a team.

#ifndef EGRETSPINDLE_ADMISSION_TEAM_USE_HPP
#define EGRETSPINDLE_ADMISSION_TEAM_USE_HPP

#include <map>
#include <string>

namespace egretspindle
{

/// Resources of a team's started batch requests, as counted by a coordinator.
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
