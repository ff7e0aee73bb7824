#include "egretspindle/core/error.hpp"

#include "http_store.hpp"
#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace egretspindle;

// Guards against resending a transaction after its response was lost. The HTTP
// library resent the record of a new job; the store rejected the copy, and the
// scheduler refused the job although its record had been written. This happened
// 17 times in one fault run. Copies of other transactions doubled the load of a
// busy store.
TEST_CASE("a transaction is not resent after its response was lost",
          "[platform]")
{
    // Answers reads, closes the connection of the first transaction without a
    // response, and rejects all later ones.
    int transactions = 0;
    test::scripted_server server(
        [&](const std::string& request) -> std::optional<std::string>
        {
            if (request.rfind("GET", 0) == 0)
            {
                return test::make_response("200 OK",
                                           R"({"rows":[],"rowVersion":1})");
            }
            if (++transactions == 1)
            {
                return std::nullopt;
            }
            return test::make_response("429 Busy", "");
        });
    // Destroyed before the server, which closes the connections to it.
    platform::http_store store({"127.0.0.1", server.port()});
    row_range range;
    range.table = "jobs";
    // Leaves an idle connection that could be reused.
    REQUIRE(store.read(range, std::chrono::milliseconds(5'000)).ok());
    row_transaction transaction;
    transaction.is_sent_once = GENERATE(true, false);
    table_row row;
    row.table = "jobs";
    row.key = "0123456789abcdef";
    transaction.writes.push_back(row);
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, std::chrono::milliseconds(5'000));
    REQUIRE_FALSE(result.ok());
    REQUIRE(kind_of(result.status()) == error_kind::deadline_exceeded);
    // The read and one transaction.
    REQUIRE(server.request_count() == 2);
}
