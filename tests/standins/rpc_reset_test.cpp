#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "support/proxied_link.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against a reply that is taken for the reply to another message after a
// connection was reset: a caller would receive the answer of another request.
TEST_CASE("a message gets its own reply after resets", "[standins]")
{
    proxied_link link;
    rpc_server server(
        "key",
        [](const std::string&, const std::string&,
           const std::string& payload) -> absl::StatusOr<std::string>
        { return payload; });
    REQUIRE(server.start("127.0.0.1", link.server_port).ok());
    rpc_client client("key", "a1");
    const endpoint address = *parse_endpoint(link.address);
    std::atomic<bool> is_stopping{false};
    std::atomic<int> wrong{0};
    std::atomic<int> right{0};
    constexpr int caller_count = 8;
    std::vector<std::thread> threads;
    threads.reserve(caller_count);
    for (int t = 0; t < caller_count; ++t)
    {
        threads.emplace_back(
            [&, t]
            {
                for (int n = 0; !is_stopping; ++n)
                {
                    const std::string payload =
                        std::to_string(t) + "-" + std::to_string(n);
                    const absl::StatusOr<std::string> reply = client.call(
                        address, "echo", payload, milliseconds(100));
                    if (reply.ok())
                    {
                        ++(*reply == payload ? right : wrong);
                    }
                }
            });
    }
    for (const char* mode :
         {"reset", "cut_reply_after_request", "cut_replies", "drop", "reset",
          "cut_requests", "cut_reply_after_request", "drop"})
    {
        int before = right;
        CHECK(wait_until([&] { return right > before + 100; }));
        link.set(mode);
        std::this_thread::sleep_for(milliseconds(150));
        link.set("pass");
    }
    const int before = right;
    CHECK(wait_until([&] { return right > before + 100; }));
    is_stopping = true;
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(wrong == 0);
}
