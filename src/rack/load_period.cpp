#include "egretspindle/rack/load_period.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr std::int64_t second_ms = 1'000;
// The tick of the scheduler.
constexpr milliseconds shortest_report_period{250};
// A burst fills the fleet within seconds; owners of jobs that see older room
// would choose racks that are full.
constexpr milliseconds longest_report_period{1'000};
// A pair is learned over tens of seconds, so small fleets need not hurry.
constexpr milliseconds shortest_pair_period{2'000};
// A host that is not live any more is noticed after 3 s, and its racks are
// reported by another.
constexpr milliseconds shortest_report_age{3'000};
// When a third of the datagrams is lost, 5 reports in a row are missing in 1
// of 243 cases.
constexpr int missed_reports = 5;

milliseconds time_for(std::int64_t amount, std::int64_t each_second)
{
    return milliseconds((amount * second_ms + each_second - 1) / each_second);
}

} // namespace

milliseconds report_period(const fleet_size& size) noexcept
{
    const auto peers = static_cast<std::int64_t>(size.peers);
    const auto targets = static_cast<std::int64_t>(size.targets);
    const milliseconds needed =
        std::max(time_for(peers, max_reports_in),
                 time_for(peers * message_bytes + targets * target_bytes,
                          room_bytes_in));
    return std::clamp(needed, shortest_report_period, longest_report_period);
}

milliseconds pair_period(const fleet_size& size) noexcept
{
    const std::size_t bytes = size.peers * largest_datagram;
    return std::max(shortest_pair_period,
                    time_for(static_cast<std::int64_t>(bytes), pair_bytes_in));
}

bool advance_if_due(send_schedule& schedule, milliseconds period,
                    time_point now) noexcept
{
    if (now < schedule.due_at)
    {
        return false;
    }
    const time_point next = schedule.due_at + period;
    schedule.due_at = next < now ? now + period : next;
    return true;
}

milliseconds report_age(milliseconds period) noexcept
{
    return std::max(shortest_report_age, missed_reports * period);
}

} // namespace egretspindle
