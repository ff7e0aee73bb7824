/// \file
/// Decoded rows of the cluster table: heartbeats, owners of resources, and
/// lists of the targets of racks.

#ifndef EGRETSPINDLE_SCHEDULER_CLUSTER_ROWS_HPP
#define EGRETSPINDLE_SCHEDULER_CLUSTER_ROWS_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/rack/rack_handover.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Prefix of the keys of heartbeat rows. Each is in the part that
/// `heartbeat_part` returns.
constexpr std::string_view host_prefix = "host/";

/// Prefix of the keys of registrations: copies of heartbeat rows in the empty
/// part, from the start of a process and from the time when it leaves. A read
/// of the empty part finds all hosts by them.
constexpr std::string_view registration_prefix = "registration/";

/// Returns the part of the store that has the heartbeat row of a host. Each
/// host has a part of its own, since a part carries out its transactions one
/// after the other: in one that is shared, heartbeats wait for the claims that
/// follow a loss of hosts, which makes more hosts count as dead.
///
/// \param may_span_parts  the store has transactions over several parts; else
///                        all heartbeats are in the empty part, on which
///                        claims from stopped hosts depend
[[nodiscard]] std::string heartbeat_part(const std::string& host,
                                         bool may_span_parts);

/// Owner row of a resource.
struct owner_row
{
    resource_owner owner;
    std::int64_t version = 0; ///< of the row
    bool is_valid = false;    ///< a malformed row does not change the owner
};

/// Release of a rack by a former owner.
struct release_row
{
    rack_handover handover;
    std::int64_t version = 0; ///< of the row
};

/// All rows of the empty part of the table, or those of any part that changed.
struct cluster_rows
{
    /// No other rows exist in the empty part as of `version`.
    bool is_whole_table = false;
    /// Version of the store from which the next changes have to be read.
    std::int64_t version = 0;
    std::map<std::string, known_host> hosts; ///< by name
    /// Hosts by name, with the versions of their registrations.
    std::map<std::string, known_host> registrations;
    std::map<std::string, owner_row> owners;     ///< by resource
    std::map<std::string, roster_row> rosters;   ///< by rack
    std::map<std::string, release_row> releases; ///< by rack
    /// Version of the removal, by key. Includes malformed heartbeat rows.
    std::map<std::string, std::int64_t> removed;
};

/// Decodes rows of the table. If a row is given several times, its newest
/// version counts. A malformed list of targets is decoded as an empty one, and
/// a malformed release is left out.
///
/// \param version  version of the store: of the first page of a whole read, or
///                 of the changes
[[nodiscard]] cluster_rows
decode_cluster_rows(const std::vector<table_row>& rows, bool is_whole_table,
                    std::int64_t version);

/// Updates a view with the rows of a read, except where the view has a newer
/// version of a row. Sets the time of the read, see `apply_read`.
///
/// A host of which only the registration is known has version 0. A host that a
/// whole read does not contain is removed once it is not live.
///
/// \param now  when the read was answered
void apply_rows(cluster_view& view, const cluster_rows& rows,
                const liveness_limits& limits, time_point now);

} // namespace egretspindle

#endif
