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

/// Start that the fake target has executed.
struct executed_start
{
    std::string key;
    int attempt = 0;
    std::string checkpoint;
    std::string body;
};

/// Router to one rack with one target. It records the starts that the target
/// executes.
class fake_router : public rack_router
{
public:
    using task_id = std::pair<std::string, int>;

    std::vector<rack_candidate> candidates(const request_spec&) override
    {
        return {{"dc", "rack"}};
    }

    absl::StatusOr<place_reply> place(const place_request& request) override
    {
        std::unique_lock<std::mutex> lock(mutex_);
        const task_id id{key_of(request.spec), request.attempt};
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
            const int number = reservations_;
            changed_.wait(lock, [&] { return number > held_reservations_; });
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
        const task_id id{query.key, query.attempt};
        wait_for_end(lock, id, query.wait_ms);
        return report_of(id, query.boot_id);
    }

    absl::StatusOr<task_report> stop(const task_query& query) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const task_id id{query.key, query.attempt};
        const auto it = tasks_.find(id);
        if (it != tasks_.end() && it->second.state == "running")
        {
            it->second.state = "stopped";
            changed_.notify_all();
        }
        return report_of(id, query.boot_id);
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
        ++finds_;
        int& fence = fences_[request.key];
        fence = std::max(fence, request.fence_attempt);
        std::vector<task_report> reports;
        for (const auto& [id, task] : tasks_)
        {
            if (id.first == request.key)
            {
                reports.push_back(report_of(id, ""));
            }
        }
        return reports;
    }

    /// Finishes a running task with an answer.
    void finish(const task_id& id, const std::string& answer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ::egretspindle::task_state& task = tasks_.at(id);
        task.state = "finished";
        task.ok = true;
        task.answer = answer;
        changed_.notify_all();
    }

    /// Adds a task that an earlier coordinator started.
    void add_running_task(const task_id& id)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks_[id] = make_state(id);
        tasks_[id].state = "running";
    }

    /// Restarts the target, which loses its tasks.
    void restart()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        boot_id_ += "'";
        tasks_.clear();
        changed_.notify_all();
    }

    /// Sets one of the switches below.
    void set(bool fake_router::*flag, bool value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        this->*flag = value;
        changed_.notify_all();
    }

    /// Delays the replies to the first `count` reservations.
    void hold_reservations(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        held_reservations_ = count;
        changed_.notify_all();
    }

    void lose_start_responses(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        start_responses_to_lose_ = count;
    }

    std::vector<executed_start> starts() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return starts_;
    }

    int reservations() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return reservations_;
    }

    int finds() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return finds_;
    }

    bool is_running(const task_id& id) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = tasks_.find(id);
        return it != tasks_.end() && it->second.state == "running";
    }

    bool is_acknowledged(const task_id& id) const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return acknowledged_.count(id) > 0;
    }

    bool is_full = false;          ///< refuses reservations and starts
    bool is_start_refused = false; ///< refuses starts only
    bool is_held = false;          ///< tasks run until `finish` is called

private:
    ::egretspindle::task_state make_state(const task_id& id) const
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

    void wait_for_end(std::unique_lock<std::mutex>& lock, const task_id& id,
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

    // Like a rack owner, prevents the start of an attempt that the target does
    // not know before reporting on it.
    task_report report_of(const task_id& id, const std::string& boot_id)
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
    std::map<task_id, ::egretspindle::task_state> tasks_;
    std::set<task_id> tombstones_;
    std::set<task_id> acknowledged_;
    std::map<std::string, int> fences_;
    std::vector<executed_start> starts_;
    int reservations_ = 0;
    int finds_ = 0;
    int held_reservations_ = 0;
    int start_responses_to_lose_ = 0;
};

} // namespace egretspindle::test

#endif
