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

/// Reads a table whole and then its changes, from a thread of its own.
///
/// Lost history, a silent connection and an outage end in a new whole read.
class table_watch
{
public:
    /// Called with all rows after each change, from the thread of the watch.
    using change_function = std::function<void(const row_map& rows)>;

    /// \param pause  between calls, for a table that changes all the time
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
