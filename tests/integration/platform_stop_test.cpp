#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/endpoint.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/protocol/message_router.hpp"
#include "egretspindle/rack/rack_handover.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "http_store.hpp"
#include "support/child_process.hpp"
#include "support/json_http.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <map>
#include <mutex>
#include <sys/wait.h>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

// The platform kills a process so long after SIGTERM; the default of the
// settings.
constexpr milliseconds grace{6'000};
constexpr milliseconds call_timeout{2'000};

/// A process on a stand-in platform with two racks.
struct stop_fixture
{
    port_reservation ports;
    temporary_directory directory;
    const std::string control = ports.reserve_address();
    const std::string store_of_host = ports.reserve_address();
    const std::string store_of_test = ports.reserve_address();
    const std::string ready = ports.reserve_address();
    std::unique_ptr<child_process> platform;
    platform::http_store store{*parse_endpoint(store_of_test)};
    std::unique_ptr<child_process> host;

    stop_fixture()
    {
        platform = std::make_unique<child_process>(
            "standin_platform",
            std::vector<std::string>{"--control", control, "--store",
                                     "h1=" + store_of_host, "--store",
                                     "test=" + store_of_test, "--target",
                                     target(0), "--target", target(1)},
            directory.file("platform.log"));
        REQUIRE(wait_until(
            [&] { return send_http(control, "GET", "/control").ok(); }));
        write_file(
            directory.file("h1.toml"),
            fmt::format("[scheduler]\nhost = \"h1\"\ndata_center = \"a\"\n"
                        "callers = \"{}\"\nready = \"{}\"\npeer = \"{}\"\n"
                        "store = \"{}\"\ntransactions_span_parts = true\n",
                        ports.reserve_address(), ready, ports.reserve_address(),
                        store_of_host));
    }

    std::string target(int n)
    {
        const std::string address = ports.reserve_address();
        return fmt::format("t{},{},{},a,r{}", n, address, address, n);
    }

    void start_host()
    {
        host = std::make_unique<child_process>(
            "egretspindle",
            std::vector<std::string>{"--settings", directory.file("h1.toml")},
            directory.file("h1.log"));
    }

    void wait_ready()
    {
        REQUIRE(wait_until(
            [&]
            {
                const absl::StatusOr<http_response> reply =
                    send_http(ready, "GET", "/egretspindle/ready");
                return reply.ok() && reply->status == 200;
            }));
    }

    void set_store_of_host(const std::string& action)
    {
        post_control(control, R"({"what":"store","names":["h1"],"action":")" +
                                  action + "\"}");
    }

    std::vector<table_row> rows()
    {
        row_range range;
        range.table = std::string(cluster_table);
        const absl::StatusOr<table_page> page = store.read(range, call_timeout);
        REQUIRE(page.ok());
        return page->rows;
    }

    // Returns the owner rows of a host by key.
    std::map<std::string, table_row> owner_rows(const std::string& name)
    {
        std::map<std::string, table_row> result;
        for (const table_row& row : rows())
        {
            const bool is_owner_row = row.key.rfind(shard_prefix, 0) == 0 ||
                                      row.key.rfind(rack_prefix, 0) == 0;
            if (is_owner_row &&
                from_json<resource_owner>(row.value)->host == name)
            {
                result[row.key] = row;
            }
        }
        return result;
    }

    // Makes the host `h9` the owner of all that `h1` owns.
    void claim_all(const std::string& peer)
    {
        host_row claimant;
        claimant.name = "h9";
        claimant.boot = 1;
        claimant.peer = peer;
        claimant.data_center = "a";
        row_transaction transaction;
        table_row row;
        row.table = std::string(cluster_table);
        row.key = std::string(host_prefix) + "h9";
        row.value = to_json(claimant);
        transaction.writes.push_back(row);
        for (const auto& [key, owned] : owner_rows("h1"))
        {
            row.key = key;
            row.value = to_json(resource_owner{"h9", 1});
            transaction.conditions.push_back(
                {row.table, "", key, owned.version});
            transaction.writes.push_back(row);
        }
        const absl::StatusOr<transaction_result> result =
            store.commit(transaction, call_timeout);
        REQUIRE(result.ok());
        REQUIRE(result->is_committed);
    }

    // Checks that the process ends cleanly within the grace time.
    void check_end(steady_clock::time_point told_at)
    {
        const std::optional<int> status =
            host->wait_exit(std::chrono::seconds(40));
        const milliseconds took = elapsed(told_at);
        INFO(read_file(directory.file("h1.log")));
        REQUIRE(status.has_value());
        CHECK(*status == 0);
        CHECK(took < grace);
    }
};

/// Stands in for the next owner of racks: receives their releases.
struct release_receiver
{
    std::mutex mutex;
    std::map<std::string, int> calls;   ///< by rack
    std::map<std::string, int> targets; ///< of the last release, by rack
    message_router router;
    rpc_server server;

    release_receiver(const std::string& key, const std::string& address)
        : server(key, [this](const std::string& type, const std::string& sender,
                             const std::string& payload)
                 { return router.dispatch(type, sender, payload); })
    {
        router.on<rack_handover, rack_handover_reply>(
            "rack_handover",
            [this](const std::string&, const rack_handover& handover)
                -> absl::StatusOr<rack_handover_reply>
            {
                const std::lock_guard<std::mutex> lock(mutex);
                targets[handover.rack] =
                    static_cast<int>(handover.targets.size());
                // A new owner may hear of a release before it knows that its
                // claim was successful.
                return rack_handover_reply{++calls[handover.rack] > 2};
            });
        const endpoint at = *parse_endpoint(address);
        REQUIRE(server.start(at.address, at.port).ok());
    }

    bool has_both()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return calls["r0"] > 2 && calls["r1"] > 2 && targets["r0"] == 1 &&
               targets["r1"] == 1;
    }
};

} // namespace

