#include "egretspindle/node/host_list_cache.hpp"

#include "egretspindle/logging/log.hpp"

#include <algorithm>

namespace egretspindle
{

host_list_cache::host_list_cache(host_list_client& client, milliseconds period)
    : client_(client), period_(period)
{
}

host_list_cache::~host_list_cache()
{
    stop();
}

void host_list_cache::start()
{
    thread_ = std::thread([this] { poll(); });
}

void host_list_cache::stop()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_stopping_ = true;
        changed_.notify_all();
    }
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::vector<host_entry> host_list_cache::hosts() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return hosts_;
}

bool host_list_cache::is_entry_host_listed(const std::string& name) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return hosts_.empty() ||
           std::any_of(hosts_.begin(), hosts_.end(),
                       [&name](const host_entry& host)
                       { return host.role == "entry" && host.name == name; });
}

bool host_list_cache::fits_some_target(const resources& size) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return hosts_.empty() ||
           std::any_of(hosts_.begin(), hosts_.end(),
                       [&size](const host_entry& host)
                       {
                           const resources capacity{host.cpu_cores,
                                                    host.memory_mb,
                                                    host.accelerators};
                           return host.role == "target" && fits(size, capacity);
                       });
}

std::set<std::string>
host_list_cache::racks(const std::string& data_center) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::set<std::string> names;
    for (const host_entry& host : hosts_)
    {
        if (host.role == "target" && host.data_center == data_center)
        {
            names.insert(host.rack);
        }
    }
    return names;
}

void host_list_cache::poll()
{
    std::unique_lock<std::mutex> lock(mutex_);
    bool is_reachable = true;
    while (!is_stopping_)
    {
        lock.unlock();
        absl::StatusOr<std::vector<host_entry>> hosts = client_.hosts();
        if (hosts.ok() != is_reachable)
        {
            is_reachable = hosts.ok();
            log_warning("reachability of the host list changed",
                        {{"reachable", is_reachable}});
        }
        lock.lock();
        // An empty list is more likely a fault than the removal of all hosts.
        if (hosts.ok() && !hosts->empty())
        {
            hosts_ = *std::move(hosts);
        }
        changed_.wait_for(lock, period_, [this] { return is_stopping_; });
    }
}

} // namespace egretspindle
