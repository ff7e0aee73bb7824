#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/order_sequence.hpp"

#include "rack_agent_impl.hpp"

namespace egretspindle
{

namespace
{

// Returns whether a stop with this answer guarantees that the target either
// lists the run or will not start it before its own restart. After any other
// answer the target may have done nothing. After `other_boot`, the next poll
// shows the state of the target.
bool rules_out_start(order_verdict verdict)
{
    return verdict == order_verdict::taken || verdict == order_verdict::old_run;
}

} // namespace

// Marks the rack as owned by another host. From now on this host sends no
// orders for it and infers no ends of runs.
void rack_agent::impl::fence(const target_channel& channel)
{
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_state* rack = find_rack(channel.rack);
        if (rack == nullptr || rack->token != channel.token || rack->is_fenced)
        {
            return;
        }
        rack->is_fenced = true;
        metrics.fenced.add();
        log_info("rack is owned by another host",
                 {{"rack", channel.rack},
                  {"target", channel.target},
                  {"owner_version", channel.token}});
    }
    hooks.lost(channel.rack);
}

// Prepares the message of a start, and sets `is_held` and `target_started_ms`
// of the order. Returns false if the start must not be sent any more.
bool rack_agent::impl::prepare_start(const channel_ptr& channel,
                                     pending_order& order, start_order& message,
                                     target_entry& entry)
{
    const std::lock_guard<std::mutex> lock(mutex);
    rack_target* target = find_target(*channel);
    if (target == nullptr)
    {
        return false;
    }
    const auto it = target->runs.find(order.id);
    if (it == target->runs.end() || it->second.is_confirmed ||
        !it->second.terms || (it->second.is_stopping && order.was_unanswered))
    {
        return false;
    }
    entry = target->entry;
    order.target_started_ms = target->started_ms;
    const bool is_granted =
        may_grant(*find_rack(channel->rack), boot_clock::now());
    // A restarted target grants up to `lease_limits::longest` to a start that
    // was made for its earlier boot, so an owner that must not grant leases
    // sends no start.
    order.is_held =
        !is_granted || (order.was_unanswered && !channel->has_contact);
    message.task = order.id.first;
    message.run = order.id.second;
    message.text = it->second.terms->text;
    message.checkpoint = it->second.checkpoint;
    rack_state& rack = *find_rack(channel->rack);
    if (!order.is_held)
    {
        begin_start(rack, *target, steady_clock::now());
    }
    message.token = order_token(rack, *target);
    // The lease of a target that does not answer is not extended, so that its
    // runs are certain to end. A poll waits for seconds, so a start usually
    // shows first that the target is silent.
    const bool is_silent = channel->unanswered_start_at > target->clock_at;
    if (!is_granted)
    {
        metrics.count_no_lease(lease_use::start);
    }
    message.lease_until_ms =
        channel->has_contact && !is_silent && !order.was_unanswered &&
                is_granted
            ? extend_lease(*target, limits.lease, steady_clock::now())
            : target->lease_until_ms;
    return true;
}

// Records that a start without an answer may be executed later.
void rack_agent::impl::mark_start_unanswered(target_channel& channel,
                                             const pending_order& order,
                                             time_point sent_at)
{
    const std::lock_guard<std::mutex> lock(mutex);
    channel.unanswered_start_at = sent_at;
    rack_target* target = find_target(channel);
    if (target == nullptr)
    {
        return;
    }
    const time_point now = steady_clock::now();
    add_unanswered_start(*target, order.id, now);
    if (order.target_started_ms != target->started_ms ||
        target->listed_restart_at != time_point{})
    {
        allow_for_stale_order(*target, limits.lease, now);
    }
}

// Ends the time during which no end is acknowledged to the target.
void rack_agent::impl::finish_start(const channel_ptr& channel,
                                    std::int64_t clock_ms)
{
    const std::lock_guard<std::mutex> lock(mutex);
    if (rack_target* target = find_target(*channel))
    {
        const time_point now = steady_clock::now();
        end_start(*target, clock_ms, limits.lease, now);
        if (target->listed_restart_at != time_point{} &&
            may_run_in_later_boot(*target))
        {
            allow_for_stale_order(*target, limits.lease, now);
        }
        channel->has_acks.notify_all();
    }
}

