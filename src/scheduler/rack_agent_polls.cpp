#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/draining_target.hpp"
#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/order_sequence.hpp"
#include "egretspindle/rack/place_reservation.hpp"

#include "rack_agent_impl.hpp"

namespace egretspindle
{

namespace
{

// Logs the first of several failed polls in a row.
void log_failed_poll(const target_channel& channel, const poll_request& request,
                     time_point sent_at,
                     const absl::StatusOr<poll_answer>& answer)
{
    log_warning(
        "poll of a target failed",
        {{"target", channel.target},
         {"rack", channel.rack},
         {"owner_version", channel.token},
         {"acknowledged", request.acknowledged},
         {"took_ms", elapsed_ms(sent_at, steady_clock::now())},
         {"cause", answer.ok() ? std::string(name_of(answer->verdict))
                               : std::string(answer.status().message())}});
}

} // namespace

// Polls a target until its channel is closed.
void rack_agent::impl::poll_loop(const channel_ptr& channel)
{
    for (;;)
    {
        const bool is_answered = poll_once(channel);
        std::unique_lock<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr)
        {
            return;
        }
        if (!is_answered)
        {
            channel->has_acks.wait_for(lock, limits.poll_retry,
                                       [&] { return channel->is_stopping; });
        }
        else if (!target->ends.empty() ||
                 (has_recorded_ends(*target) &&
                  !may_acknowledge(*target, steady_clock::now())))
        {
            // Polls return at once while listed ends are not acknowledged.
            const std::int64_t before = target->acknowledged;
            channel->has_acks.wait_for(
                lock, limits.ack_wait,
                [&]
                {
                    const rack_target* current = find_target(*channel);
                    return current == nullptr ||
                           current->acknowledged != before;
                });
        }
    }
}

bool rack_agent::impl::poll_once(const channel_ptr& channel)
{
    poll_request request;
    target_entry entry;
    if (!prepare_poll(*channel, request, entry))
    {
        return true;
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<poll_answer> answer =
        targets.poll(entry, request, limits.poll_timeout);
    const time_point now = steady_clock::now();
    count_call(activity.polls, elapsed(sent_at), answer.ok());
    metrics.observe_poll(now - sent_at, answer.ok());
    if (request.acknowledged > 0)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (rack_target* target = find_target(*channel))
        {
            end_acknowledgement(
                *target, answer.ok() && now - sent_at < limits.poll_timeout,
                now);
        }
    }
    if (answer.ok() && answer->verdict == order_verdict::taken)
    {
        apply_poll_answer(channel, request, *answer, sent_at);
        return true;
    }
    const bool is_refused =
        answer.ok() && answer->verdict == order_verdict::wrong_token;
    if (is_refused && is_overtaken(*channel, request.token))
    {
        return true;
    }
    apply_failed_poll(channel, request, entry, sent_at, answer);
    if (is_refused)
    {
        fence(*channel);
    }
    return false;
}

// Prepares the next poll of a target. Returns false if its channel is closed.
bool rack_agent::impl::prepare_poll(const target_channel& channel,
                                    poll_request& request, target_entry& entry)
{
    const std::lock_guard<std::mutex> lock(mutex);
    rack_target* target = find_target(channel);
    if (target == nullptr)
    {
        return false;
    }
    const time_point now = steady_clock::now();
    const rack_state& rack = *find_rack(channel.rack);
    entry = target->entry;
    request.token = order_token(rack, *target);
    if (!channel.has_contact)
    {
        // After an unanswered poll nothing is acknowledged and no lease is
        // renewed: the target may have restarted, and its ends then have
        // other numbers.
        return true;
    }
    request.acknowledged = next_acknowledgement(*target, now);
    if (request.acknowledged > 0)
    {
        begin_acknowledgement(*target);
    }
    if (may_grant(rack, boot_clock::now()))
    {
        request.lease_until_ms = extend_lease(*target, limits.lease, now);
    }
    else
    {
        metrics.count_no_lease(lease_use::poll);
    }
    bool is_serving = false;
    bool is_backfill = false;
    for (const auto& [id, run] : target->runs)
    {
        is_serving |= run.terms && run.terms->response_target_ms > 0;
        is_backfill |= run.terms && run.terms->uses_idle_cpu;
    }
    request.wait =
        is_serving && is_backfill ? limits.mixed_poll_wait : limits.poll_wait;
    return true;
}

// Closes the target to starts until it answers again, and ends its runs if it
// has restarted under another id.
void rack_agent::impl::apply_failed_poll(
    const channel_ptr& channel, const poll_request& request,
    const target_entry& entry, time_point sent_at,
    const absl::StatusOr<poll_answer>& answer)
{
    std::vector<run_event> events;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (channel->has_contact || channel->failed_polls == 0)
        {
            log_failed_poll(*channel, request, sent_at, answer);
        }
        channel->has_contact = false;
        ++channel->failed_polls;
        if (rack_target* target = find_target(*channel))
        {
            const time_point now = steady_clock::now();
            target->avoid_until = time_point::max();
            if (request.lease_until_ms > 0)
            {
                // The poll was sent at most its timeout ago, to whatever boot
                // is at the address.
                allow_for_resent_lease(*target, limits.lease,
                                       now - limits.poll_timeout);
            }
            // An answer from a former address says nothing about the target.
            if (answer.ok() && answer->verdict == order_verdict::other_boot &&
                entry.address == target->entry.address)
            {
                events = end_runs_of_former_boot(*find_rack(channel->rack),
                                                 *target, now);
            }
        }
    }
    publish(channel->rack, channel->token, events);
}

