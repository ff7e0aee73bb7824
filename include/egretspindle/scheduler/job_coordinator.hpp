/// \file
/// Owner of job shards: stores jobs, assigns runs to racks and tracks them.

#ifndef EGRETSPINDLE_SCHEDULER_JOB_COORDINATOR_HPP
#define EGRETSPINDLE_SCHEDULER_JOB_COORDINATOR_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/caller_port.hpp"
#include "egretspindle/fleet/fleet_config.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/rack/queued_start.hpp"
#include "egretspindle/scheduler/load_summary.hpp"
#include "egretspindle/scheduler/owner_messages.hpp"
#include "egretspindle/scheduler/write_pace.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Functions that the coordinator needs from other components.
///
/// `config`, `choose_racks`, `has_room_for_long_running`,
/// `summarize_rack_loads`, `summarize_service_load`, `rack_token`,
/// `is_shard_confirmed` and `is_in_delivery` are called with the coordinator's
/// lock held and must not call it. The others are called without the lock.
struct job_coordinator_hooks
{
    /// Current configuration; never null.
    std::function<std::shared_ptr<const fleet_config>()> config;
    /// Returns a rack for each of `count` tasks of a step; empty: no rack has
    /// capacity. A gang gets racks for all of its tasks or for none.
    std::function<std::vector<std::string>(const step_terms& terms,
                                           std::size_t count,
                                           const std::string& data_rack)>
        choose_racks;
    /// Whether the fleet has capacity left for the tasks of a long-running
    /// step. Assumed when absent.
    std::function<bool(const step_terms& terms, std::size_t count)>
        has_room_for_long_running;
    /// Summary of the load reports of some racks, for log lines. Optional.
    std::function<rack_load_summary(const std::vector<std::string>& racks)>
        summarize_rack_loads;
    /// Summary of the load reports of a service, for log lines. Optional.
    std::function<service_load_summary(const std::string& service)>
        summarize_service_load;
    /// Token of the current owner of a rack; 0: no known owner.
    std::function<std::int64_t(const std::string& rack)> rack_token;
    /// Whether a read of the store at least as new as a token showed this host
    /// as the owner of a shard. Assumed when absent.
    std::function<bool(const std::string& shard, std::int64_t token)>
        is_shard_confirmed;
    /// Called when a write shows that another host has taken over a shard. The
    /// coordinator has then removed it from memory.
    std::function<void(const std::string& shard)> on_shard_lost;
    /// Queues orders for the owner of a rack without waiting.
    std::function<void(rack_orders orders)> send;
    /// Whether orders that `send` got for a rack still wait to be sent, or for
    /// their reply; `collected_at` identifies them. Assumed not when absent.
    std::function<bool(const std::string& rack, time_point collected_at)>
        is_in_delivery;
    /// Registry of the coordinator's metrics.
    std::shared_ptr<metric_registry> metrics =
        std::make_shared<metric_registry>();
};

/// Jobs with changes that are not durable yet.
struct write_backlog
{
    std::size_t jobs = 0;
    milliseconds oldest{0}; ///< age of the oldest such change
};

