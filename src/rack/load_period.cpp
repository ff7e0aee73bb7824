#include "egretspindle/rack/load_period.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr std::int64_t second_ms = 1'000;
// Equal to the tick of the scheduler.
constexpr milliseconds min_report_period{250};
// A burst fills the fleet within seconds. With older reports, owners of jobs
// would choose racks that are already full.
constexpr milliseconds max_report_period{1'000};
// A pair is learned over tens of seconds, so faster updates gain nothing.
constexpr milliseconds min_pair_period{2'000};
// The failure of a host is detected after 3 s; another host then reports its
// racks.
constexpr milliseconds min_report_age{3'000};
// Consecutive reports that may be missing. If a third of the datagrams is lost,
// 5 in a row are lost in 1 of 243 cases.
constexpr int max_missed_reports = 5;

milliseconds time_for(std::int64_t amount, std::int64_t per_second)
{
    return milliseconds((amount * second_ms + per_second - 1) / per_second);
}

} // namespace

milliseconds report_period(const fleet_size& size) noexcept
{
    const auto peers = static_cast<std::int64_t>(size.peers);
    const auto targets = static_cast<std::int64_t>(size.targets);
    const milliseconds needed =
        std::max(time_for(peers, max_report_messages_per_s),
                 time_for(peers * message_bytes + targets * target_bytes,
                          max_report_bytes_per_s));
    return std::clamp(needed, min_report_period, max_report_period);
}

milliseconds pair_period(const fleet_size& size) noexcept
{
    const std::size_t bytes = size.peers * max_datagram_bytes;
    return std::max(min_pair_period, time_for(static_cast<std::int64_t>(bytes),
                                              max_pair_bytes_per_s));
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

std::vector<std::string> take_due_peers(peer_turns& turns,
                                        const std::vector<std::string>& peers,
                                        milliseconds period, time_point now)
{
    const std::chrono::duration<double> elapsed = now - turns.taken_at;
    const std::chrono::duration<double> whole = period;
    const auto size = static_cast<double>(peers.size());
    const double due =
        std::min(size, turns.remainder + size * (elapsed / whole));
    const auto count = static_cast<std::size_t>(due);
    turns.taken_at = now;
    turns.remainder = due - static_cast<double>(count);
    // A peer that has left is not found; the turns begin anew then.
    const auto last = std::find(peers.begin(), peers.end(), turns.last);
    std::size_t next = last == peers.end()
                           ? 0
                           : static_cast<std::size_t>(last - peers.begin()) + 1;
    std::vector<std::string> chosen;
    chosen.reserve(count);
    for (std::size_t n = 0; n < count; ++n, ++next)
    {
        chosen.push_back(peers[next % peers.size()]);
    }
    if (!chosen.empty())
    {
        turns.last = chosen.back();
    }
    return chosen;
}

milliseconds report_age(milliseconds period) noexcept
{
    return std::max(min_report_age, max_missed_reports * period);
}

} // namespace egretspindle
