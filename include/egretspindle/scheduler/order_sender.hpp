/// \file
/// Delivery of orders from the owner of job shards to the owners of racks.

#ifndef EGRETSPINDLE_SCHEDULER_ORDER_SENDER_HPP
#define EGRETSPINDLE_SCHEDULER_ORDER_SENDER_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/host_metrics.hpp"
#include "egretspindle/scheduler/host_outbox.hpp"
#include "egretspindle/scheduler/owner_messages.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace egretspindle
{

/// Functions that the sender needs from other components.
struct order_sender_hooks
{
    /// Returns the owner of a rack, as last read.
    std::function<std::optional<owner_location>(const std::string& rack)>
        owner_of;
    /// Requests a new read of the owners.
    std::function<void()> refresh;
    /// Carries orders out for a rack of this host.
    std::function<rack_orders_reply(const rack_orders& orders)> execute;
    /// Sends orders to the owner of a rack once, and waits for its reply. The
    /// error `unavailable` says that nothing was sent.
    std::function<absl::StatusOr<rack_orders_reply>(const owner_location& owner,
                                                    const rack_orders& orders)>
        call;
    /// Removes starts that are not wanted any more.
    std::function<void(rack_orders& orders)> remove_outdated_starts;
    /// The orders have certainly reached nobody.
    std::function<void(const rack_orders& orders)> mark_undelivered;
    /// The orders have been answered.
    std::function<void(const rack_orders& orders,
                       const rack_orders_reply& reply)>
        confirm;
};

/// Delivers orders with one thread per receiving host, and merges those that
/// wait for the same rack: a receiver that answers slowly then gets larger
/// messages instead of more of them. Thread-safe.
class order_sender
{
public:
    order_sender(order_sender_hooks hooks, host_metrics& metrics);

    /// Queues orders for the host that owns the rack. Without a known owner
    /// they are undelivered.
    void post(rack_orders orders);

    /// Returns whether orders for a rack still wait, or have been sent and not
    /// been answered yet. Not if the rack has another owner by now: the orders
    /// may wait for a former owner that does not answer.
    ///
    /// \param collected_at  element of `rack_orders::collected_at`
    [[nodiscard]] bool is_in_delivery(const std::string& rack,
                                      time_point collected_at) const;

    /// Returns how many messages wait, and for how long.
    [[nodiscard]] outbox_backlog backlog() const;

    /// Ends the threads, after the deliveries in progress. Orders that are
    /// still queued are dropped.
    void stop();

private:
    void deliver(const std::string& host, std::vector<rack_orders>& items,
                 milliseconds waited);
    void deliver_to_owner(rack_orders& orders);
    void end_delivery(const std::string& rack,
                      const std::vector<time_point>& collected_at);
    std::optional<rack_orders_reply> call_owner(const owner_location& owner,
                                                const rack_orders& orders);

    order_sender_hooks hooks_;
    host_metrics& metrics_;
    mutable std::mutex mutex_; ///< guards `in_delivery_`
    /// Hosts that orders are being delivered to, by rack and by the elements of
    /// `rack_orders::collected_at`.
    std::map<std::string, std::multimap<time_point, std::string>> in_delivery_;
    log_rate_limit no_owner_log_limit_;
    host_outbox<rack_orders> outbox_;
};

} // namespace egretspindle

#endif
