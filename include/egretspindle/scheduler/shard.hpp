/// \file
/// Shards of jobs, and the names of tables and keys in the store.

#ifndef EGRETSPINDLE_SCHEDULER_SHARD_HPP
#define EGRETSPINDLE_SCHEDULER_SHARD_HPP

#include "egretspindle/fleet/table_store.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace egretspindle
{

/// Number of job shards. A shard is the unit of ownership and one part of the
/// jobs table; the store serializes the writes of a part.
constexpr int shard_count = 32;

/// Table of job records.
constexpr std::string_view jobs_table = "jobs";

/// Table of heartbeats, owner rows and target lists of racks.
constexpr std::string_view cluster_table = "cluster";

/// Table of the fence rows of racks. Each rack is a part, with one row. A claim
/// writes it in the transaction of the owner row, so that both have the same
/// version, the fencing token. Writes that need a certain owner of a rack use
/// it as a condition: the owner rows are in the part that all hosts write to.
constexpr std::string_view rack_fences_table = "rack_fences";
constexpr std::string_view rack_fence_key = "owner";

/// Table of the intents to start long-running runs. The key is the rack.
constexpr std::string_view intents_table = "start_intents";

/// Prefixes of the keys of owner rows, followed by the name of the shard or
/// rack. The version of the row is the fencing token of the ownership.
constexpr std::string_view shard_prefix = "shard/";
constexpr std::string_view rack_prefix = "rack/";

/// Prefix of the keys of rows that list the targets of a rack.
constexpr std::string_view roster_prefix = "roster/";

/// Prefix of the keys of releases that a former owner of a rack has written
/// because it could not tell the next owner, see `rack_handover`.
constexpr std::string_view release_prefix = "release/";

/// Key of the fence row of a shard. A new owner replaces it before it reads the
/// jobs, and each write of job records requires its version, so that writes of
/// former owners fail. Sorts before all job ids.
constexpr std::string_view shard_fence_key = "!owner";

/// Returns the condition that a rack has the owner with a fencing token.
[[nodiscard]] row_condition require_rack_fence(const std::string& rack,
                                               std::int64_t token);

/// Returns the name of the shard of a job, which is the same on every host.
[[nodiscard]] std::string shard_of(std::string_view job_id);

/// Returns the name of a shard, `j00` to `j31`, which is also the name of its
/// table part.
[[nodiscard]] std::string shard_name(int number);

} // namespace egretspindle

#endif
