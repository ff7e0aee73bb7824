/// \file
/// Follows the rows of one table.

#ifndef EGRETSPINDLE_SCHEDULER_TABLE_WATCH_HPP
#define EGRETSPINDLE_SCHEDULER_TABLE_WATCH_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace egretspindle
{

/// Rows of a table by key.
using row_map = std::map<std::string, table_row>;

/// Reads a whole table and then its changes, from a thread of its own.
///
/// Failed calls are repeated. If the history of changes has been lost
/// meanwhile, the whole table is read again.
class table_watch
{
public:
    /// Called with all rows after each change, from the thread of the watch.
    using change_function = std::function<void(const row_map& rows)>;

    /// \param pause  between calls; bounds their rate for a table that changes
    ///               constantly
    table_watch(table_store& store, std::string table, milliseconds pause,
                change_function changed);
    ~table_watch();
    table_watch(const table_watch&) = delete;
    table_watch& operator=(const table_watch&) = delete;

    void start();
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
