#include "egretspindle/core/error.hpp"
#include "egretspindle/net/http_client.hpp"
#include "egretspindle/net/http_server.hpp"

#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace egretspindle;

// Guards against load that doubles when a server becomes slow: the HTTP library
// resent a request on a kept-alive connection after its timeout.
TEST_CASE("a request whose response is late is sent once", "[net]")
{
    std::mutex mutex;
    std::condition_variable released;
    bool is_released = false;
    int received = 0;
    const unsigned short port = test::free_port();
    http_server server({},
                       [&](const http_request&)
                       {
                           std::unique_lock<std::mutex> lock(mutex);
                           ++received;
                           released.wait_for(
                               lock, std::chrono::seconds(20),
                               [&] { return received == 1 || is_released; });
                           return http_response{};
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    http_client client(endpoint{"127.0.0.1", port});
    http_call call;
    call.method = "POST";
    call.path = "/";
    call.body = "{}";
    call.timeout = std::chrono::milliseconds(10'000);
    // Leaves an idle connection.
    REQUIRE(client.send(call).ok());
    call.timeout = std::chrono::milliseconds(500);
    const absl::StatusOr<http_response> late = client.send(call);
    CHECK(kind_of(late.status()) == error_kind::deadline_exceeded);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        CHECK(received == 2);
        is_released = true;
        released.notify_all();
    }
    server.stop();
}
