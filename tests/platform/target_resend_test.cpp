#include "http_target.hpp"
#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace egretspindle;

// Guards against resending a start order. The HTTP library resent a start after
// its connection was closed; the target rejected the copy, and the run was also
// started on another target.
TEST_CASE("a start order is not resent after its response was lost",
          "[platform]")
{
    // Answers polls, closes the connection of the first start without a
    // response, and rejects all later starts for lack of room.
    int starts = 0;
    test::scripted_server server(
        [&](const std::string& request) -> std::optional<std::string>
        {
            if (request.find("run-start") == std::string::npos)
            {
                return test::make_response("200 OK",
                                           R"({"clockMs":5,"born":1})");
            }
            if (++starts == 1)
            {
                return std::nullopt;
            }
            return test::make_response("409 Conflict",
                                       R"({"clockMs":5,"reason":"room"})");
        });
    target_entry entry;
    entry.id = "t1";
    entry.address = "127.0.0.1:" + std::to_string(server.port());
    // Destroyed before the server, which closes the connections to it.
    platform::http_target targets;
    const std::chrono::milliseconds timeout(5'000);
    // Leaves an idle connection that could be reused.
    REQUIRE(targets.poll(entry, poll_request{}, timeout).ok());
    start_order order;
    order.task = "job.0.0.0";
    order.run = 1;
    const absl::StatusOr<order_answer> answer =
        targets.start(entry, order, timeout);
    REQUIRE_FALSE(answer.ok());
    // The poll and one start.
    REQUIRE(server.request_count() == 2);
    // The rejection of a copy that the caller sent itself is returned.
    const absl::StatusOr<order_answer> second =
        targets.start(entry, order, timeout);
    REQUIRE(second.ok());
    REQUIRE(second->verdict == order_verdict::no_room);
    REQUIRE(server.request_count() == 3);
}
