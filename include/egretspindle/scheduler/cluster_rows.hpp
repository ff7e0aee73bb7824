/// \file
/// Decoded rows of the cluster table.

#ifndef EGRETSPINDLE_SCHEDULER_CLUSTER_ROWS_HPP
#define EGRETSPINDLE_SCHEDULER_CLUSTER_ROWS_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Prefix of the keys of heartbeat rows.
constexpr std::string_view host_prefix = "host/";

/// Owner row of a resource.
struct owner_row
{
    resource_owner owner;
    std::int64_t version = 0;
    bool is_valid = false; ///< a malformed row does not change the owner
};

/// All rows of the table, or those that changed.
struct cluster_rows
{
    bool is_whole_table = false;                 ///< no other rows exist
    std::int64_t version = 0;                    ///< later changes follow it
    std::map<std::string, known_host> hosts;     ///< by name
    std::map<std::string, owner_row> owners;     ///< by resource
    std::map<std::string, roster_row> rosters;   ///< by rack
    std::map<std::string, std::int64_t> removed; ///< version by key
};

/// Decodes rows of the table. If a row is given several times, its newest
/// version counts.
///
/// \param version  version of the store when the first rows were read
[[nodiscard]] cluster_rows
decode_cluster_rows(const std::vector<table_row>& rows, bool is_whole_table,
                    std::int64_t version);

/// Updates a view with rows unless its own are newer, and sets the time of the
/// read.
void apply_rows(cluster_view& view, const cluster_rows& rows,
                const liveness_limits& limits, time_point now);

} // namespace egretspindle

#endif
