#include "egretspindle/adapters/store_client.hpp"

#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace egretspindle;

// Guards against a request that is reported as not run although another host
// has accepted it: the answer with the conflict was lost, and the result that
// the store remembers has no rows.
TEST_CASE("a conflict whose answer was lost has its rows", "[adapters]")
{
    int posts = 0;
    test::scripted_server server(
        [&](const std::string& request) -> std::optional<std::string>
        {
            if (request.rfind("GET", 0) == 0)
            {
                return test::make_response(
                    "200 OK",
                    R"({"known":true,"committed":false,"version":0})");
            }
            if (++posts == 1)
            {
                return std::nullopt;
            }
            return test::make_response(
                "409 Conflict",
                R"({"committed":false,"version":0,"conflicts":[)"
                R"({"key":"r1","version":7,"value":"other"}]})");
        });
    const absl::StatusOr<std::unique_ptr<store_client>> store =
        make_http_store_client("127.0.0.1:" + std::to_string(server.port()));
    REQUIRE(store.ok());
    store_transaction transaction;
    transaction.tx_id = "t1";
    transaction.checks.push_back({"r1", 0});
    transaction.writes.push_back({"r1", "own", false});
    const absl::StatusOr<commit_result> result =
        (*store)->commit(transaction, std::chrono::milliseconds(5'000));
    REQUIRE(result.ok());
    CHECK_FALSE(result->committed);
    REQUIRE(result->conflicts.size() == 1);
    CHECK(result->conflicts.front().version == 7);
}
