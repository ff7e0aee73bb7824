/// \file
/// Implementation of `rack_agent`, shared by its source files.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_RACK_AGENT_IMPL_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_RACK_AGENT_IMPL_HPP

#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"
#include "egretspindle/scheduler/rack_metrics.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Order that waits to be sent to a target.
struct pending_order
{
    enum class kind
    {
        start,
        stop,
        pace,
    };

    kind what = kind::start;
    run_id id;
    bool was_unanswered = false; ///< an earlier attempt may be executed later
    /// `rack_target::started_ms` when the message was prepared.
    std::int64_t target_started_ms = 0;
    bool is_held = false;  ///< a start that must not be sent now
    time_point queued_at;  ///< of a stop
    time_point not_before; ///< next attempt of a stop; {}: at once
};

/// Threads and queue of orders of one target, guarded by the agent's mutex.
struct target_channel
{
    std::string rack;
    std::string target;
    std::int64_t token = 0; ///< of the ownership that opened the channel
    bool is_stopping = false;
    bool has_contact = false; ///< the last poll was answered
    int failed_polls = 0;     ///< in a row
    /// When the target was first seen to have a full list of ends; {}: it can
    /// list more.
    time_point list_full_since;
    /// When the latest start without an answer was sent.
    time_point unanswered_start_at;
    std::deque<pending_order> orders;
    /// Runs with an order that is being sent. A run has one at a time.
    std::vector<run_id> in_delivery;
    int stop_calls = 0;                 ///< calls of the threads of `stop_loop`
    std::condition_variable has_orders; ///< wakes the sender
    std::condition_variable has_acks;   ///< wakes the poller
    std::thread poller;
    std::thread sender;
    int running = 2; ///< number of the threads that have not returned
};

using channel_ptr = std::shared_ptr<target_channel>;

/// Channel with a stop that may be sent beside other orders, or the time at
/// which there may be one.
struct waiting_stop
{
    channel_ptr channel; ///< null: none now
    time_point at = time_point::max();
};

/// Repeated start that is held until the record of its job has been read.
struct held_start
{
    std::string rack;
    std::int64_t token = 0;
    run_id id;
};

/// Job whose record is to be read.
struct job_lookup
{
    std::string job;
    bool is_long_running = false; ///< of at least one of the starts
    std::vector<held_start> starts;
};

/// Returns whether an order is a stop or a change of speed that is already
/// queued. These are requested and repeated in several places, and one copy is
/// enough: the speed is read when the order is sent.
[[nodiscard]] bool is_queued_copy(const target_channel& channel,
                                  const pending_order& order);

/// Returns the runs whose starts a target has not confirmed, and that have not
/// ended.
[[nodiscard]] std::vector<run_id> unconfirmed_runs(const rack_target& target);

/// State of a rack agent. Functions with a parameter of type `rack_state` or
/// `rack_target`, and `find_rack`, `find_target`, `open_channel`,
/// `close_channels`, `queue_order`, `find_waiting_stop`, `remove_finished` and
/// `count_racks`, are called with `mutex` locked; the others without, and lock
/// it as needed.
///
/// `intent_thread` exists if the hooks for intents are set.
struct rack_agent::impl
{
    impl(target_port& port, rack_agent_hooks callbacks,
         const rack_agent_limits& bounds)
        : targets(port), hooks(std::move(callbacks)), limits(bounds),
          metrics(*hooks.metrics)
    {
    }

    /// Returns the rack, or null if this host does not have it.
    rack_state* find_rack(const std::string& name);
    /// Returns the target of a channel, or null if the channel is closed or
    /// belongs to an earlier ownership of the rack.
    rack_target* find_target(const target_channel& channel);
    /// Starts the threads of a target.
    void open_channel(const std::string& rack, const std::string& target,
                      std::int64_t token);
    /// Tells the threads of a rack's targets to return, without waiting for
    /// them, and appends their channels to `closed`.
    void close_channels(const std::string& rack,
                        std::vector<channel_ptr>& closed);
    /// Applies the platform's list to the targets of a rack, and opens and
    /// closes channels accordingly.
    void sync_targets(rack_state& rack);
    void move_off_draining_targets(rack_state& rack);
    /// Sends starts from the queue of a rack to targets with free capacity.
    void place(rack_state& rack);
    /// Queues an order for a target: a stop before all others, unless it is
    /// queued already. Has no effect without a channel of the target.
    void queue_order(const std::string& target, pending_order order);
    void mark_thread_returned(target_channel& channel);
    std::vector<channel_ptr> remove_finished();
    void join_threads(const std::vector<channel_ptr>& closed);

