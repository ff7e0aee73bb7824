#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace egretspindle;

namespace
{

/// Relays bytes between clients and a server. After a call of `start_dropping`,
/// each connection is closed when a part of a message arrives on it.
class dropping_relay
{
public:
    explicit dropping_relay(unsigned short server)
        : server_port_(server), fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        (void)bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        listen(fd_, 16);
        thread_ = std::thread([this] { serve(); });
    }

    ~dropping_relay()
    {
        shutdown(fd_, SHUT_RDWR);
        thread_.join();
        close(fd_);
    }

    dropping_relay(const dropping_relay&) = delete;
    dropping_relay& operator=(const dropping_relay&) = delete;

    [[nodiscard]] unsigned short port() const
    {
        return port_;
    }

    [[nodiscard]] int dropped_count() const
    {
        return dropped_count_;
    }

    void start_dropping()
    {
        is_dropping_ = true;
    }

private:
    static sockaddr_in loopback(unsigned short port)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        return address;
    }

    void serve()
    {
        for (;;)
        {
            const int client = accept(fd_, nullptr, nullptr);
            if (client < 0)
            {
                return;
            }
            const int server = socket(AF_INET, SOCK_STREAM, 0);
            const sockaddr_in address = loopback(server_port_);
            (void)connect(server, reinterpret_cast<const sockaddr*>(&address),
                          sizeof address);
            relay(client, server);
            close(client);
            close(server);
        }
    }

    void relay(int client, int server)
    {
        for (;;)
        {
            pollfd fds[] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
            poll(fds, 2, -1);
            char buf[4096];
            const bool is_request = fds[0].revents != 0;
            const ssize_t n =
                read(is_request ? client : server, buf, sizeof buf);
            if (n <= 0)
            {
                return;
            }
            if (is_request && is_dropping_)
            {
                ++dropped_count_;
                return;
            }
            (void)!write(is_request ? server : client, buf,
                         static_cast<std::size_t>(n));
        }
    }

    unsigned short server_port_;
    int fd_;
    unsigned short port_ = 0;
    std::atomic<bool> is_dropping_{false};
    std::atomic<int> dropped_count_{0};
    std::thread thread_;
};

} // namespace

// Guards against an order that the RPC library resends by itself: the receiver
// would reject the second copy, which hides that it has carried out the first
// one.
TEST_CASE("a message is not resent when its connection is closed", "[net]")
{
    const bool is_reused = GENERATE(false, true);
    const unsigned short port = test::free_port();
    rpc_server server(
        "key",
        [](const std::string&, const std::string&,
           const std::string& payload) -> absl::StatusOr<std::string>
        { return payload; });
    REQUIRE(server.start("127.0.0.1", port).ok());
    dropping_relay relay(port);
    const std::chrono::milliseconds timeout(5000);
    absl::Status status;
    {
        rpc_client client("key", "a1");
        const endpoint address{"127.0.0.1", relay.port()};
        if (is_reused)
        {
            REQUIRE(client.call(address, "echo", "first", timeout).ok());
        }
        relay.start_dropping();
        status = client.call(address, "echo", "second", timeout).status();
    }
    CHECK(kind_of(status) == error_kind::deadline_exceeded);
    CHECK(relay.dropped_count() == 1);
}

// Guards against reporting an uncertain outcome when the receiver had closed
// the connection before the message was sent: the scheduler then waits up to 15
// seconds with the start.
TEST_CASE("nothing is sent on an idle connection that the receiver has closed",
          "[net]")
{
    const unsigned short port = test::free_port();
    rpc_client client("key", "a1");
    const endpoint address{"127.0.0.1", port};
    const std::chrono::milliseconds timeout(5000);
    CHECK(kind_of(client.call(address, "echo", "first", timeout).status()) ==
          error_kind::unavailable);
    for (const std::string payload : {"second", "third"})
    {
        rpc_server server(
            "key",
            [](const std::string&, const std::string&,
               const std::string& text) -> absl::StatusOr<std::string>
            { return text; });
        REQUIRE(server.start("127.0.0.1", port).ok());
        const absl::StatusOr<std::string> reply =
            client.call(address, "echo", payload, timeout);
        REQUIRE(reply.ok());
        CHECK(*reply == payload);
        server.stop();
        CHECK(
            kind_of(client.call(address, "echo", "other", timeout).status()) ==
            error_kind::unavailable);
    }
}
