#include "egretspindle/core/error.hpp"
#include "egretspindle/net/http_client.hpp"

#include "support/scripted_server.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace egretspindle;
using test::scripted_server;

namespace
{

constexpr std::chrono::seconds wait_limit{20};

const std::string ok_response = test::make_response("200 OK", "ok");

http_call make_call(std::chrono::milliseconds timeout)
{
    http_call call;
    call.method = "POST";
    call.path = "/run";
    call.body = "{}";
    call.timeout = timeout;
    return call;
}

} // namespace

TEST_CASE("a kept-alive connection is reused", "[net]")
{
    scripted_server server([](const std::string&) { return ok_response; });
    http_client client({"127.0.0.1", server.port()});
    for (int n = 0; n < 3; ++n)
    {
        const absl::StatusOr<http_response> response =
            client.send(make_call(wait_limit));
        REQUIRE(response.ok());
        CHECK(response->status == 200);
        CHECK(response->body == "ok");
        CHECK(response->content_type == "text/plain");
    }
    CHECK(server.connection_count() == 1);
}

TEST_CASE("responses of all lengths are read", "[net]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string large(300'000, 'x');
    std::string response;
    std::string body;
    SECTION("in chunks")
    {
        response = head + "Transfer-Encoding: chunked\r\n\r\n"
                          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
        body = "abcde";
    }
    SECTION("up to the end of the connection")
    {
        response = head + "Connection: close\r\n\r\nabc";
        body = "abc";
    }
    SECTION("larger than one read")
    {
        response = head + "Content-Length: 300000\r\n\r\n" + large;
        body = large;
    }
    scripted_server server([&](const std::string&) { return response; }, true);
    http_client client({"127.0.0.1", server.port()});
    const absl::StatusOr<http_response> answer =
        client.send(make_call(wait_limit));
    REQUIRE(answer.ok());
    CHECK(answer->body == body);
}

TEST_CASE("a malformed or cut off response is an error", "[net]")
{
    const std::string response =
        GENERATE(as<std::string>{}, "SSH-2.0-server\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab");
    scripted_server server([&](const std::string&) { return response; }, true);
    http_client client({"127.0.0.1", server.port()});
    CHECK(kind_of(client.send(make_call(wait_limit)).status()) ==
          error_kind::deadline_exceeded);
}

// Guards against an uncertain outcome when the server closed the connection
// between two requests.
TEST_CASE("no request is sent on a connection that the server has closed",
          "[net]")
{
    scripted_server server([](const std::string&) { return ok_response; },
                           true);
    http_client client({"127.0.0.1", server.port()});
    for (int n = 1; n <= 3; ++n)
    {
        CHECK(client.send(make_call(wait_limit)).ok());
        REQUIRE(server.wait_for_closed(n));
    }
}

// Guards against one timeout for each connection that a fault has silenced.
TEST_CASE("idle connections are closed when another one was lost", "[net]")
{
    int count = 0;
    scripted_server server(
        [&](const std::string&)
        {
            // Holds the first response until there are two connections.
            (void)test::wait_until([&]
                                   { return server.connection_count() >= 2; });
            return ++count == 3 ? "" : ok_response;
        });
    http_client client({"127.0.0.1", server.port()});
    absl::Status other_status;
    std::thread other(
        [&] { other_status = client.send(make_call(wait_limit)).status(); });
    CHECK(client.send(make_call(wait_limit)).ok());
    other.join();
    CHECK(other_status.ok());
    CHECK_FALSE(client.send(make_call(std::chrono::milliseconds(100))).ok());
    const int connections = server.connection_count();
    CHECK(client.send(make_call(wait_limit)).ok());
    CHECK(server.connection_count() == connections + 1);
    CHECK(server.request_count() == 4);
}

// Guards against requests that a foreign entry in a list smuggles into another
// one.
TEST_CASE("a header with a line break is not sent", "[net]")
{
    scripted_server server([](const std::string&) { return ok_response; });
    http_client client({"127.0.0.1", server.port()});
    http_call call = make_call(wait_limit);
    call.headers.emplace_back("Expected", "t1\r\nContent-Length: 0");
    CHECK(kind_of(client.send(call).status()) == error_kind::invalid_argument);
    CHECK(server.request_count() == 0);
}
