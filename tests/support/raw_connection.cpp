#include "support/raw_connection.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace egretspindle::test
{

namespace
{

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

} // namespace

bool raw_response::is_last() const
{
    return to_lower(header).find("connection: close") != std::string::npos;
}

std::string make_raw_request(std::string_view method, std::string_view path,
                             std::string_view body)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: test\r\nContent-Length: {}"
                       "\r\n\r\n{}",
                       method, path, body.size(), body);
}

raw_connection::raw_connection(unsigned short port)
    : fd_(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int enabled = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(fd_);
        throw std::runtime_error("connection refused");
    }
}

raw_connection::~raw_connection()
{
    ::close(fd_);
}

bool raw_connection::send(std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
        if (n <= 0)
        {
            is_open_ = false;
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

std::optional<raw_response>
raw_connection::read(std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (;;)
    {
        const std::size_t header_end = buf_.find("\r\n\r\n");
        if (header_end != std::string::npos)
        {
            raw_response response;
            response.header = buf_.substr(0, header_end + 2);
            const std::string lower = to_lower(response.header);
            const std::string name = "content-length:";
            const std::size_t at = lower.find(name);
            const std::size_t length =
                at == std::string::npos
                    ? 0
                    : std::strtoul(lower.c_str() + at + name.size(), nullptr,
                                   10);
            if (buf_.size() >= header_end + 4 + length)
            {
                response.status = std::atoi(response.header.c_str() + 9);
                response.body = buf_.substr(header_end + 4, length);
                buf_.erase(0, header_end + 4 + length);
                return response;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            end - std::chrono::steady_clock::now());
        pollfd item{fd_, POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&item, 1, static_cast<int>(left.count())) <= 0)
        {
            return std::nullopt;
        }
        char chunk[16 * 1024];
        const ssize_t n = ::recv(fd_, chunk, sizeof chunk, 0);
        if (n <= 0)
        {
            is_open_ = false;
            return std::nullopt;
        }
        buf_.append(chunk, static_cast<std::size_t>(n));
    }
}

} // namespace egretspindle::test
