#include "egretspindle/net/http_server.hpp"

#include "support/free_port.hpp"
#include "support/raw_connection.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <vector>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

/// Keeps handlers waiting until it is opened.
class barrier
{
public:
    void wait()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        ++waiting_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return is_open_; });
    }

    void wait_for(int count)
    {
        std::unique_lock<std::mutex> lock(mutex_);
        changed_.wait(lock, [&] { return waiting_ >= count; });
    }

    void open()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_open_ = true;
        changed_.notify_all();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int waiting_ = 0;
    bool is_open_ = false;
};

} // namespace

// Guards against a stop that cuts requests that have been read, or the end of
// an answer that does not fit into the buffers of the connection.
TEST_CASE("a server that stops answers the requests that it has read",
          "[net][server_stop]")
{
    constexpr int count = 20;
    const std::string body(4'000'000, 'z');
    barrier handlers;
    const unsigned short port = free_port();
    http_server server({},
                       [&](const http_request&)
                       {
                           handlers.wait();
                           http_response response;
                           response.body = body;
                           return response;
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int n = 0; n < count; ++n)
    {
        callers.push_back(std::make_unique<raw_connection>(port));
        REQUIRE(callers.back()->send(make_raw_request("GET", "/")));
    }
    handlers.wait_for(count);
    CHECK(server.in_progress() == count);
    std::thread stopper([&] { server.stop(); });
    REQUIRE(wait_until(
        [&]
        {
            try
            {
                const raw_connection later(port);
                return false;
            }
            catch (const std::exception&)
            {
                return true;
            }
        }));
    // A server that closes a connection with unread bytes resets it, and the
    // rest of the answer is lost.
    const std::string part = make_raw_request("POST", "/", body);
    for (const std::unique_ptr<raw_connection>& caller : callers)
    {
        REQUIRE(caller->send(std::string_view(part).substr(0, 100'000)));
    }
    handlers.open();
    for (int n = 0; n < count; ++n)
    {
        CAPTURE(n);
        const std::optional<raw_response> response = callers[n]->read();
        REQUIRE(response.has_value());
        CHECK(response->body == body);
    }
    stopper.join();
    const http_server_counts counts = server.counts();
    CHECK(counts.answered == count);
    CHECK(counts.unanswered == 0);
    CHECK(counts.in_progress == 0);
}

// Guards against a stop that cuts requests of callers that go on sending, or
// does not end because of them. A request that was sent whole gets its answer,
// or its connection ends within the time that the platform allows.
TEST_CASE("a server stops while callers go on sending", "[net][server_stop]")
{
    constexpr std::chrono::milliseconds loss_slack{200};
    const bool is_pipelined = GENERATE(false, true);
    CAPTURE(is_pipelined);
    const unsigned short port = free_port();
    http_server server(
        {},
        [](const http_request& request)
        {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(request.path.size() % 4));
            http_response response;
            response.body = request.path;
            return response;
        });
    REQUIRE(server.start("127.0.0.1", port).ok());
    std::atomic<bool> is_stopped{false};
    std::atomic<int> answered{0};
    std::atomic<int> wrong{0};
    std::atomic<int> late_ends{0};
    const auto call = [&](int n)
    {
        while (!is_stopped)
        {
            std::unique_ptr<raw_connection> connection;
            try
            {
                connection = std::make_unique<raw_connection>(port);
            }
            catch (const std::exception&)
            {
                return;
            }
            for (int k = 0; connection->is_open(); ++k)
            {
                const std::string path =
                    "/" + std::to_string(n) + "/" + std::to_string(k);
                std::string text = make_raw_request("POST", path, "body");
                text += is_pipelined ? make_raw_request("GET", path) : "";
                if (!connection->send(text))
                {
                    break;
                }
                const auto sent_at = std::chrono::steady_clock::now();
                for (int m = 0; m < (is_pipelined ? 2 : 1); ++m)
                {
                    const std::optional<raw_response> response =
                        connection->read();
                    if (response)
                    {
                        ++answered;
                        wrong += response->body == path ? 0 : 1;
                    }
                    else
                    {
                        const bool is_late =
                            std::chrono::steady_clock::now() - sent_at >
                            loss_slack;
                        late_ends += is_late ? 1 : 0;
                    }
                }
            }
        }
    };
    constexpr int caller_count = 16;
    std::vector<std::thread> callers;
    callers.reserve(caller_count);
    for (int n = 0; n < caller_count; ++n)
    {
        callers.emplace_back(call, n);
    }
    CHECK(wait_until([&] { return answered > 2'000; }));
    server.stop();
    is_stopped = true;
    for (std::thread& item : callers)
    {
        item.join();
    }
    CHECK(wrong == 0);
    CHECK(late_ends == 0);
    CHECK(server.counts().unanswered == 0);
    CHECK(server.counts().answered == static_cast<std::uint64_t>(answered));
}

// Guards against a stop that waits for callers that have sent nothing, or a
// part of a request.
TEST_CASE("a server stops beside connections without a request",
          "[net][server_stop]")
{
    const unsigned short port = free_port();
    http_server server({}, [](const http_request&) { return http_response{}; });
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection idle(port);
    raw_connection partial(port);
    raw_connection used(port);
    REQUIRE(partial.send("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"));
    REQUIRE(used.send(make_raw_request("GET", "/")));
    REQUIRE(used.read().has_value());
    server.stop();
    for (raw_connection* item : {&idle, &partial, &used})
    {
        CHECK_FALSE(item->read().has_value());
        CHECK_FALSE(item->is_open());
    }
}

// Guards against requests without an answer that leave no trace.
TEST_CASE("an answer that cannot be sent is counted", "[net][server_stop]")
{
    std::atomic<int> reported{0};
    barrier handlers;
    const unsigned short port = free_port();
    http_server server(
        {},
        [&](const http_request&)
        {
            handlers.wait();
            http_response response;
            response.body.assign(50'000'000, 'z');
            return response;
        },
        [&] { ++reported; });
    REQUIRE(server.start("127.0.0.1", port).ok());
    {
        raw_connection caller(port);
        REQUIRE(caller.send(make_raw_request("GET", "/")));
        handlers.wait_for(1);
    }
    handlers.open();
    REQUIRE(server.wait_idle(std::chrono::seconds(20)));
    CHECK(reported == 1);
    CHECK(server.counts().unanswered == 1);
    CHECK(server.counts().answered == 0);
}
