#include "egretspindle/core/error.hpp"
#include "egretspindle/scheduler/target_list_replica.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace egretspindle;

namespace
{

constexpr milliseconds pause_time{400};

void write(fake_store& store, const std::string& id, const std::string& address)
{
    row_transaction transaction;
    table_row row;
    row.table = "servers";
    row.key = id;
    row.value = address;
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

/// Replica of one host. A row is decoded as the address of its target.
struct host_fixture
{
    fake_store& store;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, target_entry> decoded;
    std::map<std::string, target_entry> list; ///< passed to `on_change`
    std::atomic<target_list_replica*> source{nullptr};
    std::atomic<bool> source_answers{true};
    std::atomic<int> calls{0};
    target_list_replica replica;

    host_fixture(fake_store& rows, std::int64_t boot)
        : store(rows), replica(rows, "servers", boot, pause_time, make_hooks())
    {
    }

    target_list_hooks make_hooks()
    {
        target_list_hooks hooks;
        hooks.decode = [this](const row_map& rows)
            -> const std::map<std::string, target_entry>&
        {
            decoded.clear();
            for (const auto& [id, row] : rows)
            {
                decoded[id].id = id;
                decoded[id].address = row.value;
            }
            return decoded;
        };
        hooks.sources = [this]
        {
            return source.load() == nullptr ? std::vector<std::string>{}
                                            : std::vector<std::string>{"peer"};
        };
        hooks.call =
            [this](const std::string&, const target_list_request& request,
                   milliseconds timeout) -> absl::StatusOr<target_list_reply>
        {
            ++calls;
            if (!source_answers)
            {
                std::this_thread::sleep_for(timeout);
                return make_error(error_kind::deadline_exceeded, "no answer");
            }
            return source.load()->answer(request);
        };
        hooks.on_change =
            [this](const std::map<std::string, target_entry>& entries)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            list = entries;
            changed.notify_all();
        };
        return hooks;
    }

    bool wait_for_address(const std::string& id, const std::string& address)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(
            lock, std::chrono::seconds(20),
            [&]
            {
                const auto it = list.find(id);
                return address.empty()
                           ? it == list.end()
                           : it != list.end() && it->second.address == address;
            });
    }
};

} // namespace

// Guards against hosts that all read the list from the store: at 97 hosts and
// 890 targets these were 1.2 GB a day.
TEST_CASE("a host follows the list of its source and does not read the store",
          "[scheduler]")
{
    fake_store store;
    fake_store unused;
    write(store, "i-1", "a");
    host_fixture reader(store, 1);
    host_fixture follower(unused, 2);
    follower.source = &reader.replica;
    reader.replica.start();
    REQUIRE(reader.wait_for_address("i-1", "a"));
    follower.replica.start();
    REQUIRE(follower.wait_for_address("i-1", "a"));
    write(store, "i-1", "b");
    write(store, "i-2", "c");
    REQUIRE(follower.wait_for_address("i-1", "b"));
    REQUIRE(follower.wait_for_address("i-2", "c"));
    row_transaction removal;
    removal.removals.push_back({"servers", "", "i-1", 0});
    REQUIRE(store.commit(removal, {}).ok());
    REQUIRE(follower.wait_for_address("i-1", ""));
    CHECK(unused.reads() == 0);
}

// Guards against a host that uses an old list while its source is frozen, cut
// off, or restarted.
TEST_CASE("a host whose source does not answer reads the store", "[scheduler]")
{
    fake_store store;
    write(store, "i-1", "a");
    host_fixture reader(store, 1);
    host_fixture follower(store, 2);
    follower.source = &reader.replica;
    reader.replica.start();
    REQUIRE(reader.wait_for_address("i-1", "a"));
    follower.replica.start();
    REQUIRE(follower.wait_for_address("i-1", "a"));
    follower.source_answers = false;
    write(store, "i-1", "b");
    REQUIRE(follower.wait_for_address("i-1", "b"));
}

// Guards against following a source that is cut off from the store itself.
TEST_CASE("a host whose source is out of date reads the store", "[scheduler]")
{
    fake_store store;
    fake_store store_of_reader;
    write(store, "i-1", "new");
    write(store_of_reader, "i-1", "old");
    host_fixture reader(store_of_reader, 1);
    host_fixture follower(store, 2);
    follower.source = &reader.replica;
    reader.replica.start();
    REQUIRE(reader.wait_for_address("i-1", "old"));
    follower.replica.start();
    REQUIRE(follower.wait_for_address("i-1", "old"));
    store_of_reader.set_unreadable(true);
    REQUIRE(follower.wait_for_address("i-1", "new"));
}

// A restarted source numbers its revisions anew. Guards against taking an old
// revision for the same state.
TEST_CASE("a copy of an earlier boot gets the whole list", "[scheduler]")
{
    fake_store store;
    write(store, "i-1", "a");
    host_fixture reader(store, 7);
    reader.replica.start();
    REQUIRE(reader.wait_for_address("i-1", "a"));
    target_list_request request;
    request.boot = 6;
    request.revision = 1;
    target_list_reply reply = reader.replica.answer(request);
    REQUIRE(reply.is_current);
    CHECK(reply.changes.is_whole);
    CHECK(reply.changes.entries.size() == 1);
    request.boot = 7;
    request.revision = reply.changes.revision;
    request.known_version = reply.version;
    reply = reader.replica.answer(request);
    REQUIRE(reply.is_current);
    CHECK_FALSE(reply.changes.is_whole);
    CHECK(reply.changes.entries.empty());
    request.min_version = 1'000;
    CHECK_FALSE(reader.replica.answer(request).is_current);
}
