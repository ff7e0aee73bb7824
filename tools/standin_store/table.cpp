#include "table.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/clock.hpp"

#include "common/store_event.hpp"

namespace egretspindle::standin
{

commit_result table::commit(const store_transaction& transaction)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto known = results_.find(transaction.tx_id);
    if (known != results_.end())
    {
        return known->second;
    }
    commit_result result;
    for (const store_check& check : transaction.checks)
    {
        const store_row row = row_of(check.key);
        if (row.version != check.version)
        {
            result.conflicts.push_back(row);
        }
    }
    result.committed = result.conflicts.empty();
    if (result.committed)
    {
        result.version = ++last_version_;
        for (const store_write& write : transaction.writes)
        {
            apply(transaction.tx_id, write);
        }
    }
    if (!transaction.tx_id.empty())
    {
        results_[transaction.tx_id] = result;
    }
    return result;
}

std::optional<commit_result> table::find_transaction(const std::string& tx_id)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = results_.find(tx_id);
    return it == results_.end() ? std::nullopt : std::optional(it->second);
}

store_row table::read(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return row_of(key);
}

std::vector<store_row> table::scan(const std::string& prefix,
                                   const std::string& after, long limit)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<store_row> rows;
    auto it =
        after < prefix ? cells_.lower_bound(prefix) : cells_.upper_bound(after);
    for (; it != cells_.end() && static_cast<long>(rows.size()) < limit; ++it)
    {
        if (it->first.compare(0, prefix.size(), prefix) != 0)
        {
            break;
        }
        rows.push_back({it->first, it->second.version, it->second.value});
    }
    return rows;
}

void table::put_object(const std::string& key, std::string value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    objects_[key] = std::move(value);
}

std::optional<std::string> table::object(const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = objects_.find(key);
    return it == objects_.end() ? std::nullopt : std::optional(it->second);
}

store_row table::row_of(const std::string& key) const
{
    const auto it = cells_.find(key);
    return it == cells_.end()
               ? store_row{key, 0, ""}
               : store_row{key, it->second.version, it->second.value};
}

void table::apply(const std::string& tx_id, const store_write& write)
{
    if (write.remove)
    {
        cells_.erase(write.key);
    }
    else
    {
        cells_[write.key] = {last_version_, write.value};
    }
    if (journal_.is_open())
    {
        const store_event event{unix_ms(), tx_id, write.key,
                                write.remove ? 0 : last_version_,
                                write.remove ? "" : write.value};
        journal_.append(to_json(event));
    }
}

} // namespace egretspindle::standin
