#include "egretspindle/core/error.hpp"

#include "http_store.hpp"

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

/// Store that answers reads, closes the connection without a response after it
/// has received the first transaction, and rejects all later ones.
class response_dropping_store
{
public:
    response_dropping_store()
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(::bind(fd_, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(fd_, 8) == 0);
        ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
        thread_ = std::thread([this] { serve(); });
    }

    ~response_dropping_store()
    {
        ::shutdown(fd_, SHUT_RDWR);
        thread_.join();
        for (std::thread& item : connections_)
        {
            item.join();
        }
        ::close(fd_);
    }

    unsigned short port = 0;
    std::atomic<int> transactions{0};

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
        } while (!is_complete(request));
        const bool is_read = request.rfind("GET", 0) == 0;
        if (!is_read && ++transactions == 1)
        {
            return false;
        }
        const std::string body =
            is_read ? "{\"rows\":[],\"rowVersion\":1}" : "";
        const std::string text =
            std::string(is_read ? "HTTP/1.1 200 OK" : "HTTP/1.1 429 Busy") +
            "\r\nConnection: keep-alive\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        return ::send(connection, text.data(), text.size(), MSG_NOSIGNAL) > 0;
    }

    static bool is_complete(const std::string& request)
    {
        const std::size_t end = request.find("\r\n\r\n");
        if (end == std::string::npos || request.rfind("GET", 0) == 0)
        {
            return end != std::string::npos;
        }
        return request.size() > end + 4 && request.back() == '}';
    }

    int fd_ = -1;
    std::thread thread_;
    std::vector<std::thread> connections_;
};

} // namespace

// Guards against resending a transaction after its response was lost. The HTTP
// library resent the record of a new job; the store rejected the copy, and the
// scheduler refused the job although its record had been written. This happened
// 17 times in one fault run. Copies of other transactions doubled the load of a
// busy store.
TEST_CASE("a transaction is not resent after its response was lost",
          "[platform]")
{
    response_dropping_store server;
    // Destroyed before the server, which closes the connections to it.
    platform::http_store store({"127.0.0.1", server.port});
    row_range range;
    range.table = "jobs";
    // Leaves an idle connection that could be reused.
    REQUIRE(store.read(range, std::chrono::milliseconds(5'000)).ok());
    row_transaction transaction;
    transaction.is_sent_once = GENERATE(true, false);
    table_row row;
    row.table = "jobs";
    row.key = "0123456789abcdef";
    transaction.writes.push_back(row);
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, std::chrono::milliseconds(5'000));
    REQUIRE_FALSE(result.ok());
    REQUIRE(kind_of(result.status()) == error_kind::deadline_exceeded);
    REQUIRE(server.transactions == 1);
}
