/// \file
/// Table of the requests that this host coordinates.

#ifndef EGRETSPINDLE_REQUEST_PATH_REQUEST_TABLE_HPP
#define EGRETSPINDLE_REQUEST_PATH_REQUEST_TABLE_HPP

#include "egretspindle/request_path/request_entry.hpp"

#include <mutex>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace egretspindle
{

/// Map from the key of a request to its entry. Thread-safe.
class request_table
{
public:
    /// Returns the entry of a key, or null.
    [[nodiscard]] request_entry_ptr find(const std::string& key) const;

    /// Adds an entry unless its key is present.
    ///
    /// \returns the entry in the table, and whether it is the new one
    std::pair<request_entry_ptr, bool> insert(const request_entry_ptr& entry);

    /// Removes `entry`. Has no effect if the table holds no entry, or another
    /// one, under its key.
    void erase(const request_entry_ptr& entry);

    /// Returns a snapshot of the entries, in no particular order.
    [[nodiscard]] std::vector<request_entry_ptr> entries() const;

    /// Removes entries whose reply is recorded and became final more than
    /// `retention` before `now`.
    void prune(time_point now, milliseconds retention);

private:
    mutable std::mutex mutex_;
    std::unordered_map<std::string, request_entry_ptr> entries_;
};

} // namespace egretspindle

#endif
