// Placement of attempts on the targets of a rack.

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/decision.hpp"
#include "egretspindle/placement/observe.hpp"
#include "egretspindle/request_path/rack_runtime.hpp"

#include "refusal.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

// Targets on which a start is tried before the rack owner refuses it.
constexpr int max_start_tries = 3;
// Waiting requests without a place after which a round of placement ends.
constexpr std::size_t max_skipped_urgent = 4;

std::string describe(const std::vector<placement_alternative>& alternatives)
{
    std::string text;
    for (const placement_alternative& item : alternatives)
    {
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", item.target,
                            item.infeasible_reason.empty()
                                ? fmt::format("{:.1f}", item.score_ms)
                                : item.infeasible_reason);
    }
    return text;
}

void log_placement(const std::string& rack, const std::string& key,
                   const placement_decision& decision)
{
    egretspindle::decision line;
    line.action = decision.kind == placement_kind::place  ? "place"
                  : decision.kind == placement_kind::wait ? "wait"
                                                          : "reject";
    line.request = key;
    line.rack = rack;
    line.target = decision.target;
    line.alternatives = describe(decision.alternatives);
    line.reason = decision.reason;
    log_decision(line);
}

task_request make_task(const place_request& request, time_point now)
{
    std::optional<time_point> deadline;
    if (request.remaining_ms > 0)
    {
        deadline = now + milliseconds(request.remaining_ms);
    }
    return make_task_request(request.spec, request.attempt, deadline);
}

} // namespace

place_reply rack_runtime::place(const place_request& request)
{
    const time_point now = steady_clock::now();
    task_request task = make_task(request, now);
    task.excluded = request.excluded;
    task.may_evict = request.may_evict;
    if (std::optional<place_reply> known = check_known_attempt(request))
    {
        return *known;
    }
    if (!request.target.empty())
    {
        return start_on_target(request, request.target);
    }
    place_reply reply = make_refusal("no target has room; send it again later",
                                     refused_retry_ms);
    for (int n = 0; n < max_start_tries; ++n)
    {
        placement_decision decision;
        {
            lock_type lock(mutex_);
            decision = decide(lock, request, task);
            if (decision.kind != placement_kind::place)
            {
                reply = make_refusal(decision.reason, decision.retry_after_ms);
                reply.owner_changing = is_owner_changing();
                return reply;
            }
        }
        evict_and_throttle(decision);
        if (request.reserve_only)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            reply.placed = true;
            reply.target = decision.target;
            reply.rack = rack_.rack;
            reply.epoch = rack_.token.epoch;
            const session_ptr session = session_of(decision.target);
            reply.boot_id = session ? session->boot_id : "";
            return reply;
        }
        reply = start_on_target(request, decision.target);
        if (reply.placed || reply.may_have_started || reply.owner_changing)
        {
            return reply;
        }
        task.excluded.push_back(decision.target);
    }
    return reply;
}

// Returns whether another host is taking over the rack or has taken it over.
bool rack_runtime::is_owner_changing() const
{
    return is_stopping_ || std::any_of(sessions_.begin(), sessions_.end(),
                                       [](const auto& item) {
                                           return item.second->has_other_owner;
                                       });
}

// Returns the reply to a request that needs no decision: the attempt is fenced
// or already known, its reservation is gone, or the rack has another owner.
// Returns nothing for a new attempt and for the start of a reserved one.
std::optional<place_reply>
rack_runtime::check_known_attempt(const place_request& request)
{
    const std::string key = key_of(request.spec);
    lock_type lock(mutex_);
    const auto fence = fences_.find(key);
    if (fence != fences_.end() && request.attempt <= fence->second.first)
    {
        place_reply reply =
            make_refusal("another coordinator is in charge of the request",
                         refused_retry_ms);
        reply.superseded = true;
        return reply;
    }
    if (is_stopping_)
    {
        place_reply reply =
            make_refusal("the rack has another owner", refused_retry_ms);
        reply.owner_changing = true;
        return reply;
    }
    const auto it = tasks_.find({key, request.attempt});
    if (it == tasks_.end())
    {
        if (!request.target.empty())
        {
            return make_refusal("the reservation is gone", refused_retry_ms);
        }
        return std::nullopt;
    }
    const owned_task& task = it->second;
    if (task.phase == task_phase::reserved)
    {
        if (request.target.empty() && !request.reserve_only)
        {
            return make_refusal("the attempt is reserved", refused_retry_ms);
        }
        if (!request.reserve_only)
        {
            return std::nullopt;
        }
    }
    // A repeated message gets the result of the first one.
    place_reply reply;
    reply.placed = true;
    reply.target = task.target;
    reply.rack = rack_.rack;
    reply.boot_id = task.boot_id;
    reply.epoch = rack_.token.epoch;
    reply.task = report_of(it->first, task.target).task;
    return reply;
}

placement_decision rack_runtime::decide(lock_type& lock,
                                        const place_request& request,
                                        const task_request& task)
{
    const time_point rebuilt_by = started_ + options_.rebuild_timeout;
    changed_.wait_until(lock, rebuilt_by,
                        [this]
                        {
                            return is_stopping_ ||
                                   std::all_of(
                                       sessions_.begin(), sessions_.end(),
                                       [](const auto& item)
                                       { return item.second->has_contact; });
                        });
    const time_point now = steady_clock::now();
    observe_request(load_, task.team, task.urgent, now);
    if (task.urgent)
    {
        observe_urgent_arrival(model_, task.kind, now);
    }
    const std::shared_ptr<const policy_limits> limits = hooks_.limits();
    placement_decision decision =
        choose_target(load_, task, model_, *limits, now, rng_);
    if (decision.kind == placement_kind::wait && task.urgent)
    {
        log_placement(rack_.rack, task.key, decision);
        decision = wait_for_capacity(lock, task, decision);
    }
    else if (decision.kind == placement_kind::place)
    {
        reserve(request, decision);
    }
    log_placement(rack_.rack, task.key, decision);
    return decision;
}

