#include "egretspindle/cluster/cluster_view.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

using namespace egretspindle;

namespace
{

const liveness_limits limits;
// Time of the first read; other than zero, which means no read.
const time_point start = time_point{} + milliseconds(1'000'000);

known_host make_host(const std::string& name, std::int64_t boot,
                     std::int64_t version, const std::string& data_center = "a")
{
    known_host host;
    host.row.name = name;
    host.row.boot = boot;
    host.row.data_center = data_center;
    host.version = version;
    return host;
}

void add_resource(cluster_view& view, const std::string& name,
                  const std::string& owner, std::int64_t boot,
                  const std::string& data_center = "")
{
    resource& item = view.resources[name];
    item.name = name;
    item.data_center = data_center;
    item.owner = {owner, boot};
    item.version = owner.empty() ? 0 : 1;
}

// Simulates a read every second, before each of which only the given hosts
// write heartbeats. Returns the time of the last read.
time_point simulate_reads(cluster_view& view,
                          const std::vector<std::string>& live_names,
                          int seconds, time_point from)
{
    time_point now = from;
    for (int n = 0; n < seconds; ++n)
    {
        now += milliseconds(1'000);
        std::vector<known_host> hosts;
        for (const auto& [name, host] : view.hosts)
        {
            known_host next = host;
            const bool is_writing =
                std::find(live_names.begin(), live_names.end(), name) !=
                live_names.end();
            next.version += is_writing ? 1 : 0;
            hosts.push_back(next);
        }
        apply_read(view, hosts, limits, now);
    }
    return now;
}

/// Simulated cluster. All live hosts read the same rows every second and then
/// claim; no claim fails.
struct simulation
{
    cluster_view view;
    std::map<std::string, time_point> last_rebalance; ///< by host
    std::set<std::string> live_names; ///< hosts that write heartbeats
    time_point now = start;
    int moves = 0; ///< claims of resources from live hosts

    void add_host(const std::string& name, double weight,
                  const std::string& data_center)
    {
        known_host host = make_host(name, 1, 1, data_center);
        host.row.weight = weight;
        view.hosts[name] = host;
        live_names.insert(name);
    }

    /// Simulates one second.
    void step()
    {
        now = simulate_reads(view, {live_names.begin(), live_names.end()}, 1,
                             now);
        const cluster_view read = view;
        std::set<std::string> claimed;
        for (const std::string& name : live_names)
        {
            cluster_view own = read;
            own.last_rebalance = last_rebalance[name];
            for (const std::string& item :
                 decide_claims(own, name, 1, limits, now))
            {
                INFO(item << " is claimed by one host at a time");
                REQUIRE(claimed.insert(item).second);
                resource& target = view.resources.at(item);
                if (is_live(read, target.owner.host, limits, now))
                {
                    last_rebalance[name] = now;
                    ++moves;
                }
                target.owner = {name, 1};
                target.version = 1;
            }
        }
    }

    void run_for(int seconds)
    {
        for (int n = 0; n < seconds; ++n)
        {
            step();
        }
    }

    /// Returns the number of resources with a prefix, by live host.
    std::map<std::string, int> loads(const std::string& prefix) const
    {
        std::map<std::string, int> result;
        for (const std::string& name : live_names)
        {
            result[name] = 0;
        }
        for (const auto& [name, item] : view.resources)
        {
            if (name.compare(0, prefix.size(), prefix) == 0)
            {
                ++result[item.owner.host];
            }
        }
        return result;
    }

    /// Returns whether every resource has a live owner.
    bool all_owned() const
    {
        return std::all_of(
            view.resources.begin(), view.resources.end(),
            [this](const auto& it)
            { return live_names.count(it.second.owner.host) != 0; });
    }
};

const std::vector<std::string> data_centers{"a", "b", "c", "d"};

// Large site with four data centres: 8 hosts of 0.5 cores and 35 of 0.12 cores,
// 62 racks and 32 shards without an owner.
simulation make_large_site()
{
    simulation site;
    for (std::size_t n = 0; n < 43; ++n)
    {
        site.add_host("h" + std::to_string(n), n < 8 ? 0.5 : 0.12,
                      data_centers[n % 4]);
    }
    for (std::size_t n = 0; n < 62; ++n)
    {
        add_resource(site.view, "rack/" + std::to_string(n), "", 0,
                     data_centers[n % 4]);
    }
    for (int n = 0; n < 32; ++n)
    {
        add_resource(site.view, "shard/" + std::to_string(n), "", 0);
    }
    return site;
}

// Checks that each live host owns its share by weight, to within one resource.
// An empty `data_center` stands for all hosts.
void check_shares(const simulation& site,
                  const std::map<std::string, int>& loads,
                  const std::string& data_center)
{
    double weights = 0;
    int sum = 0;
    std::map<std::string, int> own;
    for (const auto& [name, load] : loads)
    {
        const host_row& row = site.view.hosts.at(name).row;
        if (data_center.empty() || row.data_center == data_center)
        {
            own[name] = load;
            weights += row.weight;
            sum += load;
        }
    }
    for (const auto& [name, load] : own)
    {
        const double weight = site.view.hosts.at(name).row.weight;
        CAPTURE(name, weight, load, sum, weights);
        REQUIRE(std::abs(load - sum * weight / weights) <= 1.0);
    }
}

} // namespace

TEST_CASE("hosts with the same view claim all resources without conflicts",
          "[cluster]")
{
    cluster_view view;
    apply_read(
        view,
        {make_host("h1", 1, 1), make_host("h2", 1, 1), make_host("h3", 1, 1)},
        limits, start);
    for (int n = 0; n < 12; ++n)
    {
        add_resource(view, "shard/" + std::to_string(n), "", 0);
    }
    const time_point now = simulate_reads(view, {"h1", "h2", "h3"}, 2, start);
    std::set<std::string> claimed;
    for (const char* host : {"h1", "h2", "h3"})
    {
        const std::vector<std::string> claims =
            decide_claims(view, host, 1, limits, now);
        REQUIRE(claims.size() == 4);
        claimed.insert(claims.begin(), claims.end());
    }
    REQUIRE(claimed.size() == 12);
}

TEST_CASE("resources of a host without heartbeats are taken over", "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    add_resource(view, "shard/1", "h1", 1);
    add_resource(view, "shard/2", "h2", 1);
    time_point now = simulate_reads(view, {"h1", "h2"}, 2, start);
    now = simulate_reads(view, {"h2"}, 2, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
    now = simulate_reads(view, {"h2"}, 2, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now) ==
            std::vector<std::string>{"shard/1"});
}

// Otherwise a host would seem to be dead after an outage of the store, and its
// resources would be taken over.
TEST_CASE(
    "heartbeats during a gap of 20 s between reads do not count as missed",
    "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    add_resource(view, "shard/1", "h1", 1);
    time_point now = simulate_reads(view, {"h1", "h2"}, 3, start);
    now += milliseconds(20'000);
    now = simulate_reads(view, {"h2"}, 1, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
}

// Guards against a shard that moves to and fro: the others still take the host
// for dead, and claim back what it claims.
TEST_CASE("after a gap between reads a host claims nothing before its next "
          "heartbeat",
          "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    for (int n = 0; n < 4; ++n)
    {
        add_resource(view, "shard/" + std::to_string(n), "h2", 1);
    }
    time_point now = simulate_reads(view, {"h1", "h2"}, 4, start);
    now += milliseconds(20'000);
    for (int n = 0; n < 2; ++n)
    {
        now = simulate_reads(view, {"h2"}, 1, now);
        CHECK(decide_claims(view, "h1", 1, limits, now).empty());
    }
    now = simulate_reads(view, {"h1", "h2"}, 1, now);
    CHECK(decide_claims(view, "h1", 1, limits, now).size() == 1);
}

// Guards against claims by a process that the others do not know to be there.
TEST_CASE("a restarted host claims nothing before its first heartbeat",
          "[cluster]")
{
    cluster_view view;
    add_resource(view, "shard/1", "h1", 1);
    apply_read(view, {make_host("h1", 1, 7), make_host("h2", 1, 7)}, limits,
               start);
    CHECK(decide_claims(view, "h1", 2, limits, start).empty());
    apply_read(view, {make_host("h1", 2, 8), make_host("h2", 1, 8)}, limits,
               start + milliseconds(1'000));
    CHECK(decide_claims(view, "h1", 2, limits, start + milliseconds(1'000)) ==
          std::vector<std::string>{"shard/1"});
}

// A slow store stops the heartbeats of all hosts at once. Guards against the
// first host that writes one again and takes over the resources of all others.
TEST_CASE("a host that becomes live again waits for the heartbeats of others",
          "[cluster]")
{
    cluster_view view;
    view.first_read = start;
    view.last_read = start;
    for (const char* name : {"h1", "h2", "h3"})
    {
        view.hosts[name] = make_host(name, 1, 1);
        view.hosts[name].changed_at = start;
    }
    add_resource(view, "shard/j00", "h1", 1);
    add_resource(view, "shard/j01", "h2", 1);
    add_resource(view, "shard/j02", "h3", 1);
    time_point now = simulate_reads(view, {}, 5, start);
    REQUIRE(decide_claims(view, "h1", 1, limits, now).empty());
    now = simulate_reads(view, {"h1"}, 1, now);
    REQUIRE(is_live(view, "h1", limits, now));
    CHECK(decide_claims(view, "h1", 1, limits, now).empty());
    // The next heartbeat of h2 comes within a second; h3 has ended.
    now = simulate_reads(view, {"h1", "h2"}, 1, now);
    CHECK(decide_claims(view, "h1", 1, limits, now).empty());
    CHECK(decide_claims(view, "h2", 1, limits, now).empty());
    now = simulate_reads(view, {"h1", "h2"}, 2, now);
    const std::vector<std::string> h1 =
        decide_claims(view, "h1", 1, limits, now);
    const std::vector<std::string> h2 =
        decide_claims(view, "h2", 1, limits, now);
    std::set<std::string> claimed(h1.begin(), h1.end());
    claimed.insert(h2.begin(), h2.end());
    CHECK(claimed == std::set<std::string>{"shard/j02"});
}

TEST_CASE("a restarted host reclaims its resources at once", "[cluster]")
{
    cluster_view view;
    add_resource(view, "shard/1", "h1", 1);
    add_resource(view, "shard/2", "h2", 1);
    apply_read(view, {make_host("h1", 2, 7), make_host("h2", 1, 7)}, limits,
               start);
    REQUIRE(decide_claims(view, "h1", 2, limits, start) ==
            std::vector<std::string>{"shard/1"});
    // The other host does not claim it meanwhile.
    const time_point now = simulate_reads(view, {"h1", "h2"}, 2, start);
    const std::vector<std::string> others =
        decide_claims(view, "h2", 1, limits, now);
    REQUIRE(others.empty());
}

TEST_CASE("a leaving host loses its resources at once and claims none",
          "[cluster]")
{
    cluster_view view;
    known_host leaving = make_host("h1", 1, 1);
    leaving.row.is_leaving = true;
    apply_read(view, {leaving, make_host("h2", 1, 1)}, limits, start);
    add_resource(view, "shard/1", "h1", 1);
    const time_point now = simulate_reads(view, {"h1", "h2"}, 2, start);
    REQUIRE(decide_claims(view, "h1", 1, limits, now).empty());
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
}

TEST_CASE("racks are claimed by hosts of their data centre", "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1, "a"), make_host("h2", 1, 1, "b")},
               limits, start);
    add_resource(view, "rack/1", "", 0, "b");
    add_resource(view, "rack/2", "", 0, "c");
    const time_point now = simulate_reads(view, {"h1", "h2"}, 2, start);
    const std::vector<std::string> first =
        decide_claims(view, "h1", 1, limits, now);
    const std::vector<std::string> second =
        decide_claims(view, "h2", 1, limits, now);
    REQUIRE(std::count(second.begin(), second.end(), "rack/1") == 1);
    // No host is in the data centre of rack/2, so any host may claim it.
    REQUIRE(first.size() + second.size() == 2);
}

TEST_CASE("a new host claims resources from a loaded one, one at a time",
          "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    for (int n = 0; n < 4; ++n)
    {
        add_resource(view, "shard/" + std::to_string(n), "h1", 1);
    }
    const time_point now = simulate_reads(view, {"h1", "h2"}, 4, start);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
    REQUIRE(decide_claims(view, "h1", 1, limits, now).empty());
    view.last_rebalance = now;
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
}

// A rack must not move back to a returned host while its owner waits for the
// lease of an unreachable target: the move would restart the wait, and
// interrupt long-running tasks for up to 24 s.
TEST_CASE("a recently claimed rack does not move between live hosts",
          "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    for (int n = 0; n < 4; ++n)
    {
        add_resource(view, "rack/" + std::to_string(n), "h1", 1, "a");
    }
    time_point now = simulate_reads(view, {"h1", "h2"}, 6, start);
    for (auto& [name, item] : view.resources)
    {
        item.owned_since = now - milliseconds(5'000);
    }
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
    now = simulate_reads(view, {"h1", "h2"}, 10, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
    // A rack whose owner writes no heartbeats is claimed however recently it
    // moved.
    for (auto& [name, item] : view.resources)
    {
        item.owned_since = now;
    }
    now = simulate_reads(view, {"h2"}, 4, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 4);
}

// Guards against a move that makes the runs of a target that is gone end later:
// the new owner has to find out anew that it is out of reach.
TEST_CASE("a rack whose owner says so does not move between live hosts",
          "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1, "b"), make_host("h2", 1, 1, "a")},
               limits, start);
    add_resource(view, "rack/1", "h1", 1, "a");
    time_point now = simulate_reads(view, {"h1", "h2"}, 20, start);
    REQUIRE(decide_claims(view, "h2", 1, limits, now) ==
            std::vector<std::string>{"rack/1"});
    view.hosts["h1"].row.unmovable = {"rack/1"};
    now = simulate_reads(view, {"h1", "h2"}, 1, now);
    CHECK(decide_claims(view, "h2", 1, limits, now).empty());
    // It is claimed as before when its owner is dead or leaves.
    SECTION("dead")
    {
        now = simulate_reads(view, {"h2"}, 4, now);
    }
    SECTION("leaving")
    {
        view.hosts["h1"].row.is_leaving = true;
    }
    CHECK(decide_claims(view, "h2", 1, limits, now) ==
          std::vector<std::string>{"rack/1"});
}

// With equal shares, hosts with 0.12 cores would write their heartbeats too
// late and lose their racks while they are alive.
TEST_CASE("resources are distributed in proportion to the weights", "[cluster]")
{
    simulation site = make_large_site();
    site.run_for(4);
    REQUIRE(site.all_owned());
    check_shares(site, site.loads("shard/"), "");
    for (const std::string& data_center : data_centers)
    {
        check_shares(site, site.loads("rack/"), data_center);
    }
    site.run_for(60);
    REQUIRE(site.moves == 0);
}

TEST_CASE("after half of the hosts fail, the others take over all resources",
          "[cluster]")
{
    simulation site = make_large_site();
    site.run_for(4);
    const std::set<std::string> all_names = site.live_names;
    for (int n = 0; n < 43; n += 2)
    {
        site.live_names.erase("h" + std::to_string(n));
    }
    // Data centres a and c have no live host now.
    site.run_for(5);
    REQUIRE(site.all_owned());
    site.run_for(120);
    REQUIRE(site.all_owned());
    int moves = site.moves;
    site.run_for(60);
    REQUIRE(site.moves == moves);
    // The others return; each rack goes back to its data centre.
    site.live_names = all_names;
    site.run_for(120);
    REQUIRE(site.all_owned());
    for (const auto& [name, item] : site.view.resources)
    {
        CAPTURE(name, item.owner.host);
        REQUIRE((item.data_center.empty() ||
                 site.view.hosts.at(item.owner.host).row.data_center ==
                     item.data_center));
    }
    moves = site.moves;
    site.run_for(60);
    REQUIRE(site.moves == moves);
}

// Guards against two hosts that claim the same resource from each other in
// turn.
TEST_CASE("resources move between hosts of different weights only if the "
          "larger load per weight falls by half a resource",
          "[cluster]")
{
    simulation site;
    site.add_host("big", 0.5, "a");
    site.add_host("small", 0.12, "a");
    // Four resources on 0.5 cores are 8 per core; one on 0.12 cores would
    // be 8.3 per core, so none moves.
    for (int n = 0; n < 4; ++n)
    {
        add_resource(site.view, "shard/" + std::to_string(n), "big", 1);
    }
    site.run_for(30);
    REQUIRE(site.moves == 0);
    for (int n = 4; n < 8; ++n)
    {
        add_resource(site.view, "shard/" + std::to_string(n), "small", 1);
    }
    site.run_for(30);
    REQUIRE(site.loads("shard/")["small"] == 2);
    REQUIRE(site.moves == 2);
}

// Otherwise hosts would choose different claimants, for example with a weight
// of zero.
TEST_CASE("invalid weights are replaced by valid ones", "[cluster]")
{
    const double invalid =
        GENERATE(0.0, -1.0, 1e300, std::numeric_limits<double>::quiet_NaN(),
                 std::numeric_limits<double>::infinity());
    CAPTURE(invalid);
    simulation site;
    site.add_host("h1", invalid, "a");
    site.add_host("h2", invalid, "a");
    site.add_host("h3", 1.0, "a");
    for (int n = 0; n < 12; ++n)
    {
        add_resource(site.view, "shard/" + std::to_string(n), "", 0);
    }
    site.run_for(60);
    REQUIRE(site.all_owned());
    const std::map<std::string, int> loads = site.loads("shard/");
    REQUIRE(std::abs(loads.at("h1") - loads.at("h2")) <= 1);
}

// Guards against hosts of a data centre that follow different sources, and
// against a source that is gone or in another data centre.
TEST_CASE("the live hosts with the largest weights read the list of targets",
          "[cluster]")
{
    using names = std::vector<std::string>;
    cluster_view view;
    CHECK(choose_readers(view, "a", limits, start).empty());
    for (const char* name : {"a1", "a2", "a3", "b1"})
    {
        view.hosts[name] = make_host(name, 1, 1, std::string(name, 1));
        view.hosts[name].changed_at = start;
    }
    view.hosts["b1"].row.weight = 9;
    view.hosts["a1"].row.weight = 0.12;
    view.hosts["a2"].row.weight = 0.25;
    view.hosts["a3"].row.weight = 0.5;
    CHECK(choose_readers(view, "a", limits, start) == names{"a3", "a2"});
    CHECK(choose_readers(view, "b", limits, start) == names{"b1"});
    view.hosts["a3"].row.is_leaving = true;
    CHECK(choose_readers(view, "a", limits, start) == names{"a2", "a1"});
    view.hosts.erase("a2");
    CHECK(choose_readers(view, "a", limits, start) == names{"a1"});
}
