/// \file
/// Store in memory whose answers can be lost.

#ifndef EGRETSPINDLE_TESTS_PLAN_MEMORY_STORE_HPP
#define EGRETSPINDLE_TESTS_PLAN_MEMORY_STORE_HPP

#include "egretspindle/adapters/store_client.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace egretspindle::test
{

/// Applies transactions like the platform's store.
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

    std::function<void()> before_commit; ///< called without the lock
    int lost_answers = 0;     ///< commits that are applied without an answer
    bool forgets_ids = false; ///< does not recognize repeated transactions
    bool is_down = false;     ///< every call fails without an effect
    int commits = 0;          ///< transactions that were applied

private:
    absl::StatusOr<commit_result> answer(const commit_result& result);

    std::mutex mutex_;
    std::map<std::string, store_row> rows_;
    std::map<std::string, bool> results_;
};

} // namespace egretspindle::test

#endif
