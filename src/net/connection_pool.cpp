#include "connection_pool.hpp"

#include "keepalive.hpp"

#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>

namespace egretspindle
{

namespace
{

constexpr std::size_t max_idle_connections = 64;

cxxtools::Milliseconds to_cxxtools(std::chrono::milliseconds value)
{
    return cxxtools::Milliseconds(static_cast<double>(value.count()));
}

// Returns whether an idle connection can be reused. No response is expected on
// it, so any received bytes are a late response to an earlier request.
bool is_reusable(const cxxtools::net::TcpSocket& socket)
{
    char byte = 0;
    const ssize_t n = ::recv(socket.getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Sets the timeout of the next read or write. Throws if the deadline has
// passed.
void set_timeout(cxxtools::net::TcpSocket& socket,
                 deadline_clock::time_point deadline)
{
    const std::chrono::milliseconds remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - deadline_clock::now());
    if (remaining.count() <= 0)
    {
        throw std::runtime_error("timeout");
    }
    socket.setTimeout(to_cxxtools(remaining));
}

} // namespace

socket_ptr connection_pool::take(const std::string& server)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<socket_ptr>& sockets = idle_[server];
    while (!sockets.empty())
    {
        socket_ptr socket = std::move(sockets.back());
        sockets.pop_back();
        if (is_reusable(*socket))
        {
            return socket;
        }
    }
    return nullptr;
}

void connection_pool::give_back(const std::string& server, socket_ptr socket)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<socket_ptr>& sockets = idle_[server];
    if (sockets.size() < max_idle_connections)
    {
        sockets.push_back(std::move(socket));
    }
}

void connection_pool::close_idle(const std::string& server)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    idle_.erase(server);
}

socket_ptr open_connection(const endpoint& server,
                           std::chrono::milliseconds timeout)
{
    socket_ptr socket = std::make_unique<cxxtools::net::TcpSocket>();
    socket->setTimeout(to_cxxtools(timeout));
    socket->connect(server.address, server.port);
    enable_keepalive(*socket);
    return socket;
}

void write_all(cxxtools::net::TcpSocket& socket, std::string_view text,
               deadline_clock::time_point deadline)
{
    while (!text.empty())
    {
        set_timeout(socket, deadline);
        text.remove_prefix(socket.write(text.data(), text.size()));
    }
}

bool read_some(cxxtools::net::TcpSocket& socket, std::string& text,
               deadline_clock::time_point deadline)
{
    char buf[16 * 1024];
    set_timeout(socket, deadline);
    const std::size_t n = socket.read(buf, sizeof buf);
    text.append(buf, n);
    return n > 0;
}

} // namespace egretspindle
