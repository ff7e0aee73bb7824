#include "keepalive.hpp"

#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <system_error>

namespace egretspindle
{

namespace
{

// A probe takes about 100 bytes with its acknowledgement, so that 250 idle
// connections of a host cost 25 KB/s.
constexpr int probe_after_idle_s = 1;
constexpr int probe_interval_s = 1;
constexpr int max_unanswered_probes = 2;
// TCP repeats a segment after 0.2, 0.6 and 1.4 s, so a connection that loses
// packets gets four attempts.
constexpr int unacknowledged_limit_ms = 1'500;

void set_option(const cxxtools::net::TcpSocket& socket, int level, int option,
                int value)
{
    if (::setsockopt(socket.getFd(), level, option, &value, sizeof value) != 0)
    {
        throw std::system_error(errno, std::generic_category(), "setsockopt");
    }
}

} // namespace

void enable_keepalive(const cxxtools::net::TcpSocket& socket)
{
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_after_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_unanswered_probes);
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_limit_ms);
}

} // namespace egretspindle
