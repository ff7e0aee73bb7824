#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "support/free_port.hpp"

#include <catch2/catch.hpp>
#include <cxxtools/eventloop.h>
#include <cxxtools/json/rpcserver.h>
#include <cxxtools/string.h>

#include <thread>

using namespace egretspindle;

// Guards against reading the reply to an earlier call that timed out on the
// same connection.
TEST_CASE("a late reply is not returned by the next call", "[net]")
{
    const unsigned short port = test::free_port();
    rpc_server server(
        "key",
        [](const std::string& type, const std::string&,
           const std::string& payload) -> absl::StatusOr<std::string>
        {
            if (type == "slow")
            {
                std::this_thread::sleep_for(std::chrono::milliseconds(400));
            }
            return payload;
        });
    REQUIRE(server.start("127.0.0.1", port).ok());
    rpc_client client("key", "a1");
    const endpoint address{"127.0.0.1", port};
    const std::chrono::milliseconds timeout(5000);
    REQUIRE(client.call(address, "fast", "first", timeout).ok());
    CHECK(
        kind_of(
            client.call(address, "slow", "late", std::chrono::milliseconds(100))
                .status()) == error_kind::deadline_exceeded);
    for (const std::string payload : {"second", "third"})
    {
        const absl::StatusOr<std::string> reply =
            client.call(address, "fast", payload, timeout);
        REQUIRE(reply.ok());
        CHECK(*reply == payload);
    }
}

namespace
{

cxxtools::String reply_to_other_message(const cxxtools::String& /*type*/,
                                        const cxxtools::String& /*sender*/,
                                        const cxxtools::String& /*payload*/,
                                        const cxxtools::String& /*mac*/)
{
    return cxxtools::String(L"0123456789abcdefdone");
}

} // namespace

// Guards against accepting any reply as the reply to the last message on its
// connection. During random fault injection, callers received the answer to the
// previous request.
TEST_CASE("a reply to another message is rejected", "[net]")
{
    const unsigned short port = test::free_port();
    cxxtools::EventLoop loop;
    cxxtools::json::RpcServer server(loop, "127.0.0.1", port);
    server.registerFunction("call", reply_to_other_message);
    std::thread thread([&loop] { loop.run(); });
    rpc_client client("key", "a1");
    const absl::StatusOr<std::string> reply = client.call(
        {"127.0.0.1", port}, "submit", "{}", std::chrono::milliseconds(5000));
    loop.exit();
    thread.join();
    CHECK(kind_of(reply.status()) == error_kind::deadline_exceeded);
}
