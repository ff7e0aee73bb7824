/// \file
/// Last known host list of the platform.

#ifndef EGRETSPINDLE_NODE_HOST_LIST_CACHE_HPP
#define EGRETSPINDLE_NODE_HOST_LIST_CACHE_HPP

#include "egretspindle/adapters/host_list_client.hpp"
#include "egretspindle/core/clock.hpp"
#include "egretspindle/core/resources.hpp"

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle
{

/// Polls the host list and keeps the last list during outages.
class host_list_cache
{
public:
    host_list_cache(host_list_client& client, milliseconds period);
    ~host_list_cache();
    host_list_cache(const host_list_cache&) = delete;
    host_list_cache& operator=(const host_list_cache&) = delete;

    /// Starts polling in a thread, without waiting for the first answer.
    void start();

    /// Stops polling.
    void stop();

    /// Returns the last list; empty while none is known.
    [[nodiscard]] std::vector<host_entry> hosts() const;

    /// Returns whether an entry host is listed; true while no list is known.
    [[nodiscard]] bool is_entry_host_listed(const std::string& name) const;

    /// Returns whether at least one listed target has a total capacity of
    /// `size`; true while no list is known.
    [[nodiscard]] bool fits_some_target(const resources& size) const;

    /// Returns the racks of a data centre that have targets.
    [[nodiscard]] std::set<std::string>
    racks(const std::string& data_center) const;

private:
    void poll();

    host_list_client& client_;
    milliseconds period_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<host_entry> hosts_;
    bool is_stopping_ = false;
    std::thread thread_;
};

} // namespace egretspindle

#endif
