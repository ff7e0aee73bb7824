/// \file
/// Rows, transactions and objects of the stand-in store.

#ifndef EGRETSPINDLE_TOOLS_STANDIN_STORE_TABLE_HPP
#define EGRETSPINDLE_TOOLS_STANDIN_STORE_TABLE_HPP

#include "egretspindle/adapters/commit_result.hpp"
#include "egretspindle/adapters/store_transaction.hpp"

#include "common/line_file.hpp"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace egretspindle::standin
{

/// Versioned rows and objects in memory. Usable from several threads.
class table
{
public:
    /// \param journal_path  file that records each committed write; may be
    ///                      empty
    explicit table(const std::string& journal_path) : journal_(journal_path) {}

    /// Applies a transaction as a whole or not at all. A repeated `tx_id`
    /// returns the first result.
    commit_result commit(const store_transaction& transaction);

    /// Returns the result of an earlier transaction.
    [[nodiscard]] std::optional<commit_result>
    find_transaction(const std::string& tx_id);

    /// Returns a row, with version 0 when absent.
    [[nodiscard]] store_row read(const std::string& key);

    /// Returns up to `limit` rows with the prefix, after the key `after`.
    [[nodiscard]] std::vector<store_row>
    scan(const std::string& prefix, const std::string& after, long limit);

    void put_object(const std::string& key, std::string value);
    [[nodiscard]] std::optional<std::string> object(const std::string& key);

private:
    struct cell
    {
        std::int64_t version = 0;
        std::string value;
    };

    [[nodiscard]] store_row row_of(const std::string& key) const;
    void apply(const std::string& tx_id, const store_write& write);

    std::mutex mutex_;
    std::map<std::string, cell> cells_;
    std::unordered_map<std::string, commit_result> results_;
    std::map<std::string, std::string> objects_;
    // One counter for all transactions: a version never returns, not even for
    // a row that was deleted and written again.
    std::int64_t last_version_ = 0;
    line_file journal_;
};

} // namespace egretspindle::standin

#endif
