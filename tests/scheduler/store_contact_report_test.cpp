#include "egretspindle/codec/json.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"
#include "egretspindle/scheduler/job_scheduler.hpp"
#include "egretspindle/scheduler/load_exchange.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"
#include "metric_value.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace egretspindle;

namespace
{

constexpr int racks = 6;
constexpr int targets_per_rack = 8;
const std::string key = "secret";

/// Targets that answer polls and refuse all else.
class idle_targets final : public target_port
{
public:
    absl::StatusOr<order_answer> start(const target_entry&, const start_order&,
                                       std::chrono::milliseconds) override
    {
        return make_error(error_kind::unavailable, "refused");
    }

    absl::StatusOr<order_answer> stop(const target_entry&, const stop_order&,
                                      std::chrono::milliseconds) override
    {
        return make_error(error_kind::unavailable, "refused");
    }

    absl::StatusOr<order_answer> pace(const target_entry&, const pace_order&,
                                      std::chrono::milliseconds) override
    {
        return make_error(error_kind::unavailable, "refused");
    }

    absl::StatusOr<poll_answer> poll(const target_entry&, const poll_request&,
                                     std::chrono::milliseconds) override
    {
        std::this_thread::sleep_for(milliseconds(100));
        poll_answer answer;
        answer.clock_ms = 1'000;
        answer.started_ms = 1;
        return answer;
    }
};

void write_cluster_row(fake_store& store, const std::string& row_key,
                       const std::string& value)
{
    table_row row;
    row.table = std::string(cluster_table);
    row.key = row_key;
    row.value = value;
    row_transaction transaction;
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

std::map<std::string, target_entry> make_targets()
{
    std::map<std::string, target_entry> targets;
    for (int n = 0; n < racks * targets_per_rack; ++n)
    {
        target_entry entry;
        // Reports leave out what the ids have in common at their beginning.
        entry.id = std::to_string(n) + "-of-the-targets-of-a-large-site";
        entry.service = "svc";
        entry.rack = "rack-" + std::to_string(n / targets_per_rack);
        entry.data_center = "dc";
        entry.address = "127.0.0.1:1";
        entry.started_ms = 1;
        entry.capacity = {4'000, 4'000, 0};
        targets[entry.id] = entry;
    }
    return targets;
}

/// Message as received by the other host.
struct received_message
{
    bool is_without_store = false;
    std::string first_rack;
};

// Returns the number of different first racks. One message per report has
// always the same one.
std::size_t count_racks(const std::vector<received_message>& messages)
{
    std::set<std::string> names;
    for (const received_message& message : messages)
    {
        names.insert(message.first_rack);
    }
    return names.size();
}

} // namespace

// Guards against messages that deny an outage which others of the same host
// report: no host then extends its right to grant leases, and all tasks stop
// after 7 s without the store.
TEST_CASE("all load messages of a host without the store say so", "[scheduler]")
{
    fake_store store;
    idle_targets targets;
    write_cluster_row(store, "key", key);
    scheduler_options options;
    options.host = "h1";
    options.data_center = "dc";
    options.peer_address = "127.0.0.1";
    job_scheduler scheduler(store, targets, options);
    scheduler.set_targets(make_targets());
    REQUIRE(scheduler.start().ok());
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<received_message> received;
    load_exchange peer(
        key,
        [&](const load_message& message, std::size_t /*bytes*/)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            received.push_back(
                {message.is_without_store,
                 message.racks.empty() ? "" : message.racks.front().rack});
            changed.notify_all();
        });
    REQUIRE(peer.start("127.0.0.1", 0).ok());
    bool has_all_racks = false;
    for (int n = 0; n < 1'000 && !has_all_racks; ++n)
    {
        std::this_thread::sleep_for(milliseconds(20));
        has_all_racks = metric_value(scheduler.metrics_text(),
                                     "egretspindle_racks_owned") == racks;
    }
    REQUIRE(has_all_racks);
    host_row other;
    other.name = "h2";
    other.boot = 1;
    other.data_center = "dc";
    other.peer = "127.0.0.1:" + std::to_string(peer.port());
    write_cluster_row(store, std::string(host_prefix) + other.name,
                      to_json(other));
    std::unique_lock<std::mutex> lock(mutex);
    REQUIRE(changed.wait_for(lock, std::chrono::seconds(20),
                             [&] { return count_racks(received) >= 2; }));
    store.set_unreadable(true);
    REQUIRE(changed.wait_for(
        lock, std::chrono::seconds(20),
        [&] { return !received.empty() && received.back().is_without_store; }));
    received.clear();
    REQUIRE(changed.wait_for(lock, std::chrono::seconds(20),
                             [&] { return received.size() >= 12; }));
    const std::vector<received_message> messages = received;
    lock.unlock();
    peer.stop();
    scheduler.stop();
    REQUIRE(count_racks(messages) >= 2);
    CHECK(std::count_if(messages.begin(), messages.end(),
                        [](const received_message& message)
                        { return !message.is_without_store; }) == 0);
}
