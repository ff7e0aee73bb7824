/// \file
/// Detection of connections whose peer has gone away.

#ifndef EGRETSPINDLE_SRC_NET_KEEPALIVE_HPP
#define EGRETSPINDLE_SRC_NET_KEEPALIVE_HPP

#include <cxxtools/net/tcpsocket.h>

namespace egretspindle
{

/// Makes the kernel probe an idle connection and close it if the peer does not
/// acknowledge probes or data, see tcp(7). A connection that goes silent fails
/// within 3 s while it is idle, and within 1.5 s once something is sent on it.
/// Throws `std::system_error` if the options cannot be set.
void enable_keepalive(const cxxtools::net::TcpSocket& socket);

} // namespace egretspindle

#endif
