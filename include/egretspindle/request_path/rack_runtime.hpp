/// \file
/// Runtime of a rack that this host owns.

#ifndef EGRETSPINDLE_REQUEST_PATH_RACK_RUNTIME_HPP
#define EGRETSPINDLE_REQUEST_PATH_RACK_RUNTIME_HPP

#include "egretspindle/admission/health_table.hpp"
#include "egretspindle/admission/urgent_queue.hpp"
#include "egretspindle/ownership/owned_rack.hpp"
#include "egretspindle/placement/choose_target.hpp"
#include "egretspindle/placement/policy_model.hpp"
#include "egretspindle/placement/rack_load.hpp"
#include "egretspindle/protocol/place_reply.hpp"
#include "egretspindle/protocol/place_request.hpp"
#include "egretspindle/protocol/rack_release.hpp"
#include "egretspindle/protocol/rack_summary.hpp"
#include "egretspindle/protocol/task_query.hpp"
#include "egretspindle/request_path/owned_task.hpp"
#include "egretspindle/request_path/rack_hooks.hpp"
#include "egretspindle/request_path/rack_options.hpp"
#include "egretspindle/request_path/target_session.hpp"
#include "egretspindle/request_path/worker_pool.hpp"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Places work on the targets of one rack, renews their leases and tracks
/// their tasks.
///
/// Thread-safe: one mutex guards all state and is not held during network
/// calls.
class rack_runtime
{
public:
    rack_runtime(rack_options options, rack_hooks hooks,
                 const owned_rack& rack);
    ~rack_runtime();
    rack_runtime(const rack_runtime&) = delete;
    rack_runtime& operator=(const rack_runtime&) = delete;

    /// Starts to renew the leases of all targets.
    void start();

    /// Stops the lease renewals and all other commands to the targets. Running
    /// tasks are not stopped.
    void stop();

    /// Applies changed fencing tokens, targets or information about the
    /// previous owner.
    void update(const owned_rack& rack);

    /// Chooses a target and starts the attempt there, or reserves capacity for
    /// it. An urgent attempt waits for capacity up to its deadline.
    ///
    /// \returns a reply that is placed, or the reason and the delay in ms after
    ///          which to retry
    [[nodiscard]] place_reply place(const place_request& request);

    /// Returns the state of an attempt; waits up to `query.wait_ms` for its
    /// end.
    [[nodiscard]] task_report query_task(const task_query& query);

    /// Stops an attempt, or prevents its start.
    ///
    /// \returns the state of the attempt after the stop; `certainly_ended` once
    ///          it neither runs nor can start
    [[nodiscard]] task_report stop_task(const task_query& query);

    /// Allows the target to drop the result of an attempt.
    absl::Status acknowledge(const task_query& query);

    /// Returns the attempts of a request that have not been lost, and refuses
    /// to place attempts up to `fence_attempt` for the next 120 s
    /// (`fence_retention` in rack_maintenance.cpp).
    [[nodiscard]] std::vector<task_report> find(const std::string& key,
                                                int fence_attempt);

    /// Returns whether all attempts that may run are known: every target has
    /// responded since the rack was acquired, or its leases from earlier owners
    /// have expired.
    [[nodiscard]] bool knows_all_attempts() const;

    /// Returns the summary that is published to other hosts.
    [[nodiscard]] rack_summary summary() const;

    /// Returns the age of the last lease renewal of each target, counted from
    /// the clock reading on which the renewal was based. Targets to which this
    /// host granted no lease are left out.
    [[nodiscard]] std::vector<target_renewal> renewals() const;

    /// Returns a copy of the load, for the admin interface.
    [[nodiscard]] rack_load load() const;

    /// Returns the number of evictions by cause since the rack was acquired.
    [[nodiscard]] std::map<std::string, int> evictions() const;

private:
    using attempt_id = std::pair<std::string, int>;
    using lock_type = std::unique_lock<std::mutex>;
    using session_ptr = std::shared_ptr<target_session>;

    /// Urgent request that waits for capacity, and the decision on it.
    struct pending_decision
    {
        bool is_decided = false;
        placement_decision decision;
    };

    // rack_runtime.cpp
    void apply_targets(const owned_rack& rack);
    session_ptr session_of(const std::string& target) const;
    target_load* load_of(const std::string& target);
    task_load* task_load_of(const attempt_id& id, const std::string& target);
    void remove_load(const attempt_id& id, const std::string& target);
    time_point latest_lease_expiry(const target_session& session,
                                   time_point now) const;

    // rack_place.cpp
    std::optional<place_reply>
    check_known_attempt(const place_request& request);
    [[nodiscard]] bool is_owner_changing() const;
    placement_decision decide(lock_type& lock, const place_request& request,
                              const task_request& task);
    placement_decision wait_for_capacity(lock_type& lock,
                                         const task_request& task,
                                         const placement_decision& first);
    void place_waiting();
    void reserve(const place_request& request,
                 const placement_decision& decision);
    void evict_and_throttle(const placement_decision& decision);

    // rack_start.cpp
    place_reply start_on_target(const place_request& request,
                                const std::string& target);
    place_reply prepare_start(const place_request& request,
                              const std::string& target,
                              start_command& command);
    place_reply handle_start_accepted(const place_request& request,
                                      place_reply reply,
                                      const task_state& state);
    place_reply handle_start_refused(const place_request& request,
                                     place_reply reply,
                                     const absl::Status& status);
    place_reply handle_start_lost(const place_request& request,
                                  place_reply reply);

    // rack_renew.cpp
    void renew_loop(const session_ptr& session);
    void renew_once(const session_ptr& session);
    void apply_state(const session_ptr& session, const target_state& state,
                     time_point sent_at);
    void apply_task(const session_ptr& session, const task_state& task,
                    time_point now);
    void end_absent_attempts(const session_ptr& session,
                             const target_state& state, time_point sent_at);
    void apply_usage(const session_ptr& session, const target_state& state);
    void mark_lost_attempts(time_point now);

    // rack_tasks.cpp
    void mark_ended(owned_task& task, const task_state& state, time_point now);
    task_report report_of(const attempt_id& id,
                          const std::string& target) const;
    task_report query_target(const task_query& query,
                             const session_ptr& session);
    task_report report_without_target(const task_query& query);

    // rack_maintenance.cpp
    void maintenance_loop();
    void report_ends();
    void report_end(const attempt_id& id);
    void watch(const attempt_id& id, std::int64_t expected_ms);
    void apply_guards();
    void evict_from_leaving_targets();
    void expire_reservations_and_fences(time_point now);
    void evict(const std::string& target, const attempt_id& id,
               const std::string& cause);

    rack_options options_;
    rack_hooks hooks_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    owned_rack rack_;
    bool is_stopping_ = false;
    time_point started_;
    std::map<std::string, session_ptr> sessions_;
    /// When a previous owner was first seen to be absent from the host list.
    std::map<std::string, time_point> unlisted_since_;
    rack_load load_;
    policy_model model_;
    health_table health_;
    urgent_queue urgent_queue_;
    std::map<std::uint64_t, pending_decision> pending_decisions_;
    std::map<attempt_id, owned_task> tasks_;
    /// Highest fenced attempt of a request, and when it was last fenced.
    std::map<std::string, std::pair<int, time_point>> fences_;
    std::map<std::string, int> evictions_;
    std::mt19937_64 rng_;
    std::thread maintenance_thread_;
    worker_pool watchers_;
    worker_pool reporters_;
};

} // namespace egretspindle

#endif
