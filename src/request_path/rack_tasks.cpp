// Queries, stops and ends of attempts.

#include "egretspindle/core/error.hpp"
#include "egretspindle/placement/observe.hpp"
#include "egretspindle/request_path/rack_runtime.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Returns whether the target does not know the attempt or stopped it before its
// start arrived.
bool is_absent(const task_state& state)
{
    return state.state == "unknown" ||
           (state.state == "stopped" && state.error == "never_started");
}

} // namespace

void rack_runtime::mark_ended(owned_task& task, const task_state& state,
                              time_point now)
{
    task.phase = task_phase::ended;
    task.changed = now;
    task.next_report = task.urgent ? now + options_.urgent_report_delay : now;
    const attempt_id id{task.key, task.attempt};
    const target_load* load = load_of(task.target);
    if (load != nullptr && state.state == "finished")
    {
        const task_load* placed = task_load_of(id, task.target);
        task_end end;
        end.kind = task.kind;
        end.urgent = task.urgent;
        end.ok = state.ok;
        end.run_ms = static_cast<double>(
            state.run_ms > 0 ? state.run_ms : elapsed_ms(task.placed, now));
        end.interrupted =
            task.is_resumed || (placed != nullptr && placed->share < 1);
        observe_end(model_, *load, end, now);
        observe_result(health_, task.target,
                       {task.key, task.kind, task.team, state.ok, now});
        for (target_load& target : load_.targets)
        {
            target.health_state = health_state_of(health_, target.name);
        }
    }
    remove_load(id, task.target);
}

task_report rack_runtime::report_of(const attempt_id& id,
                                    const std::string& target) const
{
    task_report report;
    report.target = target;
    report.rack = rack_.rack;
    report.data_center = rack_.data_center;
    report.task.key = id.first;
    report.task.attempt = id.second;
    report.target_suspect =
        health_state_of(health_, target) != target_health_state::healthy;
    const auto it = tasks_.find(id);
    if (it != tasks_.end())
    {
        report.task.state = "running";
        report.task.boot_id = it->second.boot_id;
        report.task.team = it->second.team;
        report.task.kind = it->second.kind;
        report.task.urgent = it->second.urgent;
        if (it->second.phase == task_phase::ended && it->second.is_lost)
        {
            report.task.state = "unknown";
            report.task.error = "the attempt was lost with its target";
            report.certainly_ended = true;
        }
    }
    return report;
}

task_report rack_runtime::query_task(const task_query& query)
{
    session_ptr session;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        session = session_of(query.target);
    }
    return session ? query_target(query, session)
                   : report_without_target(query);
}

// Asks the target for the state of an attempt; prevents the start of an attempt
// that the target does not know.
task_report rack_runtime::query_target(const task_query& query,
                                       const session_ptr& session)
{
    const attempt_id id{query.key, query.attempt};
    task_report report;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        report = report_of(id, query.target);
        const auto it = tasks_.find(id);
        if (it != tasks_.end() && it->second.is_lost)
        {
            return report;
        }
    }
    const absl::StatusOr<task_state> state = session->client->task(
        query.key, query.attempt, milliseconds(query.wait_ms));
    if (!state.ok())
    {
        return report_without_target(query);
    }
    report.task = *state;
    report.task.key = query.key;
    report.task.attempt = query.attempt;
    if (is_absent(*state))
    {
        const bool is_restarted =
            !query.boot_id.empty() && query.boot_id != state->boot_id;
        if (is_restarted)
        {
            report.certainly_ended = true;
            report.task.error = "the target restarted";
        }
        else
        {
            // The start may still be in transit; after the stop, the target
            // refuses it.
            return stop_task(query);
        }
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = tasks_.find(id);
    if (it != tasks_.end() && it->second.phase != task_phase::ended)
    {
        if (report.certainly_ended)
        {
            it->second.is_lost = true;
        }
        if (report.certainly_ended || state->state != "running")
        {
            mark_ended(it->second, *state, steady_clock::now());
        }
        else
        {
            it->second.phase = task_phase::running;
        }
    }
    return report;
}

// Reports on an attempt whose target is unknown or does not respond.
task_report rack_runtime::report_without_target(const task_query& query)
{
    const attempt_id id{query.key, query.attempt};
    const std::lock_guard<std::mutex> lock(mutex_);
    task_report report = report_of(id, query.target);
    report.reachable = false;
    const session_ptr session = session_of(query.target);
    const time_point now = steady_clock::now();
    if (session && !report.certainly_ended &&
        latest_lease_expiry(*session, now) <= now)
    {
        report.certainly_ended = true;
        report.task.state = "unknown";
        report.task.error = "the target is out of reach and its lease is over";
    }
    return report;
}

task_report rack_runtime::stop_task(const task_query& query)
{
    const attempt_id id{query.key, query.attempt};
    session_ptr session;
    stop_command command;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        session = session_of(query.target);
        if (session)
        {
            command = {session->token.epoch, session->token.term, query.key,
                       query.attempt, query.checkpoint};
        }
    }
    if (!session)
    {
        return report_without_target(query);
    }
    const absl::StatusOr<task_state> state = session->client->stop(command);
    if (!state.ok())
    {
        if (kind_of(state.status()) == error_kind::stale_epoch)
        {
            hooks_.stale_epoch({rack_.data_center, rack_.rack});
        }
        return report_without_target(query);
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    task_report report = report_of(id, query.target);
    report.task = *state;
    report.task.key = query.key;
    report.task.attempt = query.attempt;
    if (is_absent(*state))
    {
        report.certainly_ended = true;
        report.never_started =
            query.boot_id.empty() || query.boot_id == state->boot_id;
    }
    const auto it = tasks_.find(id);
    if (it != tasks_.end() && it->second.phase != task_phase::ended &&
        state->state != "running")
    {
        mark_ended(it->second, *state, steady_clock::now());
    }
    if (it != tasks_.end() && report.never_started)
    {
        tasks_.erase(it);
    }
    return report;
}

absl::Status rack_runtime::acknowledge(const task_query& query)
{
    std::shared_ptr<target_client> client;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const session_ptr session = session_of(query.target);
        if (!session)
        {
            return absl::OkStatus();
        }
        client = session->client;
    }
    const absl::Status status = client->acknowledge({query.key, query.attempt});
    if (status.ok())
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = tasks_.find({query.key, query.attempt});
        if (it != tasks_.end() && it->second.phase == task_phase::ended)
        {
            tasks_.erase(it);
        }
    }
    return status;
}

std::vector<task_report> rack_runtime::find(const std::string& key,
                                            int fence_attempt)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (fence_attempt > 0)
    {
        std::pair<int, time_point>& fence = fences_[key];
        fence.first = std::max(fence.first, fence_attempt);
        fence.second = steady_clock::now();
    }
    std::vector<task_report> reports;
    for (auto it = tasks_.lower_bound({key, 0});
         it != tasks_.end() && it->first.first == key;)
    {
        const attempt_id id = it->first;
        const owned_task& task = it->second;
        if (task.phase == task_phase::reserved && id.second <= fence_attempt)
        {
            const std::string target = task.target;
            it = tasks_.erase(it);
            remove_load(id, target);
            continue;
        }
        if (!(task.phase == task_phase::ended && task.is_lost))
        {
            reports.push_back(report_of(id, task.target));
        }
        ++it;
    }
    return reports;
}

} // namespace egretspindle
