#include "egretspindle/membership/digest_selection.hpp"

#include "simulated_cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace egretspindle;
using test::simulated_cluster;

namespace
{

constexpr milliseconds second{1000};

rack_summary make_rack(const std::string& name, int free_slots)
{
    rack_summary rack;
    rack.rack = name;
    rack.epoch = 123;
    rack.free_slots = free_slots;
    rack.free_cores = 127.25;
    rack.free_memory_mb = 524288.5;
    rack.free_accelerators = 12;
    rack.urgent_queue = 17;
    rack.urgent_wait_ms = 1234.5;
    rack.targets = 8;
    return rack;
}

member_digest describe(const std::string& name)
{
    member_digest digest;
    digest.racks = {make_rack(name + "-r1", 5), make_rack(name + "-r2", 7)};
    return digest;
}

std::size_t escaped_size(const std::string& text)
{
    return text.size() +
           static_cast<std::size_t>(std::count(text.begin(), text.end(), '"'));
}

} // namespace

// Guards against messages that exceed the bandwidth budget because wire_size is
// lower than the encoded size.
TEST_CASE("wire_size is not below the encoded size", "[membership]")
{
    member_digest digest = describe("host-with-a-name");
    digest.name = "host-with-a-name";
    digest.address = "10.250.250.250:65000";
    digest.data_center = "th-central-a";
    digest.incarnation = 1'764'826'571'123;
    digest.sequence = 12'345'678;
    digest.plan_version = 123'456;
    digest.state = "suspect";
    CHECK(wire_size(digest) >= escaped_size(to_json(digest)));
    digest.racks.clear();
    CHECK(wire_size(digest) >= escaped_size(to_json(digest)));
}

// Guards against unbounded messages in a large data centre.
TEST_CASE("messages stay within the size limit", "[membership]")
{
    simulated_cluster cluster(5);
    cluster.describe = [](const std::string& name)
    {
        member_digest digest = describe(name);
        digest.racks.resize(1);
        return digest;
    };
    cluster.add_center("a", 20);
    cluster.add_center("b", 20);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.run_for(5 * second);
    std::size_t largest = 0;
    cluster.on_message = [&](const std::string& /*from*/,
                             const std::string& /*to*/,
                             const ping_message& message)
    {
        // Full lists are sent on request only.
        if (message.members.size() == 40)
        {
            return;
        }
        std::size_t size = 0;
        for (const member_digest& digest : message.members)
        {
            size += wire_size(digest);
        }
        largest = std::max(largest, size);
    };
    cluster.run_for(10 * second);
    CHECK(largest <= default_max_message_bytes);
}

// Guards against sending every rack of a data centre to all others, and against
// an aggregate that comes back and replaces the racks in its own data centre.
TEST_CASE("other data centres get the totals of a host's racks", "[membership]")
{
    simulated_cluster cluster(6);
    cluster.describe = describe;
    cluster.add_center("a", 3);
    cluster.add_center("b", 3);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.run_for(30 * second);
    const member_digest& remote =
        cluster.state("b-101").members.at("a-101").digest;
    REQUIRE(remote.racks.size() == 1);
    CHECK(remote.racks[0].rack == aggregate_rack_name);
    CHECK(remote.racks[0].free_slots == 12);
    const member_digest& local =
        cluster.state("a-102").members.at("a-101").digest;
    CHECK(local.racks.size() == 2);
    CHECK(local.sequence > 20);
    member_digest returned = aggregate_racks(local);
    returned.sequence += 100;
    merge_digest(cluster.state("a-102"), returned, cluster.now());
    CHECK(local.racks.size() == 2);
}

// Guards against a plan version that reaches only some members.
TEST_CASE("a new plan version reaches all members within 7 s", "[membership]")
{
    simulated_cluster cluster(7);
    std::int64_t version = 1;
    cluster.describe = [&](const std::string& name)
    {
        member_digest digest = describe(name);
        digest.racks.resize(1);
        digest.plan_version = name == "a-103" ? version : 0;
        return digest;
    };
    cluster.add_center("a", 60);
    REQUIRE(
        cluster.run_until([&] { return cluster.is_complete(); }, 30 * second));
    cluster.run_for(3 * second);
    version = 2;
    CHECK(cluster.run_until(
        [&]
        {
            for (const std::string& name : cluster.names())
            {
                if (name != "a-103" && cluster.state(name)
                                               .members.at("a-103")
                                               .digest.plan_version != 2)
                {
                    return false;
                }
            }
            return true;
        },
        7 * second));
}
