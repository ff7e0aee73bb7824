/// \file
/// Job scheduler of one host.

#ifndef EGRETSPINDLE_SCHEDULER_JOB_SCHEDULER_HPP
#define EGRETSPINDLE_SCHEDULER_JOB_SCHEDULER_HPP

#include "egretspindle/fleet/caller_port.hpp"
#include "egretspindle/fleet/fleet_config.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/fleet/target_port.hpp"
#include "egretspindle/metrics/metric_registry.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"

#include <absl/status/status.h>

#include <map>
#include <memory>
#include <string>

namespace egretspindle
{

/// What the scheduler has to know of its host.
struct scheduler_options
{
    std::string host;
    std::string data_center;
    std::string peer_address;     ///< IP number for messages of other hosts
    unsigned short peer_port = 0; ///< TCP for messages, UDP for load reports
    double weight = 1.0; ///< share of the racks and job shards, in cores
    coordinator_limits coordinator;
    rack_agent_limits racks;
};

/// Owner of job shards and racks, and entry for callers, on one host.
///
/// Lock order: coordinator or racks, then the view of the fleet's load, then
/// the agent of the cluster. No lock is held across a call.
class job_scheduler final : public caller_port
{
public:
    job_scheduler(table_store& store, target_port& targets,
                  scheduler_options options);
    ~job_scheduler() override;
    job_scheduler(const job_scheduler&) = delete;
    job_scheduler& operator=(const job_scheduler&) = delete;

    /// Joins the cluster; waits for the store.
    [[nodiscard]] absl::Status start();

    /// Gives everything up to other hosts; calls are still answered.
    void leave();
    void stop();

    /// Puts a configuration in force, unless a newer one is.
    void set_config(fleet_config config);
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const;

    /// Takes over the platform's list of targets, by id.
    void set_targets(const std::map<std::string, target_entry>& targets);

    /// Returns the metrics of this host in the Prometheus text format.
    [[nodiscard]] std::string metrics_text() const;

    /// Returns the registry, for metrics of the callers' interface.
    [[nodiscard]] metric_registry& metrics() noexcept;

    /// Returns whether callers can be served.
    [[nodiscard]] bool is_ready() const;

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
