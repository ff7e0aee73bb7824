/// \file
/// Event loop of the proxy.

#ifndef EGRETSPINDLE_TOOLS_FAULT_PROXY_PROXY_HPP
#define EGRETSPINDLE_TOOLS_FAULT_PROXY_PROXY_HPP

#include "connection.hpp"

#include <absl/status/status.h>

#include <atomic>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle::standin
{

/// Change of one or more links.
struct link_command
{
    std::string link; ///< name, or a pattern such as `a1-*`
    std::vector<std::string> links;
    std::string mode = "pass";
    long delay_ms = 0;
    long count = 0; ///< replies to cut before the link passes again; 0: all
};

/// Visits the fields of `link_command` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const link_command* /*tag*/)
{
    visit("link", value.link);
    visit("links", value.links);
    visit("mode", value.mode);
    visit("delay_ms", value.delay_ms);
    visit("count", value.count);
}

/// State of a link.
struct link_state
{
    std::string name;
    std::string mode;
    long delay_ms = 0;
    long connections = 0;
};

/// Visits the fields of `link_state` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const link_state* /*tag*/)
{
    visit("name", value.name);
    visit("mode", value.mode);
    visit("delay_ms", value.delay_ms);
    visit("connections", value.connections);
}

/// Forwards the connections of all links from one thread.
class proxy
{
public:
    explicit proxy(std::vector<proxy_link> links);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    /// Listens on all links and starts to forward.
    [[nodiscard]] absl::Status start();

    /// Changes all links that match, in one step.
    ///
    /// \returns `not_found` when none matches
    absl::Status apply(const link_command& command);

    [[nodiscard]] std::vector<link_state> state();

private:
    void run();
    void accept_from(proxy_link& source);
    void transfer(time_point now);
    void wake();

    std::mutex mutex_;
    std::vector<proxy_link> links_;
    std::list<connection> connections_;
    std::atomic<bool> is_stopping_{false};
    int wake_fd_ = -1;
    std::thread thread_;
};

} // namespace egretspindle::standin

#endif
