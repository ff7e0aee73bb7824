/// \file
/// Shards that the jobs are dealt to, and names of rows.

#ifndef EGRETSPINDLE_SCHEDULER_SHARD_HPP
#define EGRETSPINDLE_SCHEDULER_SHARD_HPP

#include <string>
#include <string_view>

namespace egretspindle
{

/// Number of job shards. Each is one part of the table of jobs, whose writes
/// the store carries out one after another, and the unit that hosts own.
constexpr int shard_count = 32;

/// Table of job records.
constexpr std::string_view jobs_table = "jobs";

/// Table of heartbeats and owners.
constexpr std::string_view cluster_table = "cluster";

/// Keys of owner rows begin with these, followed by the name of the shard or
/// rack. The version of the row is the token of the ownership.
constexpr std::string_view shard_prefix = "shard/";
constexpr std::string_view rack_prefix = "rack/";

/// Keys of rows with the targets of a rack begin with this.
constexpr std::string_view roster_prefix = "roster/";

/// Key of the row of a shard that its owner replaces before it reads the jobs.
/// Each write of job records has its version as a condition. Sorts before all
/// job ids.
constexpr std::string_view shard_fence_key = "!owner";

/// Returns the shard of a job, equal on every host.
[[nodiscard]] std::string shard_of(std::string_view job_id);

/// Returns the name of a shard, which is also its part of the table.
[[nodiscard]] std::string shard_name(int number);

} // namespace egretspindle

#endif
