/// \file
/// State of a rack agent.

#ifndef EGRETSPINDLE_SRC_SCHEDULER_RACK_AGENT_IMPL_HPP
#define EGRETSPINDLE_SRC_SCHEDULER_RACK_AGENT_IMPL_HPP

#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"
#include "egretspindle/scheduler/rack_metrics.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
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
    std::int64_t percent = 100;
    bool was_unanswered = false; ///< an earlier copy may be carried out later
    std::int64_t target_started_ms =
        0;                ///< of the target, when the order was made
    bool is_held = false; ///< until the target answers a poll again
};

/// Threads and queue of one target.
struct target_channel
{
    std::string rack;
    std::string target;
    std::int64_t token = 0;
    bool is_stopping = false;
    bool has_contact = false; ///< the last poll was answered
    int failed_polls = 0;     ///< in a row
    std::deque<pending_order> orders;
    std::condition_variable has_orders;
    std::condition_variable has_acks;
    std::thread poller;
    std::thread sender;
    int running = 2; ///< threads that have not returned
};

using channel_ptr = std::shared_ptr<target_channel>;

/// Repeated start that waits for a look-up of its run.
struct unconfirmed_start
{
    std::string rack;
    std::int64_t token = 0;
    run_id id;
};

/// Job whose record is to be read.
struct job_lookup
{
    std::string job;
    bool is_long_running = false; ///< one of the starts lasts
    std::vector<unconfirmed_start> starts;
};

/// Returns whether an order is a stop that is queued already. Stops are asked
/// for and repeated from several places, and one is enough.
[[nodiscard]] bool is_queued_stop(const target_channel& channel,
                                  const pending_order& order);

/// Returns the runs whose starts a target has not confirmed.
[[nodiscard]] std::vector<run_id> unconfirmed_runs(const rack_target& target);

/// Members are grouped by the files that define them.
struct rack_agent::impl
{
    impl(target_port& port, rack_agent_hooks callbacks,
         const rack_agent_limits& bounds)
        : targets(port), hooks(std::move(callbacks)), limits(bounds),
          metrics(*hooks.metrics)
    {
    }

    rack_state* find_rack(const std::string& name);
    rack_target* find_target(const target_channel& channel);
    void open_channel(const std::string& rack, const std::string& target,
                      std::int64_t token);
    void close_channels(const std::string& rack,
                        std::vector<channel_ptr>& closed);
    void sync_targets(rack_state& rack);
    void place(rack_state& rack);
    void push(const std::string& target, pending_order order);
    void note_return(target_channel& channel);
    std::vector<channel_ptr> take_finished();
    void finish(const std::vector<channel_ptr>& closed);

    void poll_loop(const channel_ptr& channel);
    bool poll_once(const channel_ptr& channel);
    void apply_answer(const channel_ptr& channel, const poll_answer& answer,
                      time_point sent_at);
    void send_loop(const channel_ptr& channel);
    void send(const channel_ptr& channel, pending_order order);
    bool prepare_start(const channel_ptr& channel, pending_order& order,
                       start_order& message, target_entry& entry);
    void note_silence(const target_channel& channel,
                      const pending_order& order);
    void fence_start(const target_channel& channel, rack_target& target,
                     const run_id& id);
    bool take_answer(const channel_ptr& channel, const pending_order& order,
                     const order_answer& answer);
    bool take_back(const channel_ptr& channel, const pending_order& order);
    void send_start(const channel_ptr& channel, pending_order order);
    void send_stop(const channel_ptr& channel, pending_order order);
    void send_pace(const channel_ptr& channel, const pending_order& order);
    void retry(const channel_ptr& channel, pending_order order,
               bool was_unanswered);
    void fence(const target_channel& channel);
    void note_confirmed(const rack_target& target,
                        const std::vector<run_id>& unconfirmed) const;
    void log_held(const rack_state& rack, const start_batch& batch,
                  std::size_t held) const;
    [[nodiscard]] rack_counts count_racks(time_point now) const;
    void confirm_repeated();
    void apply_lookup(const job_lookup& lookup, const run_racks& assigned);
    void record_rosters();
    void publish(const std::string& rack, std::int64_t token,
                 const std::vector<run_event>& events);

    target_port& targets;
    rack_agent_hooks hooks;
    rack_agent_limits limits;
    rack_metrics metrics;
    mutable std::mutex mutex;
    std::map<std::string, rack_state> racks;
    std::map<std::string, channel_ptr> channels; ///< by target
    std::map<std::string, target_entry> entries; ///< as listed last
    std::vector<channel_ptr> retired;            ///< threads that are ending
    interference_model model;
    bool is_model_taken = true; ///< by `copy_changed_model`, as it is
    host_activity activity;
    bool is_stopping = false;
};

} // namespace egretspindle

#endif
