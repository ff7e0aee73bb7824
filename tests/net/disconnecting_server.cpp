#include "disconnecting_server.hpp"

#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::test
{

disconnecting_server::disconnecting_server()
    : fd_(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    (void)bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    listen(fd_, 16);
    thread_ = std::thread([this] { serve(); });
}

disconnecting_server::~disconnecting_server()
{
    shutdown(fd_, SHUT_RDWR);
    thread_.join();
    close(fd_);
}

void disconnecting_server::serve()
{
    while (true)
    {
        const int connection = accept(fd_, nullptr, nullptr);
        if (connection < 0)
        {
            return;
        }
        std::string text;
        char buf[4096];
        while (text.find("\r\n\r\n") == std::string::npos)
        {
            const ssize_t n = read(connection, buf, sizeof buf);
            if (n <= 0)
            {
                break;
            }
            text.append(buf, static_cast<std::size_t>(n));
        }
        if (!text.empty())
        {
            ++request_count_;
        }
        close(connection);
    }
}

} // namespace egretspindle::test
