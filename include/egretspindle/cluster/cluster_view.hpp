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

/// Heartbeat row of a host.
struct host_row
{
    std::string name;
    std::int64_t boot = 0; ///< Unix time in ms of the start of its process
    std::string peer;      ///< `ip:port` for messages of other hosts
    std::string data_center;
    bool is_leaving = false; ///< stops soon; takes nothing over
    std::int64_t beat = 0;
    std::map<std::string, std::int64_t> pending; ///< jobs not begun, by queue
    double weight = 1.0; ///< share of the resources, in cores
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
}

/// Owner row of a job shard or a rack.
struct resource_owner
{
    std::string host;
    std::int64_t boot = 0; ///< life of the host that claimed it
};

/// Visits the fields of `resource_owner` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const resource_owner* /*tag*/)
{
    visit("host", value.host);
    visit("boot", value.boot);
}

/// Host as observed by this one.
struct known_host
{
    host_row row;
    std::int64_t version = 0; ///< of the row
    time_point changed_at;    ///< when a read first showed this version
    time_point boot_seen_at;  ///< when a read first showed this life
};

/// Resource that has exactly one owner at a time.
struct resource
{
    std::string name;        ///< key of its owner row
    std::string data_center; ///< of a rack; empty for a job shard
    resource_owner owner;
    std::int64_t version = 0; ///< of the owner row; 0: never claimed
    time_point owned_since;   ///< when a read first showed this version
};

/// Durable list of the targets that owners of a rack have used.
struct roster_row
{
    std::map<std::string, std::string> targets; ///< addresses by id
    std::int64_t version = 0;                   ///< of the row; 0: none
};

/// Visits the fields of `roster_row` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const roster_row* /*tag*/)
{
    visit("targets", value.targets);
}

/// Everything that claims are decided on.
struct cluster_view
{
    std::map<std::string, known_host> hosts;
    std::map<std::string, resource> resources;
    std::map<std::string, roster_row> rosters; ///< by rack
    time_point first_read;                     ///< of this process
    time_point last_read;                      ///< latest successful one
    time_point last_rebalance; ///< latest claim of a live host's resource
};

/// Reads of the store further apart than `read_gap` say nothing of the
/// heartbeats between them.
struct liveness_limits
{
    milliseconds silence{3'000}; ///< heartbeat unchanged: not live
    milliseconds read_gap{2'500};
    milliseconds first_claim{1'500}; ///< after the first read of a process
    milliseconds reclaim{3'000};     ///< a restarted owner goes first
    milliseconds rebalance{1'500};   ///< between claims from live hosts
    /// A rack does not move between live hosts in this time after it was
    /// claimed. A new owner waits up to 14.7 s for leases on targets that it
    /// does not reach, and each move begins the wait anew.
    milliseconds rack_rest{15'000};
    /// Between reads of the whole table, which correct a missed change. Changes
    /// are read every second; the whole table is over 200 rows on large sites.
    milliseconds whole_read{30'000};
    /// No step of a round of reads and claims has ended for this long: the host
    /// hangs, and writes no heartbeats. Slow calls take up to 3 s.
    milliseconds stall{10'000};
};

/// Takes over the rows of one read.
void apply_read(cluster_view& view, const std::vector<known_host>& hosts,
                const liveness_limits& limits, time_point now);

/// Returns whether a host sends heartbeats and does not leave.
[[nodiscard]] bool is_live(const cluster_view& view, const std::string& host,
                           const liveness_limits& limits, time_point now);

/// Returns the resources that a host should claim now.
///
/// Resources without a live owner are dealt to the live hosts in proportion to
/// their weights, racks to those of their data centre first. Every host with
/// the same view names the same claimant. A resource moves between live hosts
/// only if that lowers the larger of their loads per weight by at least half a
/// resource of the loaded one; with equal weights, if the claimant owns at
/// least two fewer.
[[nodiscard]] std::vector<std::string>
decide_claims(const cluster_view& view, const std::string& self,
              std::int64_t boot, const liveness_limits& limits, time_point now);

/// Returns whether this process owns a resource, as of the last read.
[[nodiscard]] bool owns(const resource& item, const std::string& self,
                        std::int64_t boot) noexcept;

} // namespace egretspindle

#endif
