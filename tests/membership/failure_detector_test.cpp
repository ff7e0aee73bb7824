#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using test::simulated_cluster;

namespace
{

constexpr milliseconds second{1000};

// Worst case: the next probe by the predecessor after 1 s, its timeout, the
// indirect timeout, the suspicion time and the dissemination.
constexpr milliseconds detection_limit{3200};

void start_cluster(simulated_cluster& cluster, int hosts)
{
    cluster.add_center("a", hosts);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.run_for(3 * second);
}

int count_changes(simulated_cluster& cluster, const std::string& by,
                  const std::string& to)
{
    int count = 0;
    for (const member_change& change : cluster.state(by).changes)
    {
        count += change.state == to ? 1 : 0;
    }
    return count;
}

int count_changes(simulated_cluster& cluster, const std::string& to)
{
    int count = 0;
    for (const std::string& name : cluster.names())
    {
        count += count_changes(cluster, name, to);
    }
    return count;
}

} // namespace

// Guards against a dead host that keeps its racks because no member probes it,
// or because its state does not reach all members.
TEST_CASE("all members detect a dead host within the limit", "[membership]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    const int hosts = GENERATE(2, 3, 9, 19);
    CAPTURE(seed, hosts);
    simulated_cluster cluster(seed);
    start_cluster(cluster, hosts);
    cluster.kill("a-101");
    CHECK(cluster.run_until([&] { return cluster.all_show("a-101", "dead"); },
                            detection_limit));
}

// Guards against detection times that depend on the random probe order.
TEST_CASE("a member probes the next by name every second", "[membership]")
{
    simulated_cluster cluster(8);
    start_cluster(cluster, 19);
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

// Guards against the joins of many hosts delaying the report of a dead one;
// without priority it took 18 s to reach all of 130 hosts.
TEST_CASE("a host that dies after a mass start is detected", "[membership]")
{
    const std::uint64_t seed = GENERATE(6, 7);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 130);
    cluster.kill("a-101");
    CHECK(cluster.run_until([&] { return cluster.all_show("a-101", "dead"); },
                            detection_limit));
}

// Guards against missed detection when neighbours in the probe order fail at
// once, for example all hosts of a rack.
TEST_CASE("hosts that die at the same time are all detected", "[membership]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 12);
    const std::vector<std::string> killed{"a-103", "a-104", "a-105", "a-106"};
    for (const std::string& name : killed)
    {
        cluster.kill(name);
    }
    for (const std::string& name : killed)
    {
        CHECK(cluster.run_until([&] { return cluster.all_show(name, "dead"); },
                                2 * detection_limit));
    }
}

// Guards against members being declared dead because messages were lost.
TEST_CASE("message loss does not make a member dead", "[membership]")
{
    const std::uint64_t seed = GENERATE(11, 12, 13);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 9);
    cluster.set_loss_rate(0.1);
    cluster.run_for(60 * second);
    CHECK(count_changes(cluster, "dead") == 0);
}

// Guards against a suspicion that expires before the member can refute it.
TEST_CASE("a falsely suspected member refutes the suspicion", "[membership]")
{
    const std::uint64_t seed = GENERATE(21, 22, 23);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 9);
    const std::int64_t before = cluster.state("a-101").self.incarnation;
    suspect_member(cluster.state("a-105"), "a-101", before, cluster.now());
    cluster.run_for(5 * second);
    CHECK(count_changes(cluster, "dead") == 0);
    CHECK(cluster.all_show("a-101", "alive"));
    CHECK(cluster.state("a-101").self.incarnation > before);
}

// Guards against suspecting a member when one link fails in one direction.
TEST_CASE("an indirect probe works around a broken link", "[membership]")
{
    const std::uint64_t seed = GENERATE(31, 32);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 5);
    cluster.block_link("a-100", "a-101");
    cluster.run_for(30 * second);
    CHECK(count_changes(cluster, "suspect") == 0);
}

// Guards against a data centre with two hosts in which one broken link makes
// each host declare the other dead.
TEST_CASE("hosts of other data centres help to probe", "[membership]")
{
    simulated_cluster cluster(33);
    cluster.add_center("a", 2);
    cluster.add_center("b", 2);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.block_link("a-100", "a-101");
    cluster.block_link("a-101", "a-100");
    cluster.run_for(30 * second);
    CHECK(count_changes(cluster, "dead") == 0);
}

