/// \file
/// Ports for processes that a test starts.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_PORT_RESERVATION_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_PORT_RESERVATION_HPP

#include <string>
#include <vector>

namespace egretspindle::test
{

/// Holds ports on 127.0.0.1 that the kernel chose.
///
/// A bound socket that does not listen keeps the kernel from giving the port to
/// another process, while a server that sets SO_REUSEADDR can listen on it.
/// Otherwise an outgoing connection of another process may take a port between
/// its choice and its use.
class port_reservation
{
public:
    port_reservation() = default;
    ~port_reservation();
    port_reservation(const port_reservation&) = delete;
    port_reservation& operator=(const port_reservation&) = delete;

    /// Reserves a port.
    unsigned short reserve();

    /// Reserves a port and returns it as `127.0.0.1:port`.
    std::string reserve_address();

private:
    std::vector<int> fds_;
};

} // namespace egretspindle::test

#endif
