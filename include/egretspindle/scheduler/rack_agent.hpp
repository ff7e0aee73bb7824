/// \file
/// Owner of racks: polls targets, starts, stops and paces their tasks.

#ifndef EGRETSPINDLE_SCHEDULER_RACK_AGENT_HPP
#define EGRETSPINDLE_SCHEDULER_RACK_AGENT_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/pair_outbox.hpp"
#include "egretspindle/rack/rack_state.hpp"
#include "egretspindle/scheduler/activity.hpp"
#include "egretspindle/scheduler/owner_messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace egretspindle
{

/// Addresses of targets by id.
using rack_roster = std::map<std::string, std::string>;

/// Racks to which the record of an open job assigns its runs.
using run_racks = std::map<run_id, std::string>;

/// What the runtime needs of other parts. Called without its lock, except
/// `hand_back_quota`, which must not call back.
struct rack_agent_hooks
{
    /// Passes reports on to the owners of the jobs, without waiting.
    std::function<void(std::vector<run_report> reports)> report;
    /// A target has seen a newer owner of the rack.
    std::function<void(const std::string& rack)> lost;
    std::function<std::size_t(const step_terms& terms, const std::string& rack)>
        hand_back_quota;
    /// Reads the record of a job; no value when the store did not answer.
    std::function<std::optional<run_racks>(const std::string& job)>
        read_assignments;
    /// Makes the list of a rack's targets durable; false: not now, or not by
    /// this owner.
    std::function<bool(const std::string& rack, std::int64_t token,
                       const rack_roster& roster)>
        record_roster;
    /// Registry of the runtime's metrics.
    std::shared_ptr<metric_registry> metrics =
        std::make_shared<metric_registry>();
};

/// Bounds and periods of the runtime.
struct rack_agent_limits
{
    lease_limits lease;
    milliseconds poll_wait{1'500};     ///< for a new end; well below the lease
    milliseconds mixed_poll_wait{400}; ///< while tasks disturb serving ones
    milliseconds poll_timeout{2'500};
    milliseconds order_timeout{600};
    milliseconds order_retry{150};    ///< after an order without an answer
    milliseconds poll_retry{300};     ///< after a poll without an answer
    milliseconds ack_wait{150};       ///< for the record of listed ends
    milliseconds queue_patience{700}; ///< before a start goes elsewhere
    /// Records of jobs that are read in one tick. Each read takes about 10 ms,
    /// and answers for all repeated starts of its job.
    std::size_t most_lookups = 20;
};

/// How a rack was taken over.
struct rack_takeover
{
    std::string rack;
    std::int64_t token = 0;
    /// The former owner has certainly granted no lease since then.
    time_point former_stopped_at;
    /// Start of the read or write that showed this host as owner.
    clock_reading confirmed_at;
    /// Addresses of the targets that earlier owners may have used, by id.
    rack_roster roster;
};

/// Racks that this host owns. Usable from several threads.
///
/// A target gets starts only once the durable list of its rack names it, so
/// that a later owner knows every target that may run work.
///
/// One mutex guards all racks; it is never held across a call. Each target
/// has a thread that polls it and one that sends orders to it.
class rack_agent
{
public:
    rack_agent(target_port& targets, rack_agent_hooks hooks,
               const rack_agent_limits& limits);
    ~rack_agent();
    rack_agent(const rack_agent&) = delete;
    rack_agent& operator=(const rack_agent&) = delete;

    void take_rack(const rack_takeover& takeover);
    void drop_rack(const std::string& rack);

    /// Notes that the store showed this host as owner.
    ///
    /// \param read_at  when the read was begun
    void verify_rack(const std::string& rack, std::int64_t token,
                     const clock_reading& read_at);

    /// Lets all racks go on granting leases for a moment; see
    /// `extend_authority`.
    void extend_authority();

    /// Takes over the platform's list of targets.
    void set_targets(const std::map<std::string, target_entry>& targets);

    /// Queues starts and carries out stops.
    [[nodiscard]] rack_orders_reply execute(const rack_orders& orders);

    /// Takes over what the owner of the jobs said to reports.
    void apply_verdicts(const std::vector<run_report>& reports,
                        const report_reply& reply);

    /// Expires leases and hands queued starts back that fit elsewhere.
    void tick();

    /// Returns the room of all racks of this host.
    [[nodiscard]] std::vector<rack_load_report> measure() const;

    /// Writes a line for each rack with starts that wait, and sets the gauges
    /// of racks and queues.
    void log_queues() const;

    /// Returns what this host has learned of tasks on idle processors and has
    /// to send now.
    [[nodiscard]] std::vector<pair_interference>
    select_due_pairs(pair_outbox& outbox) const;

    /// Takes over what another host has learned.
    void update_peer_interference(
        const std::string& host, std::int64_t boot,
        const std::vector<pair_interference>& interference);

    /// Returns what is known of pairs of images if it has changed since the
    /// last call.
    [[nodiscard]] std::optional<interference_model> copy_changed_model();

    /// Sets the share of the suitable targets that is kept for each image whose
    /// starts wait for idle processors; see `reserved_shares`.
    void set_reserved_shares(std::map<std::string, double> shares);

    /// Returns what has been counted since the last log line.
    [[nodiscard]] host_activity& activity() noexcept;

    /// Ends the threads.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
