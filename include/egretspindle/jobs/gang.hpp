/// \file
/// Assignment of gangs, whose tasks run only all at the same time.

#ifndef EGRETSPINDLE_JOBS_GANG_HPP
#define EGRETSPINDLE_JOBS_GANG_HPP

#include "egretspindle/jobs/job_machine.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Assigns a new run of all tasks of a gang to a rack.
///
/// \returns the run number that all its tasks share, above all earlier ones
std::int64_t assign_gang(job& value, const due_step& gang,
                         const std::string& rack);

/// The same with a rack for each task of the gang, in the order of
/// `due_step::tasks`.
std::int64_t assign_gang(job& value, const due_step& gang,
                         const std::vector<std::string>& racks);

/// Returns how many tasks of the step of a task are assigned to its rack or
/// were last assigned to it. Of a gang, these are the part of its latest run in
/// that rack.
[[nodiscard]] std::int64_t tasks_in_same_rack(const job& value,
                                              const task_key& key);

/// Returns the assigned runs of gangs that are split among racks and have lost
/// another member of the same run. The rest of the gang has to be stopped: a
/// target learns of the end of a member elsewhere only by waiting in vain.
[[nodiscard]] std::set<std::string> runs_without_gang(const job& value);

} // namespace egretspindle

#endif
