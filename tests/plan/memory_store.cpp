#include "memory_store.hpp"

#include "egretspindle/core/error.hpp"

namespace egretspindle::test
{

namespace
{

absl::Status down()
{
    return make_error(error_kind::unavailable, "store is down");
}

} // namespace

absl::StatusOr<commit_result>
memory_store::commit(const store_transaction& transaction,
                     std::chrono::milliseconds /*timeout*/)
{
    if (before_commit)
    {
        const std::function<void()> hook = std::exchange(before_commit, {});
        hook();
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_down)
    {
        return down();
    }
    const auto known = results_.find(transaction.tx_id);
    if (known != results_.end() && !forgets_ids)
    {
        return answer(commit_result{known->second, {}});
    }
    commit_result result;
    for (const store_check& check : transaction.checks)
    {
        const store_row row = rows_[check.key];
        if (row.version != check.version)
        {
            result.conflicts.push_back({check.key, row.version, row.value});
        }
    }
    result.committed = result.conflicts.empty();
    results_[transaction.tx_id] = result.committed;
    if (result.committed)
    {
        ++commits;
        for (const store_write& write : transaction.writes)
        {
            store_row& row = rows_[write.key];
            row = {write.key, row.version + 1, write.value};
        }
    }
    return answer(result);
}

absl::StatusOr<commit_result> memory_store::answer(const commit_result& result)
{
    if (lost_answers > 0)
    {
        --lost_answers;
        return make_error(error_kind::deadline_exceeded, "answer lost");
    }
    return result;
}

absl::StatusOr<store_row>
memory_store::read(const std::string& key,
                   std::chrono::milliseconds /*timeout*/)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_down)
    {
        return down();
    }
    const store_row row = rows_[key];
    return store_row{key, row.version, row.value};
}

absl::StatusOr<std::vector<store_row>>
memory_store::scan(const std::string& prefix, const std::string& after,
                   int limit, std::chrono::milliseconds /*timeout*/)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_down)
    {
        return down();
    }
    std::vector<store_row> rows;
    for (const auto& [key, row] : rows_)
    {
        if (key.compare(0, prefix.size(), prefix) == 0 && key > after &&
            row.version > 0 && static_cast<int>(rows.size()) < limit)
        {
            rows.push_back(row);
        }
    }
    return rows;
}

absl::Status memory_store::put_object(const std::string& /*key*/,
                                      const std::string& /*value*/,
                                      std::chrono::milliseconds /*timeout*/)
{
    return down();
}

absl::StatusOr<std::string>
memory_store::get_object(const std::string& /*key*/,
                         std::chrono::milliseconds /*timeout*/)
{
    return down();
}

} // namespace egretspindle::test
