/// \file
/// Job scheduler of one host.

#ifndef EGRETSPINDLE_SCHEDULER_JOB_SCHEDULER_HPP
#define EGRETSPINDLE_SCHEDULER_JOB_SCHEDULER_HPP

#include "egretspindle/cluster/planned_stop.hpp"
#include "egretspindle/fleet/caller_port.hpp"
#include "egretspindle/fleet/fleet_config.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"
#include "egretspindle/scheduler/table_replica.hpp"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace egretspindle
{

/// Options of the scheduler on one host.
struct scheduler_options
{
    std::string host;
    std::string data_center;
    std::string peer_address;     ///< IP address for messages of other hosts
    unsigned short peer_port = 0; ///< TCP for messages, UDP for load reports
    /// Weight in the distribution of racks and shards among hosts, in cores.
    double weight = 1.0;
    coordinator_limits coordinator;
    rack_agent_limits racks;
};

/// Manages the job shards and racks of one host and serves callers.
///
/// Lock order: job coordinator or rack agent, then the fleet load, then the
/// cluster agent. No lock is held during a call to another host or the store.
class job_scheduler final : public caller_port
{
public:
    job_scheduler(table_store& store, target_port& targets,
                  scheduler_options options);
    ~job_scheduler() override;
    job_scheduler(const job_scheduler&) = delete;
    job_scheduler& operator=(const job_scheduler&) = delete;

    /// Joins the cluster. Blocks until the store answers.
    ///
    /// \returns an error when the peer address cannot be bound
    [[nodiscard]] absl::Status start();

    /// Marks this host as leaving, so that other hosts take over its shards and
    /// racks. Does not wait for them; see `progress_of_stop`. Requests are
    /// still answered, but `is_ready` returns false.
    void leave();

    /// Returns what is left to hand over after `leave`. The elapsed time and
    /// the calls of callers are not known here and stay zero.
    [[nodiscard]] stop_progress progress_of_stop() const;

    /// Gives up the racks that this host still owns, and writes their releases
    /// and those that are not delivered to the store, so that the next owners
    /// know when the leases end. Called after `leave`.
    ///
    /// \param timeout  of the write; it may be repeated
    void release_racks(milliseconds timeout);

    /// Ends all threads and connections. Shards and racks that are still owned
    /// are not handed over.
    void stop();

    /// Applies a configuration if its version is higher than that in use.
    void set_config(fleet_config config);
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const;

    /// Starts to follow the platform's list of targets, after `start`.
    ///
    /// \param table   of the list in the store
    /// \param pause   between reads of the store
    /// \param decode  see `target_list_hooks::decode`
    void
    follow_targets(std::string table, milliseconds pause,
                   std::function<const std::map<std::string, target_entry>&(
                       const row_map&)>
                       decode);

    /// Sets the platform's list of targets, by id.
    void set_targets(const std::map<std::string, target_entry>& targets);

    /// Returns the metrics of this host in the Prometheus text format.
    [[nodiscard]] std::string metrics_text() const;

    /// Returns the registry, to which the caller interface adds its metrics.
    [[nodiscard]] metric_registry& metrics() noexcept;

    /// Returns whether this host can serve callers: it has a configuration and
    /// a list of targets, is in contact with the store and is not leaving.
    [[nodiscard]] bool is_ready() const;

    /// Forwards a request to the owner of the job's shard. `budget` limits the
    /// time to wait for it; a query waits for half of that at most and then
    /// reads the store.
    [[nodiscard]] submit_answer
    submit(const std::string& queue, const std::string& id, job_spec spec,
           std::chrono::milliseconds budget) override;
    [[nodiscard]] job_answer query(const std::string& id,
                                   std::chrono::milliseconds budget) override;
    [[nodiscard]] job_answer cancel(const std::string& id,
                                    std::chrono::milliseconds budget) override;
    [[nodiscard]] std::int64_t pending(const std::string& queue) override;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
