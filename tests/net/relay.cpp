#include "relay.hpp"

#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::test
{

namespace
{

sockaddr_in loopback(unsigned short port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

} // namespace

relay::relay(unsigned short server)
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

relay::~relay()
{
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
    for (std::thread& item : connections_)
    {
        item.join();
    }
}

void relay::serve()
{
    for (;;)
    {
        const int client = accept(fd_, nullptr, nullptr);
        if (client < 0)
        {
            return;
        }
        const int opened_after = severed_count_;
        connections_.emplace_back([this, client, opened_after]
                                  { relay_connection(client, opened_after); });
    }
}

// \param opened_after  number of calls of `sever` before the connection
void relay::relay_connection(int client, int opened_after)
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
        const ssize_t n = read(is_request ? client : server, buf, sizeof buf);
        if (n <= 0)
        {
            break;
        }
        if (is_request && is_dropping_)
        {
            ++dropped_count_;
            break;
        }
        if (severed_count_ == opened_after)
        {
            (void)!write(is_request ? server : client, buf,
                         static_cast<std::size_t>(n));
        }
    }
    close(client);
    close(server);
}

} // namespace egretspindle::test
