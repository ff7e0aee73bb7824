/// \file
/// Metrics and logs of the transactions of a host.

#ifndef EGRETSPINDLE_SCHEDULER_METERED_STORE_HPP
#define EGRETSPINDLE_SCHEDULER_METERED_STORE_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/logging/log_rate_limit.hpp"
#include "egretspindle/metrics/metric_registry.hpp"

#include <array>
#include <cstddef>
#include <string_view>

namespace egretspindle
{

/// Parts of the store that a transaction uses. The store carries out the
/// transactions of one part one after another.
enum class transaction_parts
{
    common,  ///< only the empty part, which all hosts share
    one,     ///< one other part
    several, ///< several parts, but not the empty one
    spanning ///< the empty part and others
};

/// Returns the parts of the rows of a transaction, including its conditions.
[[nodiscard]] transaction_parts
parts_of(const row_transaction& transaction) noexcept;

/// Store that counts the transactions of another one, measures their duration
/// and logs slow ones.
class metered_store final : public table_store
{
public:
    /// Transactions of at least this duration are logged. A transaction takes
    /// a few milliseconds unless others of its parts wait; calls fail after
    /// `transaction_timeout`.
    static constexpr milliseconds slow_transaction{250};

    metered_store(table_store& store, metric_registry& registry);

    [[nodiscard]] absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds timeout) override;

    [[nodiscard]] absl::StatusOr<table_page>
    read(const row_range& range, std::chrono::milliseconds timeout) override;

    [[nodiscard]] absl::StatusOr<table_page>
    watch(std::string_view table, std::int64_t after,
          std::chrono::milliseconds wait) override;

private:
    static constexpr std::size_t result_count = 4;
    static constexpr std::size_t parts_count = 4;

    table_store& store_;
    /// By `transaction_kind` and result.
    std::array<std::array<counter*, result_count>, transaction_kind_count>
        transactions_{};
    /// Duration in ms by `transaction_parts`.
    std::array<latency_summary*, parts_count> duration_{};
    log_rate_limit slow_log_limit_{milliseconds(200)};
};

} // namespace egretspindle

#endif