placement_decision
rack_runtime::wait_for_capacity(lock_type& lock, const task_request& task,
                                const placement_decision& first)
{
    const std::shared_ptr<const policy_limits> limits = hooks_.limits();
    placement_decision rejected;
    rejected.kind = placement_kind::reject;
    const urgent_admission admission =
        admit(urgent_queue_, *limits, task, first.predicted_run_ms,
              first.predicted_wait_ms, steady_clock::now());
    if (admission.displaced != 0)
    {
        pending_decision& displaced = pending_decisions_[admission.displaced];
        displaced.is_decided = true;
        displaced.decision = rejected;
        displaced.decision.reason =
            "displaced by a team below its share; send it again later";
        displaced.decision.retry_after_ms = refused_retry_ms;
        changed_.notify_all();
    }
    if (!admission.admitted)
    {
        rejected.reason = admission.reason;
        rejected.retry_after_ms = admission.retry_after_ms;
        return rejected;
    }
    pending_decisions_[admission.id] = pending_decision{};
    const time_point limit =
        task.deadline ? *task.deadline : steady_clock::now() + options_.lease;
    changed_.wait_until(lock, limit,
                        [&] {
                            return is_stopping_ ||
                                   pending_decisions_[admission.id].is_decided;
                        });
    const pending_decision result = pending_decisions_[admission.id];
    pending_decisions_.erase(admission.id);
    if (result.is_decided)
    {
        return result.decision;
    }
    remove(urgent_queue_, admission.id, false, steady_clock::now());
    rejected.reason = is_stopping_ ? "the rack has another owner"
                                   : "no place became free before the deadline";
    rejected.retry_after_ms = refused_retry_ms;
    return rejected;
}

// Places waiting urgent requests where capacity has become free.
void rack_runtime::place_waiting()
{
    const time_point now = steady_clock::now();
    const std::shared_ptr<const policy_limits> limits = hooks_.limits();
    for (const std::uint64_t id : expire(urgent_queue_, now))
    {
        pending_decision& expired = pending_decisions_[id];
        expired.is_decided = true;
        expired.decision.kind = placement_kind::reject;
        expired.decision.reason = "the deadline cannot be met any more";
        expired.decision.retry_after_ms = refused_retry_ms;
    }
    std::vector<std::uint64_t> skip;
    while (true)
    {
        const std::optional<std::uint64_t> id =
            next_urgent(urgent_queue_, *limits, skip, now);
        const urgent_item* item =
            id ? find_urgent(urgent_queue_, *id) : nullptr;
        if (item == nullptr)
        {
            break;
        }
        const placement_decision decision =
            choose_target(load_, item->request, model_, *limits, now, rng_);
        if (decision.kind != placement_kind::place)
        {
            // A request that is held back by its team's quota must not block
            // the requests of other teams.
            skip.push_back(*id);
            if (skip.size() >= max_skipped_urgent)
            {
                break;
            }
            continue;
        }
        place_request request;
        request.spec.team = item->request.team;
        request.spec.kind = item->request.kind;
        request.spec.urgent = true;
        request.spec.id = item->request.key.substr(
            std::min(item->request.key.size(), item->request.team.size() + 1));
        request.attempt = item->request.attempt;
        request.coordinator_data_center = rack_.data_center;
        reserve(request, decision);
        pending_decisions_[*id].is_decided = true;
        pending_decisions_[*id].decision = decision;
        remove(urgent_queue_, *id, true, now);
    }
    changed_.notify_all();
}

void rack_runtime::reserve(const place_request& request,
                           const placement_decision& decision)
{
    const time_point now = steady_clock::now();
    const std::string key = key_of(request.spec);
    owned_task task;
    task.key = key;
    task.attempt = request.attempt;
    task.target = decision.target;
    task.team = request.spec.team;
    task.kind = request.spec.kind;
    task.urgent = request.spec.urgent;
    task.changed = now;
    task.placed = now;
    task.coordinator_data_center = request.coordinator_data_center;
    const session_ptr session = session_of(decision.target);
    task.boot_id = session ? session->boot_id : "";
    tasks_[{key, request.attempt}] = task;

    task_load load;
    load.key = key;
    load.attempt = request.attempt;
    load.kind = task.kind;
    load.team = task.team;
    load.urgent = task.urgent;
    load.reserve = decision.reservation;
    load.started = now;
    load.expected_end =
        now +
        milliseconds(static_cast<std::int64_t>(decision.predicted_finish_ms));
    // A non-idempotent task is never evicted, since it must not start twice.
    load.checkpointable =
        !task.urgent && request.spec.idempotent && request.spec.checkpointable;
    if (target_load* target = load_of(decision.target))
    {
        target->tasks.push_back(load);
    }
    if (task.urgent)
    {
        observe_start(urgent_queue_, task.team, now);
    }
}

void rack_runtime::evict_and_throttle(const placement_decision& decision)
{
    for (const eviction& item : decision.evictions)
    {
        evict(item.target, {item.key, item.attempt},
              std::string(to_string(item.cause)));
    }
    for (const throttle& item : decision.throttles)
    {
        session_ptr session;
        throttle_command command;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            session = session_of(item.target);
            if (!session)
            {
                continue;
            }
            command = {session->token.epoch, session->token.term, item.key,
                       item.attempt, item.share};
            if (task_load* load =
                    task_load_of({item.key, item.attempt}, item.target))
            {
                load->share = item.share;
            }
        }
        session->client->throttle(command).status().IgnoreError();
    }
}

} // namespace egretspindle