/// Limits and periods of the coordinator.
struct coordinator_limits
{
    milliseconds commit_timeout = transaction_timeout;
    /// Timeout of most reads, which do not wait for transactions; a slow store
    /// takes 360 ms.
    milliseconds read_timeout{700};
    /// Age from which a new job that is certainly not stored is refused.
    milliseconds refuse_after{700};
    /// Time for which writes must have failed before new jobs are refused
    /// without an attempt to write them.
    milliseconds outage_after{600};
    /// The same for writes that were all refused for overload, which a busy
    /// store does to some writes of every host. Other hosts take over after
    /// that time (`liveness_limits::heartbeat_timeout`).
    milliseconds overload_outage_after{3'000};
    /// Time after the last failed write until a new job is written again.
    milliseconds outage_expires_after{1'000};
    /// Time after the takeover of a shard until all writes of its former owner
    /// have taken effect: it stops within 3 s, and the store can delay a write
    /// by up to 6 s.
    milliseconds former_owner_write_delay{12'000};
    /// Time that `report` waits until the reported ends are durable.
    milliseconds max_report_wait{5'000};
    milliseconds resend_period{1'000}; ///< of orders that are not confirmed
    milliseconds retention{180'000};   ///< of records, from the end of the job
    /// Jobs per transaction. Does not apply while the store is overloaded.
    std::size_t max_batch = 16;
    write_pace_limits pace;      ///< of writes while the store is overloaded
    bool may_span_parts = false; ///< store has transactions over several parts
    int writers = 3;             ///< threads that write records
};

/// Manages the jobs of the shards that this host owns. Thread-safe.
///
/// One mutex guards all state. It is never held during a call to the store or
/// to another host. Each change of a job is followed by a write of its whole
/// record. Starts are sent, ends confirmed and states reported only after the
/// record that contains them is durable.
///
/// While the store refuses writes for overload, they are sent at a limited rate
/// (`write_pace`), and each one has as many jobs as a transaction can hold.
class job_coordinator
{
public:
    job_coordinator(table_store& store, job_coordinator_hooks hooks,
                    const coordinator_limits& limits);
    ~job_coordinator();
    job_coordinator(const job_coordinator&) = delete;
    job_coordinator& operator=(const job_coordinator&) = delete;

    /// Loads the jobs of a shard in the background and then serves it. No
    /// effect if the shard is already taken.
    ///
    /// \param token  version of the shard's owner row, checked by the write of
    ///               the fence row if `may_span_parts`; 0: not checked
    void take_shard(const std::string& shard, std::int64_t token = 0);

    /// Removes a shard and its jobs from memory.
    void drop_shard(const std::string& shard);

    /// Accepts or refuses a new job; see `job_reply::verdict`. Waits at most
    /// `job_request::budget_ms` for its shard to be loaded and for the write. A
    /// job that exists already is accepted unchanged.
    [[nodiscard]] job_reply submit(const job_request& request);

    /// Returns the state of a job as shown to callers. Waits at most
    /// `job_request::budget_ms` for its shard to be loaded and for the write of
    /// its state. Reads a job from the store that is not in memory; `unknown`
    /// if this has not succeeded after `job_request::budget_ms`.
    [[nodiscard]] job_reply query(const job_request& request);

    /// The same with another limit for the read, for callers on this host that
    /// wait longer for the reply than for the shard.
    ///
    /// \param read_until  time at which the read is given up
    [[nodiscard]] job_reply query(const job_request& request,
                                  time_point read_until);

    /// Cancels a job and returns its state once the cancellation is durable;
    /// `unknown` if it is not within `job_request::budget_ms`.
    [[nodiscard]] job_reply cancel(const job_request& request);

    /// Applies reports of runs. Returns once the changes are durable, or after
    /// `max_report_wait` with the verdict `retry` for the others.
    [[nodiscard]] report_reply report(const report_batch& batch);

    /// Records the reply to orders. Confirmed starts are not sent again while
    /// the rack has the same owner.
    void confirm(const rack_orders& orders, const rack_orders_reply& reply);

    /// Removes the starts of runs that are not assigned any more or whose job
    /// is not open, from orders that have waited to be delivered.
    void remove_outdated_starts(rack_orders& orders) const;

    /// Records that orders have not been and will not be carried out by any
    /// host. Called at most once per `send`.
    void mark_undelivered(const rack_orders& orders);

    /// Adds due occurrences, assigns due steps to racks, resends orders that
    /// are not confirmed and removes expired records. To be called
    /// periodically.
    void tick();

    /// Returns the number of accepted jobs that have not started, by queue.
    [[nodiscard]] std::map<std::string, std::int64_t> pending() const;

    /// Returns the jobs that wait for a write, and for how long.
    [[nodiscard]] write_backlog unwritten() const;

    /// Ends the threads and the waiting calls.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
