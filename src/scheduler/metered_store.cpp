#include "egretspindle/scheduler/metered_store.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"

#include <cmath>
#include <optional>
#include <string>

namespace egretspindle
{

namespace
{

constexpr std::array<const char*, transaction_kind_count> kind_names{
    "other",  "heartbeat", "claim",  "fence",   "records",
    "expiry", "intents",   "roster", "release", "registration"};
constexpr std::array<const char*, 4> parts_names{"common", "one", "several",
                                                 "spanning"};

enum class commit_result
{
    committed,
    conflict,
    overloaded,
    failed,
};

constexpr std::array<const char*, 4> result_names{"committed", "conflict",
                                                  "overloaded", "failed"};

commit_result
result_of(const absl::StatusOr<transaction_result>& result) noexcept
{
    if (result.ok())
    {
        return result->is_committed ? commit_result::committed
                                    : commit_result::conflict;
    }
    return kind_of(result.status()) == error_kind::overloaded
               ? commit_result::overloaded
               : commit_result::failed;
}

/// Parts seen so far.
struct seen_parts
{
    bool has_common = false;
    std::optional<std::string_view> first; ///< part other than the empty one
    bool has_others = false;

    void add(std::string_view part) noexcept
    {
        if (part.empty())
        {
            has_common = true;
            return;
        }
        first = first.value_or(part);
        has_others |= *first != part;
    }
};

} // namespace

transaction_parts parts_of(const row_transaction& transaction) noexcept
{
    seen_parts seen;
    for (const row_condition& row : transaction.conditions)
    {
        seen.add(row.part);
    }
    for (const table_row& row : transaction.writes)
    {
        seen.add(row.part);
    }
    for (const row_condition& row : transaction.removals)
    {
        seen.add(row.part);
    }
    if (!seen.first)
    {
        return transaction_parts::common;
    }
    if (seen.has_common)
    {
        return transaction_parts::spanning;
    }
    return seen.has_others ? transaction_parts::several
                           : transaction_parts::one;
}

metered_store::metered_store(table_store& store, metric_registry& registry)
    : store_(store)
{
    for (std::size_t n = 0; n < transaction_kind_count; ++n)
    {
        for (std::size_t m = 0; m < result_count; ++m)
        {
            transactions_[n][m] = &registry.get_counter(
                "egretspindle_store_transactions_total",
                "Transactions sent to the store.",
                {{"kind", kind_names[n]}, {"result", result_names[m]}});
        }
    }
    for (std::size_t n = 0; n < parts_count; ++n)
    {
        duration_[n] = &registry.get_summary(
            "egretspindle_store_transaction_milliseconds",
            "Duration of a transaction by the parts of the store that it uses.",
            {{"parts", parts_names[n]}});
    }
}

absl::StatusOr<transaction_result>
metered_store::commit(const row_transaction& transaction,
                      std::chrono::milliseconds timeout)
{
    const time_point begun_at = steady_clock::now();
    absl::StatusOr<transaction_result> result =
        store_.commit(transaction, timeout);
    const time_point now = steady_clock::now();
    const fractional_ms took = now - begun_at;
    const auto kind = static_cast<std::size_t>(transaction.kind);
    const auto outcome = static_cast<std::size_t>(result_of(result));
    const auto parts = static_cast<std::size_t>(parts_of(transaction));
    transactions_[kind][outcome]->add();
    duration_[parts]->observe(took.count(), now);
    if (took >= slow_transaction)
    {
        const std::optional<std::int64_t> suppressed =
            slow_log_limit_.try_acquire(now);
        if (suppressed)
        {
            log_info("store transaction was slow",
                     {{"kind", kind_names[kind]},
                      {"parts", parts_names[parts]},
                      {"entries", entry_count(transaction)},
                      {"took_ms", std::llround(took.count())},
                      {"result", result_names[outcome]},
                      {"left_out", *suppressed}});
        }
    }
    return result;
}

absl::StatusOr<table_page>
metered_store::read(const row_range& range, std::chrono::milliseconds timeout)
{
    return store_.read(range, timeout);
}

absl::StatusOr<table_page> metered_store::watch(std::string_view table,
                                                std::int64_t after,
                                                std::chrono::milliseconds wait)
{
    return store_.watch(table, after, wait);
}

} // namespace egretspindle
