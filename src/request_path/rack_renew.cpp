// Lease renewal, and reconciliation with the state that targets report.

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/placement/observe.hpp"
#include "egretspindle/request_path/rack_runtime.hpp"

#include <algorithm>

namespace egretspindle
{

void rack_runtime::renew_loop(const session_ptr& session)
{
    lock_type lock(mutex_);
    while (!session->is_stopping)
    {
        const bool is_first = !session->has_contact;
        lock.unlock();
        renew_once(session);
        lock.lock();
        // The first renewal grants no lease, since the target's clock is not
        // known before its response; the second one follows immediately.
        const bool is_new_contact = is_first && session->has_contact;
        const milliseconds pause =
            is_new_contact ? milliseconds(0) : options_.renew_period;
        changed_.wait_for(lock, pause, [&] { return session->is_stopping; });
    }
}

void rack_runtime::renew_once(const session_ptr& session)
{
    renew_command command;
    std::shared_ptr<target_client> client;
    time_point reading_received_at;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!session->may_command)
        {
            return;
        }
        command.epoch = session->token.epoch;
        command.term = session->token.term;
        command.owner = options_.host_name;
        command.lease_until_ms = lease_expiry_ms(*session, options_);
        client = session->client;
        reading_received_at = session->reading_received_at;
        if (command.lease_until_ms > 0)
        {
            session->leases_expired_by =
                std::max(session->leases_expired_by,
                         local_lease_expiry(reading_received_at, options_));
            session->last_renewal_reading = reading_received_at;
        }
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<target_state> state = client->renew(command);
    if (state.ok())
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        apply_state(session, *state, sent_at);
        return;
    }
    bool is_stale = false;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (session->is_reachable)
        {
            log_warning("lease renewal failed",
                        {{"target", session->entry.name},
                         {"error", std::string(state.status().message())}});
        }
        session->is_reachable = false;
        if (target_load* load = load_of(session->entry.name))
        {
            load->reachable = false;
        }
        is_stale =
            kind_of(state.status()) == error_kind::stale_epoch && !is_stopping_;
        session->has_other_owner |= is_stale;
        changed_.notify_all();
    }
    if (is_stale)
    {
        hooks_.stale_epoch({rack_.data_center, rack_.rack});
    }
}

void rack_runtime::apply_state(const session_ptr& session,
                               const target_state& state, time_point sent_at)
{
    const time_point now = steady_clock::now();
    const bool is_restarted =
        !session->boot_id.empty() && session->boot_id != state.boot_id;
    session->target_clock_ms = state.clock_ms;
    session->reading_received_at = now;
    session->boot_id = state.boot_id;
    session->has_contact = true;
    session->is_reachable = true;
    session->has_other_owner = false;
    target_load* load = load_of(session->entry.name);
    if (load != nullptr)
    {
        load->reachable = true;
    }
    if (is_restarted)
    {
        log_warning("target restarted", {{"target", session->entry.name}});
    }
    for (const task_state& task : state.tasks)
    {
        apply_task(session, task, now);
    }
    end_absent_attempts(session, state, sent_at);
    apply_usage(session, state);
    place_waiting();
    changed_.notify_all();
}

void rack_runtime::apply_task(const session_ptr& session,
                              const task_state& task, time_point now)
{
    const attempt_id id{task.key, task.attempt};
    const auto [it, is_new] = tasks_.emplace(id, owned_task{});
    owned_task& owned = it->second;
    if (is_new)
    {
        // Started by an earlier owner of the rack.
        owned.key = task.key;
        owned.attempt = task.attempt;
        owned.target = session->entry.name;
        owned.team = task.team;
        owned.kind = task.kind;
        owned.urgent = task.urgent;
        owned.placed = now;
        owned.coordinator_data_center = rack_.data_center;
    }
    owned.boot_id = session->boot_id;
    if (task.state != "running")
    {
        if (owned.phase != task_phase::ended)
        {
            mark_ended(owned, task, now);
        }
        return;
    }
    if (owned.phase == task_phase::ended)
    {
        return;
    }
    owned.phase = task_phase::running;
    owned.changed = now;
    target_load* load = load_of(session->entry.name);
    if (load != nullptr && task_load_of(id, load->name) == nullptr)
    {
        task_load added;
        added.key = task.key;
        added.attempt = task.attempt;
        added.team = task.team;
        added.kind = task.kind;
        added.urgent = task.urgent;
        added.reserve = {task.cpu_cores, task.memory_mb, task.accelerators};
        added.checkpointable = task.preemptible;
        added.started = now - milliseconds(task.run_ms);
        added.expected_end = now;
        load->tasks.push_back(added);
    }
}

// Marks attempts as lost that the target no longer reports, and removes those
// that had ended before.
void rack_runtime::end_absent_attempts(const session_ptr& session,
                                       const target_state& state,
                                       time_point sent_at)
{
    const time_point now = steady_clock::now();
    for (auto it = tasks_.begin(); it != tasks_.end();)
    {
        owned_task& task = it->second;
        const bool is_present = std::any_of(
            state.tasks.begin(), state.tasks.end(),
            [&](const task_state& other)
            { return other.key == task.key && other.attempt == task.attempt; });
        const bool is_unaffected = task.target != session->entry.name ||
                                   task.phase == task_phase::reserved ||
                                   task.phase == task_phase::starting;
        // A start whose response was lost can still arrive until its start
        // window has ended on the target's clock.
        const bool may_arrive = task.phase == task_phase::uncertain &&
                                state.clock_ms <= task.start_before_ms;
        if (is_present || is_unaffected || may_arrive ||
            task.changed >= sent_at)
        {
            ++it;
            continue;
        }
        const attempt_id id = it->first;
        const std::string target = task.target;
        if (task.phase == task_phase::ended)
        {
            it = tasks_.erase(it);
            continue;
        }
        task_state lost_state;
        lost_state.key = task.key;
        lost_state.attempt = task.attempt;
        lost_state.error = "the target does not know it any more";
        task.is_lost = true;
        mark_ended(task, lost_state, now);
        ++it;
    }
}

void rack_runtime::apply_usage(const session_ptr& session,
                               const target_state& state)
{
    target_load* load = load_of(session->entry.name);
    if (load == nullptr)
    {
        return;
    }
    std::vector<usage_sample> samples;
    for (const task_usage& usage : state.usage)
    {
        task_load* task = task_load_of({usage.key, usage.attempt}, load->name);
        if (task == nullptr)
        {
            continue;
        }
        task->measured = true;
        task->used.cpu_cores = usage.cpu_cores;
        task->used.memory_mb = usage.memory_mb;
        samples.push_back({usage.key, usage.attempt, task->kind,
                           usage.cpu_cores, usage.memory_mb,
                           task->reserve.cpu_cores, usage.progress});
    }
    observe_usage(model_, *load, samples, steady_clock::now());
}

// Marks attempts as lost on targets that have been unreachable until their
// leases are known to have expired.
void rack_runtime::mark_lost_attempts(time_point now)
{
    for (auto& [id, task] : tasks_)
    {
        const session_ptr session = session_of(task.target);
        const bool is_open = task.phase == task_phase::running ||
                             task.phase == task_phase::uncertain;
        if (!session || !is_open || session->is_reachable ||
            latest_lease_expiry(*session, now) > now)
        {
            continue;
        }
        task_state lost_state;
        lost_state.key = task.key;
        lost_state.attempt = task.attempt;
        lost_state.boot_id = task.boot_id;
        lost_state.error =
            "the lease expired while the target was out of reach";
        task.is_lost = true;
        mark_ended(task, lost_state, now);
    }
}

} // namespace egretspindle
