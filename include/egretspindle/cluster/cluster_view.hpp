/// \file
/// Hosts and the owners of resources, as read from the store.

#ifndef EGRETSPINDLE_CLUSTER_CLUSTER_VIEW_HPP
#define EGRETSPINDLE_CLUSTER_CLUSTER_VIEW_HPP

#include "egretspindle/core/clock.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace egretspindle
{

/// Heartbeat row of a host, which writes it every second.
struct host_row
{
    std::string name;
    std::int64_t boot = 0; ///< Unix time in ms when its process started
    std::string peer;      ///< `ip:port` for messages from other hosts
    std::string data_center;
    bool is_leaving = false; ///< shuts down soon and claims nothing
    std::int64_t beat = 0;   ///< number of the heartbeat; 1 after a start
    /// Number of jobs owned by the host that have not started, by queue.
    std::map<std::string, std::int64_t> pending;
    /// Relative share of the resources to own, in CPU cores.
    double weight = 1.0;
    /// Resources of the host that must not move to another live host now.
    std::vector<std::string> unmovable;
};

/// Visits the fields of `host_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const host_row* /*tag*/)
{
    visit("name", value.name);
    visit("boot", value.boot);
    visit("peer", value.peer);
    visit("data_center", value.data_center);
    visit("leaving", value.is_leaving);
    visit("beat", value.beat);
    visit("pending", value.pending);
    visit("weight", value.weight);
    visit("unmovable", value.unmovable);
}

/// Owner row of a job shard or a rack.
struct resource_owner
{
    std::string host;
    std::int64_t boot = 0; ///< `host_row::boot` of the process that claimed it
};

/// Visits the fields of `resource_owner` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const resource_owner* /*tag*/)
{
    visit("host", value.host);
    visit("boot", value.boot);
}

/// Host as last read from the store.
struct known_host
{
    host_row row;
    std::int64_t version = 0; ///< of the row
    /// When a read first showed this version, or when a read followed a gap of
    /// more than `liveness_limits::max_read_gap`.
    time_point changed_at;
    time_point boot_seen_at; ///< when a read first showed this `boot`
    /// When a read last showed a heartbeat after the host had not been live;
    /// {}: never.
    time_point resumed_at;
    /// No heartbeat has been read since the last gap of more than
    /// `liveness_limits::max_read_gap`.
    bool is_silent_since_gap = false;
};

/// Resource that has at most one owner at a time: a job shard or a rack.
struct resource
{
    std::string name;        ///< key of its owner row
    std::string data_center; ///< of a rack; empty for a job shard
    resource_owner owner;
    std::int64_t version = 0; ///< of the owner row; 0: no owner row
    /// When a read first showed this version, or this host claimed it.
    time_point owned_since;
};

/// Durable list of the targets that the owners of a rack have used.
struct roster_row
{
    std::map<std::string, std::string> targets; ///< `ip:port` by target id
    std::int64_t version = 0;                   ///< of the row; 0: none
};

/// Visits the fields of `roster_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const roster_row* /*tag*/)
{
    visit("targets", value.targets);
}

/// State of the cluster that claims are decided from. Times are readings of the
/// steady clock of this host.
struct cluster_view
{
    std::map<std::string, known_host> hosts;   ///< by name
    std::map<std::string, resource> resources; ///< by key of the owner row
    std::map<std::string, roster_row> rosters; ///< by rack
    time_point first_read; ///< first successful read of this process; {}: none
    time_point last_read;  ///< latest successful read
    /// Latest claim by this host of a resource from a live host.
    time_point last_rebalance;
};

/// Timeouts and intervals of liveness checks and claims.
struct liveness_limits
{
    /// A host whose heartbeat row has not changed for this long is not live.
    milliseconds heartbeat_timeout{3'000};
    /// If successful reads are further apart, `heartbeat_timeout` of all hosts
    /// starts anew at the later one, since heartbeats that were not read do not
    /// count as missed.
    milliseconds max_read_gap{2'500};
    /// Time from the first read of a process to its first claim of a resource
    /// that an earlier process of the same host did not own.
    milliseconds first_claim_delay{1'500};
    /// Time from the first heartbeat of this host after it was not live to its
    /// first claim from a host that is not live. A store that is slow for some
    /// seconds stops the heartbeats of all hosts at once. The others write
    /// theirs within a period of heartbeats (1 s), and the next read (1 s)
    /// shows them.
    milliseconds resumed_claim_delay{2'000};
    /// After a read has first shown the restart of an owner, no other host
    /// claims its resources for this long.
    milliseconds reclaim_period{3'000};
    /// Shortest time between claims of resources from live hosts.
    milliseconds rebalance_interval{1'500};
    /// A rack does not move between live hosts for this long after a claim. A
    /// new owner waits up to 14.7 s (`lease_limits::authority` and
    /// `max_lease_duration`) for leases on targets that it cannot reach, and
    /// each move restarts the wait.
    milliseconds rack_move_cooldown{15'000};
    /// Time between reads of the whole table, which correct missed changes.
    /// Changes are read every second; the whole table has over 200 rows on
    /// large sites.
    milliseconds whole_read_interval{30'000};
    /// A host whose loop of reads and claims makes no progress for this long is
    /// considered hung, and writes no heartbeats. Slow calls of the loop take
    /// up to 3 s.
    milliseconds stall_timeout{10'000};
};

/// Replaces the hosts of a view by those of a read, sets their times of change,
/// and sets the time of the read.
///
/// \param hosts  rows and versions as read; their times are ignored
/// \param now    when the read was answered
void apply_read(cluster_view& view, const std::vector<known_host>& hosts,
                const liveness_limits& limits, time_point now);

/// Returns whether the heartbeat row of a host has changed within
/// `liveness_limits::heartbeat_timeout` before `now`, and the host is not
/// leaving.
[[nodiscard]] bool is_live(const cluster_view& view, const std::string& host,
                           const liveness_limits& limits, time_point now);

/// Returns the keys of the resources that a host should claim now; none unless
/// the host itself is live, and a heartbeat of it has been read since the last
/// gap between its reads: the others may take it for dead until they read one.
///
/// Resources without a live owner are distributed to the live hosts in
/// proportion to their weights, racks to hosts of their data centre if any is
/// live. All hosts with the same view choose the same claimant. A resource
/// moves between live hosts only if that lowers the larger of their loads per
/// weight by at least half a resource of the loaded one; with equal weights, if
/// the claimant owns at least two fewer. A rack also moves if its owner is in
/// another data centre than the rack, and the claimant in the same. A resource
/// in `host_row::unmovable` of its owner does not move. At most one resource of
/// a live host is returned, and only if every resource has an owner.
///
/// \param boot  `host_row::boot` of the process of `self`
[[nodiscard]] std::vector<std::string>
decide_claims(const cluster_view& view, const std::string& self,
              std::int64_t boot, const liveness_limits& limits, time_point now);

/// Number of hosts of a data centre that read the list of targets for the
/// others; the second one takes the place of the first at once when that fails.
constexpr std::size_t reader_count = 2;

/// Returns the live hosts of a data centre that read the list of targets for
/// the others, the preferred one first: those with the largest weights, by a
/// hash among equal ones. All hosts with the same view choose the same ones.
[[nodiscard]] std::vector<std::string>
choose_readers(const cluster_view& view, const std::string& data_center,
               const liveness_limits& limits, time_point now);

/// Returns whether the process `boot` of the host `self` owns a resource, as
/// last read or claimed.
[[nodiscard]] bool owns(const resource& item, const std::string& self,
                        std::int64_t boot) noexcept;

} // namespace egretspindle

#endif
