#include "http_target.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace egretspindle;

namespace
{

/// Target that answers polls, closes the connection without a response after it
/// has received the first start, and rejects all later starts for lack of room.
class response_dropping_target
{
public:
    response_dropping_target()
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(fd_, 8) == 0);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        entry.id = "t1";
        entry.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] { serve(); });
    }

    ~response_dropping_target()
    {
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        for (std::thread& item : connections_)
        {
            item.join();
        }
        ::close(fd_);
    }

    target_entry entry;
    std::atomic<int> starts{0};

private:
    void serve()
    {
        for (;;)
        {
            const int connection = ::accept(fd_, nullptr, nullptr);
            if (connection < 0)
            {
                return;
            }
            connections_.emplace_back(
                [this, connection]
                {
                    while (serve_request(connection))
                    {
                    }
                    ::close(connection);
                });
        }
    }

    // Returns whether the connection stays open.
    bool serve_request(int connection)
    {
        std::string request;
        char buf[4'096];
        do
        {
            const ssize_t n = ::recv(connection, buf, sizeof buf, 0);
            if (n <= 0)
            {
                return false;
            }
            request.append(buf, static_cast<std::size_t>(n));
        } while (request.find("\r\n\r\n") == std::string::npos ||
                 request.back() != '}');
        const bool is_start = request.find("run-start") != std::string::npos;
        if (is_start && ++starts == 1)
        {
            return false;
        }
        const std::string body = is_start ? R"({"clockMs":5,"reason":"room"})"
                                          : R"({"clockMs":5,"born":1})";
        const std::string text =
            std::string(is_start ? "HTTP/1.1 409 Conflict"
                                 : "HTTP/1.1 200 OK") +
            "\r\nConnection: keep-alive\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        return ::send(connection, text.data(), text.size(), MSG_NOSIGNAL) > 0;
    }

    int fd_ = -1;
    std::thread thread_;
    std::vector<std::thread> connections_;
};

} // namespace

// Guards against resending a start order. The HTTP library resent a start after
// its connection was closed; the target rejected the copy, and the run was also
// started on another target.
TEST_CASE("a start order is not resent after its response was lost",
          "[platform]")
{
    response_dropping_target server;
    // Destroyed before the server, which closes the connections to it.
    platform::http_target targets;
    const std::chrono::milliseconds timeout(5'000);
    // Leaves an idle connection that could be reused.
    REQUIRE(targets.poll(server.entry, poll_request{}, timeout).ok());
    start_order order;
    order.task = "job.0.0.0";
    order.run = 1;
    const absl::StatusOr<order_answer> answer =
        targets.start(server.entry, order, timeout);
    REQUIRE_FALSE(answer.ok());
    REQUIRE(server.starts == 1);
    // The rejection of a copy that the caller sent itself is returned.
    const absl::StatusOr<order_answer> second =
        targets.start(server.entry, order, timeout);
    REQUIRE(second.ok());
    REQUIRE(second->verdict == order_verdict::no_room);
    REQUIRE(server.starts == 2);
}
