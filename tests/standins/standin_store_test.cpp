#include "egretspindle/adapters/host_list_client.hpp"
#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"

#include "support/child_process.hpp"
#include "support/json_http.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

struct running_store
{
    temporary_directory directory;
    port_reservation ports;
    std::string address = ports.reserve_address();
    child_process process;
    std::unique_ptr<store_client> client = *make_http_store_client(address);

    explicit running_store(std::vector<std::string> arguments = {})
        : process("standin_store", with_listen(std::move(arguments)),
                  directory.file("log"))
    {
        REQUIRE(wait_until(
            [&] { return send_http(address, "GET", "/stats").ok(); }));
    }

    std::vector<std::string> with_listen(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), {"--listen", address});
        return arguments;
    }

    absl::StatusOr<commit_result> put(const std::string& tx_id,
                                      const std::string& key,
                                      std::int64_t version,
                                      const std::string& value)
    {
        store_transaction transaction;
        transaction.tx_id = tx_id;
        transaction.checks = {{key, version}};
        transaction.writes = {{key, value, false}, {key + "/2", value, false}};
        return client->commit(transaction, milliseconds(500));
    }
};

constexpr milliseconds timeout{2000};

} // namespace

// Guards against a store that applies only a part of a transaction or applies a
// repeated one again: tests that use it would give wrong results.
TEST_CASE("transactions are atomic, checked and idempotent", "[standins]")
{
    running_store store;
    CHECK(store.put("1", "a", 0, "x")->committed);
    CHECK_FALSE(store.put("2", "a", 0, "y")->committed);
    CHECK(store.client->read("a/2", timeout)->value == "x");
    // A repeat returns the first result and changes nothing.
    const std::int64_t version = store.client->read("a", timeout)->version;
    CHECK(store.put("3", "a", version, "z")->committed);
    CHECK(store.put("1", "a", 0, "x")->committed);
    CHECK(store.client->read("a", timeout)->value == "z");
    const auto rows = store.client->scan("a", "a", 10, timeout);
    REQUIRE(rows->size() == 1);
    CHECK(rows->front().key == "a/2");
    REQUIRE(store.client->put_object("o", "data", timeout).ok());
    CHECK(*store.client->get_object("o", timeout) == "data");
}

// Guards against a deleted row whose version is used again, which would let a
// compare-and-set of an old reader succeed.
TEST_CASE("versions are never used again", "[standins]")
{
    running_store store;
    CHECK(store.put("1", "a", 0, "x")->committed);
    const std::int64_t version = store.client->read("a", timeout)->version;
    store_transaction remove;
    remove.tx_id = "2";
    remove.writes = {{"a", "", true}};
    CHECK(store.client->commit(remove, timeout)->committed);
    CHECK(store.put("3", "a", 0, "y")->committed);
    CHECK_FALSE(store.put("4", "a", version, "z")->committed);
}

// Guards against faults that do not take effect when a test sets them.
TEST_CASE("outage, lost answers and rate limits take effect", "[standins]")
{
    running_store store({"--max-writes-per-second", "5"});
    (void)post_control(store.address, R"({"outage":true})");
    CHECK(kind_of(store.client->read("a", timeout).status()) ==
          error_kind::unavailable);
    (void)post_control(store.address, R"({"outage":false,"lose_answers":1})");
    // The client finds the result of the lost answer by the transaction id.
    CHECK(store.put("1", "a", 0, "x")->committed);
    CHECK(store.client->read("a", timeout)->value == "x");
    bool is_limited = false;
    for (int n = 0; n < 10; ++n)
    {
        const auto result = store.put("r" + std::to_string(n), "b", -1, "x");
        is_limited =
            is_limited || kind_of(result.status()) == error_kind::overloaded;
    }
    CHECK(is_limited);
}

// Guards against a host list without the lag that tests rely on.
TEST_CASE("the host list shows a change after its lag", "[standins]")
{
    temporary_directory directory;
    port_reservation ports;
    const std::string address = ports.reserve_address();
    child_process process("standin_host_list",
                          {"--listen", address, "--lag-ms", "300"},
                          directory.file("log"));
    REQUIRE(wait_until(
        [&] { return send_http(address, "GET", "/v1/hosts").ok(); }));
    const auto client = *make_http_host_list_client(address);
    (void)post_control(address, R"({"hosts":[{"name":"t1"},{"name":"t2"}]})");
    REQUIRE(client->hosts()->size() == 2);
    const std::int64_t changed_ms = unix_ms();
    (void)post_control(address, R"({"name":"t2","state":"leaving"})");
    CHECK(
        wait_until([&] { return client->hosts()->at(1).state == "leaving"; }));
    CHECK(unix_ms() - changed_ms >= 300);
}
