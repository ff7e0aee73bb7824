/// \file
/// Proxy in front of a server of the test.

#ifndef EGRETSPINDLE_TESTS_SUPPORT_PROXIED_LINK_HPP
#define EGRETSPINDLE_TESTS_SUPPORT_PROXIED_LINK_HPP

#include "support/child_process.hpp"
#include "support/json_http.hpp"
#include "support/port_reservation.hpp"
#include "support/temporary_directory.hpp"
#include "support/wait_until.hpp"

#include <stdexcept>
#include <string>

namespace egretspindle::test
{

/// A proxy with one link in front of a server of the test.
struct proxied_link
{
    temporary_directory directory;
    port_reservation ports;
    unsigned short server_port = ports.reserve();
    std::string address = ports.reserve_address();
    std::string control = ports.reserve_address();
    child_process process{
        "fault_proxy",
        {"--control", control, "--link",
         "x=" + address + "->127.0.0.1:" + std::to_string(server_port)},
        directory.file("proxy.log")};

    proxied_link()
    {
        if (!wait_until([&]
                        { return send_http(control, "GET", "/control").ok(); }))
        {
            throw std::runtime_error("the proxy did not start");
        }
    }

    void set(const std::string& mode, const std::string& extra = "")
    {
        (void)post_control(control, R"({"link":"x","mode":")" + mode + "\"" +
                                        extra + "}");
    }
};

} // namespace egretspindle::test

#endif
