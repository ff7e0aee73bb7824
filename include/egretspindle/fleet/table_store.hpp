/// \file
/// Interface of the platform's store of transactional rows.

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

/// Row of a table. The part and the key identify it within the table; the store
/// serializes transactions that write to the same part.
struct table_row
{
    std::string table;
    std::string part;
    std::string key;
    std::string value;
    /// Version of its last change; 0: no such row. Versions increase with each
    /// transaction of the store.
    std::int64_t version = 0;
    bool is_deleted = false; ///< only in changes: the row was removed
};

/// Condition on the version of a row; 0: the row must not exist.
struct row_condition
{
    std::string table;
    std::string part;
    std::string key;
    std::int64_t version = 0;
};

/// Maximum number of conditions, writes and removals in one transaction. The
/// platform specifies it and refuses every larger transaction.
constexpr std::size_t max_transaction_entries = 100;

/// Maximum size of the encoded body of a transaction. The platform specifies
/// 1 MB and refuses every larger transaction.
constexpr std::size_t max_transaction_bytes = 1'000'000;

/// Timeout of a transaction. The store carries out the transactions of a part
/// one after the other and refuses further ones only when those that wait take
/// over 1 s. One that is given up earlier is carried out all the same;
/// repeated, it keeps the queue full and none of its copies is ever confirmed.
/// The rest is for the transaction itself, which takes 360 ms in a slow store.
constexpr std::chrono::milliseconds transaction_timeout{1'400};

/// Purpose of a transaction, for logs and metrics.
enum class transaction_kind
{
    other,
    heartbeat,
    claim,        ///< claims of racks and shards
    fence,        ///< of a shard that was taken over
    records,      ///< writes of job records
    expiry,       ///< removals of job records
    intents,      ///< intents of a rack
    roster,       ///< list of the targets of a rack
    release,      ///< of the racks of a host that leaves
    registration, ///< of a host
};

/// Number of the values of `transaction_kind`.
constexpr std::size_t transaction_kind_count =
    static_cast<std::size_t>(transaction_kind::registration) + 1;

/// Changes that are applied atomically.
struct row_transaction
{
    transaction_kind kind = transaction_kind::other;
    std::vector<row_condition> conditions;
    std::vector<table_row> writes;
    std::vector<row_condition> removals; ///< versions are not checked
    bool spans_parts = false;            ///< writes to more than one part
    /// The client library does not resend it. Only then does a refusal mean
    /// that nothing was done: otherwise it may answer a second copy, after the
    /// first one was committed.
    bool is_sent_once = false;
};

/// Returns the size of a transaction as `max_transaction_entries` counts it.
[[nodiscard]] inline std::size_t
entry_count(const row_transaction& transaction) noexcept
{
    return transaction.conditions.size() + transaction.writes.size() +
           transaction.removals.size();
}

/// Result of a transaction.
struct transaction_result
{
    bool is_committed = false; ///< false: a condition failed, nothing was done
    std::int64_t version = 0;  ///< of all rows written
    /// Rows of failed conditions, as they are in the store.
    std::vector<table_row> current;
};

/// Rows as of one point in time.
struct table_page
{
    std::vector<table_row> rows;
    bool has_more = false; ///< the page is incomplete
    /// Latest version of the store; for an incomplete page of changes, the
    /// version of its last change.
    std::int64_t version = 0;
};

/// Range of keys to read.
struct row_range
{
    std::string table;
    std::string part;
    std::string from;       ///< first key
    std::string until;      ///< first key not to read; empty: no bound
    std::int64_t limit = 0; ///< number of rows; 0: the store's own limit
};

/// Store of transactional rows. Usable from several threads.
///
/// Errors: `unavailable` and `overloaded` when nothing was done,
/// `deadline_exceeded` when a change may have been made or may be made later.
class table_store
{
public:
    virtual ~table_store() = default;

    /// Applies a transaction if all of its conditions hold.
    [[nodiscard]] virtual absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds timeout) = 0;

    /// Returns the first page of a range, in the order of the keys.
    [[nodiscard]] virtual absl::StatusOr<table_page>
    read(const row_range& range, std::chrono::milliseconds timeout) = 0;

    /// Waits for changes of a table after a version.
    ///
    /// \param wait  longest wait if there is no change yet; the page is empty
    ///              after it
    /// \returns the changed rows in order, `not_found` when the history since
    ///          that version has been discarded
    [[nodiscard]] virtual absl::StatusOr<table_page>
    watch(std::string_view table, std::int64_t after,
          std::chrono::milliseconds wait) = 0;
};

} // namespace egretspindle

#endif
