#include "egretspindle/core/clock.hpp"
#include "egretspindle/net/http_client.hpp"
#include "egretspindle/net/http_server.hpp"

#include "support/proxied_link.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against modes that let traffic through, so that a test of a fault
// would pass without the fault.
TEST_CASE("each mode of a link stops the traffic that it names", "[standins]")
{
    proxied_link link;
    std::atomic<int> requests{0};
    http_server server({},
                       [&](const http_request&)
                       {
                           ++requests;
                           return http_response{};
                       });
    REQUIRE(server.start("127.0.0.1", link.server_port).ok());
    http_client client(*parse_endpoint(link.address));
    http_call call;
    call.path = "/";
    call.timeout = milliseconds(300);
    REQUIRE(client.send(call).ok());

    // The keep-alive connection is affected as well as new ones.
    link.set("cut_requests");
    CHECK_FALSE(client.send(call).ok());
    call.connection = connection_use::fresh;
    CHECK_FALSE(client.send(call).ok());
    CHECK(requests == 1);
    // Held requests arrive after the fault; the client may have sent the one on
    // the keep-alive connection twice.
    link.set("pass");
    CHECK(wait_until([&] { return requests >= 3; }));
    REQUIRE(client.send(call).ok());

    int before = requests;
    link.set("cut_replies");
    CHECK_FALSE(client.send(call).ok());
    CHECK(requests == before + 1);
    link.set("reset");
    CHECK_FALSE(client.send(call).ok());
    CHECK(requests == before + 1);

    link.set("cut_reply_after_request", R"(,"count":1)");
    CHECK_FALSE(client.send(call).ok());
    CHECK(requests == before + 2);
    CHECK(client.send(call).ok());

    link.set("delay", R"(,"delay_ms":100)");
    call.timeout = milliseconds(5000);
    const time_point sent = steady_clock::now();
    CHECK(client.send(call).ok());
    CHECK(elapsed_ms(sent, steady_clock::now()) >= 200);
}

// Guards against a response that is taken for the response to another request
// after a connection was reset.
TEST_CASE("an HTTP request gets its own response after resets", "[standins]")
{
    proxied_link link;
    http_server server({},
                       [](const http_request& request)
                       {
                           if (request.body.back() == '3')
                           {
                               std::this_thread::sleep_for(milliseconds(150));
                           }
                           http_response response;
                           response.body = request.body;
                           return response;
                       });
    REQUIRE(server.start("127.0.0.1", link.server_port).ok());
    http_client client(*parse_endpoint(link.address));
    std::atomic<bool> is_stopping{false};
    std::atomic<int> wrong{0};
    std::atomic<int> right{0};
    std::vector<std::thread> threads;
    threads.reserve(8);
    for (int t = 0; t < 8; ++t)
    {
        threads.emplace_back(
            [&, t]
            {
                for (int n = 0; !is_stopping; ++n)
                {
                    const std::string payload =
                        std::to_string(t) + "-" + std::to_string(n);
                    http_call call;
                    call.method = "POST";
                    call.path = "/";
                    call.body = payload;
                    call.timeout = milliseconds(100);
                    const absl::StatusOr<http_response> reply =
                        client.send(call);
                    if (reply.ok())
                    {
                        ++(reply->body == payload ? right : wrong);
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