// Returns whether a refused token does not show a newer owner: the target has
// seen a raised token of this owner since, or the channel is closed.
bool rack_agent::impl::is_overtaken(const target_channel& channel,
                                    std::int64_t token)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const rack_target* target = find_target(channel);
    return target == nullptr ||
           token < order_token(*find_rack(channel.rack), *target);
}

// Updates the target by its answer, and queues the stops and changes of speed
// that follow from it.
void rack_agent::impl::apply_poll_answer(const channel_ptr& channel,
                                         const poll_request& request,
                                         const poll_answer& answer,
                                         time_point sent_at)
{
    std::vector<run_event> events;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        rack_target* target = find_target(*channel);
        if (target == nullptr)
        {
            return;
        }
        const time_point now = steady_clock::now();
        const bool has_restarted =
            target->started_ms != 0 && target->started_ms != answer.started_ms;
        if (has_restarted || !channel->has_contact)
        {
            log_info("target answers polls",
                     {{"target", channel->target},
                      {"rack", channel->rack},
                      {"restarted", has_restarted},
                      {"runs", answer.runs.size()},
                      {"ends", answer.ends.size()},
                      {"first_end", answer.ends.empty()
                                        ? std::int64_t{0}
                                        : answer.ends.front().number},
                      {"took_ms", elapsed_ms(sent_at, now)}});
        }
        if (!channel->has_contact)
        {
            target->avoid_until = now;
        }
        channel->has_contact = true;
        channel->failed_polls = 0;
        rack_state& rack = *find_rack(channel->rack);
        const std::vector<run_id> unconfirmed = unconfirmed_runs(*target);
        events = apply_poll(rack, *target, answer, sent_at, now);
        if (!has_restarted && request.acknowledged > 0)
        {
            target->acks.confirmed = request.acknowledged;
        }
        log_full_list(*channel, *target, now);
        observe_confirmations(*target, unconfirmed);
        queue_first_speeds(*target, unconfirmed);
        update_clock(*target, answer.clock_ms, limits.lease, now);
        for (const run_id& id : decide_evictions(*target, now))
        {
            const placed_run& run = target->runs.at(id);
            metrics.evicted.add();
            log_info("run evicted",
                     {{"task", id.first},
                      {"run", id.second},
                      {"target", channel->target},
                      {"rack", channel->rack},
                      {"percent", run.percent},
                      {"slowed_ms", elapsed_ms(run.slowed_at, now)},
                      {"reason", "slowed too long for a serving task"}});
        }
        for (const run_id& id : decide_reservation_evictions(rack, *target))
        {
            const run_id& waiting = target->reservation->run;
            metrics.evicted.add();
            log_info("run evicted",
                     {{"task", id.first},
                      {"run", id.second},
                      {"target", channel->target},
                      {"rack", channel->rack},
                      {"waiting_task", waiting.first},
                      {"waiting_run", waiting.second},
                      {"reason", "memory for a long-running task"}});
        }
        queue_stops_and_paces(*target, now);
        place(rack);
    }
    publish(channel->rack, channel->token, events);
}

void rack_agent::impl::log_full_list(target_channel& channel,
                                     const rack_target& target, time_point now)
{
    const bool was_full = channel.list_full_since != time_point{};
    const bool is_full = !has_room_for_end(target);
    if (was_full == is_full)
    {
        return;
    }
    if (is_full)
    {
        log_warning("target gets no starts, its list of ends is full",
                    {{"target", channel.target},
                     {"rack", channel.rack},
                     {"owner_version", channel.token},
                     {"ends", target.listed_ends},
                     {"runs", target.runs.size()},
                     {"unlisted", target.unlisted_ends.size()},
                     {"most_ends", target.max_listed_ends},
                     {"oldest_end", target.oldest_end},
                     {"oldest_ms", elapsed_ms(target.oldest_end_since, now)},
                     {"reason", to_string(find_ack_blocker(target, now))}});
        channel.list_full_since = now;
        return;
    }
    log_info("target gets starts again, it can list their ends",
             {{"target", channel.target},
              {"rack", channel.rack},
              {"ends", target.listed_ends},
              {"runs", target.runs.size()},
              {"closed_ms", elapsed_ms(channel.list_full_since, now)}});
    channel.list_full_since = {};
}

// Stops long-running runs on draining targets. The owners of their jobs then
// assign them to other racks.
void rack_agent::impl::move_off_draining_targets(rack_state& rack)
{
    if (rack.is_fenced)
    {
        return;
    }
    const time_point now = steady_clock::now();
    for (auto& [id, target] : rack.targets)
    {
        for (const run_id& run :
             decide_moves(target, hooks.has_eventual_room, now))
        {
            metrics.moved.add();
            log_info("run moved off a draining target",
                     {{"task", run.first},
                      {"run", run.second},
                      {"target", id},
                      {"rack", rack.name},
                      {"owner_version", rack.token},
                      {"ends_in_ms", elapsed_ms(now, target.ends_at)}});
            pending_order order;
            order.what = pending_order::kind::stop;
            order.id = run;
            queue_order(id, order);
        }
    }
}

void rack_agent::impl::queue_stops_and_paces(rack_target& target,
                                             time_point now)
{
    for (const auto& [id, run] : target.runs)
    {
        if (run.is_stopping)
        {
            pending_order order;
            order.what = pending_order::kind::stop;
            order.id = id;
            queue_order(target.entry.id, order);
        }
    }
    observe_target(target, model, now);
    for (const pace_change& change : decide_pace(target, model, now))
    {
        pending_order order;
        order.what = pending_order::kind::pace;
        order.id = {change.task, change.run};
        queue_order(target.entry.id, order);
    }
}

} // namespace egretspindle
