#include "egretspindle/membership/digest_selection.hpp"

#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using test::simulated_cluster;

namespace
{

constexpr milliseconds second{1000};

// Worst case: the next probe by the predecessor after 1 s, its timeout, the
// indirect timeout, the suspicion time and the spreading.
constexpr milliseconds detection_limit{3200};

bool any_change_to(simulated_cluster& cluster, const std::string& to)
{
    for (const std::string& name : cluster.names())
    {
        for (const member_change& change : cluster.state(name).changes)
        {
            if (change.state == to)
            {
                return true;
            }
        }
    }
    return false;
}

} // namespace

// Guards against a dead host that keeps its racks because nobody probes it,
// or because the news does not spread.
TEST_CASE("all members learn of a death in time", "[membership]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    const int hosts = GENERATE(3, 9, 19);
    CAPTURE(seed, hosts);
    simulated_cluster cluster(seed);
    cluster.add_center("a", hosts);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.run_for(3 * second);
    cluster.kill("a-101");
    CHECK(cluster.run_until([&] { return cluster.all_see("a-101", "dead"); },
                            detection_limit));
}

// Guards against lost messages being taken for deaths.
TEST_CASE("message loss kills no member", "[membership]")
{
    const std::uint64_t seed = GENERATE(11, 12, 13);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    cluster.add_center("a", 9);
    cluster.run_for(10 * second);
    cluster.lose_messages(0.1);
    cluster.run_for(60 * second);
    CHECK_FALSE(any_change_to(cluster, "dead"));
}
