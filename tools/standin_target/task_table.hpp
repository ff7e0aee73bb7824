/// \file
/// Tasks, leases and fencing of the stand-in target.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_TARGET_TASK_TABLE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_TARGET_TASK_TABLE_HPP

#include "egretspindle/adapters/ack_command.hpp"
#include "egretspindle/adapters/claim_command.hpp"
#include "egretspindle/adapters/fencing_token.hpp"
#include "egretspindle/adapters/renew_command.hpp"
#include "egretspindle/adapters/stop_command.hpp"
#include "egretspindle/adapters/target_state.hpp"
#include "egretspindle/adapters/throttle_command.hpp"

#include "common/journal_event.hpp"
#include "common/line_file.hpp"
#include "rate.hpp"
#include "target_faults.hpp"

#include <absl/status/statusor.h>

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace egretspindle::standin
{

/// Runs the tasks of one target. Usable from several threads.
///
/// One thread advances the tasks at ticks of 5 ms, and earlier when a task
/// ends. A task advances only while its lease is valid at the time of the
/// tick.
class task_table
{
public:
    explicit task_table(const target_options& options);
    ~task_table();
    task_table(const task_table&) = delete;
    task_table& operator=(const task_table&) = delete;

    /// Starts an attempt at most once and waits up to `wait_ms` for its end.
    ///
    /// \returns `stale_epoch`, `conflict` (stopped before, or too late) or
    /// `overloaded` (not enough capacity); in these cases it did not start
    absl::StatusOr<task_state> start(const start_command& command);

    /// Returns the state of an attempt after at most `wait_ms`.
    task_state find(const std::string& key, int attempt, std::int64_t wait_ms);

    absl::StatusOr<task_state> stop(const stop_command& command);
    absl::StatusOr<task_state> throttle(const throttle_command& command);
    task_state acknowledge(const ack_command& command);
    absl::StatusOr<target_state> renew(const renew_command& command);
    target_state state();
    absl::StatusOr<fencing_token> claim(const claim_command& command);

    [[nodiscard]] target_faults faults();
    void set_faults(const target_faults& faults);

private:
    using attempt_id = std::pair<std::string, int>;
    using lock_type = std::unique_lock<std::mutex>;

    struct usage_sample
    {
        time_point time;
        std::vector<task_usage> usage;
    };

    void run();

    // The functions below are called with the mutex held.
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] time_point next_tick(time_point now) const;
    absl::Status check_token(fencing_token token);
    absl::Status check_capacity(const start_command& command) const;
    absl::StatusOr<task_ptr> admit(const start_command& command);
    void advance(time_point now);
    void end_task(task& value, const char* event);
    void finish(task& value);
    void sample_usage(time_point now);
    void record_overload();
    void record(const char* event, const task& value);
    void append(journal_event event);
    task_state wait_for_end(lock_type& lock, const task_ptr& value,
                            std::int64_t wait_ms);
    task_state with_clock(task_state value) const;
    [[nodiscard]] task_state absent_state(const std::string& key,
                                          int attempt) const;
    target_state target_state_now();

    const target_options options_;
    const std::string boot_id_;
    const time_point clock_origin_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool is_stopping_ = false;
    target_faults faults_;
    fencing_token token_;
    std::int64_t owner_lease_until_ms_ = 0;
    std::map<attempt_id, task_ptr> tasks_;
    std::vector<task_ptr> running_;
    std::set<attempt_id> tombstones_;
    int connections_in_use_ = 0;
    time_point last_advance_;
    time_point last_tick_record_;
    time_point last_usage_sample_;
    std::deque<usage_sample> usage_;
    bool is_overloaded_ = false;
    line_file journal_;
    std::thread thread_;
};

} // namespace egretspindle::standin

#endif
