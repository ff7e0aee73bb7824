/// \file
/// Owner of racks: polls their targets, and starts, stops and slows tasks.

#ifndef EGRETSPINDLE_SCHEDULER_RACK_AGENT_HPP
#define EGRETSPINDLE_SCHEDULER_RACK_AGENT_HPP

#include "egretspindle/core/boot_clock.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/pair_outbox.hpp"
#include "egretspindle/rack/rack_handover.hpp"
#include "egretspindle/rack/rack_state.hpp"
#include "egretspindle/scheduler/activity.hpp"
#include "egretspindle/scheduler/intent_rows.hpp"
#include "egretspindle/scheduler/owner_messages.hpp"
#include "egretspindle/scheduler/write_pace.hpp"

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

/// Addresses (`ip:port`) of targets by id.
using rack_roster = std::map<std::string, std::string>;

/// Rack of each run, as assigned by the record of an open job.
using run_racks = std::map<run_id, std::string>;

/// Callbacks of the agent to other components. Called without its lock, except
/// `hand_back_quota` and `has_eventual_room`, which must not call the agent.
struct rack_agent_hooks
{
    /// Passes reports to the owners of the jobs. Must not block.
    std::function<void(std::vector<run_report> reports)> report;
    /// A target has seen a newer owner of the rack. Called once for each token.
    std::function<void(const std::string& rack)> lost;
    /// Returns how many queued starts of a step a rack may hand back now, for
    /// room of a kind in other racks.
    std::function<std::size_t(const step_terms& terms, const std::string& rack,
                              room_kind room)>
        hand_back_quota;
    /// Returns whether a target of the fleet has room for a long-running task
    /// of a step, or will have it once its short tasks have ended.
    std::function<bool(const step_terms& terms)> has_eventual_room;
    /// Reads the record of a job. Returns no value if the store did not answer;
    /// a job that has no record has no runs.
    std::function<std::optional<run_racks>(const std::string& job)>
        read_assignments;
    /// Stores the list of a rack's targets durably. Returns false if the store
    /// did not confirm it, or this host is not the owner any more.
    std::function<bool(const std::string& rack, std::int64_t token,
                       const rack_roster& roster)>
        record_roster;
    /// Reads the recorded intents of a rack to start long-running runs. If
    /// absent, intents are neither read nor recorded.
    std::function<absl::StatusOr<intent_record>(const std::string& rack)>
        read_intents;
    /// Replaces the record, see `write_intents`.
    std::function<absl::StatusOr<intent_write>(const std::string& rack,
                                               std::int64_t token,
                                               const intent_record& record)>
        write_intents;
    /// Registry of the agent's metrics.
    std::shared_ptr<metric_registry> metrics =
        std::make_shared<metric_registry>();
};

