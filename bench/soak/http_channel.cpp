#include "http_channel.hpp"

#include "egretspindle/core/endpoint.hpp"

#include "common/platform_event.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
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

// Hosts write the header in this spelling, as with `Content-Length`.
bool has_close(const std::string& head)
{
    return head.find("\r\nConnection: close\r\n") != std::string::npos;
}

std::string head_of(const channel_request& request,
                    std::chrono::milliseconds timeout)
{
    return fmt::format(
        "{} {} HTTP/1.1\r\nHost: jobs.test\r\nContent-Type: application/json"
        "\r\nEgretspindle-Deadline-Ms: {}\r\nContent-Length: {}\r\n\r\n",
        request.method, request.path, timeout.count(), request.body.size());
}

// Requests are short enough for the buffers of the socket.
constexpr long write_timeout_s = 3;

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
    is_closing_ = false;
    received_.clear();
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

bool http_channel::prepare()
{
    if (fd_ >= 0 && (has_ended() || is_closing_))
    {
        close_socket();
    }
    return fd_ >= 0 || connect_to_server();
}

bool http_channel::write(std::string_view text)
{
    const timeval limit{write_timeout_s, 0};
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    return ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
}

bool http_channel::write_request(const channel_request& request,
                                 std::chrono::milliseconds timeout,
                                 const body_pacing& pacing)
{
    const std::string head = head_of(request, timeout);
    if (pacing.pause.count() == 0)
    {
        return write(head + request.body);
    }
    bool is_written = write(head);
    const std::string_view body = request.body;
    const auto pieces = static_cast<std::size_t>(pacing.pieces);
    for (std::size_t n = 0; n < pieces && is_written; ++n)
    {
        std::this_thread::sleep_for(pacing.pause);
        const std::size_t first = body.size() * n / pieces;
        const std::size_t last = body.size() * (n + 1) / pieces;
        is_written = write(body.substr(first, last - first));
    }
    return is_written;
}

// Takes a complete response from the received bytes.
bool http_channel::take_response(channel_reply& reply)
{
    const std::size_t head = received_.find("\r\n\r\n");
    if (head == std::string::npos)
    {
        return false;
    }
    const std::string fields = received_.substr(0, head + 2);
    const std::size_t size = content_length(fields);
    if (received_.size() < head + 4 + size)
    {
        return false;
    }
    reply.status = std::atoi(fields.c_str() + fields.find(' '));
    reply.body = received_.substr(head + 4, size);
    received_.erase(0, head + 4 + size);
    is_closing_ = has_close(fields);
    return true;
}

void http_channel::receive(channel_reply& reply,
                           std::chrono::steady_clock::time_point until)
{
    char buf[4096];
    while (!take_response(reply))
    {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            until - std::chrono::steady_clock::now());
        pollfd item{fd_, POLLIN, 0};
        if (poll(&item, 1, static_cast<int>(std::max<long>(0, left.count()))) ==
            0)
        {
            break;
        }
        const ssize_t n = recv(fd_, buf, sizeof buf, 0);
        if (n <= 0)
        {
            reply.is_closed = true;
            break;
        }
        received_.append(buf, static_cast<std::size_t>(n));
    }
    reply.answered_ms = steady_ms();
}

channel_reply http_channel::send(const channel_request& request,
                                 std::chrono::milliseconds timeout,
                                 const body_pacing& pacing)
{
    channel_reply reply;
    const bool is_open = prepare();
    reply.was_reused = has_answered_;
    reply.is_sent = is_open && write_request(request, timeout, pacing);
    reply.sent_ms = steady_ms();
    reply.answered_ms = reply.sent_ms;
    if (reply.is_sent)
    {
        receive(reply, std::chrono::steady_clock::now() + timeout);
    }
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

std::vector<channel_reply>
http_channel::send_pipelined(const std::vector<channel_request>& requests,
                             std::chrono::milliseconds timeout)
{
    std::vector<channel_reply> replies(requests.size());
    std::string text;
    for (const channel_request& request : requests)
    {
        text += head_of(request, timeout) + request.body;
    }
    // In one piece, so that the server has the next request in its buffer while
    // it reads the one before.
    const bool is_sent = prepare() && write(text);
    for (std::size_t n = 0; n < requests.size(); ++n)
    {
        replies[n].is_sent = is_sent;
        replies[n].was_reused = has_answered_ || n > 0;
        replies[n].sent_ms = steady_ms();
        replies[n].answered_ms = replies[n].sent_ms;
    }
    const auto until = std::chrono::steady_clock::now() + timeout;
    bool is_answered = true;
    bool is_peer_closed = false;
    for (channel_reply& reply : replies)
    {
        if (is_answered && is_closing_)
        {
            reply.is_not_taken = true;
        }
        else if (is_answered && reply.is_sent)
        {
            receive(reply, until);
            is_answered = reply.status != 0;
            has_answered_ = has_answered_ || is_answered;
            is_peer_closed = reply.is_closed;
        }
        else
        {
            reply.is_closed = is_peer_closed;
            reply.answered_ms = steady_ms();
        }
    }
    if (!is_answered || !replies.back().is_sent)
    {
        close_socket();
    }
    return replies;
}

} // namespace egretspindle::bench
