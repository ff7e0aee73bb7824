#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "relay.hpp"
#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace egretspindle;

// Guards against an order that the RPC library resends by itself: the receiver
// would reject the second copy, which hides that it has carried out the first
// one.
TEST_CASE("a message is not resent when its connection is closed", "[net]")
{
    const bool is_reused = GENERATE(false, true);
    const unsigned short port = test::free_port();
    rpc_server server(
        "key",
        [](const std::string&, const std::string&,
           const std::string& payload) -> absl::StatusOr<std::string>
        { return payload; });
    REQUIRE(server.start("127.0.0.1", port).ok());
    test::relay relay(port);
    const std::chrono::milliseconds timeout(5000);
    absl::Status status;
    {
        rpc_client client("key", "a1");
        const endpoint address{"127.0.0.1", relay.port()};
        if (is_reused)
        {
            REQUIRE(client.call(address, "echo", "first", timeout).ok());
        }
        relay.start_dropping();
        status = client.call(address, "echo", "second", timeout).status();
    }
    CHECK(kind_of(status) == error_kind::deadline_exceeded);
    CHECK(relay.dropped_count() == 1);
}

// Guards against reporting an uncertain outcome when the receiver had closed
// the connection before the message was sent: the scheduler then waits up to 15
// seconds with the start.
TEST_CASE("nothing is sent on an idle connection that the receiver has closed",
          "[net]")
{
    const unsigned short port = test::free_port();
    rpc_client client("key", "a1");
    const endpoint address{"127.0.0.1", port};
    const std::chrono::milliseconds timeout(5000);
    CHECK(kind_of(client.call(address, "echo", "first", timeout).status()) ==
          error_kind::unavailable);
    for (const std::string payload : {"second", "third"})
    {
        rpc_server server(
            "key",
            [](const std::string&, const std::string&,
               const std::string& text) -> absl::StatusOr<std::string>
            { return text; });
        REQUIRE(server.start("127.0.0.1", port).ok());
        const absl::StatusOr<std::string> reply =
            client.call(address, "echo", payload, timeout);
        REQUIRE(reply.ok());
        CHECK(*reply == payload);
        server.stop();
        CHECK(
            kind_of(client.call(address, "echo", "other", timeout).status()) ==
            error_kind::unavailable);
    }
}
