/// \file
/// In-memory target with fault injection.

#ifndef EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_TARGET_HPP
#define EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_TARGET_HPP

#include "egretspindle/adapters/target_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::test
{

/// Target that keeps leases, tombstones and results like
/// `tools/standin_target`.
class fake_target
{
public:
    using attempt_id = std::pair<std::string, int>;

    absl::StatusOr<task_state> start(const start_command& command)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Status status =
            check_command({command.epoch, command.term});
        if (!status.ok())
        {
            return status;
        }
        const attempt_id id{command.key, command.attempt};
        if (starts_to_delay_ > 0)
        {
            --starts_to_delay_;
            delayed_starts_.push_back(command);
            return make_error(error_kind::deadline_exceeded, "lost");
        }
        const absl::Status admitted = admit(command);
        if (!admitted.ok())
        {
            return admitted;
        }
        if (responses_to_lose_ > 0)
        {
            --responses_to_lose_;
            return make_error(error_kind::deadline_exceeded, "response lost");
        }
        return state_of(id);
    }

    absl::StatusOr<task_state> task(const std::string& key, int attempt)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Status status = check_command({});
        if (status.ok())
        {
            return state_of({key, attempt});
        }
        return status;
    }

    absl::StatusOr<task_state> stop(const stop_command& command)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Status status =
            check_command({command.epoch, command.term});
        if (!status.ok())
        {
            return status;
        }
        const attempt_id id{command.key, command.attempt};
        const auto it = tasks_.find(id);
        if (it == tasks_.end())
        {
            tombstones_.insert(id);
        }
        else if (it->second.state == "running")
        {
            it->second.state = "stopped";
            it->second.checkpoint = command.checkpoint ? "half" : "";
        }
        return state_of(id);
    }

    absl::Status acknowledge(const ack_command& command)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Status status = check_command({});
        if (status.ok())
        {
            tasks_.erase({command.key, command.attempt});
        }
        return status;
    }

    absl::StatusOr<target_state> renew(const renew_command& command)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const absl::Status status =
            check_command({command.epoch, command.term});
        if (!status.ok())
        {
            return status;
        }
        lease_until_ms_ = std::max(lease_until_ms_, command.lease_until_ms);
        ++renewals_;
        target_state state;
        state.clock_ms = clock_ms();
        state.boot_id = boot_id_;
        for (const auto& [id, task] : tasks_)
        {
            state.tasks.push_back(state_of(id));
            state.tasks.back().answer.clear();
        }
        return state;
    }

    /// Delivers the delayed start commands.
    ///
    /// \returns how many of them started a task
    int deliver_delayed()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        int count = 0;
        for (const start_command& command : delayed_starts_)
        {
            count += admit(command).ok() ? 1 : 0;
        }
        delayed_starts_.clear();
        return count;
    }

    /// Adds a task that an earlier owner started.
    void add_running_task(const attempt_id& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks_[id].state = "running";
    }

    /// Ends a task successfully with an answer.
    void finish(const attempt_id& id, const std::string& answer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks_[id].state = "finished";
        tasks_[id].ok = true;
        tasks_[id].answer = answer;
    }

    /// Restarts the target, which loses its tasks and gets another boot id.
    void restart()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        boot_id_ += "'";
        tasks_.clear();
        tombstones_.clear();
    }

    void set_unreachable(bool is_unreachable)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_unreachable_ = is_unreachable;
    }

    /// Delays the next `count` start commands until `deliver_delayed`; their
    /// callers get a timeout.
    void delay_starts(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        starts_to_delay_ = count;
    }

    /// Executes the next `count` start commands, but reports a timeout to the
    /// caller.
    void lose_responses(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        responses_to_lose_ = count;
    }

    /// Sets the highest token that the target has seen; it rejects lower ones.
    void set_token(const fencing_token& token)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        token_ = token;
    }

    /// Returns the time until the latest lease expires on the target's clock;
    /// negative afterwards.
    std::int64_t lease_left_ms() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return lease_until_ms_ - clock_ms();
    }

    /// Returns the number of accepted lease renewals.
    int renewals() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return renewals_;
    }

    /// Returns the commands that have started a task, in order.
    std::vector<start_command> starts() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return starts_;
    }

    bool has_task(const attempt_id& id) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return tasks_.count(id) > 0;
    }

    /// Returns the state of a task as known to the target.
    std::string state(const attempt_id& id) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return state_of(id).state;
    }

private:
    absl::Status check_command(const fencing_token& token)
    {
        if (is_unreachable_)
        {
            return make_error(error_kind::unavailable, "out of reach");
        }
        if (token == fencing_token{})
        {
            return absl::OkStatus();
        }
        if (token < token_)
        {
            return make_error(error_kind::stale_epoch, "stale");
        }
        token_ = token;
        return absl::OkStatus();
    }

    absl::Status admit(const start_command& command)
    {
        const attempt_id id{command.key, command.attempt};
        if (tasks_.count(id) > 0)
        {
            return absl::OkStatus();
        }
        if (tombstones_.count(id) > 0 || clock_ms() > command.start_before_ms)
        {
            return make_error(error_kind::conflict, "stopped or too late");
        }
        starts_.push_back(command);
        task_state& task = tasks_[id];
        task.state = "running";
        task.team = command.team;
        task.kind = command.kind;
        task.urgent = command.urgent;
        task.preemptible = command.preemptible;
        return absl::OkStatus();
    }

    task_state state_of(const attempt_id& id) const
    {
        task_state state;
        const auto it = tasks_.find(id);
        if (it != tasks_.end())
        {
            state = it->second;
        }
        else if (tombstones_.count(id) > 0)
        {
            state.state = "stopped";
            state.error = "never_started";
        }
        state.key = id.first;
        state.attempt = id.second;
        state.boot_id = boot_id_;
        state.clock_ms = clock_ms();
        return state;
    }

    // Starts at 1'000'000 ms, unlike the local clock, as the clock of another
    // machine may.
    std::int64_t clock_ms() const
    {
        return 1'000'000 + elapsed_ms(created_, steady_clock::now());
    }

    mutable std::mutex mutex_;
    time_point created_ = steady_clock::now();
    std::string boot_id_ = "boot";
    fencing_token token_;
    std::int64_t lease_until_ms_ = 0;
    std::map<attempt_id, task_state> tasks_;
    std::set<attempt_id> tombstones_;
    std::vector<start_command> starts_;
    std::vector<start_command> delayed_starts_;
    bool is_unreachable_ = false;
    int starts_to_delay_ = 0;
    int responses_to_lose_ = 0;
    int renewals_ = 0;
};

} // namespace egretspindle::test

#endif
