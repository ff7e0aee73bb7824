// Periodic maintenance: reports of ended attempts, resource guards, evictions
// and expiry.

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/decision.hpp"
#include "egretspindle/placement/guard.hpp"
#include "egretspindle/request_path/rack_runtime.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr milliseconds maintenance_period{100};
constexpr milliseconds guard_period{500};
// Longest single call that waits for the end of an attempt.
constexpr milliseconds max_watch_wait{20'000};
// How long attempts are refused after they were last fenced.
constexpr milliseconds fence_retention{120'000};

} // namespace

void rack_runtime::maintenance_loop()
{
    time_point last_guard_check = steady_clock::now();
    lock_type lock(mutex_);
    while (!is_stopping_)
    {
        const time_point now = steady_clock::now();
        const bool is_listed = rack_.previous_owner.empty() ||
                               hooks_.is_listed(rack_.previous_owner);
        if (!is_listed)
        {
            unlisted_since_.emplace(rack_.previous_owner, now);
        }
        expire_reservations_and_fences(now);
        mark_lost_attempts(now);
        advance_health(health_, now);
        for (target_load& target : load_.targets)
        {
            target.health_state = health_state_of(health_, target.name);
            const session_ptr session = session_of(target.name);
            if (session && session->entry.state != "leaving")
            {
                target.leaving = hooks_.is_leaving_by_plan(target.name);
            }
        }
        place_waiting();
        lock.unlock();
        report_ends();
        evict_from_leaving_targets();
        if (now - last_guard_check >= guard_period)
        {
            apply_guards();
            last_guard_check = now;
        }
        lock.lock();
        changed_.wait_for(lock, maintenance_period,
                          [this] { return is_stopping_; });
    }
}

void rack_runtime::expire_reservations_and_fences(time_point now)
{
    for (auto it = tasks_.begin(); it != tasks_.end();)
    {
        const owned_task& task = it->second;
        if (task.phase == task_phase::reserved &&
            now - task.changed > options_.reservation_timeout)
        {
            const attempt_id id = it->first;
            const std::string target = task.target;
            it = tasks_.erase(it);
            remove_load(id, target);
            continue;
        }
        ++it;
    }
    for (auto it = fences_.begin(); it != fences_.end();)
    {
        const bool is_old = now - it->second.second > fence_retention;
        it = is_old ? fences_.erase(it) : std::next(it);
    }
}

void rack_runtime::report_ends()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = steady_clock::now();
    for (auto& [id, task] : tasks_)
    {
        if (task.phase == task_phase::ended && !task.is_reporting &&
            now >= task.next_report)
        {
            task.is_reporting = true;
            reporters_.run([this, id = id] { report_end(id); });
        }
    }
}

void rack_runtime::report_end(const attempt_id& id)
{
    task_query query;
    task_report report;
    session_ptr session;
    std::string data_center;
    bool is_lost = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = tasks_.find(id);
        if (it == tasks_.end())
        {
            return;
        }
        query.key = id.first;
        query.attempt = id.second;
        query.target = it->second.target;
        query.boot_id = it->second.boot_id;
        session = session_of(query.target);
        report = report_of(id, query.target);
        data_center = it->second.coordinator_data_center;
        is_lost = it->second.is_lost;
    }
    if (!is_lost && session)
    {
        report = query_target(query, session);
    }
    const bool is_known = report.certainly_ended ||
                          report.task.state == "finished" ||
                          report.task.state == "stopped";
    const bool is_recorded =
        is_known && hooks_.report_end(data_center, report).ok();
    if (is_recorded && !is_lost)
    {
        acknowledge(query).IgnoreError();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = tasks_.find(id);
    if (it == tasks_.end())
    {
        return;
    }
    it->second.is_reporting = false;
    it->second.next_report =
        steady_clock::now() + options_.report_retry_interval;
    if (is_recorded && is_lost)
    {
        tasks_.erase(it);
    }
}

// Waits in calls to the target for the end of an attempt that is expected to
// run for at most `max_watched_run_time`, so that its capacity is free before
// the next lease renewal.
void rack_runtime::watch(const attempt_id& id, std::int64_t expected_ms)
{
    if (expected_ms > options_.max_watched_run_time.count())
    {
        return;
    }
    watchers_.run(
        [this, id]
        {
            task_query query;
            session_ptr session;
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                const auto it = tasks_.find(id);
                if (is_stopping_ || it == tasks_.end() ||
                    it->second.phase != task_phase::running)
                {
                    return;
                }
                query.key = id.first;
                query.attempt = id.second;
                query.target = it->second.target;
                query.boot_id = it->second.boot_id;
                query.wait_ms = std::min<std::int64_t>(max_watch_wait.count(),
                                                       options_.lease.count());
                session = session_of(query.target);
            }
            if (!session || !query_target(query, session).reachable)
            {
                return;
            }
            watch(id, 0);
        });
}

void rack_runtime::apply_guards()
{
    guard_actions actions;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        actions =
            check_guards(load_, model_, *hooks_.limits(), steady_clock::now());
    }
    placement_decision decision;
    decision.evictions = actions.evictions;
    decision.throttles = actions.throttles;
    evict_and_throttle(decision);
}

void rack_runtime::evict_from_leaving_targets()
{
    std::vector<std::pair<std::string, attempt_id>> found;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const target_load& target : load_.targets)
        {
            for (const task_load& task : target.tasks)
            {
                const attempt_id id{task.key, task.attempt};
                const auto it = tasks_.find(id);
                if (target.leaving && target.reachable && task.checkpointable &&
                    !task.urgent && it != tasks_.end() &&
                    !it->second.is_stopping &&
                    it->second.phase == task_phase::running)
                {
                    found.emplace_back(target.name, id);
                }
            }
        }
    }
    for (const auto& [target, id] : found)
    {
        evict(target, id, "leaving");
    }
}

void rack_runtime::evict(const std::string& target, const attempt_id& id,
                         const std::string& cause)
{
    task_query query;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = tasks_.find(id);
        if (it == tasks_.end() || it->second.is_stopping ||
            it->second.phase != task_phase::running)
        {
            return;
        }
        it->second.is_stopping = true;
        if (task_load* load = task_load_of(id, target))
        {
            load->stopping = true;
        }
        query.key = id.first;
        query.attempt = id.second;
        query.target = target;
        query.boot_id = it->second.boot_id;
        query.checkpoint = true;
    }
    const task_report report = stop_task(query);
    decision line;
    line.action = "evict";
    line.request = id.first;
    line.target = target;
    line.reason = cause;
    log_decision(line);
    const std::lock_guard<std::mutex> lock(mutex_);
    line.rack = rack_.rack;
    if (report.reachable)
    {
        ++evictions_[cause];
        return;
    }
    const auto it = tasks_.find(id);
    if (it != tasks_.end())
    {
        it->second.is_stopping = false;
    }
    if (task_load* load = task_load_of(id, target))
    {
        load->stopping = false;
    }
}

} // namespace egretspindle
