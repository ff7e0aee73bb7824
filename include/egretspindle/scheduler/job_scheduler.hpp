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

/// Options of the scheduler on one host.
struct scheduler_options
{
    std::string host;
    std::string data_center;
    std::string peer_address;     ///< IP address for messages of other hosts
    unsigned short peer_port = 0; ///< TCP for messages, UDP for load reports
    double weight = 1.0; ///< relative share of racks and shards, in cores
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

    /// Joins the cluster. Waits until the store answers.
    [[nodiscard]] absl::Status start();

    /// Hands all shards and racks over to other hosts. Requests are still
    /// answered.
    void leave();
    void stop();

    /// Applies a configuration unless a newer one is already in use.
    void set_config(fleet_config config);
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const;

    /// Sets the platform's list of targets, by id.
    void set_targets(const std::map<std::string, target_entry>& targets);

    /// Returns the metrics of this host in the Prometheus text format.
    [[nodiscard]] std::string metrics_text() const;

    /// Returns the registry, to which the caller interface adds its metrics.
    [[nodiscard]] metric_registry& metrics() noexcept;

    /// Returns whether this host can serve callers.
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
