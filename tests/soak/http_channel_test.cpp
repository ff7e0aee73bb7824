// Connection of the clients of a soak.

#include "http_channel.hpp"
#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <sstream>

using namespace egretspindle::bench;
using namespace egretspindle::test;

namespace
{

constexpr std::chrono::milliseconds timeout{10'000};

std::string address_of(const scripted_server& server)
{
    return fmt::format("127.0.0.1:{}", server.port());
}

std::string closing_response()
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
}

// Answers each request with its path.
std::optional<std::string> echo_paths(const std::string& text)
{
    std::istringstream in(text);
    std::string responses;
    for (std::string line; std::getline(in, line);)
    {
        if (line.rfind("GET ", 0) == 0)
        {
            responses += make_response("200 OK", line.substr(4, 2));
        }
    }
    return responses;
}

std::vector<channel_request> three_requests()
{
    return {{"GET", "/a", ""}, {"GET", "/b", ""}, {"GET", "/c", ""}};
}

} // namespace

// Guards against answers that are taken for those of other requests, which
// would hide requests without an answer.
TEST_CASE("each pipelined request gets its own answer")
{
    scripted_server server(echo_paths);
    http_channel channel(address_of(server));
    for (int n = 0; n < 2; ++n)
    {
        const std::vector<channel_reply> replies =
            channel.send_pipelined(three_requests(), timeout);
        REQUIRE(replies.size() == 3);
        CHECK(replies[0].body == "/a");
        CHECK(replies[1].body == "/b");
        CHECK(replies[2].body == "/c");
        CHECK(replies[2].was_reused);
    }
    CHECK(server.connection_count() == 1);
}

// Guards against counting requests that a server has not taken, after it
// announced the end of the connection.
TEST_CASE("requests after an answer with Connection: close are not taken")
{
    scripted_server server([](const std::string& /*text*/)
                           { return closing_response(); });
    http_channel channel(address_of(server));
    const std::vector<channel_reply> replies =
        channel.send_pipelined(three_requests(), timeout);
    CHECK(replies[0].status == 200);
    CHECK_FALSE(replies[0].is_not_taken);
    CHECK(replies[1].is_not_taken);
    CHECK(replies[2].is_not_taken);
    CHECK(channel.send({"GET", "/d", ""}, timeout).status == 200);
    CHECK(server.connection_count() == 2);
}

// Guards against missing requests that a server has read and not answered.
TEST_CASE("requests on a connection that ends without answers are closed")
{
    scripted_server server([](const std::string& /*text*/)
                           { return make_response("200 OK", "first"); },
                           true);
    http_channel channel(address_of(server));
    const std::vector<channel_reply> replies =
        channel.send_pipelined(three_requests(), timeout);
    CHECK(replies[0].status == 200);
    for (std::size_t n = 1; n < replies.size(); ++n)
    {
        CHECK(replies[n].is_closed);
        CHECK_FALSE(replies[n].is_not_taken);
        CHECK(replies[n].status == 0);
    }
}

// Guards against bodies that are cut or sent at once.
TEST_CASE("a body that is sent late and in pieces arrives complete")
{
    std::string body;
    scripted_server server(
        [&](const std::string& text)
        {
            body = text.substr(text.find("\r\n\r\n") + 4);
            return make_response("200 OK", "");
        });
    http_channel channel(address_of(server));
    const auto begun_at = std::chrono::steady_clock::now();
    const channel_reply reply =
        channel.send({"POST", "/a", "{0123456789}"}, timeout,
                     {4, std::chrono::milliseconds(20)});
    CHECK(reply.status == 200);
    CHECK(reply.is_sent);
    CHECK(body == "{0123456789}");
    CHECK(std::chrono::steady_clock::now() - begun_at >=
          std::chrono::milliseconds(80));
}
