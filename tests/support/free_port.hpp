/// \file
/// Ports for test servers.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_FREE_PORT_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_FREE_PORT_HPP

namespace egretspindle::test
{

/// Returns a port on 127.0.0.1 that the kernel chose and that is free.
[[nodiscard]] unsigned short free_port();

} // namespace egretspindle::test

#endif
