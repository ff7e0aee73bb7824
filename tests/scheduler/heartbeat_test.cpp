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

// Returns the number of the heartbeat in the row of `h1`, 0 without a row.
std::int64_t stored_beat(fake_store& store)
{
    const table_row row =
        store.row(std::string(cluster_table), "h1", "host/h1");
    return row.version == 0 ? 0 : from_json<host_row>(row.value)->beat;
}

// Returns whether that number reaches `beat` within about 10 s.
bool wait_for_beat(fake_store& store, std::int64_t beat)
{
    for (int n = 0; n < 1'000 && stored_beat(store) < beat; ++n)
    {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return stored_beat(store) >= beat;
}

cluster_hooks make_hooks()
{
    cluster_hooks hooks;
    hooks.taken = [](const std::string&, std::int64_t, const former_ownership&,
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

// If reads, hooks and claims delayed the heartbeats, a host that is only slow
// would lose its racks after 3 s (`liveness_limits::heartbeat_timeout`).
TEST_CASE("heartbeats are written every second despite slow reads and hooks",
          "[scheduler]")
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
    SECTION("slow counting of the jobs that have not started")
    {
        hooks.pending = [slow]
        {
            slow();
            return std::map<std::string, std::int64_t>{};
        };
    }
    // Together they take 8 s, longer than `stall_timeout`; each one counts as
    // progress.
    SECTION("slow takeovers of 32 shards")
    {
        hooks.taken = [](const std::string&, std::int64_t,
                         const former_ownership&, const clock_reading&)
        {
            std::this_thread::sleep_for(milliseconds(250));
        };
    }
    liveness_limits limits;
    limits.first_claim_delay = milliseconds(1);
    limits.stall_timeout = milliseconds(4'000);
    cluster_agent agent(store, make_self(), hooks, limits);
    agent.start();
    REQUIRE(wait_for_beat(store, 1));
    // Without delays 6 more beats follow within 6.5 s. With a read of 1.5 s
    // between them only 4 would, which makes 5.
    std::this_thread::sleep_for(milliseconds(6'500));
    REQUIRE(stored_beat(store) >= 6);
    agent.stop();
}

// Otherwise a hung host would keep its racks forever.
TEST_CASE("a hung host writes no heartbeats until it makes progress again",
          "[scheduler]")
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
    limits.stall_timeout = milliseconds(1'500);
    cluster_agent agent(store, make_self(), hooks, limits);
    agent.start();
    // The beats at 0 s and 1 s come before `stall_timeout` (1.5 s).
    const bool has_begun = wait_for_beat(store, 2);
    std::this_thread::sleep_for(milliseconds(2'500));
    const std::int64_t beat_while_hung = stored_beat(store);
    hangs = false; // otherwise a failure below waits for the hook forever
    REQUIRE(has_begun);
    REQUIRE(beat_while_hung == 2);
    REQUIRE(wait_for_beat(store, 4));
    const table_row row =
        store.row(std::string(cluster_table), "h1", "host/h1");
    REQUIRE(from_json<host_row>(row.value)->pending.at("q") == 3);
    agent.stop();
}

// Other hosts take over the resources of a leaving host when they read this
// row.
TEST_CASE("a leaving host writes its heartbeat row at once", "[scheduler]")
{
    fake_store store;
    cluster_agent agent(store, make_self(), make_hooks(), {});
    agent.start();
    REQUIRE(wait_for_beat(store, 2));
    agent.leave();
    REQUIRE(wait_for_beat(store, 3));
    const table_row row =
        store.row(std::string(cluster_table), "h1", "host/h1");
    REQUIRE(from_json<host_row>(row.value)->is_leaving);
    agent.stop();
}

// Other hosts must not see a heartbeat whose write was refused.
TEST_CASE("a host whose writes are refused stays without a new heartbeat until "
          "one succeeds",
          "[scheduler]")
{
    fake_store store;
    cluster_agent agent(store, make_self(), make_hooks(), {});
    agent.start();
    REQUIRE(wait_for_beat(store, 2));
    store.set_fault(write_fault::refused);
    const std::int64_t last = stored_beat(store);
    std::this_thread::sleep_for(milliseconds(2'500));
    REQUIRE(stored_beat(store) == last);
    store.set_fault(write_fault::none);
    REQUIRE(wait_for_beat(store, last + 1));
    agent.stop();
}

// Claims from a host that leaves depend on its last heartbeat. Guards against
// claims that fail, and leases that it may grant, as long as it lives.
TEST_CASE("a host that leaves writes no heartbeats once that is confirmed",
          "[scheduler]")
{
    fake_store store;
    cluster_agent agent(store, make_self(), make_hooks(), {});
    agent.start();
    REQUIRE(wait_for_beat(store, 1));
    const auto wait_for_reads = [&store](int count)
    {
        const int before = store.watches();
        for (int n = 0; n < 2'000 && store.watches() < before + count; ++n)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        REQUIRE(store.watches() >= before + count);
    };
    store.set_fault(write_fault::refused);
    agent.leave();
    wait_for_reads(3);
    CHECK_FALSE(agent.progress_of_stop().is_announced);
    store.set_fault(write_fault::none);
    wait_for_reads(8);
    CHECK(agent.progress_of_stop().is_announced);
    const std::int64_t beat = stored_beat(store);
    wait_for_reads(8);
    CHECK(stored_beat(store) == beat);
}

// The store may carry out an unanswered heartbeat late. Guards against a host
// that others then take for one that stays.
TEST_CASE("a host that leaves repeats that after a late heartbeat",
          "[scheduler]")
{
    fake_store store;
    cluster_agent agent(store, make_self(), make_hooks(), {});
    agent.start();
    REQUIRE(wait_for_beat(store, 1));
    agent.leave();
    const auto is_stored_as_leaving = [&store]
    {
        const table_row row =
            store.row(std::string(cluster_table), "h1", "host/h1");
        return from_json<host_row>(row.value)->is_leaving;
    };
    const auto wait_until_leaving = [&]
    {
        for (int n = 0; n < 1'000 && !(is_stored_as_leaving() &&
                                       agent.progress_of_stop().is_announced);
             ++n)
        {
            std::this_thread::sleep_for(milliseconds(10));
        }
        return is_stored_as_leaving();
    };
    REQUIRE(wait_until_leaving());
    row_transaction transaction;
    table_row row;
    row.table = std::string(cluster_table);
    row.part = "h1";
    row.key = "host/h1";
    row.value = to_json(make_self());
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
    CHECK(wait_until_leaving());
}

// Guards against live hosts that are taken for dead after one heartbeat without
// an answer.
TEST_CASE("a heartbeat without an answer ends before its host counts as dead",
          "[.][scheduler_unanswered_heartbeat]")
{
    class timeout_recorder final : public table_store
    {
    public:
        fake_store rows;
        std::atomic<std::int64_t> timeout_ms{0};

        absl::StatusOr<transaction_result>
        commit(const row_transaction& transaction,
               std::chrono::milliseconds timeout) override
        {
            if (transaction.kind == transaction_kind::heartbeat)
            {
                timeout_ms = timeout.count();
            }
            return rows.commit(transaction, timeout);
        }

        absl::StatusOr<table_page>
        read(const row_range& range, std::chrono::milliseconds timeout) override
        {
            return rows.read(range, timeout);
        }

        absl::StatusOr<table_page>
        watch(std::string_view table, std::int64_t after,
              std::chrono::milliseconds wait) override
        {
            return rows.watch(table, after, wait);
        }
    };
    timeout_recorder store;
    cluster_agent agent(store, make_self(), make_hooks(), liveness_limits{});
    agent.start();
    REQUIRE(wait_for_beat(store.rows, 1));
    agent.stop();
    REQUIRE(store.timeout_ms > 0);
    CHECK(2 * store.timeout_ms < liveness_limits{}.heartbeat_timeout.count());
}
