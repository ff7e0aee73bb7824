/// \file
/// Transactional rows of the platform's store.

#ifndef EGRETSPINDLE_FLEET_TABLE_STORE_HPP
#define EGRETSPINDLE_FLEET_TABLE_STORE_HPP

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace egretspindle
{

/// Row of a table. Rows of one part are written one transaction at a time.
struct table_row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    std::int64_t version = 0; ///< of its last change; 0: no such row
    bool is_deleted = false;
};

/// Condition on the version of a row; 0: the row must not exist.
struct row_condition
{
    std::string table;
    std::string part;
    std::string key;
    std::int64_t version = 0;
};

/// Conditions, writes and removals of one transaction. Stated by the platform,
/// which refuses a larger one for good.
constexpr std::size_t max_transaction_entries = 100;

/// Changes that take effect together or not at all.
struct row_transaction
{
    std::vector<row_condition> conditions;
    std::vector<table_row> writes;
    std::vector<row_condition> removals; ///< versions are not checked
    bool spans_parts = false;
    /// Is never sent again by the client library. Only then does a refusal mean
    /// that nothing was done: it could answer a copy of a lost message.
    bool is_sent_once = false;
};

/// Returns the size of a transaction as `max_transaction_entries` counts it.
[[nodiscard]] inline std::size_t
entry_count(const row_transaction& transaction) noexcept
{
    return transaction.conditions.size() + transaction.writes.size() +
           transaction.removals.size();
}

/// What became of a transaction.
struct transaction_result
{
    bool is_committed = false;
    std::int64_t version = 0;       ///< of all rows written
    std::vector<table_row> current; ///< rows of failed conditions
};

/// Rows as of one moment.
struct table_page
{
    std::vector<table_row> rows;
    bool has_more = false;
    /// Newest of the store; of a page of changes that has more, the last one in
    /// it.
    std::int64_t version = 0;
};

/// Which rows to read.
struct row_range
{
    std::string table;
    std::string part;
    std::string from;       ///< first key
    std::string until;      ///< first key not to read; empty: no bound
    std::int64_t limit = 0; ///< 0: the store's own bound
};

/// Store of rows. Usable from several threads.
///
/// Errors: `unavailable` and `overloaded` when nothing was done,
/// `deadline_exceeded` when a change may have been made or may be made later.
class table_store
{
public:
    virtual ~table_store() = default;

    [[nodiscard]] virtual absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds timeout) = 0;

    [[nodiscard]] virtual absl::StatusOr<table_page>
    read(const row_range& range, std::chrono::milliseconds timeout) = 0;

    /// Waits for changes of a table after a version.
    ///
    /// \returns the changed rows in order, `not_found` when the history since
    ///          then is gone
    [[nodiscard]] virtual absl::StatusOr<table_page>
    watch(std::string_view table, std::int64_t after,
          std::chrono::milliseconds wait) = 0;
};

} // namespace egretspindle

#endif