    void poll_loop(const channel_ptr& channel);
    /// Polls a target. Returns false if the poll failed and the next one has to
    /// be delayed.
    bool poll_once(const channel_ptr& channel);
    bool prepare_poll(const target_channel& channel, poll_request& request,
                      target_entry& entry);
    void apply_failed_poll(const channel_ptr& channel,
                           const poll_request& request,
                           const target_entry& entry, time_point sent_at,
                           const absl::StatusOr<poll_answer>& answer);
    /// Called with `mutex` locked.
    void queue_stops_and_paces(rack_target& target, time_point now);
    bool is_overtaken(const target_channel& channel, std::int64_t token);
    /// Logs that the target gets no starts since its list of ends is full, and
    /// that it gets some again. Called with `mutex` locked.
    void log_full_list(target_channel& channel, const rack_target& target,
                       time_point now);
    void apply_poll_answer(const channel_ptr& channel,
                           const poll_request& request,
                           const poll_answer& answer, time_point sent_at);
    /// Sends the orders of a target, one at a time, until its channel is
    /// closed.
    void send_loop(const channel_ptr& channel);
    /// Sends stops of targets whose sender is in a call, so that they do not
    /// wait for orders without an answer. Ends with the agent.
    void stop_loop();
    waiting_stop find_waiting_stop(time_point now);
    /// Sends an order that was taken from the queue of its channel. `lock` is
    /// released during the call.
    void deliver(const channel_ptr& channel, pending_order order,
                 std::unique_lock<std::mutex>& lock);
    void send(const channel_ptr& channel, pending_order order);
    bool prepare_start(const channel_ptr& channel, pending_order& order,
                       start_order& message, target_entry& entry);
    void finish_start(const channel_ptr& channel, std::int64_t clock_ms);
    void mark_start_unanswered(target_channel& channel,
                               const pending_order& order, time_point sent_at);
    void stop_refused_start(const target_channel& channel, rack_target& target,
                            const run_id& id);
    bool apply_start_answer(const channel_ptr& channel,
                            const pending_order& order,
                            const order_answer& answer);
    bool cancel_unsent_start(const channel_ptr& channel,
                             const pending_order& order);
    void send_start(const channel_ptr& channel, pending_order order);
    void send_stop(const channel_ptr& channel, pending_order order);
    void send_pace(const channel_ptr& channel, pending_order order);
    /// Queues an order again, to be sent after
    /// `rack_agent_limits::order_retry`. The sender of the target waits for
    /// that time, except after a stop.
    void retry(const channel_ptr& channel, pending_order order,
               bool was_unanswered);
    void fence(const target_channel& channel);
    void observe_confirmations(const rack_target& target,
                               const std::vector<run_id>& unconfirmed) const;
    void queue_first_speeds(const rack_target& target,
                            const std::vector<run_id>& unconfirmed);
    void log_held_starts(const rack_state& rack, const start_batch& batch,
                         std::size_t held) const;
    received_stops apply_stops(rack_state& rack,
                               const std::vector<run_ref>& stops,
                               time_point now, std::vector<run_event>& events);
    void log_stops(const rack_state& rack, const std::vector<run_ref>& stops,
                   const received_stops& received);
    [[nodiscard]] rack_counts count_racks(time_point now) const;
    void look_up_repeated_starts();
    void apply_lookup(const job_lookup& lookup, const run_racks& assigned);
    void record_rosters();
    [[nodiscard]] bool has_intents_to_record(const rack_state& rack) const;
    void intent_loop();
    bool update_intents();
    bool read_inherited_intents(const std::string& name, std::int64_t token);
    bool record_intents(const std::string& name, std::int64_t token);
    double draw_spread();
    void adapt_intent_pace(const absl::StatusOr<intent_write>& written,
                           time_point begun_at);
    void observe_stopped(const std::string& rack, std::int64_t token,
                         const run_event& event);
    /// Reports events to the owners of the jobs. Called without the lock.
    void publish(const std::string& rack, std::int64_t token,
                 const std::vector<run_event>& events);

    target_port& targets;
    rack_agent_hooks hooks;
    rack_agent_limits limits;
    rack_metrics metrics;
    mutable std::mutex mutex;
    std::map<std::string, rack_state> racks;
    std::map<std::string, channel_ptr> channels; ///< by target
    std::map<std::string, target_entry> entries; ///< the platform's list
    std::vector<channel_ptr> closed_channels;    ///< threads not joined yet
    interference_model model;
    bool is_model_copied = true; ///< `copy_changed_model` has returned `model`
    std::shared_ptr<const std::set<std::string>> lightly_used;
    /// Jobs whose record could not be read for a look-up. Used by the thread of
    /// `tick` only.
    std::set<std::string> unread_jobs;
    host_activity activity;
    log_rate_limit stops_log_limit{milliseconds(200)};
    log_rate_limit late_stop_log_limit{milliseconds(200)};
    bool is_stopping = false;
    std::condition_variable intents_changed; ///< wakes `intent_thread`
    bool has_intent_work = false;
    write_pace intent_pace;         ///< of writes of intents
    bool is_intent_delayed = false; ///< a write waits for `intent_pace`
    std::string last_intent_rack;   ///< whose intents were written last
    std::minstd_rand random{std::random_device{}()};
    std::thread intent_thread;
    std::condition_variable stops_changed; ///< wakes `stop_threads`
    std::string last_stop_target; ///< of the latest stop of `stop_threads`
    std::vector<std::thread> stop_threads;
};

} // namespace egretspindle

#endif
