#include "host_table.hpp"

#include <algorithm>

namespace egretspindle::standin
{

void host_table::replace(host_document document)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    append(std::move(document));
}

bool host_table::set_state(const std::string& name, const std::string& state)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    host_document document =
        changes_.empty() ? host_document{} : changes_.back().document;
    for (host_entry& host : document.hosts)
    {
        if (host.name == name)
        {
            host.state = state;
            append(std::move(document));
            return true;
        }
    }
    return false;
}

bool host_table::remove(const std::string& name)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    host_document document =
        changes_.empty() ? host_document{} : changes_.back().document;
    const auto it =
        std::find_if(document.hosts.begin(), document.hosts.end(),
                     [&](const host_entry& host) { return host.name == name; });
    if (it == document.hosts.end())
    {
        return false;
    }
    document.hosts.erase(it);
    append(std::move(document));
    return true;
}

void host_table::set_lag(milliseconds lag)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    lag_ = lag;
}

host_document host_table::visible()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const time_point now = steady_clock::now();
    while (changes_.size() > 1 && changes_[1].visible_from <= now)
    {
        changes_.pop_front();
    }
    return changes_.empty() ? host_document{} : changes_.front().document;
}

std::int64_t host_table::visible_at_ms()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return visible_at_ms_;
}

void host_table::append(host_document document)
{
    const milliseconds lag = changes_.empty() ? milliseconds(0) : lag_;
    changes_.push_back({steady_clock::now() + lag, std::move(document)});
    visible_at_ms_ = unix_ms() + lag.count();
}

} // namespace egretspindle::standin
