#include "egretspindle/codec/json.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace egretspindle;

namespace
{

std::int64_t beats(fake_store& store)
{
    const table_row row = store.row(std::string(cluster_table), "", "host/h1");
    return row.version == 0 ? 0 : from_json<host_row>(row.value)->beat;
}

bool wait_for_beat(fake_store& store, std::int64_t beat)
{
    for (int n = 0; n < 1'000 && beats(store) < beat; ++n)
    {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return beats(store) >= beat;
}

cluster_hooks make_hooks()
{
    cluster_hooks hooks;
    hooks.taken = [](const std::string&, std::int64_t, former_owner,
                     const clock_reading&) {
    };
    hooks.lost = [](const std::string&) {
    };
    hooks.verified = [](const std::string&, std::int64_t,
                        const clock_reading&) {
    };
    hooks.pending = []
    {
        return std::map<std::string, std::int64_t>{};
    };
    return hooks;
}

host_row make_self()
{
    host_row self;
    self.name = "h1";
    self.boot = 2;
    self.data_center = "dc";
    return self;
}

} // namespace

// Reads, hooks and claims ran between two heartbeats, so that a host that was
// only slow lost its racks after 3 s.
TEST_CASE("heartbeats come every second whatever the reads take", "[scheduler]")
{
    const auto slow = []
    {
        std::this_thread::sleep_for(milliseconds(1'500));
    };
    fake_store store;
    cluster_hooks hooks = make_hooks();
    SECTION("slow reads")
    {
        store.before_read = slow;
    }
    SECTION("a slow lock for the jobs that have not begun")
    {
        hooks.pending = [slow]
        {
            slow();
            return std::map<std::string, std::int64_t>{};
        };
    }
    SECTION("slow takeovers of 32 shards")
    {
        hooks.taken = [](const std::string&, std::int64_t, former_owner,
                         const clock_reading&)
        {
            std::this_thread::sleep_for(milliseconds(250));
        };
    }
    liveness_limits limits;
    limits.first_claim = milliseconds(1);
    limits.stall = milliseconds(4'000);
    cluster_agent agent(store, make_self(), hooks, limits);
    agent.start();
    REQUIRE(wait_for_beat(store, 1));
    // 6 beats follow if none is delayed, and 4 with a read between them.
    std::this_thread::sleep_for(milliseconds(6'500));
    REQUIRE(beats(store) >= 6);
    agent.stop();
}

// Without this rule a host that hangs would keep its racks for ever.
TEST_CASE("a host that hangs writes no heartbeats", "[scheduler]")
{
    fake_store store;
    std::atomic<bool> hangs{true};
    cluster_hooks hooks = make_hooks();
    hooks.pending = [&hangs]
    {
        while (hangs)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return std::map<std::string, std::int64_t>{{"q", 3}};
    };
    liveness_limits limits;
    limits.stall = milliseconds(1'500);
    cluster_agent agent(store, make_self(), hooks, limits);
    agent.start();
    const bool has_begun = wait_for_beat(store, 2);
    std::this_thread::sleep_for(milliseconds(2'500));
    const std::int64_t withheld = beats(store);
    hangs = false; // or a failure below would wait for the hook for ever
    REQUIRE(has_begun);
    REQUIRE(withheld == 2);
    REQUIRE(wait_for_beat(store, 4));
    const table_row row = store.row(std::string(cluster_table), "", "host/h1");
    REQUIRE(from_json<host_row>(row.value)->pending.at("q") == 3);
    agent.stop();
}

// Others take a leaving host's resources over when they read the mark.
TEST_CASE("a leaving host says so at once", "[scheduler]")
{
    fake_store store;
    cluster_agent agent(store, make_self(), make_hooks(), {});
    agent.start();
    REQUIRE(wait_for_beat(store, 2));
    agent.leave();
    REQUIRE(wait_for_beat(store, 3));
    const table_row row = store.row(std::string(cluster_table), "", "host/h1");
    REQUIRE(from_json<host_row>(row.value)->is_leaving);
    agent.stop();
}

// A write that is refused must not count as a heartbeat for the others.
TEST_CASE("a host that cannot write changes no row", "[scheduler]")
{
    fake_store store;
    cluster_agent agent(store, make_self(), make_hooks(), {});
    agent.start();
    REQUIRE(wait_for_beat(store, 2));
    store.set_fault(write_fault::refused);
    const std::int64_t last = beats(store);
    std::this_thread::sleep_for(milliseconds(2'500));
    REQUIRE(beats(store) == last);
    store.set_fault(write_fault::none);
    REQUIRE(wait_for_beat(store, last + 1));
    agent.stop();
}
