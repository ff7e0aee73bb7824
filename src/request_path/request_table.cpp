#include "egretspindle/request_path/request_table.hpp"

namespace egretspindle
{

request_entry_ptr request_table::find(const std::string& key) const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : it->second;
}

std::pair<request_entry_ptr, bool>
request_table::insert(const request_entry_ptr& entry)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto [it, is_new] = entries_.emplace(entry->key, entry);
    return {it->second, is_new};
}

void request_table::erase(const request_entry_ptr& entry)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = entries_.find(entry->key);
    if (it != entries_.end() && it->second == entry)
    {
        entries_.erase(it);
    }
}

std::vector<request_entry_ptr> request_table::entries() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<request_entry_ptr> all;
    all.reserve(entries_.size());
    for (const auto& [key, entry] : entries_)
    {
        all.push_back(entry);
    }
    return all;
}

void request_table::prune(time_point now, milliseconds retention)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        const request_entry& entry = *it->second;
        const std::lock_guard<std::mutex> entry_lock(entry.mutex);
        const bool is_removable = is_final(entry.reply.result) &&
                                  entry.is_reply_recorded &&
                                  now - entry.ended > retention;
        it = is_removable ? entries_.erase(it) : std::next(it);
    }
}

} // namespace egretspindle
