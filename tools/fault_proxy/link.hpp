/// \file
/// Link of the proxy.

#ifndef EGRETSPINDLE_TOOLS_FAULT_PROXY_LINK_HPP
#define EGRETSPINDLE_TOOLS_FAULT_PROXY_LINK_HPP

#include "egretspindle/core/endpoint.hpp"

#include "link_mode.hpp"

#include <optional>
#include <string>

namespace egretspindle::standin
{

/// A listening address whose connections go to one server.
struct proxy_link
{
    std::string name;
    endpoint listen;
    endpoint server;
    int listen_fd = -1;
    link_mode mode = link_mode::pass;
    long delay_ms = 0;
    long count = 0; ///< replies still to cut; 0 means all
};

/// Parses `name=listen_ip:port->ip:port`.
[[nodiscard]] std::optional<proxy_link> parse_link(const std::string& text);

} // namespace egretspindle::standin

#endif
