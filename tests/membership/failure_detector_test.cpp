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

void start(simulated_cluster& cluster, int hosts)
{
    cluster.add_center("a", hosts);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.run_for(3 * second);
}

int changes_to(simulated_cluster& cluster, const std::string& by,
               const std::string& to)
{
    int count = 0;
    for (const member_change& change : cluster.state(by).changes)
    {
        count += change.state == to ? 1 : 0;
    }
    return count;
}

int changes_to(simulated_cluster& cluster, const std::string& to)
{
    int count = 0;
    for (const std::string& name : cluster.names())
    {
        count += changes_to(cluster, name, to);
    }
    return count;
}

} // namespace

// Guards against a dead host that keeps its racks because nobody probes it,
// or because the news does not spread.
TEST_CASE("all members learn of a death in time", "[membership]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    const int hosts = GENERATE(2, 3, 9, 19);
    CAPTURE(seed, hosts);
    simulated_cluster cluster(seed);
    start(cluster, hosts);
    cluster.kill("a-101");
    CHECK(cluster.run_until([&] { return cluster.all_see("a-101", "dead"); },
                            detection_limit));
}

// Guards against detection times that depend on the luck of random orders.
TEST_CASE("a member probes the next one every second", "[membership]")
{
    simulated_cluster cluster(8);
    start(cluster, 19);
    membership_state& state = cluster.state("a-100");
    int probes = 0;
    for (milliseconds time{0}; time < 10 * second; time += milliseconds(50))
    {
        for (const probe_action& action : advance(state, cluster.now() + time))
        {
            probes +=
                action.kind == probe_kind::direct && action.receiver == "a-101"
                    ? 1
                    : 0;
        }
    }
    CHECK(probes >= 9);
}

// Guards against the news of a death waiting behind the joins of many hosts;
// with 130 hosts it once took 18 s to reach all of them.
TEST_CASE("a death right after a mass start is detected", "[membership]")
{
    const std::uint64_t seed = GENERATE(6, 7);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 130);
    cluster.kill("a-101");
    CHECK(cluster.run_until([&] { return cluster.all_see("a-101", "dead"); },
                            detection_limit));
}

// Guards against a rack of hosts that fails at once and whose members were
// each other's probers.
TEST_CASE("members that die together are all detected", "[membership]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 12);
    const std::vector<std::string> killed{"a-103", "a-104", "a-105", "a-106"};
    for (const std::string& name : killed)
    {
        cluster.kill(name);
    }
    for (const std::string& name : killed)
    {
        CHECK(cluster.run_until([&] { return cluster.all_see(name, "dead"); },
                                2 * detection_limit));
    }
}

// Guards against lost messages being taken for deaths.
TEST_CASE("message loss kills no member", "[membership]")
{
    const std::uint64_t seed = GENERATE(11, 12, 13);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 9);
    cluster.lose_messages(0.1);
    cluster.run_for(60 * second);
    CHECK(changes_to(cluster, "dead") == 0);
}

// Guards against a suspicion that its subject cannot deny in time.
TEST_CASE("a falsely suspected member refutes", "[membership]")
{
    const std::uint64_t seed = GENERATE(21, 22, 23);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 9);
    const std::int64_t before = cluster.state("a-101").self.incarnation;
    suspect_member(cluster.state("a-105"), "a-101", before, cluster.now());
    cluster.run_for(5 * second);
    CHECK(changes_to(cluster, "dead") == 0);
    CHECK(cluster.all_see("a-101", "alive"));
    CHECK(cluster.state("a-101").self.incarnation > before);
}

// Guards against one broken link, in one direction, being taken for a death.
TEST_CASE("an indirect probe bridges a broken link", "[membership]")
{
    const std::uint64_t seed = GENERATE(31, 32);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 5);
    cluster.cut("a-100", "a-101");
    cluster.run_for(30 * second);
    CHECK(changes_to(cluster, "suspect") == 0);
}

// Guards against a data centre with two hosts in which a broken link alone
// makes each host take the other for dead.
TEST_CASE("hosts elsewhere probe for a data centre of two", "[membership]")
{
    simulated_cluster cluster(33);
    cluster.add_center("a", 2);
    cluster.add_center("b", 2);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.cut("a-100", "a-101");
    cluster.cut("a-101", "a-100");
    cluster.run_for(30 * second);
    CHECK(changes_to(cluster, "dead") == 0);
}

