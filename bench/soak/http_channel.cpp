#include "http_channel.hpp"

#include "egretspindle/core/endpoint.hpp"

#include "common/platform_event.hpp"

#include <fmt/format.h>

#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace egretspindle::bench
{

namespace
{

using standin::steady_ms;

// Matches one spelling of the header only, since hosts are the only servers.
std::size_t content_length(const std::string& head)
{
    const std::string name = "Content-Length:";
    const std::size_t at = head.find(name);
    return at == std::string::npos
               ? 0
               : std::strtoul(head.c_str() + at + name.size(), nullptr, 10);
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

bool http_channel::connect_to_server()
{
    const absl::StatusOr<endpoint> server = parse_endpoint(address_);
    if (!server.ok())
    {
        return false;
    }
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(server->port);
    inet_pton(AF_INET, server->address.c_str(), &name.sin_addr);
    return connect(fd_, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
}

// A readable socket between two requests means that the server closed it.
bool http_channel::has_ended() const
{
    pollfd item{fd_, POLLIN, 0};
    return poll(&item, 1, 0) > 0;
}

void http_channel::read_response(channel_reply& reply)
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
        const ssize_t n = recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
        {
            reply.is_closed = n == 0 || errno != EAGAIN;
            return;
        }
        text.append(buf, static_cast<std::size_t>(n));
    }
}

channel_reply http_channel::send(const std::string& method,
                                 const std::string& path,
                                 const std::string& body,
                                 std::chrono::milliseconds timeout)
{
    channel_reply reply;
    if (fd_ >= 0 && has_ended())
    {
        close_socket();
    }
    const std::string text = fmt::format(
        "{} {} HTTP/1.1\r\nHost: jobs.test\r\nContent-Type: application/json"
        "\r\nEgretspindle-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{}",
        method, path, timeout.count(), body.size(), body);
    reply.was_reused = fd_ >= 0 && has_answered_;
    const bool is_open = fd_ >= 0 || connect_to_server();
    // Requests and responses are short enough for a single send and receive, so
    // that the timeout of one call limits the whole exchange.
    const long us = static_cast<long>(timeout.count()) * 1'000;
    const timeval limit{us / 1'000'000, us % 1'000'000};
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const bool is_written =
        is_open && ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
                       static_cast<ssize_t>(text.size());
    reply.sent_ms = steady_ms();
    if (is_written)
    {
        read_response(reply);
    }
    reply.answered_ms = steady_ms();
    if (reply.status == 0)
    {
        // A late response would be taken for the response to the next request.
        close_socket();
    }
    else
    {
        has_answered_ = true;
    }
    return reply;
}

} // namespace egretspindle::bench
