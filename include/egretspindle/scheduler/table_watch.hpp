/// \file
/// Local copy of a table that follows its changes.

#ifndef EGRETSPINDLE_SCHEDULER_TABLE_WATCH_HPP
#define EGRETSPINDLE_SCHEDULER_TABLE_WATCH_HPP

#include "egretspindle/core/clock.hpp"
#include "egretspindle/fleet/table_store.hpp"
#include "egretspindle/scheduler/table_replica.hpp"

#include <functional>
#include <memory>
#include <string>

namespace egretspindle
{

/// Reads a whole table and then its changes, from a thread of its own.
///
/// Failed calls are repeated after 150 ms. If the store has discarded the
/// history of changes meanwhile, the whole table is read again.
class table_watch
{
public:
    /// Called with all rows of the table after each whole read and after each
    /// page of changes, from the thread of the watch.
    using change_function = std::function<void(const row_map& rows)>;

    /// \param pause  between answered calls, which bounds their rate for a
    ///               table that changes constantly; none after a whole read or
    ///               an answer that left out changes
    table_watch(table_store& store, std::string table, milliseconds pause,
                change_function on_change);
    ~table_watch();
    table_watch(const table_watch&) = delete;
    table_watch& operator=(const table_watch&) = delete;

    /// Starts the thread.
    void start();

    /// Stops and joins the thread. Waits for a call in progress, about 1 s.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace egretspindle

#endif
