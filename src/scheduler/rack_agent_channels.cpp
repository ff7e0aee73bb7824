#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/draining_target.hpp"
#include "egretspindle/rack/order_sequence.hpp"

#include "rack_agent_impl.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Time from a stop to the end of its run from which it is logged. Users allow
// 0.4 s for a task to end, and seconds for all of a cancellation.
constexpr milliseconds late_stop{1'000};

std::string_view name_of(run_event::kind what)
{
    switch (what)
    {
    case run_event::kind::started:
        return "started";
    case run_event::kind::ended:
        return "ended";
    case run_event::kind::seen:
        break;
    }
    return "seen";
}

std::vector<run_report> to_reports(const std::string& rack, std::int64_t token,
                                   const std::vector<run_event>& events)
{
    std::vector<run_report> reports;
    reports.reserve(events.size());
    for (const run_event& event : events)
    {
        run_report item;
        item.what = std::string(name_of(event.what));
        item.task = event.task;
        item.run = event.run;
        item.how = std::string(to_string(event.how));
        item.checkpoint = event.checkpoint;
        item.target = event.target;
        item.rack = rack;
        item.token = token;
        item.number = event.number;
        item.silent_ms = event.silent.count();
        reports.push_back(std::move(item));
    }
    return reports;
}

} // namespace

bool is_queued_copy(const target_channel& channel, const pending_order& order)
{
    return order.what != pending_order::kind::start &&
           std::any_of(channel.orders.begin(), channel.orders.end(),
                       [&order](const pending_order& item) {
                           return item.what == order.what &&
                                  item.id == order.id;
                       });
}

rack_state* rack_agent::impl::find_rack(const std::string& name)
{
    const auto it = racks.find(name);
    return it == racks.end() ? nullptr : &it->second;
}

rack_target* rack_agent::impl::find_target(const target_channel& channel)
{
    rack_state* rack = find_rack(channel.rack);
    if (channel.is_stopping || rack == nullptr || rack->token != channel.token)
    {
        return nullptr;
    }
    const auto it = rack->targets.find(channel.target);
    return it == rack->targets.end() ? nullptr : &it->second;
}

void rack_agent::impl::open_channel(const std::string& rack,
                                    const std::string& target,
                                    std::int64_t token)
{
    channel_ptr channel = std::make_shared<target_channel>();
    channel->rack = rack;
    channel->target = target;
    channel->token = token;
    channels[target] = channel;
    channel->poller = std::thread(
        [this, channel]
        {
            poll_loop(channel);
            mark_thread_returned(*channel);
        });
    channel->sender = std::thread(
        [this, channel]
        {
            send_loop(channel);
            mark_thread_returned(*channel);
        });
}

void rack_agent::impl::close_channels(const std::string& rack,
                                      std::vector<channel_ptr>& closed)
{
    for (auto it = channels.begin(); it != channels.end();)
    {
        const channel_ptr channel = it->second;
        if (channel->rack != rack)
        {
            ++it;
            continue;
        }
        channel->is_stopping = true;
        channel->has_orders.notify_all();
        channel->has_acks.notify_all();
        closed.push_back(channel);
        it = channels.erase(it);
    }
}

void rack_agent::impl::mark_thread_returned(target_channel& channel)
{
    const std::lock_guard<std::mutex> lock(mutex);
    --channel.running;
}

// Removes and returns the closed channels whose threads have returned. The
// threads of the other closed channels may still be waiting for a response from
// their target, and joining them would block the caller.
std::vector<channel_ptr> rack_agent::impl::remove_finished()
{
    const auto finished = std::partition(
        closed_channels.begin(), closed_channels.end(),
        [](const channel_ptr& channel) { return channel->running > 0; });
    std::vector<channel_ptr> removed(finished, closed_channels.end());
    closed_channels.erase(finished, closed_channels.end());
    return removed;
}

