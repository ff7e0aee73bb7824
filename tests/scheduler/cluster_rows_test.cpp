#include "egretspindle/codec/json.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const liveness_limits limits;
const time_point start = time_point{} + milliseconds(1'000'000);

table_row make_row(const std::string& key, const std::string& value,
                   std::int64_t version)
{
    table_row row;
    row.key = key;
    row.value = value;
    row.version = version;
    return row;
}

table_row make_host(const std::string& name, std::int64_t version)
{
    host_row host;
    host.name = name;
    host.beat = version;
    return make_row("host/" + name, to_json(host), version);
}

table_row make_removal(const std::string& key, std::int64_t version)
{
    table_row row = make_row(key, "", version);
    row.is_deleted = true;
    return row;
}

table_row make_owner(const std::string& resource, const std::string& host,
                     std::int64_t version)
{
    return make_row(resource, to_json(resource_owner{host, 1}), version);
}

table_row make_roster(const std::string& rack, const std::string& target,
                      std::int64_t version)
{
    roster_row roster;
    roster.targets[target] = "10.0.0.1:80";
    return make_row("roster/" + rack, to_json(roster), version);
}

void apply_whole(cluster_view& view, const std::vector<table_row>& rows,
                 std::int64_t version, time_point now = start)
{
    apply_rows(view, decode_cluster_rows(rows, true, version), limits, now);
}

void apply_changes(cluster_view& view, const std::vector<table_row>& rows,
                   std::int64_t version, time_point now = start)
{
    apply_rows(view, decode_cluster_rows(rows, false, version), limits, now);
}

} // namespace

