#include "egretspindle/net/http_server.hpp"

#include "support/free_port.hpp"
#include "support/raw_connection.hpp"

#include <catch2/catch.hpp>

#include <future>
#include <linux/sockios.h>
#include <random>
#include <stdexcept>
#include <string>
#include <sys/ioctl.h>
#include <thread>
#include <vector>

using namespace egretspindle;
using test::make_raw_request;
using test::raw_connection;
using test::raw_response;

namespace
{

// Returns what was received, so that a test sees whose answer it gets.
http_response echo(const http_request& request)
{
    http_response response;
    response.body = request.method + " " + request.path + " " + request.body;
    return response;
}

} // namespace

// Guards against a request that is read as a part of the body before it, and
// never answered.
TEST_CASE("requests sent before the last answer are answered in order",
          "[net][pipelining]")
{
    const unsigned short port = test::free_port();
    http_server server({}, echo);
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    constexpr int count = 20;
    std::string text;
    for (int n = 0; n < count; ++n)
    {
        const std::string path = "/" + std::to_string(n);
        text += n % 3 == 0
                    ? make_raw_request("GET", path)
                    : make_raw_request("POST", path, std::string(n * 100, 'x'));
    }
    REQUIRE(caller.send(text));
    for (int n = 0; n < count; ++n)
    {
        CAPTURE(n);
        const std::optional<raw_response> response = caller.read();
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        const std::string path = " /" + std::to_string(n) + " ";
        CHECK(response->body ==
              (n % 3 == 0 ? "GET" + path
                          : "POST" + path + std::string(n * 100, 'x')));
    }
}

// Guards against a request that is never answered, or merged with the next one,
// because its bytes arrive in several pieces.
TEST_CASE("requests that arrive in pieces are answered", "[net][pipelining]")
{
    const std::uint32_t seed = GENERATE(1U, 2U, 3U, 4U);
    CAPTURE(seed);
    std::minstd_rand random(seed);
    const unsigned short port = test::free_port();
    http_server server({}, echo);
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    std::vector<std::string> expected;
    std::string text;
    for (int n = 0; n < 12; ++n)
    {
        const std::string path = "/" + std::to_string(n);
        const std::string body(random() % 300, 'y');
        text += make_raw_request("POST", path, body);
        http_request sent;
        sent.method = "POST";
        sent.path = path;
        sent.body = body;
        expected.push_back(echo(sent).body);
    }
    std::thread sender(
        [&]
        {
            std::string_view rest = text;
            while (!rest.empty())
            {
                const std::size_t n =
                    std::min<std::size_t>(rest.size(), 1 + random() % 200);
                caller.send(rest.substr(0, n));
                rest.remove_prefix(n);
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(random() % 5));
            }
        });
    std::vector<std::string> received;
    for (std::size_t n = 0; n < expected.size(); ++n)
    {
        const std::optional<raw_response> response = caller.read();
        received.push_back(response ? response->body : "no answer");
    }
    sender.join();
    CHECK(received == expected);
}

// Guards against a body that is taken as empty since it arrives after its
// header.
TEST_CASE("a body that arrives after its header is read", "[net][pipelining]")
{
    const unsigned short port = test::free_port();
    http_server server({}, echo);
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    const std::string text = make_raw_request("POST", "/late", "body");
    REQUIRE(caller.send(text.substr(0, text.size() - 4)));
    CHECK_FALSE(caller.read(std::chrono::milliseconds(300)).has_value());
    REQUIRE(caller.is_open());
    REQUIRE(caller.send("body"));
    const std::optional<raw_response> response = caller.read();
    REQUIRE(response.has_value());
    CHECK(response->body == "POST /late body");
}