// Queues a stop after a refused start of which an earlier attempt was not
// answered. The attempt may still be executed; the stop rules that out before
// the run can start elsewhere.
void rack_agent::impl::stop_refused_start(const target_channel& channel,
                                          rack_target& target, const run_id& id)
{
    const auto it = target.runs.find(id);
    if (it != target.runs.end())
    {
        it->second.is_stopping = true;
        pending_order order;
        order.what = pending_order::kind::stop;
        order.id = id;
        queue_order(channel.target, order);
    }
}

// Applies the answer to a start. Returns false if the target has restarted
// since the order was prepared: the answer may be from before the restart, so
// the start has to be retried.
bool rack_agent::impl::apply_start_answer(const channel_ptr& channel,
                                          const pending_order& order,
                                          const order_answer& answer)
{
    const bool is_refused = answer.verdict != order_verdict::taken &&
                            answer.verdict != order_verdict::old_run;
    if (is_refused)
    {
        metrics.count_refused(answer.verdict);
        log_info("target refused a start",
                 {{"task", order.id.first},
                  {"run", order.id.second},
                  {"target", channel->target},
                  {"rack", channel->rack},
                  {"owner_version", channel->token},
                  {"repeated", order.was_unanswered},
                  {"verdict", name_of(answer.verdict)}});
    }
    if (answer.verdict == order_verdict::wrong_token)
    {
        fence(*channel);
        return true;
    }
    std::vector<run_event> events;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr)
        {
            return true;
        }
        if (target->started_ms != order.target_started_ms)
        {
            return false;
        }
        const time_point now = steady_clock::now();
        update_clock(*target, answer.clock_ms, limits.lease, now);
        if (is_refused && order.was_unanswered)
        {
            stop_refused_start(*channel, *target, order.id);
            return true;
        }
        rack_state& rack = *find_rack(channel->rack);
        const std::vector<run_id> unconfirmed = unconfirmed_runs(*target);
        events = apply_start(rack, *target, order.id, answer.verdict, now);
        observe_confirmations(*target, unconfirmed);
        queue_first_speeds(*target, unconfirmed);
        if (is_refused)
        {
            place(rack);
        }
    }
    publish(channel->rack, channel->token, events);
    return true;
}

// Cancels a start that has not been sent yet if its run is to be stopped, or if
// its target is draining or not listed any more. The start may have waited in
// the channel for a slow target or for the right to grant leases. Returns
// whether it was cancelled.
bool rack_agent::impl::cancel_unsent_start(const channel_ptr& channel,
                                           const pending_order& order)
{
    std::vector<run_event> events;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr || order.was_unanswered)
        {
            return false;
        }
        const auto it = target->runs.find(order.id);
        if (it == target->runs.end() || it->second.is_confirmed ||
            !it->second.terms)
        {
            return false;
        }
        const bool is_stopping = it->second.is_stopping;
        const bool is_leaving = !target->is_listed || target->entry.is_draining;
        if (!is_stopping && !is_leaving)
        {
            return false;
        }
        rack_state& rack = *find_rack(channel->rack);
        events = is_stopping ? withdraw_unsent_start(rack, *target, order.id)
                             : apply_start(rack, *target, order.id,
                                           order_verdict::unhealthy,
                                           steady_clock::now());
        log_info("unsent start cancelled",
                 {{"task", order.id.first},
                  {"run", order.id.second},
                  {"target", channel->target},
                  {"reason", is_stopping ? "the run is to be stopped"
                                         : "the target is leaving"}});
        place(rack);
    }
    publish(channel->rack, channel->token, events);
    return true;
}

