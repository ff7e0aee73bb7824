/// \file
/// In-memory rack owner and target with fault injection.

#ifndef EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_ROUTER_HPP
#define EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_ROUTER_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/rack_router.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::test
{

/// Attempt that the fake target has started.
struct started_attempt
{
    std::string key;
    int attempt = 0;
    std::string checkpoint;
    std::string body;
};

/// Router to one rack with one target. It records the attempts that the target
/// has started.
class fake_router : public rack_router
{
public:
    using attempt_id = std::pair<std::string, int>;

    std::vector<rack_candidate> candidates(const request_spec&) override
    {
        return {{"dc", "rack"}};
    }

    absl::StatusOr<place_reply> place(const place_request& request) override
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const attempt_id id{key_of(request.spec), request.attempt};
        place_reply reply;
        reply.rack = "rack";
        reply.target = "target";
        reply.boot_id = boot_id_;
        const auto fence = fences_.find(id.first);
        if (fence != fences_.end() && id.second <= fence->second)
        {
            reply.superseded = true;
            return reply;
        }
        if (request.reserve_only)
        {
            ++reservations_;
            const int reservation_number = reservations_;
            changed_.wait(
                lock,
                [&] { return reservation_number > blocked_reservations_; });
            reply.placed = !is_full;
            reply.reason = is_full ? "full" : "";
            return reply;
        }
        if (is_full || is_start_refused || tombstones_.count(id) > 0)
        {
            reply.reason = "refused";
            return reply;
        }
        if (tasks_.count(id) == 0)
        {
            starts_.push_back(
                {id.first, id.second, request.checkpoint, request.spec.body});
            tasks_[id] = make_state(id);
            changed_.notify_all();
        }
        if (start_responses_to_lose_ > 0)
        {
            --start_responses_to_lose_;
            return make_error(error_kind::deadline_exceeded, "response lost");
        }
        wait_for_end(lock, id, request.wait_ms);
        if (tasks_.count(id) == 0)
        {
            return make_error(error_kind::deadline_exceeded, "restarted");
        }
        reply.placed = true;
        reply.task = tasks_[id];
        return reply;
    }

    absl::StatusOr<task_report> task_state(const task_query& query) override
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const attempt_id id{query.key, query.attempt};
        wait_for_end(lock, id, query.wait_ms);
        return fence_and_report(id, query.boot_id);
    }

    absl::StatusOr<task_report> stop(const task_query& query) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const attempt_id id{query.key, query.attempt};
        const auto it = tasks_.find(id);
        if (it != tasks_.end() && it->second.state == "running")
        {
            it->second.state = "stopped";
            changed_.notify_all();
        }
        return fence_and_report(id, query.boot_id);
    }

    absl::Status acknowledge(const task_query& query) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        acknowledged_.insert({query.key, query.attempt});
        return absl::OkStatus();
    }

    absl::StatusOr<std::vector<task_report>>
    find(const find_request& request) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++find_calls_;
        int& fence = fences_[request.key];
        fence = std::max(fence, request.fence_attempt);
        std::vector<task_report> reports;
        for (const auto& [id, task] : tasks_)
        {
            if (id.first == request.key)
            {
                reports.push_back(fence_and_report(id, ""));
            }
        }
        return reports;
    }

    /// Ends a task successfully with an answer.
    void finish(const attempt_id& id, const std::string& answer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ::egretspindle::task_state& task = tasks_.at(id);
        task.state = "finished";
        task.ok = true;
        task.answer = answer;
        changed_.notify_all();
    }

    /// Adds a task that an earlier coordinator started.
    void add_running_task(const attempt_id& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks_[id] = make_state(id);
        tasks_[id].state = "running";
    }

    /// Restarts the target, which loses its tasks and gets another boot id.
    void restart()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        boot_id_ += "'";
        tasks_.clear();
        changed_.notify_all();
    }

    /// Sets one of the public flags (`is_full`, `is_start_refused`, `is_held`)
    /// and wakes waiting calls.
    void set(bool fake_router::*flag, bool value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        this->*flag = value;
        changed_.notify_all();
    }

    /// Blocks the first `count` reservations until the count is lowered.
    void block_first_reservations(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        blocked_reservations_ = count;
        changed_.notify_all();
    }

    /// Executes the next `count` starts, but reports a timeout to the caller.
    void lose_start_responses(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        start_responses_to_lose_ = count;
    }

    /// Returns the attempts that the target has started, in order.
    std::vector<started_attempt> starts() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return starts_;
    }

    /// Returns the number of calls for a reservation that no fence refused;
    /// those that found the target full are included.
    int reservations() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return reservations_;
    }

    /// Returns the number of calls of `find`.
    int find_calls() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return find_calls_;
    }

    bool is_running(const attempt_id& id) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = tasks_.find(id);
        return it != tasks_.end() && it->second.state == "running";
    }

    bool is_acknowledged(const attempt_id& id) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return acknowledged_.count(id) > 0;
    }

    bool is_full = false;          ///< refuses reservations and starts
    bool is_start_refused = false; ///< refuses starts only
    /// New tasks run until `finish`, `stop` or `restart`; otherwise they finish
    /// at their start.
    bool is_held = false;

private:
    ::egretspindle::task_state make_state(const attempt_id& id) const
    {
        ::egretspindle::task_state state;
        state.key = id.first;
        state.attempt = id.second;
        state.boot_id = boot_id_;
        state.state = is_held ? "running" : "finished";
        state.ok = !is_held;
        state.answer = is_held ? "" : "answer of " + id.first;
        return state;
    }

    void wait_for_end(std::unique_lock<std::mutex>& lock, const attempt_id& id,
                      std::int64_t wait_ms)
    {
        changed_.wait_for(lock, milliseconds(wait_ms),
                          [&]
                          {
                              const auto it = tasks_.find(id);
                              return it == tasks_.end() ||
                                     it->second.state != "running";
                          });
    }

    // An attempt that the target does not know is fenced first, as a rack owner
    // does, so that a late start of it is refused.
    task_report fence_and_report(const attempt_id& id,
                                 const std::string& boot_id)
    {
        task_report report;
        report.target = "target";
        report.rack = "rack";
        report.data_center = "dc";
        const auto it = tasks_.find(id);
        if (it != tasks_.end())
        {
            report.task = it->second;
            return report;
        }
        tombstones_.insert(id);
        report.task.key = id.first;
        report.task.attempt = id.second;
        report.task.boot_id = boot_id_;
        report.certainly_ended = true;
        report.never_started = boot_id.empty() || boot_id == boot_id_;
        return report;
    }

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string boot_id_ = "boot";
    std::map<attempt_id, ::egretspindle::task_state> tasks_;
    std::set<attempt_id> tombstones_;
    std::set<attempt_id> acknowledged_;
    std::map<std::string, int> fences_;
    std::vector<started_attempt> starts_;
    int reservations_ = 0;
    int find_calls_ = 0;
    int blocked_reservations_ = 0;
    int start_responses_to_lose_ = 0;
};

} // namespace egretspindle::test

#endif
