/// \file
/// Heartbeat of this host, and claims of job shards and racks.

#ifndef EGRETSPINDLE_SCHEDULER_CLUSTER_AGENT_HPP
#define EGRETSPINDLE_SCHEDULER_CLUSTER_AGENT_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/cluster/planned_stop.hpp"
#include "egretspindle/core/boot_clock.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/rack/rack_handover.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Owner of a resource, and its address.
struct owner_location
{
    std::string host;
    std::string peer;       ///< `ip:port`
    std::int64_t token = 0; ///< version of the owner row
    bool is_self = false;
};

/// Former owner of a resource, as last read when this host claimed it.
enum class former_owner
{
    none,    ///< the resource had no owner row, or this process owned it
    other,   ///< another host, which may be alive and not know of the claim yet
    restart, ///< an earlier process of this host, which has ended
};

/// What is known of the former owner of a resource when it was claimed.
struct former_ownership
{
    former_owner kind = former_owner::none;
    std::int64_t token = 0; ///< of its ownership; 0: none
    /// When this host read the last heartbeat of a host that is not live, on
    /// which the claim depended, or that host's own claim if that is later. The
    /// former owner has confirmed no later heartbeat.
    std::optional<time_point> last_heartbeat;
    /// When this host read that the former owner is a process that has ended.
    std::optional<time_point> ended_at;
};

/// Callbacks of the agent for changes of ownership. Called from its thread,
/// without its lock.
struct cluster_hooks
{
    /// This host has become owner, as confirmed by a read or a write that began
    /// at `confirmed_at`. The boot clock of a reading is that of the last
    /// confirmed heartbeat if that is earlier.
    std::function<void(const std::string& resource, std::int64_t token,
                       const former_ownership& former,
                       const clock_reading& confirmed_at)>
        taken;
    /// This host is no longer the owner, as shown by a read.
    std::function<void(const std::string& resource)> lost;
    /// This host is still owner, as of a read that began at `read_at`.
    std::function<void(const std::string& resource, std::int64_t token,
                       const clock_reading& read_at)>
        verified;
    /// A former owner has written a release of a rack that this host owns. May
    /// be empty.
    std::function<void(const rack_handover& handover)> released;
    /// Returns the number of this host's jobs that have not started, by queue.
    std::function<std::map<std::string, std::int64_t>()> pending;
    /// Returns the resources of this host that must not move to another live
    /// host now. May be empty.
    std::function<std::vector<std::string>()> unmovable;
};

/// Participation of this host in the cluster: writes heartbeats, claims
/// resources and follows their owners. Usable from several threads.
class cluster_agent
{
public:
    /// \param may_span_parts  the store has transactions over several parts;
    ///                        else claims write no fence rows of racks, and
    ///                        heartbeats are in the part of the owner rows
    cluster_agent(table_store& store, host_row self, cluster_hooks hooks,
                  const liveness_limits& limits, bool may_span_parts = true);
    ~cluster_agent();
    cluster_agent(const cluster_agent&) = delete;
    cluster_agent& operator=(const cluster_agent&) = delete;

    /// Returns the secret with which the hosts authenticate their messages to
    /// each other, creating it in the store when there is none.
    ///
    /// Blocks until the store answers. Returns an empty string after `stop`.
    [[nodiscard]] std::string shared_key();

    /// Starts the threads for heartbeats and for reads and claims.
    void start();

    /// Stops and joins the threads.
    void stop();

    /// Marks this host as leaving, so that others take over as soon as they
    /// read its heartbeat row. From then on it claims nothing and reads the
    /// owners four times a second.
    void leave();

    /// Returns what this host has announced and still owns. A resource that was
    /// lost is counted until its hook `lost` has returned.
    [[nodiscard]] stop_progress progress_of_stop() const;

    /// Returns the racks that this host owns.
    [[nodiscard]] std::vector<std::string> owned_racks() const;

    /// Writes releases of racks that this host has given up, where the next
    /// owners read them.
    ///
    /// \returns whether the store confirmed the write
    bool record_releases(const std::vector<rack_handover>& releases,
                         milliseconds timeout);

    /// Starts the next round of reads and claims early, but at least 250 ms
    /// after the start of the last one.
    void refresh();

    /// Returns the list of a rack's targets, as last read or written: `ip:port`
    /// by target id.
    [[nodiscard]] std::map<std::string, std::string>
    roster_of(const std::string& rack) const;

    /// Replaces the list of a rack's targets in the store, unless the owner row
    /// or the list has changed meanwhile.
    ///
    /// \param token  of this host's ownership of the rack
    /// \returns whether the store confirmed the write
    bool record_roster(const std::string& rack, std::int64_t token,
                       const std::map<std::string, std::string>& targets);

    /// Reports that a newer token than this one may have been issued for a
    /// resource of this host: a target has seen one, or a write of a shard
    /// found that the owner row has changed. The resource is claimed again, so
    /// that its ownership is either confirmed with a new token or found to be
    /// lost.
    void report_newer_token(const std::string& resource, std::int64_t token);

    /// Sets the racks that have targets: data centre by name of the rack.
    void set_racks(const std::map<std::string, std::string>& racks);

    /// Returns the owner of a resource as last read or claimed, live or not; no
    /// value if there is no owner row, or no heartbeat row of the owner.
    [[nodiscard]] std::optional<owner_location>
    owner_of(const std::string& resource) const;

    /// Returns whether a read at the store version `token` or a later one
    /// showed this host as owner of a resource. Any other owner must then have
    /// claimed the resource after that token was issued.
    [[nodiscard]] bool is_confirmed(const std::string& resource,
                                    std::int64_t token) const;

    /// Records a report of another host that has just been received.
    ///
    /// \param has_store_contact  the host has read the store within
    ///                           `contact_timeout`
    /// \param age  time since the other host found it out
    void record_store_contact(const std::string& host, bool has_store_contact,
                              milliseconds age);

    /// Returns whether the last successful read of the store is at least
    /// `contact_timeout` (1.5 s) ago.
    [[nodiscard]] bool is_without_store() const;

    /// Returns whether no host reaches the store: this one by
    /// `is_without_store`, the others by `is_cluster_wide_outage`.
    [[nodiscard]] bool is_outage() const;

    /// Returns the addresses (`ip:port`) of the other hosts that were live at
    /// the last successful read of the store.
    [[nodiscard]] std::vector<std::string> peers() const;

    /// Returns the addresses of the hosts of this data centre that read the
    /// list of targets, see `choose_readers`; none if this is one of them.
    [[nodiscard]] std::vector<std::string> list_readers() const;

    /// Returns the number of jobs by queue that have not started on other hosts
    /// that are live or own job shards, by their latest heartbeat rows.
    [[nodiscard]] std::map<std::string, std::int64_t> pending_elsewhere() const;

    /// Returns whether the last successful read of the store is less than 3 s
    /// ago. Only then is this host ready for callers.
    [[nodiscard]] bool has_store_contact() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
