#include "http_channel.hpp"

#include "egretspindle/net/endpoint.hpp"

#include "common/platform_event.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::bench
{

namespace
{

using standin::steady_ms;

// Waits for an event of a socket.
bool wait_for(int fd, short events, std::int64_t until)
{
    for (;;)
    {
        pollfd item{fd, events, 0};
        const std::int64_t left =
            std::max<std::int64_t>(0, until - steady_ms());
        const int count = poll(&item, 1, static_cast<int>(left));
        if (count > 0)
        {
            return true;
        }
        if (count == 0 || errno != EINTR)
        {
            return false;
        }
    }
}

std::size_t content_length(const std::string& head)
{
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    const std::size_t at = lower.find("content-length:");
    return at == std::string::npos
               ? 0
               : std::strtoul(lower.c_str() + at + 15, nullptr, 10);
}

} // namespace

http_channel::http_channel(std::string address) : address_(std::move(address))
{
}

http_channel::~http_channel()
{
    close_socket();
}

void http_channel::close_socket()
{
    if (fd_ >= 0)
    {
        close(fd_);
    }
    fd_ = -1;
    has_answered_ = false;
}

bool http_channel::connect_to_server(std::int64_t until)
{
    const absl::StatusOr<endpoint> server = parse_endpoint(address_);
    if (!server.ok())
    {
        return false;
    }
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(server->port);
    inet_pton(AF_INET, server->address.c_str(), &name.sin_addr);
    if (connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 &&
        errno != EINPROGRESS)
    {
        return false;
    }
    int error = 0;
    socklen_t size = sizeof error;
    return wait_for(fd_, POLLOUT, until) &&
           getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
}

// Anything readable between two requests is the end of the connection.
bool http_channel::has_ended() const
{
    pollfd item{fd_, POLLIN, 0};
    return poll(&item, 1, 0) > 0;
}

bool http_channel::write_all(const std::string& text, std::int64_t until)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const ssize_t n = ::send(fd_, text.data() + sent, text.size() - sent,
                                 MSG_NOSIGNAL);
        if (n > 0)
        {
            sent += static_cast<std::size_t>(n);
        }
        else if ((errno != EAGAIN && errno != EINTR) ||
                 !wait_for(fd_, POLLOUT, until))
        {
            return false;
        }
    }
    return true;
}

void http_channel::read_response(channel_reply& reply, std::int64_t until)
{
    std::string text;
    char buf[4096];
    for (;;)
    {
        const std::size_t head = text.find("\r\n\r\n");
        if (head != std::string::npos)
        {
            const std::size_t size = content_length(text.substr(0, head + 2));
            if (text.size() >= head + 4 + size)
            {
                const std::size_t blank = text.find(' ');
                reply.status = std::atoi(text.c_str() + blank);
                reply.body = text.substr(head + 4, size);
                return;
            }
        }
        if (!wait_for(fd_, POLLIN, until))
        {
            return;
        }
        const ssize_t n = recv(fd_, buf, sizeof buf, 0);
        if (n > 0)
        {
            text.append(buf, static_cast<std::size_t>(n));
        }
        else if (n == 0 || (errno != EAGAIN && errno != EINTR))
        {
            reply.is_closed = true;
            return;
        }
    }
}

channel_reply http_channel::send(const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 std::chrono::milliseconds timeout)
{
    const std::int64_t until = steady_ms() + timeout.count();
    channel_reply reply;
    if (fd_ >= 0 && has_ended())
    {
        close_socket();
    }
    const std::string text = fmt::format(
        "{} {} HTTP/1.1\r\nHost: jobs.test\r\nContent-Type: application/json"
        "\r\nEgretspindle-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
        method, path, timeout.count(), body.size(), body);
    reply.was_kept = fd_ >= 0 && has_answered_;
    const bool is_open = fd_ >= 0 || connect_to_server(until);
    const bool is_written = is_open && write_all(text, until);
    reply.sent_ms = steady_ms();
    if (is_written)
    {
        read_response(reply, until);
    }
    reply.answered_ms = steady_ms();
    if (reply.status == 0)
    {
        // A late response would be taken for that of the next request.
        close_socket();
    }
    else
    {
        has_answered_ = true;
    }
    return reply;
}

} // namespace egretspindle::bench