// A host that writes no heartbeats is missing in the changes and must still
// time out, after `liveness_limits::heartbeat_timeout` (3 s).
TEST_CASE("a host without changes is not live after the timeout", "[scheduler]")
{
    cluster_view view;
    apply_whole(view, {make_host("h1", 1), make_host("h2", 2)}, 2);
    time_point now = start;
    for (std::int64_t n = 3; n < 7; ++n)
    {
        now += milliseconds(1'000);
        apply_changes(view, {make_host("h1", n)}, n, now);
    }
    REQUIRE(is_live(view, "h1", limits, now));
    REQUIRE_FALSE(is_live(view, "h2", limits, now));
}

// Guards against hosts, owners and lists that stay in the view forever.
TEST_CASE("removed rows disappear from the view", "[scheduler]")
{
    const std::vector<table_row> rows{make_host("h1", 1), make_host("h2", 2),
                                      make_owner("rack/r1", "h2", 3),
                                      make_roster("r1", "t1", 4)};
    cluster_view view;
    apply_whole(view, rows, 4);
    REQUIRE(view.resources.at("rack/r1").version == 3);
    SECTION("by changes")
    {
        apply_changes(view,
                      {make_removal("host/h2", 5), make_removal("rack/r1", 5),
                       make_removal("roster/r1", 5)},
                      5);
    }
    SECTION("by a whole read")
    {
        apply_whole(view, {rows[0]}, 5, start + limits.heartbeat_timeout);
    }
    REQUIRE(view.hosts.size() == 1);
    REQUIRE(view.resources.at("rack/r1").version == 0);
    REQUIRE(view.rosters.count("r1") == 0);
}

// A host registers after its first heartbeat. Guards against claims from a live
// host that a whole read does not show.
TEST_CASE("a live host without a registration stays in the view", "[scheduler]")
{
    cluster_view view;
    apply_changes(view, {make_host("h1", 1)}, 1);
    apply_whole(view, {}, 5);
    REQUIRE(is_live(view, "h1", limits, start));
}

// A host that has just started knows the others by their registrations, until
// it reads their heartbeats.
TEST_CASE("a registered host is live until its heartbeats are missing",
          "[scheduler]")
{
    host_row host;
    host.name = "h1";
    host.peer = "10.0.0.1:80";
    const table_row registration =
        make_row("registration/h1", to_json(host), 1);
    cluster_view view;
    apply_whole(view, {registration}, 5);
    REQUIRE(is_live(view, "h1", limits, start));
    REQUIRE(view.hosts.at("h1").row.peer == "10.0.0.1:80");
    SECTION("without heartbeats")
    {
        time_point now = start;
        for (int n = 0; n < 3; ++n)
        {
            CHECK(is_live(view, "h1", limits, now));
            now += milliseconds(1'000);
            apply_whole(view, {registration}, 6, now);
        }
        CHECK_FALSE(is_live(view, "h1", limits, now));
    }
    SECTION("a registration is older than the heartbeats")
    {
        apply_changes(view, {make_host("h1", 7)}, 7);
        apply_whole(view, {registration}, 8);
        CHECK(view.hosts.at("h1").version == 7);
        CHECK(view.hosts.at("h1").row.beat == 7);
    }
}

// The agent's own claims and lists are in the view before a read returns them.
TEST_CASE("older rows do not replace newer ones in the view", "[scheduler]")
{
    cluster_view view;
    apply_whole(view, {make_host("h1", 1)}, 1);
    view.resources["rack/r1"].owner = {"h1", 1};
    view.resources["rack/r1"].version = 9;
    view.rosters["r1"].targets["t1"] = "10.0.0.1:80";
    view.rosters["r1"].version = 9;
    SECTION("by changes")
    {
        apply_changes(view,
                      {make_owner("rack/r1", "h2", 8),
                       make_roster("r1", "t2", 8), make_removal("host/h2", 8)},
                      8);
    }
    SECTION("by a whole read that does not show them yet")
    {
        apply_whole(view, {make_host("h1", 1)}, 8);
    }
    REQUIRE(view.resources.at("rack/r1").owner.host == "h1");
    REQUIRE(view.rosters.at("r1").targets.count("t1") == 1);
}

// A row that changes between two pages is read twice, in either order.
TEST_CASE("the newest version of a row counts", "[scheduler]")
{
    cluster_view view;
    apply_whole(view, {make_owner("rack/r1", "h1", 5)}, 3);
    apply_changes(
        view, {make_removal("rack/r1", 4), make_owner("rack/r1", "h1", 5)}, 5);
    REQUIRE(view.resources.at("rack/r1").version == 5);
    apply_changes(
        view, {make_owner("rack/r1", "h2", 7), make_removal("rack/r1", 6)}, 7);
    REQUIRE(view.resources.at("rack/r1").owner.host == "h2");
}

TEST_CASE(
    "a malformed row removes a host, empties a list of targets, and keeps "
    "the known owner",
    "[scheduler]")
{
    cluster_view view;
    apply_whole(view,
                {make_host("h1", 1), make_owner("rack/r1", "h1", 2),
                 make_roster("r1", "t1", 3)},
                3);
    apply_changes(view,
                  {make_row("host/h1", "{", 4), make_row("rack/r1", "{", 4),
                   make_row("roster/r1", "{", 4), make_row("odd", "{", 4)},
                  4);
    REQUIRE(view.hosts.empty());
    REQUIRE(view.resources.size() == 1);
    REQUIRE(view.resources.at("rack/r1").owner.host == "h1");
    REQUIRE(view.resources.at("rack/r1").version == 2);
    REQUIRE(view.rosters.at("r1").targets.empty());
    REQUIRE(view.rosters.at("r1").version == 4);
}

// Hosts of an older software version write no weight, and get a weight of 1.
TEST_CASE("the weight of a host is read from its row", "[scheduler]")
{
    host_row host;
    host.name = "h1";
    host.weight = 0.12;
    cluster_view view;
    apply_whole(view,
                {make_row("host/h1", to_json(host), 1),
                 make_row("host/h2", R"({"name":"h2","boot":1})", 1)},
                1);
    REQUIRE(view.hosts.at("h1").row.weight == Approx(0.12));
    REQUIRE(view.hosts.at("h2").row.weight == Approx(1.0));
}
