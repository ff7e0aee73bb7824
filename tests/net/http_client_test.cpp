#include "egretspindle/core/error.hpp"
#include "egretspindle/net/http_client.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace egretspindle;

namespace
{

constexpr std::chrono::seconds wait_limit{20};

/// Server that lets a test write the bytes of each response. The members below
/// are guarded by `mutex`.
class scripted_server
{
public:
    /// Returns the response to the request with this number, from 1 on; empty:
    /// none, and the connection stays open.
    using script = std::function<std::string(int request)>;

    explicit scripted_server(script responses, bool closes = false)
        : responses_(std::move(responses)), closes_(closes),
          fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        (void)::bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        (void)::listen(fd_, 16);
        thread_ = std::thread([this] { serve(); });
    }

    ~scripted_server()
    {
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        ::close(fd_);
        for (std::thread& item : connections_)
        {
            item.join();
        }
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// Waits for a number of connections that have ended.
    bool wait_for_closed(int count)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed_.wait_for(lock, wait_limit,
                                 [&] { return closed >= count; });
    }

    unsigned short port = 0;
    std::mutex mutex;
    int accepted = 0; ///< connections
    int closed = 0;   ///< connections
    std::vector<std::string> requests;

private:
    void serve()
    {
        for (;;)
        {
            const int fd = ::accept(fd_, nullptr, nullptr);
            if (fd < 0)
            {
                return;
            }
            const std::lock_guard<std::mutex> lock(mutex);
            ++accepted;
            connections_.emplace_back([this, fd] { serve_connection(fd); });
        }
    }

    void serve_connection(int fd)
    {
        while (serve_request(fd) && !closes_)
        {
        }
        ::close(fd);
        const std::lock_guard<std::mutex> lock(mutex);
        ++closed;
        changed_.notify_all();
    }

    // Returns false if the client has closed the connection. Bodies end in `}`.
    bool serve_request(int fd)
    {
        std::string text;
        char buf[4'096];
        do
        {
            const ssize_t n = ::recv(fd, buf, sizeof buf, 0);
            if (n <= 0)
            {
                return false;
            }
            text.append(buf, static_cast<std::size_t>(n));
        } while (text.find("\r\n\r\n") == std::string::npos ||
                 (text.rfind("POST", 0) == 0 && text.back() != '}'));
        std::string response;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            requests.push_back(text);
            response = responses_(static_cast<int>(requests.size()));
        }
        return response.empty() ||
               ::send(fd, response.data(), response.size(), MSG_NOSIGNAL) > 0;
    }

    script responses_;
    bool closes_;
    int fd_;
    std::condition_variable changed_;
    std::thread thread_;
    std::vector<std::thread> connections_;
};

const std::string ok_response =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n"
    "ok";

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
    scripted_server server([](int) { return ok_response; });
    http_client client({"127.0.0.1", server.port});
    for (int n = 0; n < 3; ++n)
    {
        const absl::StatusOr<http_response> response =
            client.send(make_call(wait_limit));
        REQUIRE(response.ok());
        CHECK(response->status == 200);
        CHECK(response->body == "ok");
        CHECK(response->content_type == "text/plain");
    }
    const std::lock_guard<std::mutex> lock(server.mutex);
    CHECK(server.accepted == 1);
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
    scripted_server server([&](int) { return response; }, true);
    http_client client({"127.0.0.1", server.port});
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
    scripted_server server([&](int) { return response; }, true);
    http_client client({"127.0.0.1", server.port});
    CHECK(kind_of(client.send(make_call(wait_limit)).status()) ==
          error_kind::deadline_exceeded);
}

// Guards against an uncertain outcome when the server closed the connection
// between two requests.
TEST_CASE("no request is sent on a connection that the server has closed",
          "[net]")
{
    scripted_server server([](int) { return ok_response; }, true);
    http_client client({"127.0.0.1", server.port});
    for (int n = 1; n <= 3; ++n)
    {
        CHECK(client.send(make_call(wait_limit)).ok());
        REQUIRE(server.wait_for_closed(n));
    }
}

// Guards against one timeout for each connection that a fault has silenced.
TEST_CASE("idle connections are closed when another one was lost", "[net]")
{
    scripted_server server([](int request)
                           { return request == 3 ? "" : ok_response; });
    http_client client({"127.0.0.1", server.port});
    // Two calls at once leave two idle connections.
    std::thread other([&] { CHECK(client.send(make_call(wait_limit)).ok()); });
    CHECK(client.send(make_call(wait_limit)).ok());
    other.join();
    CHECK_FALSE(client.send(make_call(std::chrono::milliseconds(100))).ok());
    int accepted = 0;
    {
        const std::lock_guard<std::mutex> lock(server.mutex);
        accepted = server.accepted;
    }
    CHECK(client.send(make_call(wait_limit)).ok());
    const std::lock_guard<std::mutex> lock(server.mutex);
    CHECK(server.accepted == accepted + 1);
    CHECK(server.requests.size() == 4);
}

// Guards against requests that a foreign entry in a list smuggles into another
// one.
TEST_CASE("a header with a line break is not sent", "[net]")
{
    scripted_server server([](int) { return ok_response; });
    http_client client({"127.0.0.1", server.port});
    http_call call = make_call(wait_limit);
    call.headers.emplace_back("Expected", "t1\r\nContent-Length: 0");
    CHECK(kind_of(client.send(call).status()) == error_kind::invalid_argument);
    const std::lock_guard<std::mutex> lock(server.mutex);
    CHECK(server.requests.empty());
}
