/// \file
/// Store in memory with simulated faults.

#ifndef EGRETSPINDLE_TESTS_PLAN_MEMORY_STORE_HPP
#define EGRETSPINDLE_TESTS_PLAN_MEMORY_STORE_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/core/error.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace egretspindle::test
{

/// Applies transactions as the platform's store does.
class memory_store : public store_client
{
public:
    absl::StatusOr<commit_result>
    commit(const store_transaction& transaction,
           std::chrono::milliseconds timeout) override;
    absl::StatusOr<store_row> read(const std::string& key,
                                   std::chrono::milliseconds timeout) override;
    absl::StatusOr<std::vector<store_row>>
    scan(const std::string& prefix, const std::string& after, int limit,
         std::chrono::milliseconds timeout) override;
    absl::Status put_object(const std::string& key, const std::string& value,
                            std::chrono::milliseconds timeout) override;
    absl::StatusOr<std::string>
    get_object(const std::string& key,
               std::chrono::milliseconds timeout) override;

    /// Called once, before the next commit, without the lock.
    std::function<void()> before_commit;
    int lost_answers = 0; ///< next commits that are applied without a reply
    bool ignores_known_ids = false; ///< does not detect repeated transactions
    bool is_down = false;           ///< every call fails without an effect
    int commits = 0;                ///< transactions that were applied

private:
    absl::StatusOr<commit_result> answer(const commit_result& result);

    std::mutex mutex_;
    std::map<std::string, store_row> rows_;
    std::map<std::string, bool> results_;
};

inline absl::Status unavailable_error()
{
    return make_error(error_kind::unavailable, "store is down");
}

inline absl::StatusOr<commit_result>
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
        return unavailable_error();
    }
    const auto known = results_.find(transaction.tx_id);
    if (known != results_.end() && !ignores_known_ids)
    {
        commit_result first;
        first.committed = known->second;
        return answer(first);
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

inline absl::StatusOr<commit_result>
memory_store::answer(const commit_result& result)
{
    if (lost_answers > 0)
    {
        --lost_answers;
        return make_error(error_kind::deadline_exceeded, "answer lost");
    }
    return result;
}

inline absl::StatusOr<store_row>
memory_store::read(const std::string& key,
                   std::chrono::milliseconds /*timeout*/)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_down)
    {
        return unavailable_error();
    }
    const store_row row = rows_[key];
    return store_row{key, row.version, row.value};
}

inline absl::StatusOr<std::vector<store_row>>
memory_store::scan(const std::string& prefix, const std::string& after,
                   int limit, std::chrono::milliseconds /*timeout*/)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_down)
    {
        return unavailable_error();
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

inline absl::Status
memory_store::put_object(const std::string& /*key*/,
                         const std::string& /*value*/,
                         std::chrono::milliseconds /*timeout*/)
{
    return unavailable_error();
}

inline absl::StatusOr<std::string>
memory_store::get_object(const std::string& /*key*/,
                         std::chrono::milliseconds /*timeout*/)
{
    return unavailable_error();
}

} // namespace egretspindle::test

#endif
