/// \file
/// Store whose transactions wait for others before they are carried out.

#ifndef EGRETSPINDLE_TESTS_SCHEDULER_QUEUED_STORE_HPP
#define EGRETSPINDLE_TESTS_SCHEDULER_QUEUED_STORE_HPP

#include "fake_store.hpp"

#include <algorithm>
#include <atomic>
#include <thread>

namespace egretspindle
{

/// Longest time that a transaction waits in the store. A part with more than
/// one second of waiting transactions refuses further ones.
constexpr milliseconds longest_store_wait{1'000};

/// `fake_store` that answers each transaction after a wait. Reads are answered
/// at once, as they do not wait for transactions. Thread-safe.
class queued_store final : public table_store
{
public:
    fake_store rows;

    /// Sets the wait of later transactions.
    void set_wait(milliseconds wait)
    {
        wait_ = wait;
    }

    // The transaction is carried out even if the answer comes too late.
    absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds timeout) override
    {
        const milliseconds wait = wait_;
        std::this_thread::sleep_for(std::min<milliseconds>(wait, timeout));
        absl::StatusOr<transaction_result> result =
            rows.commit(transaction, timeout);
        if (wait > timeout)
        {
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        return result;
    }

    absl::StatusOr<table_page> read(const row_range& range,
                                    std::chrono::milliseconds timeout) override
    {
        return rows.read(range, timeout);
    }

    absl::StatusOr<table_page> watch(std::string_view table, std::int64_t after,
                                     std::chrono::milliseconds wait) override
    {
        return rows.watch(table, after, wait);
    }

private:
    std::atomic<milliseconds> wait_{milliseconds(0)};
};

} // namespace egretspindle

#endif