/// Limits, periods and timeouts of a rack agent.
struct rack_agent_limits
{
    lease_limits lease;
    /// Longest time that a target waits for the end of a run before it answers
    /// a poll. Well below `lease_limits::lease`, which each poll renews.
    milliseconds poll_wait{1'500};
    /// Instead of `poll_wait`, while tasks on idle CPU run beside serving tasks
    /// on the target.
    milliseconds mixed_poll_wait{400};
    milliseconds poll_timeout{2'500};
    milliseconds order_timeout{600};
    /// Delay before the retry of a start or stop that was not confirmed, or
    /// that must not be sent now.
    milliseconds order_retry{150};
    /// Threads that send stops to targets whose sender waits for an answer.
    int stop_senders = 4;
    milliseconds poll_retry{300}; ///< delay after a failed poll
    /// Delay after a failed read or write of recorded intents.
    milliseconds intent_retry{100};
    write_pace_limits intent_pace; ///< of their writes to an overloaded store
    /// Time after which confirmations of starts are recorded with their
    /// intents, so that one write serves the starts of a step.
    milliseconds confirmation_delay{1'000};
    /// Longest delay of the next poll until listed ends are recorded.
    milliseconds ack_wait{150};
    /// Time in the queue after which a start is handed back, if it fits into
    /// another rack.
    milliseconds max_queue_wait{700};
    /// Maximum number of job records that are read in one tick. A read takes
    /// about 10 ms, and resolves all repeated starts of its job.
    std::size_t max_lookups = 20;
};

/// Takeover of a rack by this host.
struct rack_takeover
{
    std::string rack;
    std::int64_t token = 0;        ///< fencing token of the ownership
    std::int64_t former_token = 0; ///< of the former owner; 0: none
    /// The former owner certainly grants no lease after this time, which may be
    /// in the future.
    time_point former_stopped_at;
    /// Start of the read or write that showed this host as owner.
    clock_reading confirmed_at;
    /// Addresses of the targets that earlier owners may have used, by id.
    rack_roster roster;
};

/// Manages the racks that this host owns. Usable from several threads.
///
/// A target gets starts only after it has been recorded in the durable list of
/// its rack, so that a later owner knows every target that may have runs.
///
/// A long-running run is started only after the intent to start it has been
/// recorded, so that a later owner knows its target without reaching all.
///
/// One mutex guards all racks; it is never held during a remote call. Each
/// target has a thread that polls it and one that sends orders to it. One
/// thread reads and records intents.
class rack_agent
{
public:
    rack_agent(target_port& targets, rack_agent_hooks hooks,
               const rack_agent_limits& limits);
    ~rack_agent();
    rack_agent(const rack_agent&) = delete;
    rack_agent& operator=(const rack_agent&) = delete;

    /// Returns the racks that must not move to another host now, see
    /// `is_concluding`.
    [[nodiscard]] std::vector<std::string> concluding_racks() const;

    /// Takes a rack over and starts to poll its targets. Has no effect if the
    /// agent has the rack with the same token.
    void take_rack(const rack_takeover& takeover);

    /// Gives a rack up. Pending calls to its targets are not waited for; `tick`
    /// joins their threads.
    ///
    /// \returns the message for the new owner, or nothing if the agent does not
    ///          have the rack
    std::optional<rack_handover> drop_rack(const std::string& rack);

    /// Applies the message of the former owner of a rack. Replies that this
    /// host is not the owner if it does not have the rack (yet).
    rack_handover_reply apply_handover(const rack_handover& handover);

    /// Records that the store has confirmed this host as owner of a rack, which
    /// renews its right to grant leases. Has no effect if the agent does not
    /// have the rack with this token.
    ///
    /// \param read_at  start of the read
    void verify_rack(const std::string& rack, std::int64_t token,
                     const clock_reading& read_at);

    /// Lets this host grant leases in its racks for `lease_limits::outage_step`
    /// from `checked_at`, where its right to do so had not ended by then.
    /// Called during an outage of the store for all hosts.
    ///
    /// \param checked_at  before the look whether there is such an outage
    void extend_authority(boot_time_point checked_at);

    /// Replaces the platform's list of targets, by id.
    void set_targets(const std::map<std::string, target_entry>& targets);

    /// Queues starts and stops. Does nothing and replies that this host is not
    /// the owner if it does not have the rack with the token of the orders, or
    /// if a target has seen a newer owner.
    [[nodiscard]] rack_orders_reply execute(const rack_orders& orders);

    /// Applies the verdicts of the owners of jobs on reports. The first verdict
    /// of `reply` is for the first report, and so on.
    void apply_verdicts(const std::vector<run_report>& reports,
                        const report_reply& reply);

    /// Does the periodic work: records changed lists of targets, looks up
    /// repeated starts, expires leases, places queued starts and hands back
    /// those that fit elsewhere. Called every 250 ms.
    void tick();

    /// Returns the load reports of all racks that this host owns, except those
    /// where a target has seen a newer owner.
    [[nodiscard]] std::vector<rack_load_report> measure() const;

    /// Logs each rack that has queued starts, and sets the gauges of racks and
    /// queues.
    void log_queues() const;

    /// Returns what this host has learned of the interference by tasks on idle
    /// processors and has to send to other hosts now, at most `max_pairs`
    /// pairs, and records them as sent.
    [[nodiscard]] std::vector<pair_interference>
    select_due_pairs(pair_outbox& outbox) const;

    /// Adds what another host has learned of interference.
    ///
    /// \param boot  boot id of the process of that host
    void update_peer_interference(
        const std::string& host, std::int64_t boot,
        const std::vector<pair_interference>& interference);

    /// Returns the merged model of interference between images if it has
    /// changed since the last call.
    [[nodiscard]] std::optional<interference_model> copy_changed_model();

    /// Sets the share of the suitable targets that is reserved for each image
    /// whose starts wait for idle processors; see `reserved_shares`.
    void set_reserved_shares(std::map<std::string, double> shares);

    /// Sets the services that are used lightly, see `lightly_used_services`.
    void set_lightly_used(std::set<std::string> services);

    /// Returns the counters since the last log line. The agent counts its calls
    /// to targets; callers may count the rest.
    [[nodiscard]] host_activity& activity() noexcept;

    /// Gives all racks up, and joins the threads after their pending calls.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