// Joins the threads of closed channels, except the calling thread, which cannot
// join itself. Must be called without `mutex`, which the threads lock before
// they return.
void rack_agent::impl::join_threads(const std::vector<channel_ptr>& closed)
{
    for (const channel_ptr& channel : closed)
    {
        for (std::thread* thread : {&channel->poller, &channel->sender})
        {
            if (thread->joinable() &&
                thread->get_id() != std::this_thread::get_id())
            {
                thread->join();
            }
        }
    }
}

void rack_agent::impl::sync_targets(rack_state& rack)
{
    for (auto& [id, target] : rack.targets)
    {
        const auto it = entries.find(id);
        target.is_listed = it != entries.end() && it->second.rack == rack.name;
        if (target.is_listed)
        {
            // If the address has changed, the stored target list of the rack
            // must be written again: the next owner polls the address
            // stored there.
            target.is_recorded &= target.entry.address == it->second.address;
            // The platform's list may show a restart before the next poll does,
            // or when no poll ever succeeds.
            const bool has_restarted =
                target.entry.started_ms != 0 &&
                target.entry.started_ms != it->second.started_ms;
            if (has_restarted)
            {
                target.listed_restart_at = steady_clock::now();
            }
            if (has_restarted && may_run_in_later_boot(target))
            {
                // The new boot may still execute an order that was made for
                // the earlier one, and grant a lease for it.
                allow_for_stale_order(target, limits.lease,
                                      steady_clock::now());
            }
            set_entry(target, it->second, steady_clock::now());
        }
    }
    for (const auto& [id, entry] : entries)
    {
        if (entry.rack == rack.name && rack.targets.count(id) == 0)
        {
            rack_target target;
            set_entry(target, entry, steady_clock::now());
            target.token_raises = rack.token_raises;
            rack.targets.emplace(id, std::move(target));
        }
    }
    for (const auto& [id, target] : rack.targets)
    {
        if (channels.count(id) == 0)
        {
            open_channel(rack.name, id, rack.token);
        }
    }
    for (auto it = channels.begin(); it != channels.end();)
    {
        const channel_ptr channel = it->second;
        if (channel->rack == rack.name &&
            rack.targets.count(channel->target) == 0)
        {
            channel->is_stopping = true;
            channel->has_orders.notify_all();
            channel->has_acks.notify_all();
            closed_channels.push_back(channel);
            it = channels.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

std::vector<run_id> unconfirmed_runs(const rack_target& target)
{
    std::vector<run_id> runs;
    for (const auto& [id, run] : target.runs)
    {
        if (!run.is_confirmed && !run.is_ended)
        {
            runs.push_back(id);
        }
    }
    return runs;
}

// Records the time from placement to confirmation of each run that the latest
// response of its target, to a poll or to a start, has confirmed.
//
// \param unconfirmed  runs that were not confirmed before that response
void rack_agent::impl::observe_confirmations(
    const rack_target& target, const std::vector<run_id>& unconfirmed) const
{
    for (const run_id& id : unconfirmed)
    {
        const auto it = target.runs.find(id);
        if (it != target.runs.end() && it->second.is_confirmed)
        {
            metrics.confirmation_time.observe(
                fractional_ms(it->second.confirmed_at - it->second.ordered_at)
                    .count());
        }
    }
}

// Queues the speed limits of the runs that the latest response of a target has
// confirmed. Starts name no speed, so that these begin at full speed.
//
// \param unconfirmed  runs that were not confirmed before that response
void rack_agent::impl::queue_first_speeds(
    const rack_target& target, const std::vector<run_id>& unconfirmed)
{
    for (const run_id& id : unconfirmed)
    {
        const auto it = target.runs.find(id);
        if (it != target.runs.end() && it->second.is_confirmed &&
            it->second.percent < 100)
        {
            pending_order order;
            order.what = pending_order::kind::pace;
            order.id = id;
            queue_order(target.entry.id, order);
        }
    }
}

void rack_agent::impl::queue_order(const std::string& target,
                                   pending_order order)
{
    const auto it = channels.find(target);
    if (it != channels.end() && !is_queued_copy(*it->second, order))
    {
        // Stops go to the front of the queue, so that they do not wait behind
        // starts that must not be sent yet (`pending_order::is_held`).
        std::deque<pending_order>& orders = it->second->orders;
        if (order.what == pending_order::kind::stop)
        {
            order.queued_at = steady_clock::now();
            orders.push_front(std::move(order));
            stops_changed.notify_one();
        }
        else
        {
            orders.push_back(std::move(order));
        }
        it->second->has_orders.notify_one();
    }
}

void rack_agent::impl::place(rack_state& rack)
{
    if (!may_grant(rack, boot_clock::now()))
    {
        if (!rack.queue.empty())
        {
            metrics.count_no_lease(lease_use::place);
        }
        return; // a start grants a lease, which this owner may not do now
    }
    const time_point now = steady_clock::now();
    for (const placement& item : place_starts(rack, model, now, unix_ms()))
    {
        pending_order order;
        order.id = {item.start.task, item.start.run};
        if (hooks.write_intents && item.start.terms->is_long_running)
        {
            rack.targets.at(item.target).runs.at(order.id).awaits_intent = true;
            has_intent_work = true;
            intents_changed.notify_one();
        }
        else
        {
            queue_order(item.target, order);
        }
        metrics.count_placed(item.start, now);
        // `list_age_ms` is the age of the target's latest response, to a poll
        // or to a start, at the time of the choice.
        const rack_target& target = rack.targets.at(item.target);
        log_info("start placed",
                 {{"task", item.start.task},
                  {"run", item.start.run},
                  {"rack", rack.name},
                  {"target", item.target},
                  {"list_age_ms", elapsed_ms(target.clock_at, now)},
                  {"owner_version", rack.token},
                  {"priority", item.start.terms->priority},
                  {"lasting", item.start.terms->is_long_running},
                  {"image", item.start.terms->image.str()},
                  {"queued", rack.queue.size()},
                  {"percent", target.runs.at(order.id).percent},
                  {"waited_ms", elapsed_ms(item.start.queued_at, now)},
                  {"away_ms", waited(item.start, now).count()},
                  {"cpu_milli", item.start.terms->size.cpu_milli}});
    }
}

// Records the time from the request to stop a run to its listed end, and logs a
// long one.
void rack_agent::impl::observe_stopped(const std::string& rack,
                                       std::int64_t token,
                                       const run_event& event)
{
    const time_point now = steady_clock::now();
    const fractional_ms waited = now - event.stop_asked_at;
    metrics.stopped.observe(waited.count(), now);
    if (waited < late_stop)
    {
        return;
    }
    const std::optional<std::int64_t> suppressed =
        late_stop_log_limit.try_acquire(now);
    if (suppressed)
    {
        log_info("run was stopped late",
                 {{"task", event.task},
                  {"run", event.run},
                  {"how", to_string(event.how)},
                  {"target", event.target},
                  {"rack", rack},
                  {"owner_version", token},
                  {"waited_ms", elapsed_ms(event.stop_asked_at, now)},
                  {"left_out", *suppressed}});
    }
}

// Logs and counts the ends that were not listed by a target, and reports all
// events to the owners of the jobs.
void rack_agent::impl::publish(const std::string& rack, std::int64_t token,
                               const std::vector<run_event>& events)
{
    if (events.empty())
    {
        return;
    }
    for (const run_event& event : events)
    {
        if (event.what == run_event::kind::ended &&
            event.cause != end_cause::listed)
        {
            metrics.count_inferred_end(event);
            log_info("run closed without a listed end",
                     {{"task", event.task},
                      {"run", event.run},
                      {"how", to_string(event.how)},
                      {"cause", to_string(event.cause)},
                      {"target", event.target},
                      {"rack", rack},
                      {"waited_ms", event.waited.count()},
                      {"owner_version", token}});
        }
        if (event.stop_asked_at != time_point{})
        {
            observe_stopped(rack, token, event);
        }
    }
    hooks.report(to_reports(rack, token, events));
}

} // namespace egretspindle
