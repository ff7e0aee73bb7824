#include "support/scripted_server.hpp"

#include <fmt/format.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::test
{

std::string make_response(std::string_view status, std::string_view body)
{
    return fmt::format("HTTP/1.1 {}\r\nConnection: keep-alive\r\n"
                       "Content-Type: text/plain\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       status, body.size(), body);
}

scripted_server::scripted_server(script responses, bool closes)
    : responses_(std::move(responses)), closes_(closes),
      fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)::bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    (void)::listen(fd_, 16);
    thread_ = std::thread([this] { serve(); });
}

scripted_server::~scripted_server()
{
    ::shutdown(fd_, SHUT_RDWR);
    thread_.join();
    ::close(fd_);
    for (std::thread& item : connections_)
    {
        item.join();
    }
}

int scripted_server::request_count() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
}

int scripted_server::connection_count() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return accepted_;
}

bool scripted_server::wait_for_closed(int count)
{
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(20),
                             [&] { return closed_ >= count; });
}

void scripted_server::serve()
{
    for (;;)
    {
        const int fd = ::accept(fd_, nullptr, nullptr);
        if (fd < 0)
        {
            return;
        }
        const std::lock_guard<std::mutex> lock(mutex_);
        ++accepted_;
        connections_.emplace_back([this, fd] { serve_connection(fd); });
    }
}

void scripted_server::serve_connection(int fd)
{
    while (serve_request(fd) && !closes_)
    {
    }
    ::close(fd);
    const std::lock_guard<std::mutex> lock(mutex_);
    ++closed_;
    changed_.notify_all();
}

// Returns whether the connection stays open.
bool scripted_server::serve_request(int fd)
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
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++requests_;
    }
    std::optional<std::string> response;
    {
        const std::lock_guard<std::mutex> lock(script_mutex_);
        response = responses_(text);
    }
    return response &&
           (response->empty() ||
            ::send(fd, response->data(), response->size(), MSG_NOSIGNAL) > 0);
}

} // namespace egretspindle::test
