#include "egretspindle/rack/order_sequence.hpp"

#include "cancel_simulation.hpp"

#include <algorithm>

namespace egretspindle::cancel_simulation
{

void simulation::queue_order(const owner_ptr& owner, const std::string& name,
                             const sim_order& order)
{
    std::deque<sim_order>& orders = owner->channels.at(name).orders;
    const bool is_copy =
        order.is_stop && std::any_of(orders.begin(), orders.end(),
                                     [&order](const sim_order& it) {
                                         return it.is_stop && it.id == order.id;
                                     });
    if (!is_copy)
    {
        orders.insert(order.is_stop ? orders.begin() : orders.end(), order);
        send_next(owner, name);
    }
}

void simulation::send_next(const owner_ptr& owner, const std::string& name)
{
    sim_channel& channel = owner->channels.at(name);
    while (!channel.is_busy && !owner->is_dropped && !channel.orders.empty())
    {
        const sim_order order = channel.orders.front();
        channel.orders.pop_front();
        channel.is_busy = order.is_stop ? send_stop(owner, name, order)
                                        : send_start(owner, name, order);
    }
}

// As `rack_agent::impl::retry`: the sender waits.
void simulation::retry(const owner_ptr& owner, const std::string& name,
                       sim_order order, bool was_unanswered)
{
    order.was_unanswered |= was_unanswered;
    at(order_retry,
       [this, owner, name, order]
       {
           sim_channel& channel = owner->channels.at(name);
           channel.is_busy = false;
           const bool is_copy =
               order.is_stop &&
               std::any_of(channel.orders.begin(), channel.orders.end(),
                           [&order](const sim_order& it)
                           { return it.is_stop && it.id == order.id; });
           if (!is_copy)
           {
               channel.orders.push_back(order);
           }
           send_next(owner, name);
       });
}

// As `cancel_unsent_start`, `prepare_start` and `send_start` of the agent.
bool simulation::send_start(const owner_ptr& owner, const std::string& name,
                            sim_order order)
{
    rack_state& rack = owner->rack;
    rack_target& target = rack.targets.at(name);
    sim_channel& channel = owner->channels.at(name);
    const auto it = target.runs.find(order.id);
    if (it == target.runs.end() || it->second.is_confirmed || !it->second.terms)
    {
        return false;
    }
    if (it->second.is_stopping)
    {
        if (!order.was_unanswered)
        {
            report(owner, withdraw_unsent_start(rack, target, order.id));
            place(owner);
        }
        return false;
    }
    order.started_ms = target.started_ms;
    const bool is_granted = may_grant_now(owner);
    if (!is_granted || (order.was_unanswered && !channel.has_contact))
    {
        retry(owner, name, order, false);
        return true;
    }
    begin_start(rack, target, now_);
    start_order message;
    message.task = order.id.first;
    message.run = order.id.second;
    message.token = order_token(rack, target);
    const bool is_silent = channel.unanswered_start_at > target.clock_at;
    message.lease_until_ms =
        channel.has_contact && !is_silent && !order.was_unanswered
            ? extend_lease(target, limits, now_)
            : target.lease_until_ms;
    if (owner->stopped.count(order.id) > 0)
    {
        fail("start sent after its stop", order.id);
    }
    call<order_answer>(
        sim(name), order_timeout, ms(0),
        [this, name, message, made_for = order.started_ms]
        { return start(sim(name), message, made_for); },
        [this, owner, name, order, sent_at = now_](const auto& answer)
        { finish_start(owner, name, order, sent_at, answer); });
    return true;
}

void simulation::mark_unanswered(const owner_ptr& owner,
                                 const std::string& name,
                                 const sim_order& order, time_point sent_at)
{
    rack_target& target = owner->rack.targets.at(name);
    owner->channels.at(name).unanswered_start_at = sent_at;
    add_unanswered_start(target, order.id, now_);
    if (order.started_ms != target.started_ms ||
        target.listed_restart_at != time_point{})
    {
        allow_for_stale_order(target, limits, now_);
    }
}

void simulation::finish_start(const owner_ptr& owner, const std::string& name,
                              const sim_order& order, time_point sent_at,
                              const std::optional<order_answer>& answer)
{
    if (owner->is_dropped)
    {
        return;
    }
    rack_target& target = owner->rack.targets.at(name);
    const bool is_late = answer && answer->verdict == order_verdict::too_late;
    if (!answer)
    {
        mark_unanswered(owner, name, order, sent_at);
    }
    end_start(target, answer ? answer->clock_ms : 0, limits, now_);
    if (target.listed_restart_at != time_point{} &&
        may_run_in_later_boot(target))
    {
        allow_for_stale_order(target, limits, now_);
    }
    if (answer && answer->verdict == order_verdict::wrong_token)
    {
        fence(owner);
    }
    else if (answer && !is_late && target.started_ms == order.started_ms)
    {
        apply_answer(owner, target, order, *answer);
    }
    else
    {
        if (answer && !is_late)
        {
            mark_unanswered(owner, name, order, sent_at);
        }
        retry(owner, name, order, !is_late);
        return;
    }
    owner->channels.at(name).is_busy = false;
    send_next(owner, name);
}

void simulation::apply_answer(const owner_ptr& owner, rack_target& target,
                              const sim_order& order,
                              const order_answer& answer)
{
    const bool is_refused = answer.verdict != order_verdict::taken &&
                            answer.verdict != order_verdict::old_run;
    update_clock(target, answer.clock_ms, limits, now_);
    if (is_refused && order.was_unanswered)
    {
        const auto it = target.runs.find(order.id);
        if (it != target.runs.end())
        {
            it->second.is_stopping = true;
            queue_order(owner, target.entry.id, {true, order.id});
        }
        return;
    }
    report(owner,
           apply_start(owner->rack, target, order.id, answer.verdict, now_));
    if (is_refused && may_grant_now(owner))
    {
        place(owner);
    }
}

bool simulation::send_stop(const owner_ptr& owner, const std::string& name,
                           sim_order order)
{
    const rack_target& target = owner->rack.targets.at(name);
    if (target.runs.count(order.id) == 0)
    {
        return false;
    }
    ++sent_stops_;
    order.started_ms = target.started_ms;
    const stop_order message{order.id.first, order.id.second,
                             order_token(owner->rack, target)};
    call<order_answer>(
        sim(name), order_timeout, ms(0),
        [this, name, message] { return stop(sim(name), message); },
        [this, owner, name, order, token = message.token](const auto& answer)
        { finish_stop(owner, name, order, token, answer); });
    return true;
}

void simulation::finish_stop(const owner_ptr& owner, const std::string& name,
                             const sim_order& order, std::int64_t token,
                             const std::optional<order_answer>& answer)
{
    if (owner->is_dropped)
    {
        return;
    }
    rack_target& target = owner->rack.targets.at(name);
    const bool is_refused =
        answer && answer->verdict == order_verdict::wrong_token;
    const bool is_overtaken = token < order_token(owner->rack, target);
    if (!answer || (is_refused && is_overtaken) ||
        (!is_refused && target.started_ms != order.started_ms))
    {
        retry(owner, name, order, true);
        return;
    }
    const auto it = target.runs.find(order.id);
    if (is_refused)
    {
        fence(owner);
    }
    else if (it != target.runs.end() && !it->second.is_confirmed)
    {
        it->second.is_confirmed = true;
        it->second.confirmed_at = now_;
    }
    owner->channels.at(name).is_busy = false;
    send_next(owner, name);
}

// As `prepare_poll` and `apply_poll_answer` of the agent.
void simulation::poll_target(const owner_ptr& owner, const std::string& name)
{
    if (owner->is_dropped)
    {
        return;
    }
    rack_target& target = owner->rack.targets.at(name);
    poll_request request;
    request.token = order_token(owner->rack, target);
    if (owner->channels.at(name).has_contact)
    {
        request.acknowledged = next_acknowledgement(target, now_);
        if (request.acknowledged > 0)
        {
            begin_acknowledgement(target);
        }
        if (may_grant_now(owner))
        {
            request.lease_until_ms = extend_lease(target, limits, now_);
        }
        request.wait =
            sim(name).ends.empty() ? draw_ms(0, int(poll_wait.count())) : ms(0);
    }
    call<poll_answer>(
        sim(name), poll_timeout, request.wait,
        [this, name, request] { return poll(sim(name), request); },
        [this, owner, name, request, sent_at = now_](const auto& answer)
        { finish_poll(owner, name, request, sent_at, answer); });
}

void simulation::finish_poll(const owner_ptr& owner, const std::string& name,
                             const poll_request& request, time_point sent_at,
                             const std::optional<poll_answer>& answer)
{
    if (owner->is_dropped)
    {
        return;
    }
    rack_target& target = owner->rack.targets.at(name);
    sim_channel& channel = owner->channels.at(name);
    if (request.acknowledged > 0)
    {
        end_acknowledgement(target, answer.has_value(), now_);
    }
    if (!answer || answer->verdict == order_verdict::wrong_token)
    {
        const bool is_overtaken =
            answer && request.token < order_token(owner->rack, target);
        if (!is_overtaken)
        {
            channel.has_contact = false;
            target.avoid_until = time_point::max();
            if (request.lease_until_ms > 0)
            {
                allow_for_resent_lease(target, limits, now_ - poll_timeout);
            }
            if (answer)
            {
                fence(owner);
            }
        }
        at(is_overtaken ? ms(1) : poll_retry,
           [this, owner, name] { poll_target(owner, name); });
        return;
    }
    const bool has_restarted =
        target.started_ms != 0 && target.started_ms != answer->started_ms;
    if (!channel.has_contact)
    {
        target.avoid_until = now_;
    }
    channel.has_contact = true;
    report(owner, apply_poll(owner->rack, target, *answer, sent_at, now_));
    if (options_.fills_lists)
    {
        target.max_listed_ends = std::numeric_limits<std::size_t>::max();
    }
    if (!has_restarted && request.acknowledged > 0)
    {
        target.acks.confirmed = request.acknowledged;
    }
    update_clock(target, answer->clock_ms, limits, now_);
    for (const auto& [id, run] : target.runs)
    {
        if (run.is_stopping)
        {
            queue_order(owner, name, {true, id});
        }
    }
    if (may_grant_now(owner))
    {
        place(owner);
    }
    at(target.ends.empty() ? ms(1) : ms(150),
       [this, owner, name] { poll_target(owner, name); });
}

} // namespace egretspindle::cancel_simulation
