#include "egretspindle/scheduler/datagram_queue.hpp"
#include "egretspindle/scheduler/load_exchange.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

using namespace egretspindle;

// Guards against datagrams that are queued and never sent, and against a stop
// that waits for them.
TEST_CASE("a load exchange sends each message to each peer", "[scheduler]")
{
    constexpr std::size_t peer_count = 5;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::size_t, std::set<std::string>> received; // hosts, by peer
    std::vector<std::unique_ptr<load_exchange>> exchanges;
    std::vector<std::string> peers;
    for (std::size_t n = 0; n < peer_count; ++n)
    {
        exchanges.push_back(std::make_unique<load_exchange>(
            "key",
            [&, n](const load_message& message, std::size_t /*bytes*/)
            {
                const std::lock_guard<std::mutex> lock(mutex);
                received[n].insert(message.host);
                changed.notify_all();
            }));
        REQUIRE(exchanges.back()->start("127.0.0.1", 0).ok());
        peers.push_back("127.0.0.1:" +
                        std::to_string(exchanges.back()->port()));
    }
    std::vector<load_message> messages(3);
    for (std::size_t n = 0; n < messages.size(); ++n)
    {
        messages[n].host = "h" + std::to_string(n);
    }
    const std::vector<std::size_t> sizes =
        exchanges.front()->send(messages, steady_clock::now(), peers);
    CHECK(sizes.size() == messages.size());
    {
        std::unique_lock<std::mutex> lock(mutex);
        CHECK(changed.wait_for(lock, std::chrono::seconds(30),
                               [&]
                               {
                                   std::size_t count = 0;
                                   for (const auto& [peer, hosts] : received)
                                   {
                                       count += hosts.size();
                                   }
                                   return count == peer_count * messages.size();
                               }));
    }
    static_cast<void>(
        exchanges.front()->send(messages, steady_clock::now(), peers));
    for (const std::unique_ptr<load_exchange>& item : exchanges)
    {
        item->stop();
    }
}

// Guards against reports that wait in the queue and count as measured when they
// arrive: a host then takes its own recent placements for included, and places
// others on the same room.
TEST_CASE("a load message that was queued carries its age", "[scheduler]")
{
    constexpr std::size_t count = datagrams_per_burst * max_bursts;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, milliseconds> ages; // by host
    const auto receive = [&](const load_message& message, std::size_t /*bytes*/)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        ages[message.host] = age_of(message);
        changed.notify_all();
    };
    load_exchange sender("key", [](const load_message&, std::size_t) {});
    load_exchange receiver("key", receive);
    REQUIRE(sender.start("127.0.0.1", 0).ok());
    REQUIRE(receiver.start("127.0.0.1", 0).ok());
    std::vector<load_message> messages(count);
    for (std::size_t n = 0; n < count; ++n)
    {
        messages[n].host = "h" + std::to_string(n);
    }
    const time_point begun_at = steady_clock::now();
    static_cast<void>(
        sender.send(messages, steady_clock::now(),
                    {"127.0.0.1:" + std::to_string(receiver.port())}));
    {
        std::unique_lock<std::mutex> lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(30),
                                 [&] { return ages.size() == count; }));
    }
    const milliseconds taken = std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - begun_at);
    std::vector<milliseconds> sorted;
    sorted.reserve(ages.size());
    for (const auto& [host, age] : ages)
    {
        sorted.push_back(age);
    }
    std::sort(sorted.begin(), sorted.end());
    // Bursts are sent `burst_interval` apart.
    CHECK(sorted.back() >= (max_bursts - 1) * burst_interval);
    CHECK(sorted.back() <= taken);
    CHECK(sorted.front() < sorted.back());
    sender.stop();
    receiver.stop();
}

// Guards against a host that was paused and takes the datagrams that arrived
// meanwhile for new ones: it would extend its right to grant leases on reports
// of an outage of the store that has ended.
TEST_CASE("the age of a load message includes the time it waited to be read",
          "[scheduler]")
{
    constexpr milliseconds pause{1'500};
    std::mutex mutex;
    std::condition_variable changed;
    bool is_paused = true;
    std::map<std::string, milliseconds> ages; // by host
    const auto receive = [&](const load_message& message, std::size_t /*bytes*/)
    {
        std::unique_lock<std::mutex> lock(mutex);
        ages[message.host] = age_of(message);
        changed.notify_all();
        changed.wait_for(lock, std::chrono::seconds(30),
                         [&] { return !is_paused; });
    };
    load_exchange sender("key", [](const load_message&, std::size_t) {});
    load_exchange receiver("key", receive);
    REQUIRE(sender.start("127.0.0.1", 0).ok());
    REQUIRE(receiver.start("127.0.0.1", 0).ok());
    const std::vector<std::string> peers{"127.0.0.1:" +
                                         std::to_string(receiver.port())};
    load_message message;
    message.host = "h1";
    static_cast<void>(sender.send({message}, steady_clock::now(), peers));
    std::unique_lock<std::mutex> lock(mutex);
    REQUIRE(changed.wait_for(lock, std::chrono::seconds(30),
                             [&] { return ages.count("h1") > 0; }));
    const time_point sent_at = steady_clock::now();
    message.host = "h2";
    message.age_ms = 0;
    static_cast<void>(sender.send({message}, steady_clock::now(), peers));
    changed.wait_for(lock, pause, [] { return false; });
    is_paused = false;
    changed.notify_all();
    REQUIRE(changed.wait_for(lock, std::chrono::seconds(30),
                             [&] { return ages.count("h2") > 0; }));
    const milliseconds taken =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - sent_at);
    // The age lacks the short time from its computation until the datagram
    // reaches the socket.
    CHECK(ages["h2"].count() >= pause.count() / 2);
    CHECK(ages["h2"].count() <= taken.count());
    lock.unlock();
    sender.stop();
    receiver.stop();
}

// Guards against a host that is paused between the measurement and the sending
// of its load, and then reports it as new.
TEST_CASE("the age of a load message begins with its measurement",
          "[scheduler]")
{
    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t age_ms = -1;
    load_exchange sender("key", [](const load_message&, std::size_t) {});
    load_exchange receiver("key",
                           [&](const load_message& message, std::size_t)
                           {
                               const std::lock_guard<std::mutex> lock(mutex);
                               age_ms = age_of(message).count();
                               changed.notify_all();
                           });
    REQUIRE(sender.start("127.0.0.1", 0).ok());
    REQUIRE(receiver.start("127.0.0.1", 0).ok());
    static_cast<void>(
        sender.send({load_message{}}, steady_clock::now() - milliseconds(3'000),
                    {"127.0.0.1:" + std::to_string(receiver.port())}));
    {
        std::unique_lock<std::mutex> lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(30),
                                 [&] { return age_ms >= 0; }));
        CHECK(age_ms >= 3'000);
    }
    sender.stop();
    receiver.stop();
}

// Guards against two exchanges on one port, of which one gets the datagrams
// of both.
TEST_CASE("a load exchange has its port for itself", "[scheduler]")
{
    const auto ignore = [](const load_message&, std::size_t) {
    };
    load_exchange first("key", ignore);
    load_exchange second("key", ignore);
    CHECK(first.port() == 0);
    REQUIRE(first.start("127.0.0.1", 0).ok());
    REQUIRE(first.port() != 0);
    CHECK_FALSE(second.start("127.0.0.1", first.port()).ok());
    CHECK(second.port() == 0);
    first.stop();
    CHECK(first.port() == 0);
}
