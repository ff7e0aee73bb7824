#include "egretspindle/core/error.hpp"
#include "egretspindle/net/http_client.hpp"
#include "egretspindle/net/http_server.hpp"
#include "egretspindle/net/message_auth.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "disconnecting_server.hpp"
#include "support/free_port.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

http_call post(const std::string& path, const std::string& body)
{
    http_call call;
    call.method = "POST";
    call.path = path;
    call.body = body;
    return call;
}

} // namespace

TEST_CASE("the handler receives the complete HTTP request", "[net]")
{
    const unsigned short port = test::free_port();
    http_server server({},
                       [](const http_request& request)
                       {
                           http_response response;
                           response.status = 201;
                           response.body = request.method + " " + request.path +
                                           " " + request.query.at("q") + " " +
                                           std::to_string(request.body.size());
                           return response;
                       });
    REQUIRE(server.start("127.0.0.1", port).ok());
    http_client client(endpoint{"127.0.0.1", port});
    const std::string body(1'000'000, 'x');
    const absl::StatusOr<http_response> response =
        client.send(post("/v1/a?q=" + encode_query("x y&z"), body));
    REQUIRE(response.ok());
    CHECK(response->status == 201);
    CHECK(response->body == "POST /v1/a x y&z 1000000");
}

TEST_CASE("a body above the limit is rejected with status 413", "[net]")
{
    const unsigned short port = test::free_port();
    http_limits limits;
    limits.max_body_bytes = 1000;
    http_server server(limits,
                       [](const http_request&) { return http_response{}; });
    REQUIRE(server.start("127.0.0.1", port).ok());
    http_client client(endpoint{"127.0.0.1", port});
    const absl::StatusOr<http_response> response =
        client.send(post("/", std::string(5000, 'x')));
    REQUIRE(response.ok());
    CHECK(response->status == 413);
    const absl::StatusOr<http_response> small = client.send(post("/", "x"));
    REQUIRE(small.ok());
    CHECK(small->status == 200);
}

// Guards against running a non-idempotent request twice when its connection is
// closed.
TEST_CASE("a request on a new connection is sent once", "[net]")
{
    test::disconnecting_server server;
    http_client client(endpoint{"127.0.0.1", server.port()});
    http_call call = post("/run", "{}");
    call.connection = connection_use::fresh;
    call.timeout = std::chrono::milliseconds(2000);
    const absl::StatusOr<http_response> response = client.send(call);
    CHECK_FALSE(response.ok());
    CHECK(kind_of(response.status()) == error_kind::deadline_exceeded);
    CHECK(server.request_count() == 1);
}

TEST_CASE("a refused connection is reported as unavailable", "[net]")
{
    http_client client(endpoint{"127.0.0.1", test::free_port()});
    http_call call = post("/run", "{}");
    call.connection = connection_use::fresh;
    const absl::StatusOr<http_response> response = client.send(call);
    CHECK(kind_of(response.status()) == error_kind::unavailable);
}

TEST_CASE("RPC transmits payloads, errors and the sender", "[net]")
{
    const unsigned short port = test::free_port();
    rpc_server server(
        "key",
        [](const std::string& type, const std::string& sender,
           const std::string& payload) -> absl::StatusOr<std::string>
        {
            if (type == "fail")
            {
                return make_error(error_kind::stale_epoch, "reread the row");
            }
            return sender + ":" + payload;
        });
    REQUIRE(server.start("127.0.0.1", port).ok());
    rpc_client client("key", "a1");
    const endpoint address{"127.0.0.1", port};
    const std::chrono::milliseconds timeout(2000);
    const absl::StatusOr<std::string> reply =
        client.call(address, "echo", "\xE0\xB9\x84 \"x\"", timeout);
    REQUIRE(reply.ok());
    CHECK(*reply == "a1:\xE0\xB9\x84 \"x\"");
    CHECK(kind_of(client.call(address, "fail", "", timeout).status()) ==
          error_kind::stale_epoch);

    rpc_client wrong_key_client("other key", "a1");
    CHECK(kind_of(
              wrong_key_client.call(address, "echo", "x", timeout).status()) ==
          error_kind::unauthorized);
}

// Guards against a message without an answer: its sender has to assume that it
// may take effect later, and its connection is lost for other messages.
TEST_CASE("a message whose handler throws gets an error", "[net]")
{
    const unsigned short port = test::free_port();
    rpc_server server("key",
                      [](const std::string& type, const std::string&,
                         const std::string&) -> absl::StatusOr<std::string>
                      {
                          if (type == "throw")
                          {
                              throw std::length_error("odd message");
                          }
                          return std::string("reply");
                      });
    REQUIRE(server.start("127.0.0.1", port).ok());
    rpc_client client("key", "a1");
    const endpoint address{"127.0.0.1", port};
    const std::chrono::milliseconds timeout(2000);
    CHECK(kind_of(client.call(address, "throw", "", timeout).status()) ==
          error_kind::internal);
    CHECK(client.call(address, "echo", "", timeout).ok());
}

TEST_CASE("the MAC depends on how a message is split into parts", "[net]")
{
    CHECK(message_mac("k", "ab", "c", "d") != message_mac("k", "a", "bc", "d"));
    CHECK(constant_time_equal("abc", "abc"));
    CHECK_FALSE(constant_time_equal("abc", "abd"));
    CHECK_FALSE(constant_time_equal("abc", "ab"));
}
