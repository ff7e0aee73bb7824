/// \file
/// Interface to the platform's table and object store.

#ifndef EGRETSPINDLE_ADAPTERS_STORE_CLIENT_HPP
#define EGRETSPINDLE_ADAPTERS_STORE_CLIENT_HPP

#include "egretspindle/adapters/commit_result.hpp"
#include "egretspindle/adapters/store_row.hpp"
#include "egretspindle/adapters/store_transaction.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace egretspindle
{

/// Client of the platform's table and object store. Usable from several
/// threads.
///
/// Every call returns `unavailable` when it certainly had no effect,
/// `overloaded` above the rate limit, and `deadline_exceeded` when it may have
/// taken effect.
class store_client
{
public:
    virtual ~store_client() = default;

    /// Commits a transaction. When the reply is lost, the client queries the
    /// result by transaction id before it returns `deadline_exceeded`.
    [[nodiscard]] virtual absl::StatusOr<commit_result>
    commit(const store_transaction& transaction,
           std::chrono::milliseconds timeout) = 0;

    /// Reads a row; an absent row has version 0.
    [[nodiscard]] virtual absl::StatusOr<store_row>
    read(const std::string& key, std::chrono::milliseconds timeout) = 0;

    /// Reads rows in key order.
    ///
    /// \param prefix  prefix of the keys
    /// \param after   last key of the previous page, or empty
    /// \param limit   maximum number of rows
    [[nodiscard]] virtual absl::StatusOr<std::vector<store_row>>
    scan(const std::string& prefix, const std::string& after, int limit,
         std::chrono::milliseconds timeout) = 0;

    /// Writes an object.
    [[nodiscard]] virtual absl::Status
    put_object(const std::string& key, const std::string& value,
               std::chrono::milliseconds timeout) = 0;

    /// Reads an object; `not_found` when absent.
    [[nodiscard]] virtual absl::StatusOr<std::string>
    get_object(const std::string& key, std::chrono::milliseconds timeout) = 0;
};

/// Creates an HTTP client of the store at `address` (`ip:port`).
///
/// \returns `invalid_argument` when the address is not valid
[[nodiscard]] absl::StatusOr<std::unique_ptr<store_client>>
make_http_store_client(const std::string& address);

/// Returns a transaction id that is unique across processes and restarts.
[[nodiscard]] std::string make_transaction_id(const std::string& host_name);

} // namespace egretspindle

#endif
