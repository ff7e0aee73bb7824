#include "egretspindle/core/error.hpp"
#include "egretspindle/net/rpc_client.hpp"
#include "egretspindle/net/rpc_server.hpp"

#include "support/free_port.hpp"

#include <catch2/catch.hpp>

#include <array>
#include <condition_variable>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace egretspindle;

namespace
{

/// Relays bytes between clients and a server. The connections that are open
/// when `sever` is called stay open, but nothing arrives on them any more.
class severable_relay
{
public:
    explicit severable_relay(unsigned short server)
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

    ~severable_relay()
    {
        shutdown(fd_, SHUT_RDWR);
        thread_.join();
        close(fd_);
        for (std::thread& item : relays_)
        {
            item.join();
        }
    }

    severable_relay(const severable_relay&) = delete;
    severable_relay& operator=(const severable_relay&) = delete;

    [[nodiscard]] unsigned short port() const
    {
        return port_;
    }

    void sever()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++severed_count_;
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

    [[nodiscard]] int severed_count()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return severed_count_;
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
            const int opened_after = severed_count();
            relays_.emplace_back([this, client, opened_after]
                                 { relay(client, opened_after); });
        }
    }

    // Returns when the client closes the connection.
    void relay(int client, int opened_after)
    {
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        const sockaddr_in address = loopback(server_port_);
        (void)connect(server, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address);
        std::array<pollfd, 2> fds{{{client, POLLIN, 0}, {server, POLLIN, 0}}};
        for (;;)
        {
            poll(fds.data(), fds.size(), -1);
            char buf[4096];
            const bool is_request = fds[0].revents != 0;
            const ssize_t n =
                read(is_request ? client : server, buf, sizeof buf);
            if (n <= 0)
            {
                break;
            }
            if (severed_count() == opened_after)
            {
                (void)!write(is_request ? server : client, buf,
                             static_cast<std::size_t>(n));
            }
        }
        close(client);
        close(server);
    }

    unsigned short server_port_;
    int fd_;
    unsigned short port_ = 0;
    std::mutex mutex_;
    int severed_count_ = 0;
    std::thread thread_;
    std::vector<std::thread> relays_; ///< used by `thread_` only
};

/// Makes each message wait until a number of them have arrived.
class meeting
{
public:
    explicit meeting(int count) : missing_(count) {}

    void join()
    {
        std::unique_lock<std::mutex> lock(mutex_);
        --missing_;
        changed_.notify_all();
        changed_.wait(lock, [this] { return missing_ <= 0; });
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int missing_;
};

} // namespace

// Guards against messages that time out one after the other, each on another
// idle connection that was severed at the same time.
TEST_CASE("severed connections to a host cost one message", "[net]")
{
    constexpr int connection_count = 4;
    const unsigned short port = test::free_port();
    meeting all_connected(connection_count);
    rpc_server server(
        "key",
        [&](const std::string&, const std::string&,
            const std::string& payload) -> absl::StatusOr<std::string>
        {
            all_connected.join();
            return payload;
        });
    REQUIRE(server.start("127.0.0.1", port).ok());
    severable_relay relay(port);
    const endpoint address{"127.0.0.1", relay.port()};
    const std::chrono::milliseconds timeout(5000);
    rpc_client client("key", "a1");
    std::vector<std::thread> callers;
    for (int n = 0; n < connection_count; ++n)
    {
        callers.emplace_back(
            [&] { (void)client.call(address, "echo", "first", timeout); });
    }
    for (std::thread& item : callers)
    {
        item.join();
    }
    relay.sever();
    CHECK(kind_of(client
                      .call(address, "echo", "second",
                            std::chrono::milliseconds(200))
                      .status()) == error_kind::deadline_exceeded);
    for (int n = 1; n < connection_count; ++n)
    {
        CHECK(client.call(address, "echo", "third", timeout).ok());
    }
}
