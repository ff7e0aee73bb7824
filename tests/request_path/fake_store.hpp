/// \file
/// In-memory store with fault injection.

#ifndef EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_STORE_HPP
#define EGRETSPINDLE_TESTS_REQUEST_PATH_FAKE_STORE_HPP

#include "egretspindle/adapters/store_client.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/request_record.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace egretspindle::test
{

/// Store whose row versions are never reused, as in `tools/standin_store`.
class fake_store : public store_client
{
public:
    absl::StatusOr<commit_result>
    commit(const store_transaction& transaction,
           std::chrono::milliseconds timeout) override
    {
        if (before_commit)
        {
            before_commit(transaction);
        }
        std::unique_lock<std::mutex> lock(mutex_);
        if (is_down_)
        {
            return make_error(error_kind::unavailable, "the store is down");
        }
        if (delay_.count() > 0)
        {
            const bool is_late = delay_ > timeout;
            lock.unlock();
            std::this_thread::sleep_for(std::min(delay_, timeout));
            lock.lock();
            if (is_late)
            {
                return make_error(error_kind::deadline_exceeded, "late");
            }
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
                apply(write);
            }
            ++commits_;
        }
        if (responses_to_lose_ > 0)
        {
            --responses_to_lose_;
            return make_error(error_kind::deadline_exceeded, "response lost");
        }
        return result;
    }

    absl::StatusOr<store_row> read(const std::string& key,
                                   std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_down_)
        {
            return make_error(error_kind::unavailable, "the store is down");
        }
        return row_of(key);
    }

    absl::StatusOr<std::vector<store_row>>
    scan(const std::string& prefix, const std::string& after, int limit,
         std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (is_down_)
        {
            return make_error(error_kind::unavailable, "the store is down");
        }
        std::vector<store_row> found;
        for (const auto& [key, row] : rows_)
        {
            if (key > after && key.compare(0, prefix.size(), prefix) == 0 &&
                static_cast<int>(found.size()) < limit)
            {
                found.push_back(row);
            }
        }
        return found;
    }

    absl::Status put_object(const std::string&, const std::string&,
                            std::chrono::milliseconds) override
    {
        return absl::OkStatus();
    }

    absl::StatusOr<std::string> get_object(const std::string&,
                                           std::chrono::milliseconds) override
    {
        return make_error(error_kind::not_found, "no object");
    }

    void set_down(bool is_down)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        is_down_ = is_down;
    }

    /// Delays each commit. If the delay exceeds the timeout of a commit, it
    /// fails after that timeout and writes nothing.
    void set_delay(milliseconds delay)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        delay_ = delay;
    }

    /// Executes the next `count` commits, but reports a timeout to the caller.
    void lose_responses(int count)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        responses_to_lose_ = count;
    }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++last_version_;
        apply({key, value, false});
    }

    void remove(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        rows_.erase(key);
    }

    void put_record(const std::string& key, const request_record& record)
    {
        put(record_key(key), to_json(record));
    }

    /// Returns the record of a request, with an empty state when there is none.
    request_record record(const std::string& key)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        const store_row row = row_of(record_key(key));
        return row.version == 0 ? request_record{}
                                : *from_json<request_record>(row.value);
    }

    std::size_t row_count()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return rows_.size();
    }

    /// Returns the number of committed transactions.
    int commits()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return commits_;
    }

    /// Called before each commit without a lock. Must be set before the store
    /// is used.
    std::function<void(const store_transaction&)> before_commit;

private:
    store_row row_of(const std::string& key) const
    {
        const auto it = rows_.find(key);
        return it == rows_.end() ? store_row{key, 0, ""} : it->second;
    }

    void apply(const store_write& write)
    {
        if (write.remove)
        {
            rows_.erase(write.key);
            return;
        }
        rows_[write.key] = {write.key, last_version_, write.value};
    }

    std::mutex mutex_;
    std::map<std::string, store_row> rows_;
    std::int64_t last_version_ = 0;
    bool is_down_ = false;
    milliseconds delay_{0};
    int responses_to_lose_ = 0;
    int commits_ = 0;
};

} // namespace egretspindle::test

#endif
