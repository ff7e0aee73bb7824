/// \file
/// Owner of job shards: records jobs, assigns runs to racks, follows them.

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

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// What the coordinator needs of other parts. Called without its lock, except
/// `choose_racks`, `has_room_for_long_running`, the two sights, `rack_token`
/// and `is_shard_confirmed`, which must not call back.
struct job_coordinator_hooks
{
    std::function<std::shared_ptr<const fleet_config>()> config;
    std::function<std::vector<std::string>(const step_terms& terms,
                                           std::size_t count,
                                           const std::string& data_rack)>
        choose_racks;
    /// Whether the tasks of a step that lasts may take room of the fleet.
    std::function<bool(const step_terms& terms, std::size_t count)>
        has_room_for_long_running;
    /// What reports say, for log lines. May be left out.
    std::function<rack_load_summary(const std::vector<std::string>& racks)>
        see_racks;
    std::function<service_load_summary(const std::string& service)> see_service;
    /// Token of the current owner of a rack; 0: none known.
    std::function<std::int64_t(const std::string& rack)> rack_token;
    /// Whether a read of the store that was at least as new as a token showed
    /// this host as owner of a shard. Always so when absent.
    std::function<bool(const std::string& shard, std::int64_t token)>
        is_shard_confirmed;
    /// Another host has taken a shard over.
    std::function<void(const std::string& shard)> lost_shard;
    /// Sends orders to the owner of a rack, without waiting.
    std::function<void(rack_orders orders)> send;
    /// Registry of the coordinator's metrics.
    std::shared_ptr<metric_registry> metrics =
        std::make_shared<metric_registry>();
};

/// Bounds and periods of the coordinator.
struct coordinator_limits
{
    milliseconds commit_timeout{700};  ///< of one write; a slow store takes 360
    milliseconds refuse_after{700};    ///< refused writes of a new job
    milliseconds outage_after{600};    ///< failed writes: new jobs are refused
    milliseconds outage_memory{1'000}; ///< then the next new job tries again
    /// After a takeover of a shard, until writes of its former owner have
    /// certainly taken effect: 3 s until it stops, and up to 6 s of delay.
    milliseconds former_writes{12'000};
    milliseconds report_wait{5'000};   ///< for the record of reported ends
    milliseconds resend_period{1'000}; ///< of orders without confirmation
    milliseconds retention{180'000};   ///< of ended jobs
    std::size_t max_batch = 16;        ///< jobs in one transaction
    bool may_span_parts = false;       ///< transactions over several shards
    int writers = 3;                   ///< threads that write records
};

/// Jobs of the shards that this host owns. Usable from several threads.
///
/// One mutex guards all state; it is never held across a call to the store or
/// to another host. A change of a job is followed by a write of its whole
/// record; starts are sent, ends confirmed and states shown only once the
/// record that contains them is durable.
class job_coordinator
{
public:
    job_coordinator(table_store& store, job_coordinator_hooks hooks,
                    const coordinator_limits& limits);
    ~job_coordinator();
    job_coordinator(const job_coordinator&) = delete;
    job_coordinator& operator=(const job_coordinator&) = delete;

    /// Reads the jobs of a shard, and serves it from then on.
    /// \param token  version of the owner row; 0: not checked
    void take_shard(const std::string& shard, std::int64_t token = 0);

    /// Forgets the jobs of a shard.
    void drop_shard(const std::string& shard);

    /// Handles a call for a job of a shard that this host may own.
    [[nodiscard]] job_reply submit(const job_request& call);
    [[nodiscard]] job_reply query(const job_request& call);
    [[nodiscard]] job_reply cancel(const job_request& call);

    /// Records news of runs; returns when they are durable.
    [[nodiscard]] report_reply report(const report_batch& batch);

    /// Notes that the owner of a rack has confirmed orders.
    void confirm(const rack_orders& orders, const rack_orders_reply& reply);

    /// Notes that orders have certainly reached nobody who carries them out,
    /// now or later. Called at most once for each `send`.
    void mark_undelivered(const rack_orders& orders);

    /// Starts due occurrences, and repeats orders that are not confirmed.
    void tick();

    /// Returns the number of jobs that have not begun, by queue.
    [[nodiscard]] std::map<std::string, std::int64_t> pending() const;

    /// Ends the threads.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
