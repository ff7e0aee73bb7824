#include "egretspindle/net/http_client.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "support/free_port.hpp"
#include "support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

using namespace egretspindle;

namespace
{

using name_function = int (*)(int, sockaddr*, socklen_t*);

unsigned short port_of(int fd, name_function get_name)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const int result =
        get_name(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return result == 0 && address.sin_family == AF_INET
               ? ntohs(address.sin_port)
               : static_cast<unsigned short>(0);
}

// Returns the connected sockets of this process whose peer, or own address, has
// a port.
std::vector<int> find_connections(unsigned short port, name_function get_name)
{
    constexpr int max_fds = 1'024;
    std::vector<int> found;
    for (int fd = 0; fd < max_fds; ++fd)
    {
        if (port_of(fd, getpeername) != 0 && port_of(fd, get_name) == port)
        {
            found.push_back(fd);
        }
    }
    return found;
}

int option_of(int fd, int level, int option)
{
    int value = 0;
    socklen_t size = sizeof value;
    REQUIRE(getsockopt(fd, level, option, &value, &size) == 0);
    return value;
}

// Each connection has to fail within the 3 s after which users take a host that
// lost its connections for calm again.
void check_is_probed(int fd)
{
    constexpr int calm_after_ms = 3'000;
    CHECK(option_of(fd, SOL_SOCKET, SO_KEEPALIVE) == 1);
    const int idle_ms = option_of(fd, IPPROTO_TCP, TCP_KEEPIDLE) * 1'000;
    const int interval_ms = option_of(fd, IPPROTO_TCP, TCP_KEEPINTVL) * 1'000;
    const int max_probes = option_of(fd, IPPROTO_TCP, TCP_KEEPCNT);
    CHECK(idle_ms + max_probes * interval_ms <= calm_after_ms);
    // Replaces the number of probes where it is set, see tcp(7). The kernel
    // looks at it when the next probe is due.
    const int limit_ms = option_of(fd, IPPROTO_TCP, TCP_USER_TIMEOUT);
    CHECK(limit_ms > 0);
    const int probes = (limit_ms + interval_ms - 1) / interval_ms;
    CHECK(idle_ms + probes * interval_ms <= calm_after_ms);
}

} // namespace

// Guards against connections between hosts that stay in use, or keep a thread
// of the receiver, after the network has dropped them without a reset.
TEST_CASE("connections between hosts are probed while they are idle", "[net]")
{
    const unsigned short port = test::free_port();
    rpc_server server(
        "key",
        [](const std::string&, const std::string&,
           const std::string& payload) -> absl::StatusOr<std::string>
        { return payload; });
    REQUIRE(server.start("127.0.0.1", port).ok());
    rpc_client client("key", "a1");
    REQUIRE(client
                .call({"127.0.0.1", port}, "echo", "text",
                      std::chrono::milliseconds(5'000))
                .ok());
    for (const name_function get_name : {getpeername, getsockname})
    {
        const std::vector<int> fds = find_connections(port, get_name);
        REQUIRE(fds.size() == 1);
        check_is_probed(fds.front());
    }
}

// Guards against the same on connections to the store and to targets.
TEST_CASE("HTTP connections are probed while they are idle", "[net]")
{
    test::scripted_server server([](const std::string&)
                                 { return test::make_response("200 OK", ""); });
    http_client client({"127.0.0.1", server.port()});
    REQUIRE(client.send(http_call{}).ok());
    const std::vector<int> fds = find_connections(server.port(), getpeername);
    REQUIRE(fds.size() == 1);
    check_is_probed(fds.front());
}
