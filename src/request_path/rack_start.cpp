// Starts of attempts on their targets.

#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/rack_runtime.hpp"

#include "refusal.hpp"

#include <algorithm>

namespace egretspindle
{

place_reply rack_runtime::start_on_target(const place_request& request,
                                          const std::string& target)
{
    start_command command;
    const place_reply prepared = prepare_start(request, target, command);
    if (!prepared.reason.empty())
    {
        return prepared;
    }
    std::shared_ptr<target_client> client;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        client = session_of(target)->client;
    }
    const absl::StatusOr<task_state> state = client->start(command);
    if (state.ok())
    {
        return handle_start_accepted(request, prepared, *state);
    }
    const error_kind kind = kind_of(state.status());
    if (kind == error_kind::deadline_exceeded || kind == error_kind::internal)
    {
        return handle_start_lost(request, prepared);
    }
    return handle_start_refused(request, prepared, state.status());
}

// Fills the command for a reserved attempt, or returns a reply with the
// reason why it cannot start.
place_reply rack_runtime::prepare_start(const place_request& request,
                                        const std::string& target,
                                        start_command& command)
{
    const attempt_id id{key_of(request.spec), request.attempt};
    const std::lock_guard<std::mutex> lock(mutex_);
    const session_ptr session = session_of(target);
    const auto it = tasks_.find(id);
    const task_load* load = task_load_of(id, target);
    if (!session || it == tasks_.end() || load == nullptr ||
        it->second.phase != task_phase::reserved)
    {
        return make_refusal("the reservation is gone", refused_retry_ms);
    }
    if (!request.boot_id.empty() && request.boot_id != session->boot_id)
    {
        tasks_.erase(it);
        remove_load(id, target);
        return make_refusal("the target restarted; place it again",
                            refused_retry_ms);
    }
    const time_point now = steady_clock::now();
    owned_task& task = it->second;
    task.phase = task_phase::starting;
    task.changed = now;
    task.coordinator_data_center = request.coordinator_data_center;
    task.start_before_ms = session->target_clock_ms +
                           elapsed_ms(session->reading_received_at, now) +
                           options_.start_window.count();
    task.is_resumed = !request.checkpoint.empty();
    command.epoch = session->token.epoch;
    command.term = session->token.term;
    command.key = id.first;
    command.attempt = id.second;
    command.team = request.spec.team;
    command.kind = request.spec.kind;
    command.urgent = request.spec.urgent;
    command.reserve = load->reserve;
    command.preemptible = load->checkpointable;
    command.body = request.spec.body;
    command.checkpoint = request.checkpoint;
    command.start_before_ms = task.start_before_ms;
    command.lease_until_ms = lease_expiry_ms(*session, options_);
    command.wait_ms = request.wait_ms;
    session->leases_expired_by =
        std::max(session->leases_expired_by,
                 local_lease_expiry(session->reading_received_at, options_));
    place_reply reply;
    reply.target = target;
    reply.rack = rack_.rack;
    reply.epoch = rack_.token.epoch;
    reply.boot_id = session->boot_id;
    return reply;
}

place_reply rack_runtime::handle_start_accepted(const place_request& request,
                                                place_reply reply,
                                                const task_state& state)
{
    const attempt_id id{key_of(request.spec), request.attempt};
    const bool is_running = state.state == "running";
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto it = tasks_.find(id);
        if (it != tasks_.end())
        {
            owned_task& task = it->second;
            task.boot_id = state.boot_id;
            if (is_running)
            {
                task.phase = task_phase::running;
                task.changed = steady_clock::now();
            }
            else if (task.phase != task_phase::ended)
            {
                mark_ended(task, state, steady_clock::now());
            }
        }
    }
    if (is_running && !request.spec.urgent)
    {
        watch(id, request.spec.expected_ms);
    }
    reply.placed = true;
    reply.boot_id = state.boot_id;
    reply.task = state;
    return reply;
}

place_reply rack_runtime::handle_start_refused(const place_request& request,
                                               place_reply reply,
                                               const absl::Status& status)
{
    const attempt_id id{key_of(request.spec), request.attempt};
    const error_kind kind = kind_of(status);
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        tasks_.erase(id);
        const session_ptr session = session_of(reply.target);
        target_load* load = load_of(reply.target);
        if (kind == error_kind::unavailable && session && load != nullptr)
        {
            session->is_reachable = false;
            load->reachable = false;
        }
        remove_load(id, reply.target);
        if (kind == error_kind::stale_epoch && session)
        {
            session->has_other_owner = true;
        }
    }
    if (kind == error_kind::stale_epoch)
    {
        reply.owner_changing = true;
        hooks_.stale_epoch({rack_.data_center, rack_.rack});
    }
    reply.reason = std::string(status.message());
    reply.retry_after_ms = refused_retry_ms;
    return reply;
}

// Determines the result of a start whose response was lost.
place_reply rack_runtime::handle_start_lost(const place_request& request,
                                            place_reply reply)
{
    const attempt_id id{key_of(request.spec), request.attempt};
    session_ptr session;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        session = session_of(reply.target);
        const auto it = tasks_.find(id);
        if (it != tasks_.end() && it->second.phase == task_phase::starting)
        {
            it->second.phase = task_phase::uncertain;
            it->second.changed = steady_clock::now();
        }
    }
    task_query query;
    query.key = id.first;
    query.attempt = id.second;
    query.target = reply.target;
    query.boot_id = reply.boot_id;
    const task_report report = query_target(query, session);
    if (report.certainly_ended && report.never_started)
    {
        reply.reason = "the target did not start it";
        reply.retry_after_ms = refused_retry_ms;
        return reply;
    }
    if (report.reachable && !report.task.state.empty() &&
        !report.certainly_ended)
    {
        reply.placed = true;
        reply.task = report.task;
        return reply;
    }
    reply.may_have_started = true;
    return reply;
}

} // namespace egretspindle
