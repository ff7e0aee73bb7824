/// \file
/// Current configuration: queues and services.

#ifndef EGRETSPINDLE_FLEET_FLEET_CONFIG_HPP
#define EGRETSPINDLE_FLEET_FLEET_CONFIG_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Queue that callers submit jobs to.
struct queue_config
{
    std::string name;
    std::string host;          ///< host name that callers use
    std::string path_prefix;   ///< with the final slash
    std::string service;       ///< pool of targets that runs its tasks
    std::int64_t priority = 0; ///< 0 is served first
    /// Number of failed runs of one task after which its job fails.
    std::int64_t max_attempts = 1;
    /// Objective for the time from the acceptance of a job to its completion,
    /// as a multiple of the declared duration of its critical path.
    double stretch = 1.0;
    std::int64_t target_duration_ms = 0; ///< added to the objective
    std::int64_t timeout_ms = 0;         ///< of a caller's request
    bool needs_advice = false; ///< a policy service selects the targets
};

/// Pool of targets.
struct service_config
{
    std::string name;
    bool rejects_overload = false; ///< as listed by the platform
    bool is_standby = false;       ///< its targets are switched off
};

/// One version of the configuration.
struct fleet_config
{
    std::int64_t version = 0; ///< 0: not read yet
    std::vector<queue_config> queues;
    std::vector<service_config> services;
};

/// Returns the queue of a host name with the longest prefix of a path, or null
/// if none matches.
[[nodiscard]] const queue_config* find_queue(const fleet_config& config,
                                             std::string_view host,
                                             std::string_view path);

/// Returns the queue with a name, or null if there is none.
[[nodiscard]] const queue_config* find_queue_named(const fleet_config& config,
                                                   std::string_view name);

} // namespace egretspindle

#endif
