/// \file
/// Heartbeat of this host, and claims of job shards and racks.

#ifndef EGRETSPINDLE_SCHEDULER_CLUSTER_AGENT_HPP
#define EGRETSPINDLE_SCHEDULER_CLUSTER_AGENT_HPP

#include "egretspindle/cluster/cluster_view.hpp"
#include "egretspindle/core/boot_clock.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Where a resource is served.
struct owner_location
{
    std::string host;
    std::string peer;       ///< `ip:port`
    std::int64_t token = 0; ///< version of the owner row
    bool is_self = false;
};

/// Former owner of a resource, as seen when it was claimed.
enum class former_owner
{
    none,    ///< nobody
    other,   ///< another host, which may live and not know of the claim yet
    restart, ///< an earlier life of this host, which ended before this one
};

/// What the agent tells of ownership. Called from its thread, without its
/// lock.
struct cluster_hooks
{
    /// A read or a write that began at `confirmed_at` showed this host as
    /// owner.
    std::function<void(const std::string& resource, std::int64_t token,
                       former_owner former, const clock_reading& confirmed_at)>
        taken;
    std::function<void(const std::string& resource)> lost;
    /// A read that began at `read_at` showed this host as owner.
    std::function<void(const std::string& resource, std::int64_t token,
                       const clock_reading& read_at)>
        verified;
    std::function<std::map<std::string, std::int64_t>()> pending;
};

/// Host of the cluster. Usable from several threads.
class cluster_agent
{
public:
    cluster_agent(table_store& store, host_row self, cluster_hooks hooks,
                  const liveness_limits& limits);
    ~cluster_agent();
    cluster_agent(const cluster_agent&) = delete;
    cluster_agent& operator=(const cluster_agent&) = delete;

    /// Returns the key that all hosts share, creating it when there is none.
    ///
    /// Waits for the store; an empty text after `stop`.
    [[nodiscard]] std::string shared_key();

    void start();
    void stop();

    /// Marks this host as leaving, so that others take over at once.
    void leave();

    /// Reads and claims without waiting for the next period.
    void refresh();

    /// Returns the list of a rack's targets, as of the read or claim that
    /// showed this host as owner.
    [[nodiscard]] std::map<std::string, std::string>
    roster_of(const std::string& rack) const;

    /// Replaces the list of a rack's targets, if this host owns the rack.
    ///
    /// \returns whether the list is durable
    bool record_roster(const std::string& rack, std::int64_t token,
                       const std::map<std::string, std::string>& targets);

    /// Notes that a target has seen a newer token than that of this host.
    void report_newer_token(const std::string& resource, std::int64_t token);

    /// Sets the racks that have targets, with their data centres.
    void set_racks(const std::map<std::string, std::string>& racks);

    [[nodiscard]] std::optional<owner_location>
    owner_of(const std::string& resource) const;

    /// Returns whether a read of the store, which was as new as a token or
    /// newer, showed this host as owner of a resource. Another owner of the
    /// resource then took it over after that token was given.
    [[nodiscard]] bool is_confirmed(const std::string& resource,
                                    std::int64_t token) const;

    /// Notes what another host says of its contact with the store.
    void record_store_contact(const std::string& host, bool has_store_contact);

    /// Returns whether this host has not read the store lately.
    [[nodiscard]] bool is_without_store() const;

    /// Returns whether no host reaches the store; see `is_outage_for_all`.
    [[nodiscard]] bool is_outage() const;

    /// Returns the addresses of other hosts, those that were live when the
    /// store was read last.
    [[nodiscard]] std::vector<std::string> peers() const;

    /// Returns the jobs of a queue that have not begun, on other hosts.
    [[nodiscard]] std::int64_t
    pending_elsewhere(const std::string& queue) const;

    /// Returns whether the store has answered lately.
    [[nodiscard]] bool has_store_contact() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
