#include "egretspindle/scheduler/activity.hpp"

#include "egretspindle/logging/log.hpp"

namespace egretspindle
{

namespace
{

// Sets `highest` to `value` if that is larger.
void raise_maximum(std::atomic<std::int64_t>& highest,
                   std::int64_t value) noexcept
{
    std::int64_t seen = highest.load(std::memory_order_relaxed);
    while (seen < value && !highest.compare_exchange_weak(
                               seen, value, std::memory_order_relaxed))
    {
    }
}

} // namespace

void count_call(call_activity& calls, milliseconds duration,
                bool is_answered) noexcept
{
    calls.count.fetch_add(1, std::memory_order_relaxed);
    calls.failed.fetch_add(is_answered ? 0 : 1, std::memory_order_relaxed);
    calls.total_ms.fetch_add(duration.count(), std::memory_order_relaxed);
    raise_maximum(calls.longest_ms, duration.count());
}

void count_datagram(datagram_activity& datagrams, std::size_t bytes) noexcept
{
    datagrams.count.fetch_add(1, std::memory_order_relaxed);
    datagrams.bytes.fetch_add(static_cast<std::int64_t>(bytes),
                              std::memory_order_relaxed);
}

void log_activity(host_activity& activity, const queue_lengths& queues)
{
    const std::int64_t orders = activity.orders.count.exchange(0);
    const std::int64_t orders_ms = activity.orders.total_ms.exchange(0);
    log_info("activity",
             {{"racks", queues.racks},
              {"queued", queues.queued_starts},
              {"unwritten_jobs", queues.writes.jobs},
              {"oldest_unwritten_ms", queues.writes.oldest.count()},
              {"waiting_orders", queues.orders.items},
              {"oldest_orders_ms", queues.orders.oldest.count()},
              {"waiting_reports", queues.reports.items},
              {"oldest_report_ms", queues.reports.oldest.count()},
              {"longest_tick_ms", activity.longest_tick_ms.exchange(0)},
              {"polls", activity.polls.count.exchange(0)},
              {"polls_failed", activity.polls.failed.exchange(0)},
              {"orders", orders},
              {"orders_failed", activity.orders.failed.exchange(0)},
              {"order_mean_ms", orders > 0 ? orders_ms / orders : 0},
              {"order_longest_ms", activity.orders.longest_ms.exchange(0)},
              {"reports_in", activity.reports_in.count.exchange(0)},
              {"report_bytes_in", activity.reports_in.bytes.exchange(0)},
              {"reports_out", activity.reports_out.count.exchange(0)},
              {"report_bytes_out", activity.reports_out.bytes.exchange(0)}});
}

} // namespace egretspindle
