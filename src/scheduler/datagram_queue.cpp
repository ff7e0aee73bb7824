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

// Part of all datagrams by which the position of one moves on with each call.
// By the golden ratio, its positions in consecutive calls are far apart.
constexpr double golden_part = 0.6180339887;
// Above this number, positions of peers are forgotten: most of them have left.
constexpr std::size_t max_known_peers = 4'096;

double advance(double position)
{
    const double next = position + golden_part;
    return next - std::floor(next);
}

} // namespace

void add_datagrams(datagram_queue& queue,
                   const std::vector<load_message>& messages,
                   const std::vector<std::string>& peers,
                   time_point measured_at)
{
    std::vector<std::shared_ptr<const load_message>> shared;
    shared.reserve(messages.size());
    for (const load_message& message : messages)
    {
        shared.push_back(std::make_shared<const load_message>(message));
    }
    if (queue.positions.size() > max_known_peers)
    {
        queue.positions.clear();
    }
    std::vector<std::pair<double, queued_datagram>> ordered;
    ordered.reserve(messages.size() * peers.size());
    for (const std::string& peer : peers)
    {
        const auto [it, is_new] = queue.positions.try_emplace(
            peer, golden_part * static_cast<double>(queue.positions.size()));
        it->second = advance(it->second);
        double position = it->second;
        for (const std::shared_ptr<const load_message>& message : shared)
        {
            ordered.emplace_back(position,
                                 queued_datagram{message, peer, measured_at});
            position = advance(position);
        }
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const auto& lhs, const auto& rhs)
              { return lhs.first < rhs.first; });
    std::vector<queued_datagram> items;
    items.reserve(ordered.size());
    for (auto& [position, item] : ordered)
    {
        items.push_back(std::move(item));
    }
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