// Guards against a resumed host that carries on as if nothing had happened,
// or that takes its own late timeouts for deaths of others.
TEST_CASE("a resumed member rejoins and accuses nobody", "[membership]")
{
    const std::uint64_t seed = GENERATE(range(41, 51));
    const int hosts = GENERATE(2, 7);
    CAPTURE(seed, hosts);
    simulated_cluster cluster(seed);
    // Makes it likely that a probe is under way when the pause begins.
    cluster.delay = milliseconds(40);
    start(cluster, hosts);
    const std::int64_t before = cluster.state("a-101").self.incarnation;
    cluster.pause("a-101");
    cluster.run_for(8 * second);
    REQUIRE(cluster.all_see("a-101", "dead"));
    cluster.resume("a-101");
    CHECK(cluster.run_until([&] { return cluster.is_complete(); }, 5 * second));
    CHECK(cluster.state("a-101").self.incarnation > before);
    CHECK(changes_to(cluster, "a-101", "resumed") == 1);
    CHECK(changes_to(cluster, "a-101", "suspect") == 0);
}

// Guards against a gap shorter than any detection being taken for a pause.
TEST_CASE("a short stall is not a pause", "[membership]")
{
    simulated_cluster cluster(44);
    start(cluster, 3);
    cluster.pause("a-101");
    cluster.run_for(milliseconds(600));
    cluster.resume("a-101");
    cluster.run_for(5 * second);
    CHECK(changes_to(cluster, "a-101", "resumed") == 0);
    CHECK(changes_to(cluster, "dead") == 0);
}

// Guards against two halves that hold each other for dead for ever.
TEST_CASE("a partition inside a data centre heals", "[membership]")
{
    const std::uint64_t seed = GENERATE(51, 52);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 6);
    for (const char* left : {"a-100", "a-101", "a-102"})
    {
        for (const char* right : {"a-103", "a-104", "a-105"})
        {
            cluster.cut(left, right);
            cluster.cut(right, left);
        }
    }
    cluster.run_for(10 * second);
    REQUIRE(cluster.seen("a-100", "a-104") == "dead");
    REQUIRE(cluster.seen("a-104", "a-100") == "dead");
    cluster.heal();
    CHECK(
        cluster.run_until([&] { return cluster.is_complete(); }, 20 * second));
}

// Guards against a partition between data centres that makes the hosts of the
// other side dead, or that hides it.
TEST_CASE("hosts of a cut off data centre are not dead", "[membership]")
{
    const std::uint64_t seed = GENERATE(61, 62);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    cluster.add_center("a", 3);
    cluster.add_center("b", 3);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    for (int left = 100; left < 103; ++left)
    {
        for (int right = 100; right < 103; ++right)
        {
            const std::string a = "a-" + std::to_string(left);
            const std::string b = "b-" + std::to_string(right);
            cluster.cut(a, b);
            cluster.cut(b, a);
        }
    }
    cluster.run_for(30 * second);
    CHECK(changes_to(cluster, "dead") == 0);
    CHECK(cluster.seen("a-100", "b-101") == "suspect");
    CHECK(live_names(cluster.state("a-100"), "b", cluster.now()).empty());
    CHECK(live_names(cluster.state("a-100"), "a", cluster.now()).size() == 3);
    cluster.heal();
    CHECK(
        cluster.run_until([&] { return cluster.is_complete(); }, 20 * second));
}

// Guards against a planned stop that looks like a failure.
TEST_CASE("a leaving member is not taken for dead", "[membership]")
{
    simulated_cluster cluster(71);
    start(cluster, 7);
    start_leaving(cluster.state("a-102"), cluster.now());
    CHECK(cluster.run_until([&] { return cluster.all_see("a-102", "leaving"); },
                            second));
    cluster.kill("a-102");
    cluster.run_for(10 * second);
    CHECK(cluster.all_see("a-102", "leaving"));
    CHECK(changes_to(cluster, "dead") == 0);
}

// Guards against a restarted host that stays dead for the others because its
// clock went back.
TEST_CASE("a restart with an earlier clock is accepted", "[membership]")
{
    simulated_cluster cluster(72);
    start(cluster, 4);
    cluster.kill("a-102");
    cluster.run_for(5 * second);
    membership_options options;
    options.name = "a-102";
    options.data_center = "a";
    options.seeds = {"a-100"};
    options.incarnation = 10;
    cluster.add(options);
    CHECK(
        cluster.run_until([&] { return cluster.is_complete(); }, 10 * second));
}

// Guards against rows of hosts that are gone becoming members, or delaying
// the join through the rows that still hold.
TEST_CASE("a host joins through rows of which most are stale", "[membership]")
{
    const std::uint64_t seed = GENERATE(81, 82, 83);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start(cluster, 3);
    membership_options options;
    options.name = "a-200";
    options.data_center = "a";
    cluster.add(options);
    for (int n = 0; n < 10; ++n)
    {
        cluster.state("a-200").contacts.insert("gone-" + std::to_string(n));
    }
    cluster.state("a-200").contacts.insert("a-101");
    CHECK(
        cluster.run_until([&] { return cluster.is_complete(); }, 20 * second));
    CHECK(cluster.state("a-200").members.size() == 3);
}
