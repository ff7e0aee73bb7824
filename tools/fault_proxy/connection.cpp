#include "connection.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::standin
{

namespace
{

constexpr std::size_t max_queued = 256 * 1024;

void close_with_reset(int fd)
{
    if (fd < 0)
    {
        return;
    }
    const ::linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close(fd);
}

int connect_to(const endpoint& server)
{
    const int fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    // A refused connection on loopback fails here, not through SO_ERROR.
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 &&
        errno != EINPROGRESS)
    {
        close(fd);
        return -1;
    }
    return fd;
}

bool is_retryable()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

connection::connection(proxy_link& link, int client_fd)
    : link_(link), client_fd_(client_fd), server_fd_(connect_to(link.server))
{
    requests_.from = client_fd_;
    requests_.to = server_fd_;
    replies_.from = server_fd_;
    replies_.to = client_fd_;
}

connection::~connection()
{
    if (client_fd_ >= 0)
    {
        close(client_fd_);
        close(server_fd_);
    }
}

void connection::reset()
{
    close_with_reset(client_fd_);
    close_with_reset(server_fd_);
    client_fd_ = -1;
    server_fd_ = -1;
}

void connection::add_poll(std::vector<pollfd>& fds, time_point now,
                          time_point& wake) const
{
    short client_events = 0;
    short server_events = 0;
    add_events(requests_, holds_requests(link_.mode), client_events,
               server_events, now, wake);
    add_events(replies_, holds_replies(link_.mode), server_events,
               client_events, now, wake);
    if (!is_connected_)
    {
        server_events = POLLOUT;
    }
    // A socket without events of interest is left out, since poll reports a
    // hang-up in any case.
    fds.push_back({client_events != 0 ? client_fd_ : -1, client_events, 0});
    fds.push_back({server_events != 0 ? server_fd_ : -1, server_events, 0});
}

void connection::add_events(const direction& flow, bool is_held,
                            short& from_events, short& to_events,
                            time_point now, time_point& wake) const
{
    if (is_held)
    {
        return;
    }
    if (!flow.is_read_closed && flow.queued < max_queued)
    {
        from_events = static_cast<short>(from_events | POLLIN);
    }
    if (flow.chunks.empty() || !is_connected_)
    {
        return;
    }
    if (flow.chunks.front().release_time <= now)
    {
        to_events = static_cast<short>(to_events | POLLOUT);
    }
    else
    {
        wake = std::min(wake, flow.chunks.front().release_time);
    }
}

bool connection::transfer(time_point now)
{
    if (!is_connected_ && !finish_connect())
    {
        return is_connected_ || errno == EINPROGRESS;
    }
    const bool is_open =
        (holds_requests(link_.mode) ||
         (receive(requests_, now, false) && send(requests_, now))) &&
        (holds_replies(link_.mode) ||
         (receive(replies_, now, true) && send(replies_, now)));
    return is_open && !is_complete();
}

bool connection::finish_connect()
{
    if (server_fd_ < 0)
    {
        errno = ECONNREFUSED;
        return false;
    }
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(server_fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
    {
        errno = error;
        return false;
    }
    sockaddr_in peer{};
    socklen_t peer_size = sizeof peer;
    if (getpeername(server_fd_, reinterpret_cast<sockaddr*>(&peer),
                    &peer_size) != 0)
    {
        errno = EINPROGRESS;
        return false;
    }
    is_connected_ = true;
    return true;
}

bool connection::receive(direction& flow, time_point now, bool is_reply)
{
    while (!flow.is_read_closed && flow.queued < max_queued)
    {
        char buf[16 * 1024];
        const ssize_t n = recv(flow.from, buf, sizeof buf, 0);
        if (n < 0)
        {
            return is_retryable();
        }
        if (n == 0)
        {
            flow.is_read_closed = true;
            break;
        }
        if (is_reply && link_.mode == link_mode::cut_reply_after_request)
        {
            if (link_.count > 0 && --link_.count == 0)
            {
                link_.mode = link_mode::pass;
            }
            return false;
        }
        const long delay = link_.mode == link_mode::delay ? link_.delay_ms : 0;
        flow.chunks.push_back({now + milliseconds(delay),
                               std::string(buf, static_cast<std::size_t>(n))});
        flow.queued += static_cast<std::size_t>(n);
    }
    return true;
}

bool connection::send(direction& flow, time_point now)
{
    while (!flow.chunks.empty() && flow.chunks.front().release_time <= now)
    {
        std::string& data = flow.chunks.front().data;
        const ssize_t n =
            ::send(flow.to, data.data(), data.size(), MSG_NOSIGNAL);
        if (n < 0)
        {
            return is_retryable();
        }
        flow.queued -= static_cast<std::size_t>(n);
        data.erase(0, static_cast<std::size_t>(n));
        if (data.empty())
        {
            flow.chunks.pop_front();
        }
    }
    if (flow.chunks.empty() && flow.is_read_closed && !flow.is_write_closed)
    {
        flow.is_write_closed = true;
        shutdown(flow.to, SHUT_WR);
    }
    return true;
}

} // namespace egretspindle::standin