// Guards against a request that has arrived and is not answered, since the
// response to the one before it closes the connection.
TEST_CASE("a server that closes its connections answers what has arrived",
          "[net][pipelining]")
{
    const unsigned short port = test::free_port();
    std::promise<void> is_begun;
    std::promise<void> may_answer;
    http_server server({},
                       [&](const http_request& request)
                       {
                           if (request.path == "/0")
                           {
                               is_begun.set_value();
                               may_answer.get_future().wait();
                           }
                           return echo(request);
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection idle(port);
    raw_connection caller(port);
    REQUIRE(caller.send(make_raw_request("GET", "/0")));
    is_begun.get_future().wait();
    server.close_when_answered();
    constexpr int count = 4;
    for (int n = 1; n < count; ++n)
    {
        REQUIRE(caller.send(make_raw_request("GET", "/" + std::to_string(n))));
    }
    may_answer.set_value();
    for (int n = 0; n < count; ++n)
    {
        CAPTURE(n);
        const std::optional<raw_response> response = caller.read();
        REQUIRE(response.has_value());
        CHECK(response->body == "GET /" + std::to_string(n) + " ");
        CHECK(response->is_last() == (n == count - 1));
    }
    CHECK_FALSE(caller.read().has_value());
    CHECK_FALSE(caller.is_open());
    REQUIRE(idle.send(make_raw_request("GET", "/idle")));
    const std::optional<raw_response> response = idle.read();
    REQUIRE(response.has_value());
    CHECK(response->is_last());
}

// Guards against requests that had arrived when the server was stopped and are
// discarded since they wait behind a slow one.
TEST_CASE("a server that stops answers all requests that wait in a connection",
          "[net][pipelining]")
{
    const unsigned short port = test::free_port();
    std::promise<void> is_begun;
    std::promise<void> may_answer;
    http_server server({},
                       [&](const http_request& request)
                       {
                           if (request.path == "/0")
                           {
                               is_begun.set_value();
                               may_answer.get_future().wait();
                           }
                           http_response response;
                           response.body = request.path;
                           return response;
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    REQUIRE(caller.send(make_raw_request("GET", "/0")));
    is_begun.get_future().wait();
    constexpr int count = 20;
    std::string text;
    for (int n = 1; n < count; ++n)
    {
        text += make_raw_request("POST", "/" + std::to_string(n),
                                 std::string(4'000, 'x'));
    }
    REQUIRE(caller.send(text));
    // The kernel has the bytes at the server once it has acknowledged them.
    int unsent = 1;
    while (unsent > 0 && ::ioctl(caller.fd(), SIOCOUTQ, &unsent) == 0)
    {
        std::this_thread::yield();
    }
    REQUIRE(unsent == 0);
    std::thread stopper([&] { server.stop(); });
    // The server stops its connections right after it has closed the listener.
    // If the answer is given before, the other requests are read as usual.
    bool is_listening = true;
    while (is_listening)
    {
        try
        {
            const raw_connection other(port);
        }
        catch (const std::runtime_error&)
        {
            is_listening = false;
        }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    may_answer.set_value();
    int answered = 0;
    for (int n = 0; n < count; ++n)
    {
        const std::optional<raw_response> response = caller.read();
        answered += response && response->body == "/" + std::to_string(n);
    }
    stopper.join();
    CHECK(answered == count);
}

// Guards against a malformed request without an answer, and against one whose
// answer is lost since the server closes a connection with unread bytes.
TEST_CASE("a malformed request and a large one get an answer",
          "[net][pipelining]")
{
    http_limits limits;
    limits.max_body_bytes = 1'000;
    const unsigned short port = test::free_port();
    http_server server(limits, echo);
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection malformed(port);
    REQUIRE(malformed.send("no request\r\n\r\n"));
    std::optional<raw_response> response = malformed.read();
    REQUIRE(response.has_value());
    CHECK(response->status == 400);
    raw_connection large(port);
    // The connection may end before all of it is sent.
    (void)large.send(make_raw_request("POST", "/", std::string(400'000, 'x')));
    response = large.read();
    REQUIRE(response.has_value());
    CHECK(response->status == 413);
}

// Guards against chunk extensions and trailers that are read into memory
// without a limit, and against headers that are when they arrive in pieces.
TEST_CASE("header lines, chunk extensions and trailers are limited",
          "[net][pipelining]")
{
    const auto [head, line] = GENERATE(table<std::string, std::string>({
        {"GET / HTTP/1.1\r\n", "a: b\r\n"},
        {"GET / HTTP/1.1\r\na: ", "b"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;", "a"},
        {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "a: b\r\n"},
    }));
    CAPTURE(head, line);
    http_limits limits;
    limits.max_header_bytes = 4'000;
    const unsigned short port = test::free_port();
    http_server server(limits, echo);
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    REQUIRE(caller.send(head));
    // Pieces below the limit that arrive one by one, and few enough to wait in
    // the sockets until the response is read.
    std::string piece;
    while (piece.size() < 1'500)
    {
        piece += line;
    }
    for (int n = 0; n < 12; ++n)
    {
        (void)caller.send(piece);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    const std::optional<raw_response> response =
        caller.read(std::chrono::seconds(3));
    REQUIRE(response.has_value());
    CHECK(response->status == 431);
}

// Guards against a header below the limit that is refused because the body or
// the next request has arrived with it.
TEST_CASE("a header below its limit is accepted with what follows it",
          "[net][pipelining]")
{
    http_limits limits;
    limits.max_header_bytes = 1'000;
    const unsigned short port = test::free_port();
    http_server server(limits, echo);
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    const std::string body(5'000, 'x');
    constexpr int count = 3;
    std::string text;
    for (int n = 0; n < count; ++n)
    {
        text += "POST / HTTP/1.1\r\nX-Long: " + std::string(900, 'l') +
                "\r\nContent-Length: 5000\r\n\r\n" + body;
    }
    REQUIRE(caller.send(text));
    for (int n = 0; n < count; ++n)
    {
        CAPTURE(n);
        const std::optional<raw_response> response = caller.read();
        REQUIRE(response.has_value());
        CHECK(response->status == 200);
        CHECK(response->body == "POST / " + body);
    }
}

// Guards against a path or a query that reaches the handler in another form
// than before.
TEST_CASE("the handler receives path, query and headers decoded alike",
          "[net][pipelining]")
{
    const unsigned short port = test::free_port();
    http_request seen;
    http_server server({},
                       [&](const http_request& request)
                       {
                           seen = request;
                           return http_response{};
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    raw_connection caller(port);
    REQUIRE(caller.send("POST /a%20b?q=x%20y&z=1+2 HTTP/1.1\r\nHost: h:1\r\n"
                        "X-Some-Name:  value \r\nContent-Type: text/x\r\n"
                        "Authorization: k\r\nContent-Length: 2\r\n\r\nab"));
    REQUIRE(caller.read().has_value());
    CHECK(seen.method == "POST");
    CHECK(seen.path == "/a b");
    CHECK(seen.query.at("q") == "x y");
    CHECK(seen.query.at("z") == "1 2");
    CHECK(seen.content_type == "text/x");
    CHECK(seen.authorization == "k");
    CHECK(seen.headers.at("x-some-name") == "value");
    CHECK(seen.headers.at("host") == "h:1");
    CHECK(seen.body == "ab");
}