// Guards against a host that ends before it has told the next owners of its
// racks when its leases end, so that they wait for the longest ones.
TEST_CASE("a host that stops releases racks that are claimed late",
          "[platform_stop]")
{
    stop_fixture fixture;
    fixture.start_host();
    fixture.wait_ready();
    REQUIRE(wait_until(
        [&] { return fixture.owner_rows("h1").size() == shard_count + 2; }));
    std::string key;
    for (const table_row& row : fixture.rows())
    {
        key = row.key == "key" ? row.value : key;
    }
    const std::string peer = fixture.ports.reserve_address();
    release_receiver next_owner(key, peer);
    const steady_clock::time_point told_at = steady_clock::now();
    fixture.host->signal(SIGTERM);
    // The claim comes in the second half of the grace time.
    std::this_thread::sleep_for(grace * 11 / 20);
    fixture.claim_all(peer);
    fixture.check_end(told_at);
    CHECK(next_owner.has_both());
}

// Guards against a host that ends without a trace of its leases when nobody has
// claimed its racks in time.
TEST_CASE("a host that stops leaves releases of unclaimed racks in the store",
          "[platform_stop]")
{
    stop_fixture fixture;
    fixture.start_host();
    fixture.wait_ready();
    REQUIRE(wait_until(
        [&] { return fixture.owner_rows("h1").size() == shard_count + 2; }));
    const steady_clock::time_point told_at = steady_clock::now();
    fixture.host->signal(SIGTERM);
    fixture.check_end(told_at);
    std::map<std::string, rack_handover> releases;
    for (const table_row& row : fixture.rows())
    {
        if (row.key.rfind(release_prefix, 0) == 0)
        {
            releases[row.key] = *from_json<rack_handover>(row.value);
        }
    }
    REQUIRE(releases.size() == 2);
    const std::map<std::string, table_row> owned = fixture.owner_rows("h1");
    for (const std::string rack : {"r0", "r1"})
    {
        const rack_handover& release =
            releases[std::string(release_prefix) + rack];
        CHECK(release.token ==
              owned.at(std::string(rack_prefix) + rack).version);
        CHECK(release.targets.size() == 1);
    }
}

// Guards against a host that waits for claims that it cannot read until it is
// killed.
TEST_CASE("a host that stops without the store ends within the grace time",
          "[platform_stop]")
{
    const std::string action = GENERATE("unavailable", "silent", "slow");
    CAPTURE(action);
    stop_fixture fixture;
    fixture.start_host();
    fixture.wait_ready();
    REQUIRE(wait_until(
        [&] { return fixture.owner_rows("h1").size() == shard_count + 2; }));
    fixture.set_store_of_host(action);
    const steady_clock::time_point told_at = steady_clock::now();
    fixture.host->signal(SIGTERM);
    fixture.host->signal(SIGTERM);
    std::this_thread::sleep_for(grace / 6);
    if (fixture.host->is_running())
    {
        fixture.host->signal(SIGTERM);
    }
    fixture.check_end(told_at);
}

// Guards against a host that waits for claims of what it never owned.
TEST_CASE("a host that owns nothing ends within the grace time",
          "[platform_stop]")
{
    stop_fixture fixture;
    fixture.start_host();
    fixture.wait_ready();
    CHECK(fixture.owner_rows("h1").empty());
    const steady_clock::time_point told_at = steady_clock::now();
    fixture.host->signal(SIGTERM);
    fixture.check_end(told_at);
}

// Guards against a host that cannot be stopped while it waits for the store at
// its start.
TEST_CASE("a host that has not joined the cluster ends within the grace time",
          "[platform_stop]")
{
    const std::string action = GENERATE("unavailable", "silent");
    CAPTURE(action);
    stop_fixture fixture;
    fixture.set_store_of_host(action);
    fixture.start_host();
    REQUIRE(wait_until(
        [&] {
            return send_http(fixture.ready, "GET", "/egretspindle/ready").ok();
        }));
    const steady_clock::time_point told_at = steady_clock::now();
    fixture.host->signal(SIGTERM);
    fixture.check_end(told_at);
}
