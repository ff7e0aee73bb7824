#include "rack_agent_impl.hpp"

#include <algorithm>
#include <optional>

namespace egretspindle
{

namespace
{

// Calls of `stop_loop` to one target at a time. A target that does not answer
// leaves the other threads to the others.
constexpr int max_stop_calls = 3;
// Time that a stop waits for the sender of its target. A target that answers
// takes a few milliseconds for an order, and each call beside that of the
// sender needs a connection of its own.
constexpr milliseconds max_sender_wait{100};

enum class order_selection
{
    all,   ///< for the sender of the target
    stops, ///< for `stop_loop`
};

bool is_selected(const target_channel& channel, const pending_order& order,
                 order_selection selection)
{
    return (selection == order_selection::all ||
            order.what == pending_order::kind::stop) &&
           std::find(channel.in_delivery.begin(), channel.in_delivery.end(),
                     order.id) == channel.in_delivery.end();
}

// Returns when a selected order may be sent.
time_point send_time(const pending_order& order, order_selection selection)
{
    return selection == order_selection::all
               ? order.not_before
               : std::max(order.not_before, order.queued_at + max_sender_wait);
}

// Returns when the next selected order may be sent; time_point::max(): none is
// queued whose run has no other order in delivery.
time_point next_order_at(const target_channel& channel,
                         order_selection selection)
{
    time_point next = time_point::max();
    for (const pending_order& order : channel.orders)
    {
        if (is_selected(channel, order, selection))
        {
            next = std::min(next, send_time(order, selection));
        }
    }
    return next;
}

// Removes and returns the first selected order that may be sent now.
std::optional<pending_order>
take_order(target_channel& channel, order_selection selection, time_point now)
{
    const auto it =
        std::find_if(channel.orders.begin(), channel.orders.end(),
                     [&](const pending_order& order)
                     {
                         return send_time(order, selection) <= now &&
                                is_selected(channel, order, selection);
                     });
    if (it == channel.orders.end())
    {
        return std::nullopt;
    }
    pending_order order = std::move(*it);
    channel.orders.erase(it);
    return order;
}

void wait_until(std::condition_variable& changed,
                std::unique_lock<std::mutex>& lock, time_point limit)
{
    if (limit == time_point::max())
    {
        changed.wait(lock);
    }
    else
    {
        changed.wait_until(lock, limit);
    }
}

} // namespace

void rack_agent::impl::send_loop(const channel_ptr& channel)
{
    std::unique_lock<std::mutex> lock(mutex);
    while (!channel->is_stopping)
    {
        std::optional<pending_order> order =
            take_order(*channel, order_selection::all, steady_clock::now());
        if (order)
        {
            deliver(channel, *std::move(order), lock);
        }
        else
        {
            wait_until(channel->has_orders, lock,
                       next_order_at(*channel, order_selection::all));
        }
    }
}

void rack_agent::impl::stop_loop()
{
    std::unique_lock<std::mutex> lock(mutex);
    while (!is_stopping)
    {
        const time_point now = steady_clock::now();
        const waiting_stop next = find_waiting_stop(now);
        if (next.channel == nullptr)
        {
            wait_until(stops_changed, lock, next.at);
            continue;
        }
        target_channel& channel = *next.channel;
        last_stop_target = channel.target;
        ++channel.stop_calls;
        stops_changed.notify_one(); // other stops may be due meanwhile
        deliver(next.channel, *take_order(channel, order_selection::stops, now),
                lock);
        --channel.stop_calls;
    }
}

// Returns a channel with a stop that may be sent now while another order of the
// channel is in delivery. Targets take turns.
waiting_stop rack_agent::impl::find_waiting_stop(time_point now)
{
    waiting_stop next;
    auto it = channels.upper_bound(last_stop_target);
    for (std::size_t n = 0; n < channels.size(); ++n, ++it)
    {
        if (it == channels.end())
        {
            it = channels.begin();
        }
        const target_channel& channel = *it->second;
        if (channel.in_delivery.empty() || channel.stop_calls >= max_stop_calls)
        {
            continue;
        }
        const time_point at = next_order_at(channel, order_selection::stops);
        if (at <= now)
        {
            return {it->second, at};
        }
        next.at = std::min(next.at, at);
    }
    return next;
}

void rack_agent::impl::deliver(const channel_ptr& channel, pending_order order,
                               std::unique_lock<std::mutex>& lock)
{
    const run_id id = order.id;
    channel->in_delivery.push_back(id);
    if (next_order_at(*channel, order_selection::stops) != time_point::max())
    {
        stops_changed.notify_one();
    }
    lock.unlock();
    send(channel, std::move(order));
    lock.lock();
    channel->in_delivery.erase(std::find(channel->in_delivery.begin(),
                                         channel->in_delivery.end(), id));
    channel->has_orders.notify_one();
    stops_changed.notify_one();
}

void rack_agent::impl::send(const channel_ptr& channel, pending_order order)
{
    switch (order.what)
    {
    case pending_order::kind::start:
        send_start(channel, std::move(order));
        break;
    case pending_order::kind::stop:
        send_stop(channel, std::move(order));
        break;
    case pending_order::kind::pace:
        send_pace(channel, std::move(order));
        break;
    }
}

void rack_agent::impl::retry(const channel_ptr& channel, pending_order order,
                             bool was_unanswered)
{
    order.was_unanswered |= was_unanswered;
    std::unique_lock<std::mutex> lock(mutex);
    if (order.what == pending_order::kind::stop)
    {
        order.not_before = steady_clock::now() + limits.order_retry;
    }
    else
    {
        channel->has_orders.wait_for(lock, limits.order_retry,
                                     [&] { return channel->is_stopping; });
    }
    if (!channel->is_stopping && !is_queued_copy(*channel, order))
    {
        channel->orders.push_back(std::move(order));
    }
}

} // namespace egretspindle
