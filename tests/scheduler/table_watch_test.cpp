#include "egretspindle/scheduler/table_watch.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace egretspindle;

namespace
{

void write(fake_store& store, const std::string& key, const std::string& value)
{
    row_transaction transaction;
    table_row row;
    row.table = "servers";
    row.key = key;
    row.value = value;
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

/// Latest rows that a watch has reported.
struct reported_rows
{
    std::mutex mutex;
    std::condition_variable changed;
    row_map rows;

    /// Returns whether a row gets a value within `timeout`.
    bool wait_for_value(const std::string& key, const std::string& value,
                        milliseconds timeout)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, timeout,
                                [&]
                                {
                                    const auto it = rows.find(key);
                                    return it != rows.end() &&
                                           it->second.value == value;
                                });
    }
};

} // namespace

// A list of 490 targets can change 445 times a second, and a page of changes
// has 500 rows. With one page in each pause of 1.2 s the watch would fall
// behind more and more, and targets would get starts seconds after they began
// to drain.
TEST_CASE("a watch reads all changes before it pauses", "[scheduler]")
{
    constexpr milliseconds pause{30'000};
    constexpr std::size_t page_size = 5;
    fake_store store;
    reported_rows reported;
    write(store, "target-00", "ready");
    table_watch watch(store, "servers", pause,
                      [&](const row_map& rows)
                      {
                          const std::lock_guard<std::mutex> lock(
                              reported.mutex);
                          reported.rows = rows;
                          reported.changed.notify_all();
                      });
    store.set_page_size(page_size);
    // Writes three pages of changes after the whole table has been read.
    bool is_first_watch = true;
    store.before_read = [&]
    {
        if (!reported.rows.empty() && is_first_watch)
        {
            is_first_watch = false;
            for (int n = 1; n <= 14; ++n)
            {
                write(store, "target-" + std::to_string(n), "ready");
            }
            write(store, "target-00", "draining");
        }
    };
    watch.start();
    // Within less than one pause, so all pages come without a pause between.
    REQUIRE(reported.wait_for_value("target-00", "draining", pause * 2 / 3));
    watch.stop();
}
