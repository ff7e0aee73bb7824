/// \file
/// Simulated target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_SIMULATED_TARGET_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_PLATFORM_SIMULATED_TARGET_HPP

#include "egretspindle/codec/json.hpp"

#include "common/line_file.hpp"
#include "common/platform_event.hpp"
#include "platform_options.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace egretspindle::standin
{

/// Appends events to a file; usable from several threads.
class journal
{
public:
    explicit journal(const std::string& path) : file_(path) {}

    void write(const platform_event& event)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        file_.append(to_json(event));
    }

private:
    std::mutex mutex_;
    line_file file_;
};

/// Faults of a simulated target.
struct simulated_target_faults
{
    bool is_unhealthy = false;  ///< answers 503 without executing
    bool delays_orders = false; ///< executes orders late, without an answer
    /// Does not answer orders with a token above the highest one seen, as if
    /// only the known owner could reach the target.
    bool answers_known_owner_only = false;
    bool fails_runs = false;   ///< ends each new run as failed at once
    std::int64_t slowness = 1; ///< factor on the duration of runs
};

/// Start, stop or poll order. Fields that an order lacks keep their default
/// values.
struct target_order
{
    std::string task;
    std::int64_t run = 0;
    std::string spec;
    std::int64_t lease_until_ms = 0; ///< on the target's clock; 0: no renewal
    std::int64_t token = 0;
    std::int64_t acknowledged = 0; ///< ends up to this number leave the list
    std::int64_t wait_ms = 0;      ///< longest wait for an end
};

/// Visits the fields of `target_order` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const target_order* /*tag*/)
{
    visit("task", value.task);
    visit("run", value.run);
    visit("spec", value.spec);
    visit("deadlineMs", value.lease_until_ms);
    visit("fencingToken", value.token);
    visit("ackCursor", value.acknowledged);
    visit("waitMs", value.wait_ms);
}

/// State of a target that decides how it treats an order.
struct simulated_target_state
{
    std::string id;         ///< of the current boot; empty: not running
    int boot_number = 0;    ///< number of the current boot
    std::int64_t token = 0; ///< highest one seen in this boot
    simulated_target_faults faults;
};

/// Result of an order: a status and, for 409, the reason.
struct order_result
{
    int status = 200; ///< 0: the boot ended before its answer
    std::string reason;
};

/// One target over all of its boots. Usable from several threads.
class simulated_target
{
public:
    simulated_target(simulated_target_options options, journal& events);

    /// Boots the target, unless it is running.
    ///
    /// \param is_id_kept  whether it is registered under the id of its former
    ///                    boot
    void boot(bool is_id_kept);

    /// Ends the boot and all of its runs at once.
    void crash();

    /// Waits until the target is running.
    ///
    /// \returns whether it is running within the limit
    [[nodiscard]] bool wait_for_boot(std::chrono::milliseconds limit);

    /// Announces that the target will stop.
    void drain();

    void set_faults(const simulated_target_faults& faults);

    /// Ends the runs that are due, and the lease when it has expired.
    void advance();

    [[nodiscard]] order_result start(const target_order& order);
    [[nodiscard]] order_result stop(const target_order& order);

    /// \param body  receives the lists of running and ended runs
    [[nodiscard]] order_result poll(const target_order& order,
                                    std::string& body);

    /// Returns the body of an answer to an order.
    [[nodiscard]] std::string answer_body(const std::string& reason);

    [[nodiscard]] simulated_target_state view();

    /// Returns the value of the row of the target in the list of targets.
    [[nodiscard]] std::string row_value();

    [[nodiscard]] const simulated_target_options& options() const
    {
        return options_;
    }

private:
    /// Task and run. Two concurrent runs of a task are a fault of the
    /// scheduler, which the journal has to show.
    using run_ref = std::pair<std::string, std::int64_t>;

    struct live_run
    {
        std::int64_t cpu = 0;
        std::int64_t started_ms = 0;
        std::int64_t ends_ms = 0; ///< steady time
        std::string outcome = "done";
    };

    struct listed_end
    {
        std::int64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string outcome;
        bool is_lease_expired = false;
    };

    /// Checks whether an order with this token may be executed now.
    [[nodiscard]] order_result admit(std::int64_t token, std::int64_t now);
    void advance_locked(std::int64_t now);
    void end_run(const run_ref& name, std::int64_t at,
                 const std::string& outcome);
    void write_event(std::int64_t at, const std::string& event,
                     const std::string& task = "", std::int64_t run = 0,
                     const std::string& outcome = "", std::int64_t token = 0,
                     const std::string& detail = "");
    [[nodiscard]] std::int64_t clock_at(std::int64_t now) const;
    [[nodiscard]] std::int64_t steady_at(std::int64_t clock) const;
    void renew(std::int64_t lease_until_ms, std::int64_t now);
    [[nodiscard]] std::string poll_body() const;

    simulated_target_options options_;
    journal& journal_;
    std::mutex mutex_;
    std::condition_variable changed_;
    simulated_target_faults faults_;
    std::mt19937 random_;
    bool is_running_ = false;
    bool is_draining_ = false;
    int boot_number_ = 0;
    int id_number_ = 0;
    std::int64_t booted_unix_ms_ = 0;   ///< Unix ms
    std::int64_t booted_steady_ms_ = 0; ///< steady time
    double clock_rate_ = 1.0;
    std::int64_t token_ = 0;
    std::int64_t lease_until_ = 0; ///< on the clock of the target
    bool has_lease_ = false;
    std::int64_t sequence_ = 0;
    std::int64_t last_end_ = 0;
    std::map<run_ref, live_run> runs_;
    std::map<std::string, std::int64_t>
        highest_runs_; ///< run stopped or ended, by task
    std::deque<listed_end> ends_;
};

} // namespace egretspindle::standin

#endif
