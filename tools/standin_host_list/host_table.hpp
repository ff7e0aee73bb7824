/// \file
/// Host list that shows changes after a lag.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_HOST_LIST_HOST_TABLE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_HOST_LIST_HOST_TABLE_HPP

#include "egretspindle/adapters/host_entry.hpp"
#include "egretspindle/core/clock.hpp"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace egretspindle::standin
{

/// Document with all hosts.
struct host_document
{
    std::vector<host_entry> hosts;
};

/// Visits the fields of `host_document` for the codec.
template <typename Visitor, typename Value>
void visit_fields(Visitor&& visit, Value& value, const host_document* /*tag*/)
{
    visit("hosts", value.hosts);
}

/// Host list that shows each change to readers only after a lag.
class host_table
{
public:
    explicit host_table(milliseconds lag) : lag_(lag) {}

    /// Replaces the list. The first list is visible at once.
    void replace(host_document document);

    /// Changes the state of a host.
    ///
    /// \returns false for an unknown host
    bool set_state(const std::string& name, const std::string& state);

    /// Deletes a host.
    ///
    /// \returns false for an unknown host
    bool remove(const std::string& name);

    /// Sets the lag of later changes.
    void set_lag(milliseconds lag);

    /// Returns the list that readers see now.
    [[nodiscard]] host_document visible();

    /// Returns the Unix time from which the latest change is visible.
    [[nodiscard]] std::int64_t visible_at_ms();

private:
    struct change
    {
        time_point visible_from;
        host_document document;
    };

    void append(host_document document);

    std::mutex mutex_;
    milliseconds lag_;
    std::deque<change> changes_;
    std::int64_t visible_at_ms_ = 0;
};

} // namespace egretspindle::standin

#endif
