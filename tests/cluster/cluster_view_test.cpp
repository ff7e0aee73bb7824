#include "egretspindle/cluster/cluster_view.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
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
        note_read(view, hosts, limits, now);
    }
    return now;
}

} // namespace

TEST_CASE("hosts with the same view deal all resources without conflicts",
          "[cluster]")
{
    cluster_view view;
    note_read(
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
    note_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
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
    note_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
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
    note_read(view, {make_host("h1", 2, 7), make_host("h2", 1, 7)}, limits,
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
    note_read(view, {leaving, make_host("h2", 1, 1)}, limits, start);
    add_resource(view, "shard/1", "h1", 1);
    const time_point now = run(view, {"h1", "h2"}, 2, start);
    REQUIRE(decide_claims(view, "h1", 1, limits, now).empty());
    REQUIRE(decide_claims(view, "h2", 1, limits, now).size() == 1);
}

TEST_CASE("racks go to hosts of their data centre", "[cluster]")
{
    cluster_view view;
    note_read(view, {make_host("h1", 1, 1, "a"), make_host("h2", 1, 1, "b")},
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
    note_read(view, {make_host("h1", 1, 1), make_host("h2", 1, 1)}, limits,
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
