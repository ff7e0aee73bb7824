#include "row_table.hpp"

#include <algorithm>

namespace egretspindle::standin
{

namespace
{

// Changes kept for followers. Hosts follow about a second behind.
constexpr std::size_t max_history = 20'000;

} // namespace

commit_outcome row_table::commit(const row_changes& changes)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    commit_outcome outcome;
    bool is_met = true;
    for (const version_condition& item : changes.conditions)
    {
        const auto it = rows_.find(item.name);
        is_met &= (it == rows_.end() ? 0 : it->second.version) == item.version;
        if (it != rows_.end())
        {
            outcome.current.push_back(it->second);
        }
    }
    outcome.version = version_;
    if (!is_met)
    {
        return outcome;
    }
    outcome.current.clear();
    outcome.is_committed = true;
    outcome.version = ++version_;
    for (const stored_row& item : changes.writes)
    {
        stored_row row = item;
        row.version = version_;
        rows_[row.name] = row;
        history_.push_back(std::move(row));
    }
    for (const row_name& name : changes.removals)
    {
        if (rows_.erase(name) > 0)
        {
            history_.push_back({name, "", version_, true});
        }
    }
    while (history_.size() > max_history)
    {
        history_begin_ = history_.front().version;
        history_.pop_front();
    }
    changed_.notify_all();
    return outcome;
}

std::vector<stored_row>
row_table::read(const std::string& table, const std::string& part,
                const std::string& from, const std::string& until,
                std::size_t limit, bool& has_more, std::int64_t& version)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<stored_row> result;
    has_more = false;
    version = version_;
    for (auto it = rows_.lower_bound({table, part, from});
         it != rows_.end() && it->first.table == table &&
         it->first.part == part && (until.empty() || it->first.key < until);
         ++it)
    {
        if (result.size() == limit)
        {
            has_more = true;
            break;
        }
        result.push_back(it->second);
    }
    return result;
}

std::optional<std::vector<stored_row>>
row_table::follow(const std::string& table, std::int64_t after,
                  std::chrono::milliseconds wait, std::int64_t& version)
{
    std::unique_lock<std::mutex> lock(mutex_);
    const auto end = std::chrono::steady_clock::now() + wait;
    for (;;)
    {
        if (after < history_begin_)
        {
            return std::nullopt;
        }
        // History is in the order of versions.
        auto it = std::upper_bound(
            history_.begin(), history_.end(), after,
            [](std::int64_t bound, const stored_row& row)
            { return bound < row.version; });
        std::vector<stored_row> result;
        for (; it != history_.end(); ++it)
        {
            if (it->name.table == table)
            {
                result.push_back(*it);
            }
        }
        version = version_;
        if (!result.empty() ||
            changed_.wait_until(lock, end) == std::cv_status::timeout)
        {
            return result;
        }
    }
}

std::vector<std::string> row_table::parts(const std::string& table,
                                          const std::string& after,
                                          std::size_t limit)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::string> result;
    for (const auto& [name, row] : rows_)
    {
        if (name.table == table && name.part > after &&
            (result.empty() || result.back() != name.part) &&
            result.size() < limit)
        {
            result.push_back(name.part);
        }
    }
    return result;
}

void row_table::drop_history()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    history_.clear();
    history_begin_ = version_;
}

} // namespace egretspindle::standin
