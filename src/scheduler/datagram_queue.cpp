#include "egretspindle/scheduler/datagram_queue.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <utility>

namespace egretspindle
{

namespace
{

// Share of the datagrams by which the first one moves on with each call. By the
// golden ratio, the positions of a peer in consecutive calls are far apart.
constexpr double golden_share = 0.6180339887;

} // namespace

void add_datagrams(datagram_queue& queue,
                   const std::vector<load_message>& messages,
                   const std::vector<std::string>& peers, time_point now)
{
    std::vector<queued_datagram> items;
    items.reserve(messages.size() * peers.size());
    for (const load_message& message : messages)
    {
        const auto shared = std::make_shared<const load_message>(message);
        for (const std::string& peer : peers)
        {
            items.push_back({shared, peer, now});
        }
    }
    queue.turn += golden_share;
    queue.turn -= std::floor(queue.turn);
    const auto first = static_cast<std::ptrdiff_t>(
        queue.turn * static_cast<double>(items.size()));
    std::rotate(items.begin(), items.begin() + first, items.end());
    if (queue.waiting.size() > items.size())
    {
        queue.waiting.erase(queue.waiting.begin(),
                            queue.waiting.end() -
                                static_cast<std::ptrdiff_t>(items.size()));
    }
    queue.waiting.insert(queue.waiting.end(),
                         std::make_move_iterator(items.begin()),
                         std::make_move_iterator(items.end()));
    queue.burst_size =
        std::max(datagrams_per_burst,
                 (queue.waiting.size() + max_bursts - 1) / max_bursts);
}

std::vector<queued_datagram> take_burst(datagram_queue& queue, time_point now)
{
    std::vector<queued_datagram> burst;
    if (queue.waiting.empty() || now - queue.burst_at < burst_interval)
    {
        return burst;
    }
    queue.burst_at = now;
    const std::size_t count = std::min(queue.waiting.size(), queue.burst_size);
    for (std::size_t n = 0; n < count; ++n)
    {
        burst.push_back(std::move(queue.waiting.front()));
        queue.waiting.pop_front();
    }
    return burst;
}

} // namespace egretspindle
