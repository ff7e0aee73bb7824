#include "egretspindle/rack/load_period.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);

std::vector<std::string> make_peers(std::size_t count)
{
    std::vector<std::string> peers;
    for (std::size_t n = 0; n < count; ++n)
    {
        peers.push_back("10.0.0." + std::to_string(n) + ":7580");
    }
    return peers;
}

/// Ages of the last turns of peers, with ticks that take up to 30 ms.
struct turn_simulation
{
    peer_turns turns;
    time_point now = start_time;
    std::map<std::string, time_point> last;
    std::minstd_rand random{1};
    std::size_t count = 0; ///< turns of all peers

    void tick(const std::vector<std::string>& peers, milliseconds period)
    {
        for (const std::string& peer :
             take_due_peers(turns, peers, period, now))
        {
            last[peer] = now;
            ++count;
        }
        now += milliseconds(250) +
               milliseconds(std::uniform_int_distribution<int>(0, 30)(random));
    }
};

} // namespace

// Guards against peers that get load reports less often than the others, and
// against more datagrams than the links of small hosts carry.
TEST_CASE("each peer has a turn in each report period", "[rack]")
{
    for (const std::size_t count : {1, 8, 42, 96})
    {
        CAPTURE(count);
        const std::vector<std::string> peers = make_peers(count);
        const milliseconds period = report_period({count, 12 * count});
        turn_simulation sim;
        sim.tick(peers, period);
        REQUIRE(sim.last.size() == count);
        while (sim.now < start_time + std::chrono::seconds(60))
        {
            sim.tick(peers, period);
            const auto oldest =
                std::min_element(sim.last.begin(), sim.last.end(),
                                 [](const auto& lhs, const auto& rhs)
                                 { return lhs.second < rhs.second; });
            // Turns are taken in ticks.
            REQUIRE(sim.now - oldest->second <= period + 2 * milliseconds(280));
        }
        const auto periods = static_cast<std::size_t>(
            std::chrono::duration_cast<milliseconds>(sim.now - start_time) /
            period);
        CHECK(sim.count <= (periods + 2) * count);
    }
}

// Guards against peers that are left out, or get all reports, when hosts come
// and go.
TEST_CASE("peers keep their turns while hosts join and leave", "[rack]")
{
    const milliseconds period(1'000);
    const std::vector<std::string> all = make_peers(97);
    turn_simulation sim;
    std::vector<std::string> peers(all.begin(), all.begin() + 90);
    int round = 0;
    while (sim.now < start_time + std::chrono::seconds(60))
    {
        // Another peer in the middle of the list leaves in each tick, and comes
        // back with the next one.
        ++round;
        std::vector<std::string> present = peers;
        present.erase(present.begin() + round * 7 % 90);
        sim.tick(present, period);
        if (round < 10)
        {
            continue;
        }
        for (const std::string& peer : present)
        {
            CAPTURE(round, peer);
            REQUIRE(sim.now - sim.last[peer] <= milliseconds(3'000));
        }
    }
}

// Guards against a burst of several rounds after a host has been paused.
TEST_CASE("a late call returns each peer once", "[rack]")
{
    const std::vector<std::string> peers = make_peers(42);
    peer_turns turns;
    static_cast<void>(
        take_due_peers(turns, peers, milliseconds(600), start_time));
    std::vector<std::string> due = take_due_peers(
        turns, peers, milliseconds(600), start_time + std::chrono::seconds(30));
    std::sort(due.begin(), due.end());
    CHECK(std::adjacent_find(due.begin(), due.end()) == due.end());
    CHECK(due.size() == peers.size());
    CHECK(take_due_peers(turns, {}, milliseconds(600),
                         start_time + std::chrono::seconds(31))
              .empty());
}
