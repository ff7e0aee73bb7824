#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_server.hpp"
#include "egretspindle/plan/plan_digest.hpp"
#include "egretspindle/plan/plan_propagation.hpp"
#include "egretspindle/plan/plan_query.hpp"

#include "memory_store.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <chrono>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace egretspindle;

namespace
{

accepted_plan make_plan(std::int64_t version)
{
    accepted_plan plan;
    plan.version = version;
    plan.document = "[team.rota]\nmax_queue = " + std::to_string(version) +
                    "\n[hosts]\nteam = \"rota\"\n[break]\nteam = \"rota\"\n"
                    "windows = [\"11:30-12:00\"]\n";
    plan.digest = plan_digest(plan.document);
    return plan;
}

unsigned short free_port()
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0);
    REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) ==
            0);
    close(fd);
    return ntohs(address.sin_port);
}

bool wait_for_version(const plan_table& table, std::int64_t version)
{
    const auto limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (table.version() < version &&
           std::chrono::steady_clock::now() < limit)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return table.version() == version;
}

/// Host under test and one peer, which replies to `get_plan` with `answer`.
struct fixture
{
    fixture()
        : server(
              "key",
              [this](const std::string&, const std::string&,
                     const std::string& payload) -> absl::StatusOr<std::string>
              {
                  requested_version = from_json<plan_query>(payload)->version;
                  return to_json(answer);
              })
    {
        const unsigned short port = free_port();
        REQUIRE(server.start("127.0.0.1", port).ok());
        peer.name = "e2";
        peer.address = "127.0.0.1:" + std::to_string(port);
        options.host_name = "e1";
        options.poll_period = std::chrono::milliseconds(50);
        options.first_plan_delay = std::chrono::milliseconds(0);
    }

    test::memory_store rows;
    plan_store store{rows, "e1", std::chrono::milliseconds(100)};
    accepted_plan answer;
    std::atomic<std::int64_t> requested_version{0};
    rpc_server server;
    rpc_client client{"key", "e1"};
    member_digest peer;
    plan_table table;
    drain_table drains;
    plan_service_options options;
};

} // namespace

TEST_CASE("a plan is applied from the store without peers", "[plan]")
{
    fixture host;
    plan_record record;
    record.plan = make_plan(1);
    record.tx_id = "tx-1";
    REQUIRE(host.store.write_accepted(record, {}, {})->committed);
    plan_propagation propagation(
        host.store, host.client, [] { return std::vector<member_digest>(); },
        host.table, host.drains, host.options);
    propagation.start();
    CHECK(wait_for_version(host.table, 1));
    CHECK(host.requested_version == 0);
}

TEST_CASE("a plan is applied from a peer while the store is down", "[plan]")
{
    fixture host;
    host.rows.is_down = true;
    host.answer = make_plan(4);
    host.peer.plan_version = 4;
    plan_propagation propagation(
        host.store, host.client,
        [&host] { return std::vector<member_digest>{host.peer}; }, host.table,
        host.drains, host.options);
    propagation.start();
    CHECK(wait_for_version(host.table, 4));
    CHECK(host.requested_version == 4);
}

// Guards against a peer that announces one version and sends another plan.
TEST_CASE("a lower or damaged plan of a peer is not applied", "[plan]")
{
    fixture host;
    REQUIRE(host.table.offer(make_plan(3)).ok());
    host.peer.plan_version = 5;
    plan_propagation propagation(
        host.store, host.client,
        [&host] { return std::vector<member_digest>{host.peer}; }, host.table,
        host.drains, host.options);
    host.answer = make_plan(2);
    propagation.poll_peers();
    CHECK(host.table.version() == 3);
    host.answer = make_plan(5);
    host.answer.document += "# damaged\n";
    propagation.poll_peers();
    CHECK(host.table.version() == 3);
    host.answer = make_plan(5);
    propagation.poll_peers();
    CHECK(host.table.version() == 5);
    host.requested_version = 0;
    propagation.poll_peers();
    CHECK(host.requested_version == 0);
}

// Guards against a new host applying an outdated plan of a peer although the
// store has a later one.
TEST_CASE("a host without a plan reads the store before its peers", "[plan]")
{
    fixture host;
    host.options.first_plan_delay = std::chrono::hours(1);
    host.answer = make_plan(1);
    host.peer.plan_version = 1;
    plan_propagation propagation(
        host.store, host.client,
        [&host] { return std::vector<member_digest>{host.peer}; }, host.table,
        host.drains, host.options);
    propagation.poll_peers();
    CHECK(host.table.version() == 0);
    plan_record record;
    record.plan = make_plan(2);
    record.tx_id = "tx-1";
    REQUIRE(host.store.write_accepted(record, {}, {})->committed);
    REQUIRE(propagation.poll_store().ok());
    CHECK(host.table.version() == 2);
}

TEST_CASE("a different document of the version in force is not applied",
          "[plan]")
{
    fixture host;
    REQUIRE(host.table.offer(make_plan(1)).ok());
    plan_record record;
    record.plan = make_plan(2);
    record.plan.version = 1;
    record.tx_id = "tx-1";
    REQUIRE(host.store.write_accepted(record, {}, {})->committed);
    plan_propagation propagation(
        host.store, host.client, [] { return std::vector<member_digest>(); },
        host.table, host.drains, host.options);
    REQUIRE(propagation.poll_store().ok());
    CHECK(host.table.current()->accepted.digest == make_plan(1).digest);
}