// Sends a start, and queues it again if the target has not confirmed or refused
// it.
void rack_agent::impl::send_start(const channel_ptr& channel,
                                  pending_order order)
{
    if (cancel_unsent_start(channel, order))
    {
        return;
    }
    start_order message;
    target_entry entry;
    if (!prepare_start(channel, order, message, entry))
    {
        return;
    }
    if (order.is_held)
    {
        retry(channel, std::move(order), false);
        return;
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<order_answer> answer =
        targets.start(entry, message, limits.order_timeout);
    count_call(activity.orders, elapsed(sent_at), answer.ok());
    metrics.observe_order(order_kind::start, steady_clock::now() - sent_at,
                          answer.ok());
    const bool is_late =
        answer.ok() && answer->verdict == order_verdict::too_late;
    if (!answer.ok())
    {
        mark_start_unanswered(*channel, order, sent_at);
    }
    finish_start(channel, answer.ok() ? answer->clock_ms : 0);
    if (answer.ok() && !is_late && apply_start_answer(channel, order, *answer))
    {
        return;
    }
    log_warning(
        "start was not confirmed and will be repeated",
        {{"task", message.task},
         {"run", message.run},
         {"target", channel->target},
         {"rack", channel->rack},
         {"owner_version", channel->token},
         {"took_ms", elapsed_ms(sent_at, steady_clock::now())},
         {"cause", answer.ok() ? std::string(name_of(answer->verdict))
                               : std::string(answer.status().message())}});
    if (answer.ok() && !is_late)
    {
        mark_start_unanswered(*channel, order, sent_at);
    }
    retry(channel, std::move(order), !is_late);
}

// Sends a stop, and queues it again until the target has confirmed it.
void rack_agent::impl::send_stop(const channel_ptr& channel,
                                 pending_order order)
{
    stop_order message;
    target_entry entry;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr || target->runs.count(order.id) == 0)
        {
            return;
        }
        entry = target->entry;
        order.target_started_ms = target->started_ms;
        message.task = order.id.first;
        message.run = order.id.second;
        message.token = order_token(*find_rack(channel->rack), *target);
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<order_answer> answer =
        targets.stop(entry, message, limits.order_timeout);
    count_call(activity.orders, elapsed(sent_at), answer.ok());
    metrics.observe_order(order_kind::stop, steady_clock::now() - sent_at,
                          answer.ok());
    const bool is_refused =
        answer.ok() && answer->verdict == order_verdict::wrong_token;
    if (is_refused && !is_overtaken(*channel, message.token))
    {
        fence(*channel);
        return;
    }
    if (!answer.ok() || !rules_out_start(answer->verdict))
    {
        log_warning(
            "stop was not confirmed and will be repeated",
            {{"task", message.task},
             {"run", message.run},
             {"target", channel->target},
             {"rack", channel->rack},
             {"owner_version", channel->token},
             {"cause", answer.ok() ? std::string(name_of(answer->verdict))
                                   : std::string(answer.status().message())}});
        retry(channel, std::move(order), true);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr)
        {
            return;
        }
        if (target->started_ms == order.target_started_ms)
        {
            const auto it = target->runs.find(order.id);
            if (it != target->runs.end() && !it->second.is_confirmed)
            {
                // From now on the run is either listed or will never start.
                it->second.is_confirmed = true;
                it->second.confirmed_at = steady_clock::now();
            }
            return;
        }
    }
    // The target may have answered before its restart, and has then forgotten
    // the stop.
    retry(channel, std::move(order), true);
}

// Sends the present speed limit of a task, and queues it again if there is no
// answer. The verdict of an answer is ignored.
void rack_agent::impl::send_pace(const channel_ptr& channel,
                                 pending_order order)
{
    pace_order message;
    target_entry entry;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr)
        {
            return;
        }
        const auto it = target->runs.find(order.id);
        if (it == target->runs.end() || it->second.is_ended)
        {
            return;
        }
        entry = target->entry;
        message.task = order.id.first;
        message.run = order.id.second;
        message.percent = it->second.percent;
        message.token = order_token(*find_rack(channel->rack), *target);
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<order_answer> answer =
        targets.pace(entry, message, limits.order_timeout);
    count_call(activity.orders, elapsed(sent_at), answer.ok());
    metrics.observe_order(order_kind::pace, steady_clock::now() - sent_at,
                          answer.ok());
    if (!answer.ok())
    {
        log_warning("change of a task's speed was not answered",
                    {{"task", message.task},
                     {"run", message.run},
                     {"target", channel->target},
                     {"percent", message.percent},
                     {"cause", std::string(answer.status().message())}});
        retry(channel, std::move(order), true);
    }
}

} // namespace egretspindle
