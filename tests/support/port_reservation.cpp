#include "support/port_reservation.hpp"

#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::test
{

port_reservation::~port_reservation()
{
    for (const int fd : fds_)
    {
        close(fd);
    }
}

unsigned short port_reservation::reserve()
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    {
        close(fd);
        throw std::runtime_error("no free port on 127.0.0.1");
    }
    // Set after the bind, so that the kernel chose a port that no other socket
    // uses.
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    fds_.push_back(fd);
    return ntohs(address.sin_port);
}

std::string port_reservation::reserve_address()
{
    return "127.0.0.1:" + std::to_string(reserve());
}

} // namespace egretspindle::test
