#include "listener.hpp"

#include <cerrno>
#include <memory>
#include <netdb.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace egretspindle
{

namespace
{

using address_list = std::unique_ptr<addrinfo, decltype(&::freeaddrinfo)>;

[[noreturn]] void throw_errno(const char* call)
{
    throw std::system_error(errno, std::generic_category(), call);
}

address_list resolve(const std::string& address, unsigned short port)
{
    addrinfo hints{};
    hints.ai_family = address.empty() ? AF_INET : AF_UNSPEC;
    hints.ai_socktype = SOCK_STREAM;
    hints.ai_flags = AI_PASSIVE | AI_NUMERICHOST | AI_NUMERICSERV;
    addrinfo* found = nullptr;
    const int error =
        ::getaddrinfo(address.empty() ? nullptr : address.c_str(),
                      std::to_string(port).c_str(), &hints, &found);
    if (error != 0)
    {
        throw std::runtime_error(::gai_strerror(error));
    }
    return {found, &::freeaddrinfo};
}

// Returns whether an error concerns a connection that its caller has given up.
bool is_aborted(int error)
{
    return error == ECONNABORTED || error == EPROTO || error == EINTR;
}

} // namespace

listener::~listener()
{
    close();
}

void listener::open(const std::string& address, unsigned short port)
{
    const address_list found = resolve(address, port);
    close();
    fd_ = ::socket(found->ai_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
                   0);
    const int enabled = 1;
    if (fd_ < 0)
    {
        throw_errno("socket");
    }
    if (::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) !=
            0 ||
        ::bind(fd_, found->ai_addr, found->ai_addrlen) != 0 ||
        ::listen(fd_, max_waiting) != 0)
    {
        const int error = errno;
        close();
        errno = error;
        throw_errno("listen");
    }
}

int listener::accept(int stop_fd)
{
    for (;;)
    {
        pollfd items[] = {{fd_, POLLIN, 0}, {stop_fd, POLLIN, 0}};
        if (::poll(items, 2, -1) < 0 && errno != EINTR)
        {
            throw_errno("poll");
        }
        const bool is_stopping = items[1].revents != 0;
        if (is_stopping && left_after_stop_-- <= 0)
        {
            return -1;
        }
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0)
        {
            return fd;
        }
        const int error = errno;
        if (is_stopping && !is_aborted(error))
        {
            return -1;
        }
        if (!is_aborted(error) && error != EAGAIN && error != EWOULDBLOCK)
        {
            throw_errno("accept");
        }
    }
}

void listener::close()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
        fd_ = -1;
    }
}

} // namespace egretspindle
