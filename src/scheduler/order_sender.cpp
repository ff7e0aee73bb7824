#include "egretspindle/scheduler/order_sender.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/merge_orders.hpp"

#include "late_delivery.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace egretspindle
{

namespace
{

// Orders per delivery to a host.
constexpr std::size_t max_batch = 64;
// Minimum time between log lines about orders for racks without an owner: a
// host may have orders for each rack and resends them every second.
constexpr milliseconds no_owner_log_period{1'000};

// Time of one delivery from which its parts are logged. A call takes at most
// 1.5 s.
constexpr milliseconds slow_delivery{1'000};

// Returns the step of the first start, or else of the first stop; empty: the
// message has neither.
std::string first_step_of(const rack_orders& orders)
{
    if (!orders.starts.empty())
    {
        return orders.starts.front().terms.step;
    }
    if (orders.stops.empty())
    {
        return {};
    }
    const std::string& task = orders.stops.front().task;
    return task.substr(0, task.rfind('.'));
}

} // namespace

order_sender::order_sender(order_sender_hooks hooks, host_metrics& metrics)
    : hooks_(std::move(hooks)), metrics_(metrics),
      no_owner_log_limit_(no_owner_log_period),
      outbox_(max_batch,
              [this](const std::string& host, std::vector<rack_orders>& items,
                     milliseconds waited) { deliver(host, items, waited); })
{
}

void order_sender::post(rack_orders orders)
{
    const std::optional<owner_location> owner = hooks_.owner_of(orders.rack);
    if (!owner)
    {
        metrics_.orders_without_owner.add();
        const std::optional<std::int64_t> suppressed =
            no_owner_log_limit_.try_acquire();
        if (suppressed)
        {
            log_warning("rack orders have no receiver: rack has no known owner",
                        {{"rack", orders.rack},
                         {"first_step", first_step_of(orders)},
                         {"steps", orders.starts.size()},
                         {"stops", orders.stops.size()},
                         {"left_out", *suppressed}});
        }
        hooks_.refresh();
        hooks_.mark_undelivered(orders);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const time_point collected_at : orders.collected_at)
        {
            in_delivery_[orders.rack].emplace(collected_at, owner->host);
        }
    }
    outbox_.post(owner->host, std::move(orders));
}

bool order_sender::is_in_delivery(const std::string& rack,
                                  time_point collected_at) const
{
    const std::optional<owner_location> owner = hooks_.owner_of(rack);
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = in_delivery_.find(rack);
    if (!owner || it == in_delivery_.end())
    {
        return false;
    }
    const auto [first, last] = it->second.equal_range(collected_at);
    return std::any_of(first, last,
                       [&owner](const auto& item)
                       { return item.second == owner->host; });
}

void order_sender::end_delivery(const std::string& rack,
                                const std::vector<time_point>& collected_at)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = in_delivery_.find(rack);
    if (it == in_delivery_.end())
    {
        return;
    }
    for (const time_point time : collected_at)
    {
        const auto item = it->second.find(time);
        if (item != it->second.end())
        {
            it->second.erase(item);
        }
    }
    if (it->second.empty())
    {
        in_delivery_.erase(it);
    }
}

outbox_backlog order_sender::backlog() const
{
    return outbox_.backlog();
}

void order_sender::stop()
{
    outbox_.stop();
}

// Delivers orders to the present owners of their racks.
void order_sender::deliver(const std::string& host,
                           std::vector<rack_orders>& items, milliseconds waited)
{
    log_late_delivery("rack orders were sent late", host, items.size(),
                      first_step_of(items.front()), waited);
    for (rack_orders& orders : merge_orders(std::move(items)))
    {
        deliver_to_owner(orders);
        end_delivery(orders.rack, orders.collected_at);
    }
}

// Delivers orders and tells the coordinator the result. Orders that may have
// arrived count as neither confirmed nor undelivered. The orders may have
// waited for earlier ones that were not answered, so starts that are not wanted
// any more are left out.
void order_sender::deliver_to_owner(rack_orders& orders)
{
    const time_point begun_at = steady_clock::now();
    hooks_.remove_outdated_starts(orders);
    const time_point checked_at = steady_clock::now();
    if (orders.starts.empty() && orders.stops.empty() && orders.overdue.empty())
    {
        return;
    }
    const std::optional<owner_location> owner = hooks_.owner_of(orders.rack);
    if (!owner)
    {
        hooks_.refresh();
        hooks_.mark_undelivered(orders);
        return;
    }
    const std::optional<rack_orders_reply> reply =
        owner->is_self ? hooks_.execute(orders) : call_owner(*owner, orders);
    const time_point answered_at = steady_clock::now();
    if (!reply)
    {
        return;
    }
    if (!reply->is_owner)
    {
        log_info("rack orders were refused: receiver is not the owner",
                 {{"rack", orders.rack},
                  {"host", owner->host},
                  {"owner_version", orders.token},
                  {"first_step", first_step_of(orders)},
                  {"steps", orders.starts.size()},
                  {"stops", orders.stops.size()}});
        hooks_.refresh();
        hooks_.mark_undelivered(orders);
    }
    hooks_.confirm(orders, *reply);
    const time_point ended_at = steady_clock::now();
    if (ended_at - begun_at >= slow_delivery)
    {
        log_info("delivery of rack orders was slow",
                 {{"rack", orders.rack},
                  {"host", owner->host},
                  {"starts", orders.starts.size()},
                  {"check_ms", elapsed_ms(begun_at, checked_at)},
                  {"call_ms", elapsed_ms(checked_at, answered_at)},
                  {"confirm_ms", elapsed_ms(answered_at, ended_at)}});
    }
}

// Sends orders to another host. Returns no value if there was no reply.
std::optional<rack_orders_reply>
order_sender::call_owner(const owner_location& owner, const rack_orders& orders)
{
    const time_point sent_at = steady_clock::now();
    absl::StatusOr<rack_orders_reply> answer = hooks_.call(owner, orders);
    metrics_.observe_orders(!answer.ok()       ? orders_result::failed
                            : answer->is_owner ? orders_result::taken
                                               : orders_result::not_owner,
                            steady_clock::now() - sent_at);
    if (answer.ok())
    {
        return *std::move(answer);
    }
    log_warning("rack orders were not answered",
                {{"rack", orders.rack},
                 {"host", owner.host},
                 {"owner_version", orders.token},
                 {"first_step", first_step_of(orders)},
                 {"steps", orders.starts.size()},
                 {"stops", orders.stops.size()},
                 {"error", std::string(answer.status().message())}});
    if (kind_of(answer.status()) == error_kind::unavailable)
    {
        hooks_.mark_undelivered(orders); // nothing was sent
    }
    return std::nullopt;
}

} // namespace egretspindle
