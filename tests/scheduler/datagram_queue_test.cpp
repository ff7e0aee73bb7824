#include "egretspindle/rack/load_period.hpp"
#include "egretspindle/scheduler/datagram_queue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
// Time between two ticks of the scheduler.
constexpr milliseconds tick{250};

std::vector<std::string> make_peers(std::size_t count)
{
    std::vector<std::string> peers;
    for (std::size_t n = 0; n < count; ++n)
    {
        peers.push_back("10.0.0." + std::to_string(n) + ":7580");
    }
    return peers;
}

/// Link that passes on one datagram in a time and drops those that find its
/// buffer full.
struct simulated_link
{
    std::size_t buffer = 0;           ///< datagrams
    milliseconds per_datagram{0};     ///< time to pass one on
    std::vector<time_point> accepted; ///< when each will be passed on
    std::size_t dropped = 0;

    void offer(time_point now)
    {
        accepted.erase(std::remove_if(accepted.begin(), accepted.end(),
                                      [now](time_point end)
                                      { return end <= now; }),
                       accepted.end());
        if (accepted.size() >= buffer)
        {
            ++dropped;
            return;
        }
        accepted.push_back(
            (accepted.empty() ? now : std::max(now, accepted.back())) +
            per_datagram);
    }
};

load_message make_message(const std::string& host)
{
    load_message message;
    message.host = host;
    return message;
}

std::vector<load_message> make_messages(std::size_t count)
{
    std::vector<load_message> messages;
    for (std::size_t n = 0; n < count; ++n)
    {
        messages.push_back(make_message("h" + std::to_string(n)));
    }
    return messages;
}

/// Host of a message and the peer that receives it.
using delivery = std::pair<std::string, std::string>;

} // namespace

// Guards against peers that are always at the end of a burst and get no load
// report at all: they assign no job for as long as that lasts.
TEST_CASE("each peer gets recent reports of all racks over a link that drops "
          "the last half of the datagrams of each tick",
          "[scheduler]")
{
    for (const std::size_t count : {8, 17, 42, 96})
    {
        for (const std::size_t messages : {1, 2, 3, 8, 13})
        {
            CAPTURE(count, messages);
            const std::vector<std::string> peers = make_peers(count);
            const milliseconds period = report_period({count, 12 * count});
            datagram_queue queue;
            peer_turns turns;
            std::map<delivery, milliseconds> received;
            for (milliseconds at{0}; at < std::chrono::seconds(60); at += tick)
            {
                const std::vector<std::string> due =
                    take_due_peers(turns, peers, period, start_time + at);
                add_datagrams(queue, make_messages(messages), due,
                              start_time + at);
                const std::size_t total = due.size() * messages;
                std::size_t sent = 0;
                for (milliseconds in{0}; in < tick; ++in)
                {
                    for (const queued_datagram& item :
                         take_burst(queue, start_time + at + in))
                    {
                        if (++sent <= total / 2)
                        {
                            received[{item.message->host, item.peer}] = at + in;
                        }
                    }
                }
                if (at < report_age(period))
                {
                    continue;
                }
                REQUIRE(received.size() == count * messages);
                const auto oldest =
                    std::min_element(received.begin(), received.end(),
                                     [](const auto& lhs, const auto& rhs)
                                     { return lhs.second < rhs.second; });
                CAPTURE(oldest->first.first, oldest->first.second);
                REQUIRE((at + tick - oldest->second).count() <
                        report_age(period).count());
            }
        }
    }
}

// Guards against bursts that are longer than the buffer of a link which is
// otherwise idle.
TEST_CASE("a link with a small buffer drops no load report", "[scheduler]")
{
    for (const std::size_t count : {17, 42, 96})
    {
        CAPTURE(count);
        const std::vector<std::string> peers = make_peers(count);
        const milliseconds period = report_period({count, 12 * count});
        datagram_queue queue;
        peer_turns turns;
        turns.taken_at = start_time - tick;
        simulated_link link;
        link.buffer = 4;
        link.per_datagram = milliseconds(2); // a full packet at 6 Mbit/s
        std::size_t sent = 0;
        for (milliseconds at{0}; at < std::chrono::seconds(20); ++at)
        {
            if (at % tick == milliseconds(0))
            {
                add_datagrams(
                    queue, make_messages(1),
                    take_due_peers(turns, peers, period, start_time + at),
                    start_time + at);
            }
            for (std::size_t n = take_burst(queue, start_time + at).size();
                 n > 0; --n)
            {
                link.offer(start_time + at);
                ++sent;
            }
        }
        CHECK(sent > 19 * count);
        CHECK(link.dropped == 0);
    }
}

// Guards against a queue that grows, so that reports are old when they are
// sent.
TEST_CASE("the datagrams of many messages are sent within half a second",
          "[scheduler]")
{
    datagram_queue queue;
    const std::vector<std::string> peers = make_peers(96);
    add_datagrams(queue, make_messages(6), peers, start_time);
    add_datagrams(queue, make_messages(6), peers, start_time);
    std::map<delivery, int> received;
    for (milliseconds at{0}; at < milliseconds(500); ++at)
    {
        for (const queued_datagram& item : take_burst(queue, start_time + at))
        {
            ++received[{item.message->host, item.peer}];
        }
    }
    CHECK(queue.waiting.empty());
    REQUIRE(received.size() == 6 * peers.size());
    for (const auto& [key, count] : received)
    {
        CHECK(count == 2);
    }
}

TEST_CASE("messages without peers queue nothing", "[scheduler]")
{
    datagram_queue queue;
    add_datagrams(queue, make_messages(2), {}, start_time);
    CHECK(take_burst(queue, start_time).empty());
}

// Guards against a queue that grows while the socket blocks, and whose old
// reports delay the new ones.
TEST_CASE("a queue that is not sent keeps the latest datagrams", "[scheduler]")
{
    datagram_queue queue;
    const std::vector<std::string> peers = make_peers(8);
    constexpr int calls = 20;
    for (int n = 0; n < calls; ++n)
    {
        add_datagrams(queue, {make_message(std::to_string(n))}, peers,
                      start_time);
    }
    REQUIRE(queue.waiting.size() == 2 * peers.size());
    CHECK(std::all_of(queue.waiting.begin(), queue.waiting.end(),
                      [](const queued_datagram& item)
                      { return std::stoi(item.message->host) >= calls - 2; }));
}
