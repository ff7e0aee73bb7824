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

// Reads every second with heartbeats of the given hosts.
time_point run(cluster_view& view, const std::vector<std::string>& beating,
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
            const bool beats = std::find(beating.begin(), beating.end(),
                                         name) != beating.end();
            next.version += beats ? 1 : 0;
            hosts.push_back(next);
        }
        apply_read(view, hosts, limits, now);
    }
    return now;
}

/// Cluster whose hosts all read the same rows each second and then claim.
struct simulation
{
    cluster_view view;
    std::map<std::string, time_point> last_rebalance; ///< by host
    std::set<std::string> beating;
    time_point now = start;
    int moves = 0; ///< claims of a live host's resource

    void add_host(const std::string& name, double weight,
                  const std::string& data_center)
    {
        known_host host = make_host(name, 1, 1, data_center);
        host.row.weight = weight;
        view.hosts[name] = host;
        beating.insert(name);
    }

    void step()
    {
        now = run(view, {beating.begin(), beating.end()}, 1, now);
        const cluster_view read = view;
        std::set<std::string> claimed;
        for (const std::string& name : beating)
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

    /// Resources of a kind by live host.
    std::map<std::string, int> loads(const std::string& prefix) const
    {
        std::map<std::string, int> result;
        for (const std::string& name : beating)
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

    bool all_owned() const
    {
        return std::all_of(view.resources.begin(), view.resources.end(),
                           [this](const auto& it) {
                               return beating.count(it.second.owner.host) != 0;
                           });
    }
};

const std::vector<std::string> data_centers{"a", "b", "c", "d"};

// 8 hosts of half a core and 35 of 0.12 cores, 62 racks, 32 shards.
simulation make_grown_site()
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

// Checks that each host owns what its weight entitles it to, within one.
void check_even(const simulation& site, const std::map<std::string, int>& loads,
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

TEST_CASE("hosts with the same view deal all resources without conflicts",
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
    const time_point now = run(view, {"h1", "h2", "h3"}, 2, start);
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

TEST_CASE("the resources of a silent host are taken over", "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    add_resource(view, "shard/1", "h1", 1);
    add_resource(view, "shard/2", "h2", 1);
    time_point now = run(view, {"h1", "h2"}, 2, start);
    now = run(view, {"h2"}, 2, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
    now = run(view, {"h2"}, 2, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now) ==
            std::vector<std::string>{"shard/1"});
}

// Without this, an outage of the store would end every ownership.
TEST_CASE("heartbeats that were not read are not missed", "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    add_resource(view, "shard/1", "h1", 1);
    time_point now = run(view, {"h1", "h2"}, 3, start);
    now += milliseconds(20'000);
    now = run(view, {"h2"}, 1, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
}

TEST_CASE("a restarted host claims again what it owned, at once", "[cluster]")
{
    cluster_view view;
    add_resource(view, "shard/1", "h1", 1);
    add_resource(view, "shard/2", "h2", 1);
    apply_read(view, {make_host("h1", 2, 7), make_host("h2", 1, 7)}, limits,
               start);
    REQUIRE(decide_claims(view, "h1", 2, limits, start) ==
            std::vector<std::string>{"shard/1"});
    // The other host leaves it alone meanwhile.
    const time_point now = run(view, {"h1", "h2"}, 2, start);
    const std::vector<std::string> others =
        decide_claims(view, "h2", 1, limits, now);
    REQUIRE(others.empty());
}

TEST_CASE("a leaving host loses its resources at once and takes none",
          "[cluster]")
{
    cluster_view view;
    known_host leaving = make_host("h1", 1, 1);
    leaving.row.is_leaving = true;
    apply_read(view, {leaving, make_host("h2", 1, 1)}, limits, start);
    add_resource(view, "shard/1", "h1", 1);
    const time_point now = run(view, {"h1", "h2"}, 2, start);
    REQUIRE(decide_claims(view, "h1", 1, limits, now).empty());
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
}

TEST_CASE("racks go to hosts of their data centre", "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1, "a"), make_host("h2", 1, 1, "b")},
               limits, start);
    add_resource(view, "rack/1", "", 0, "b");
    add_resource(view, "rack/2", "", 0, "c");
    const time_point now = run(view, {"h1", "h2"}, 2, start);
    const std::vector<std::string> first =
        decide_claims(view, "h1", 1, limits, now);
    const std::vector<std::string> second =
        decide_claims(view, "h2", 1, limits, now);
    REQUIRE(std::count(second.begin(), second.end(), "rack/1") == 1);
    // No host is in its data centre, so that any may own it.
    REQUIRE(first.size() + second.size() == 2);
}

TEST_CASE("a new host relieves a loaded one, one resource at a time",
          "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    for (int n = 0; n < 4; ++n)
    {
        add_resource(view, "shard/" + std::to_string(n), "h1", 1);
    }
    const time_point now = run(view, {"h1", "h2"}, 4, start);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
    REQUIRE(decide_claims(view, "h1", 1, limits, now).empty());
    view.last_rebalance = now;
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
}

// A host that came back took its rack from the live owner, which waited for the
// lease of a lost target, and the wait began anew: a task that lasts was away
// for 24 s (LOST, scale-2 seed 330767366873 of the cooperative).
TEST_CASE("a rack that was claimed lately does not move between live hosts",
          "[cluster]")
{
    cluster_view view;
    apply_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
               start);
    for (int n = 0; n < 4; ++n)
    {
        add_resource(view, "rack/" + std::to_string(n), "h1", 1, "a");
    }
    time_point now = run(view, {"h1", "h2"}, 6, start);
    for (auto& [name, item] : view.resources)
    {
        item.owned_since = now - milliseconds(5'000);
    }
    REQUIRE(decide_claims(view, "h2", 1, limits, now).empty());
    now = run(view, {"h1", "h2"}, 10, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
    // A rack whose owner is silent is claimed however young it is.
    for (auto& [name, item] : view.resources)
    {
        item.owned_since = now;
    }
    now = run(view, {"h2"}, 4, now);
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 4);
}

// All hosts got the same, so that those of 0.12 cores beat too late and lost
// their racks while they were alive.
TEST_CASE("resources are dealt in proportion to the weights", "[cluster]")
{
    simulation site = make_grown_site();
    site.run_for(4);
    REQUIRE(site.all_owned());
    check_even(site, site.loads("shard/"), "");
    for (const std::string& data_center : data_centers)
    {
        check_even(site, site.loads("rack/"), data_center);
    }
    site.run_for(60);
    REQUIRE(site.moves == 0);
}

TEST_CASE("half of the hosts of mixed weights take everything over",
          "[cluster]")
{
    simulation site = make_grown_site();
    site.run_for(4);
    const std::set<std::string> all = site.beating;
    for (int n = 0; n < 43; n += 2)
    {
        site.beating.erase("h" + std::to_string(n));
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
    site.beating = all;
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

// Two hosts that take the same resource from each other serve it badly.
TEST_CASE("a move between weights lowers the larger load clearly", "[cluster]")
{
    simulation site;
    site.add_host("big", 0.5, "a");
    site.add_host("small", 0.12, "a");
    // 4 of 0.5 cores are 8 a core; 1 of 0.12 cores would be 8.3.
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

// A division by a weight of zero would name different claimants.
TEST_CASE("odd weights are bounded", "[cluster]")
{
    const double odd =
        GENERATE(0.0, -1.0, 1e300, std::numeric_limits<double>::quiet_NaN(),
                 std::numeric_limits<double>::infinity());
    CAPTURE(odd);
    simulation site;
    site.add_host("h1", odd, "a");
    site.add_host("h2", odd, "a");
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
