/// \file
/// Store in memory.

#ifndef EGRETSPINDLE_TESTS_MEMBERSHIP_MEMORY_STORE_HPP
#define EGRETSPINDLE_TESTS_MEMBERSHIP_MEMORY_STORE_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/core/error.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Store that several hosts of one test share. While `is_down` is set, every
/// call fails.
class memory_store : public store_client
{
public:
    absl::StatusOr<commit_result> commit(const store_transaction& transaction,
                                         milliseconds /*timeout*/) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_down)
        {
            return make_error(error_kind::unavailable, "the store is down");
        }
        commit_result result;
        for (const store_check& check : transaction.checks)
        {
            if (row(check.key).version != check.version)
            {
                result.conflicts.push_back(row(check.key));
            }
        }
        result.committed = result.conflicts.empty();
        for (const store_write& write : transaction.writes)
        {
            if (result.committed)
            {
                ++writes;
                rows_[write.key] = {write.key, row(write.key).version + 1,
                                    write.value};
            }
        }
        return result;
    }

    absl::StatusOr<store_row> read(const std::string& key,
                                   milliseconds /*timeout*/) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_down)
        {
            return make_error(error_kind::unavailable, "the store is down");
        }
        return row(key);
    }

    absl::StatusOr<std::vector<store_row>>
    scan(const std::string& prefix, const std::string& after, int limit,
         milliseconds /*timeout*/) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_down)
        {
            return make_error(error_kind::unavailable, "the store is down");
        }
        std::vector<store_row> found;
        for (const auto& [key, value] : rows_)
        {
            if (key > after && key.compare(0, prefix.size(), prefix) == 0 &&
                found.size() < static_cast<std::size_t>(limit))
            {
                found.push_back(value);
            }
        }
        return found;
    }

    absl::Status put_object(const std::string& /*key*/,
                            const std::string& /*value*/,
                            milliseconds /*timeout*/) override
    {
        return make_error(error_kind::unavailable, "no objects here");
    }

    absl::StatusOr<std::string> get_object(const std::string& /*key*/,
                                           milliseconds /*timeout*/) override
    {
        return make_error(error_kind::unavailable, "no objects here");
    }

    std::atomic<bool> is_down{false};
    std::atomic<int> writes{0};

private:
    store_row row(const std::string& key) const
    {
        const auto it = rows_.find(key);
        return it == rows_.end() ? store_row{key, 0, ""} : it->second;
    }

    std::mutex mutex_;
    std::map<std::string, store_row> rows_;
};

} // namespace egretspindle::test

#endif