// Guards against a host that does not detect its own pause, or that suspects
// others because of timeouts that passed during the pause.
TEST_CASE("a member rejoins after a pause without suspecting others",
          "[membership]")
{
    const std::uint64_t seed = GENERATE(range(41, 51));
    const int hosts = GENERATE(2, 7);
    CAPTURE(seed, hosts);
    simulated_cluster cluster(seed);
    // Makes it likely that a probe is in flight when the pause begins.
    cluster.delay = milliseconds(40);
    start_cluster(cluster, hosts);
    const std::int64_t before = cluster.state("a-101").self.incarnation;
    cluster.pause("a-101");
    cluster.run_for(8 * second);
    REQUIRE(cluster.all_show("a-101", "dead"));
    cluster.resume("a-101");
    CHECK(cluster.run_until([&] { return cluster.is_complete(); }, 5 * second));
    CHECK(cluster.state("a-101").self.incarnation > before);
    CHECK(count_changes(cluster, "a-101", "resumed") == 1);
    CHECK(count_changes(cluster, "a-101", "suspect") == 0);
}

// Guards against treating a gap as a pause that is too short for any member to
// be declared dead.
TEST_CASE("a stall below the resume gap is not a pause", "[membership]")
{
    simulated_cluster cluster(44);
    start_cluster(cluster, 3);
    cluster.pause("a-101");
    cluster.run_for(milliseconds(600));
    cluster.resume("a-101");
    cluster.run_for(5 * second);
    CHECK(count_changes(cluster, "a-101", "resumed") == 0);
    CHECK(count_changes(cluster, "dead") == 0);
}

// Guards against two halves that consider each other dead for ever.
TEST_CASE("members reconnect after a partition of a data centre",
          "[membership]")
{
    const std::uint64_t seed = GENERATE(51, 52);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 6);
    for (const char* left : {"a-100", "a-101", "a-102"})
    {
        for (const char* right : {"a-103", "a-104", "a-105"})
        {
            cluster.block_link(left, right);
            cluster.block_link(right, left);
        }
    }
    cluster.run_for(10 * second);
    REQUIRE(cluster.shown_state("a-100", "a-104") == "dead");
    REQUIRE(cluster.shown_state("a-104", "a-100") == "dead");
    cluster.unblock_links();
    CHECK(
        cluster.run_until([&] { return cluster.is_complete(); }, 20 * second));
}

// Guards against declaring hosts dead because their data centre cannot be
// reached, and against still showing them as alive.
TEST_CASE("hosts of an unreachable data centre are suspect", "[membership]")
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
            cluster.block_link(a, b);
            cluster.block_link(b, a);
        }
    }
    cluster.run_for(30 * second);
    CHECK(count_changes(cluster, "dead") == 0);
    CHECK(cluster.shown_state("a-100", "b-101") == "suspect");
    CHECK(live_host_names(cluster.state("a-100"), "b", cluster.now()).empty());
    CHECK(live_host_names(cluster.state("a-100"), "a", cluster.now()).size() ==
          3);
    cluster.unblock_links();
    CHECK(
        cluster.run_until([&] { return cluster.is_complete(); }, 20 * second));
}

// Guards against a planned stop that is treated as a failure.
TEST_CASE("a leaving member is not declared dead", "[membership]")
{
    simulated_cluster cluster(71);
    start_cluster(cluster, 7);
    start_leaving(cluster.state("a-102"), cluster.now());
    CHECK(cluster.run_until(
        [&] { return cluster.all_show("a-102", "leaving"); }, second));
    cluster.kill("a-102");
    cluster.run_for(10 * second);
    CHECK(cluster.all_show("a-102", "leaving"));
    CHECK(count_changes(cluster, "dead") == 0);
}

// Guards against a host that the others consider dead after its restart because
// its clock, and so its incarnation, is behind.
TEST_CASE("a restart with a lower incarnation is accepted", "[membership]")
{
    simulated_cluster cluster(72);
    start_cluster(cluster, 4);
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

// Guards against rows of hosts that no longer exist becoming members, or
// preventing the join through a valid row.
TEST_CASE("a host joins although most rows are stale", "[membership]")
{
    const std::uint64_t seed = GENERATE(81, 82, 83);
    CAPTURE(seed);
    simulated_cluster cluster(seed);
    start_cluster(cluster, 3);
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
