#include "egretspindle/cluster/store_contact.hpp"
#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/cluster_rows.hpp"
#include "egretspindle/scheduler/load_exchange.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

/// Store whose watches can be made to fail alone.
class unwatchable_store final : public table_store
{
public:
    fake_store rows;
    std::atomic<bool> fails{false};

    absl::StatusOr<transaction_result>
    commit(const row_transaction& transaction,
           std::chrono::milliseconds timeout) override
    {
        return rows.commit(transaction, timeout);
    }

    absl::StatusOr<table_page> read(const row_range& range,
                                    std::chrono::milliseconds timeout) override
    {
        return rows.read(range, timeout);
    }

    absl::StatusOr<table_page> watch(std::string_view table, std::int64_t after,
                                     std::chrono::milliseconds wait) override
    {
        if (fails)
        {
            return make_error(error_kind::unavailable, "refused");
        }
        return rows.watch(table, after, wait);
    }
};

/// Agent of host `h1`, boot 2, and the former owners of the resources for which
/// it has called the hook `taken`.
struct agent_fixture
{
    table_store& store;
    milliseconds whole_read_interval;
    milliseconds heartbeat_timeout;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, former_ownership> taken;
    std::vector<rack_handover> released;
    bool is_loss_held = false; ///< the hook `lost` waits
    bool is_losing = false;    ///< the hook `lost` has been called
    cluster_agent agent{store,
                        host_row{"h1", 2, "127.0.0.1:1", "dc", false, 0, {}},
                        hooks(), limits()};

    explicit agent_fixture(
        table_store& rows,
        milliseconds whole_read_interval = milliseconds(30'000),
        milliseconds heartbeat_timeout = milliseconds(60'000))
        : store(rows), whole_read_interval(whole_read_interval),
          heartbeat_timeout(heartbeat_timeout)
    {
        agent.set_racks({{"r1", "dc"}});
        agent.start();
    }

    liveness_limits limits() const
    {
        liveness_limits result;
        result.whole_read_interval = whole_read_interval;
        result.heartbeat_timeout = heartbeat_timeout;
        result.first_claim_delay = milliseconds(1);
        return result;
    }

    cluster_hooks hooks()
    {
        cluster_hooks result;
        result.taken = [this](const std::string& resource, std::int64_t,
                              const former_ownership& former,
                              const clock_reading&)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            taken[resource] = former;
            changed.notify_all();
        };
        result.lost = [this](const std::string&)
        {
            std::unique_lock<std::mutex> lock(mutex);
            is_losing = true;
            changed.notify_all();
            changed.wait_for(lock, std::chrono::seconds(20),
                             [this] { return !is_loss_held; });
        };
        result.released = [this](const rack_handover& handover)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            released.push_back(handover);
        };
        result.verified = [](const std::string&, std::int64_t,
                             const clock_reading&) {
        };
        result.pending = []
        {
            return std::map<std::string, std::int64_t>{};
        };
        return result;
    }

    /// Waits until the rack `r1` has been taken over, and returns its former
    /// owner.
    former_ownership wait_for_rack()
    {
        std::unique_lock<std::mutex> lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(20),
                                 [this] { return taken.count("rack/r1"); }));
        return taken["rack/r1"];
    }
};

// Writes the heartbeat row and the registration of a host.
void write_host(fake_store& store, const std::string& name, std::int64_t beat,
                bool is_leaving = false)
{
    host_row host;
    host.is_leaving = is_leaving;
    host.pending = {{"queue", 40}};
    host.name = name;
    host.boot = 1;
    host.peer = "peer-of-" + name;
    host.data_center = "dc";
    host.beat = beat;
    row_transaction transaction;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::string(registration_prefix) + name;
    row.value = to_json(host);
    transaction.writes.push_back(row);
    row.part = heartbeat_part(name, true);
    row.key = std::string(host_prefix) + name;
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

// Writes one heartbeat of a host that has not registered.
void write_heartbeat(fake_store& store, const std::string& name)
{
    host_row host;
    host.name = name;
    host.boot = 1;
    host.peer = "peer-of-" + name;
    row_transaction transaction;
    table_row row;
    row.table = std::string(cluster_table);
    row.part = heartbeat_part(name, true);
    row.key = std::string(host_prefix) + name;
    row.value = to_json(host);
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

void remove_host(fake_store& store, const std::string& name)
{
    row_transaction transaction;
    transaction.removals.push_back({std::string(cluster_table), "",
                                    std::string(registration_prefix) + name,
                                    0});
    transaction.removals.push_back({std::string(cluster_table),
                                    heartbeat_part(name, true),
                                    std::string(host_prefix) + name, 0});
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

// Returns whether a condition becomes true within about 10 s.
template <typename Condition>
bool wait_until(const Condition& condition)
{
    for (int n = 0; n < 1'000 && !condition(); ++n)
    {
        std::this_thread::sleep_for(milliseconds(10));
    }
    return condition();
}

// Writes the owner row of the rack `r1`.
void write_owner(fake_store& store, const resource_owner& owner)
{
    row_transaction transaction;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = "rack/r1";
    row.value = to_json(owner);
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
}

} // namespace

// Otherwise a restarted host waits a whole lease from its claim for targets
// that are gone, although its earlier process ended before it started. That
// wait interrupts long-running tasks for 18 s.
TEST_CASE("a restarted host recognizes its earlier process as former owner",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h1", 1});
    agent_fixture host(store);
    REQUIRE(host.wait_for_rack().kind == former_owner::restart);
    host.agent.stop();
}

// A start that reached no owner counts as a first start only if no other host
// can have started the run. For that, this host must have owned the resource at
// the store version of the rack's token.
TEST_CASE("a claim is confirmed by the next read, and only for the owner",
          "[scheduler]")
{
    fake_store store;
    // Reads after the claim of the rack wait until this is false.
    std::atomic<bool> is_held{true};
    store.before_read = [&]
    {
        const auto may_read = [&]
        {
            return !is_held ||
                   store.row(std::string(cluster_table), "", "rack/r1")
                           .version == 0;
        };
        wait_until(may_read);
    };
    agent_fixture host(store);
    host.wait_for_rack();
    const std::int64_t token = host.agent.owner_of("rack/r1")->token;
    REQUIRE_FALSE(host.agent.is_confirmed("rack/r1", token));
    is_held = false;
    REQUIRE(
        wait_until([&] { return host.agent.is_confirmed("rack/r1", token); }));
    REQUIRE_FALSE(host.agent.is_confirmed("rack/r1", token + 1'000'000));
    REQUIRE_FALSE(host.agent.is_confirmed("rack/r2", token));
    write_owner(store, {"h2", 1});
    write_host(store, "h2", 1);
    host.agent.refresh();
    REQUIRE(
        wait_until([&] { return !host.agent.is_confirmed("rack/r1", token); }));
    host.agent.stop();
}

// A host without heartbeats may be alive and only cut off from the store, and
// still renew leases. If it counted as stopped, tasks could run twice.
TEST_CASE("a former owner without heartbeats does not count as stopped",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h9", 1});
    agent_fixture host(store);
    REQUIRE(host.wait_for_rack().kind == former_owner::other);
    host.agent.stop();
}

// Otherwise every host reads and decodes over 200 rows each second on large
// sites.
TEST_CASE("after the first read an agent reads changes only", "[scheduler]")
{
    fake_store store;
    write_host(store, "h2", 1);
    agent_fixture host(store);
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 1; }));
    write_host(store, "h3", 1);
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 2; }));
    remove_host(store, "h2");
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 1; }));
    REQUIRE(host.agent.peers().front() == "peer-of-h3");
    REQUIRE(store.reads() == 1);
    REQUIRE(store.watches() >= 2);
    host.agent.stop();
}

// Otherwise the agent would miss all later changes.
TEST_CASE("an agent reads the whole table once when the history is lost",
          "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    REQUIRE(host.wait_for_rack().kind == former_owner::none);
    write_host(store, "h2", 1);
    store.forget_history();
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 1; }));
    REQUIRE(store.reads() == 2);
    write_host(store, "h3", 1);
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 2; }));
    REQUIRE(store.reads() == 2);
    host.agent.stop();
}

// Guards against following changes from the version of the last page, which
// misses rows that changed between the pages.
TEST_CASE("rows that change between pages are read", "[scheduler]")
{
    fake_store store;
    std::vector<std::string> expected{"peer-of-h0"};
    for (int n = 10; n < 20; ++n)
    {
        write_host(store, "h" + std::to_string(n), 1);
        expected.push_back("peer-of-h" + std::to_string(n));
    }
    expected.erase(expected.begin() + 1); // h10 is removed
    // Less than the hosts, more than the rows that change in a second.
    store.set_page_size(8);
    std::atomic<bool> is_done{false};
    store.before_next_page = [&]
    {
        if (!is_done.exchange(true))
        {
            write_host(store, "h0", 1);
            remove_host(store, "h10");
        }
    };
    agent_fixture host(store);
    REQUIRE(wait_until([&] { return is_done.load(); }));
    REQUIRE(wait_until([&] { return host.agent.peers() == expected; }));
    REQUIRE(store.reads() == 1);
    host.agent.stop();
}

// Corrects the view if a change has been missed; here every 1.5 s instead of
// every 30 s.
TEST_CASE("an agent reads the whole table periodically", "[scheduler]")
{
    fake_store store;
    agent_fixture host(store, milliseconds(1'500));
    REQUIRE(wait_until([&] { return store.reads() == 3; }));
    REQUIRE(store.watches() >= 2);
    host.agent.stop();
}

// Heartbeats are in parts that whole reads do not contain. Guards against live
// hosts that seem silent whenever the whole table is read.
TEST_CASE("heartbeats are read while the whole table is read", "[scheduler]")
{
    fake_store store;
    agent_fixture host(store, milliseconds(1));
    REQUIRE(wait_until([&] { return store.reads() >= 2; }));
    write_heartbeat(store, "h2");
    CHECK(wait_until([&] { return host.agent.peers().size() == 1; }));
    host.agent.stop();
}

// Guards against changes that are never read because a whole read, which does
// not contain them, has moved the position of the next changes.
TEST_CASE("heartbeats are read after a time in which only whole reads succeed",
          "[scheduler]")
{
    unwatchable_store store;
    agent_fixture host(store, milliseconds(1));
    REQUIRE(wait_until([&] { return store.rows.reads() >= 2; }));
    store.fails = true;
    write_heartbeat(store.rows, "h2");
    const int end = store.rows.reads() + 2;
    REQUIRE(wait_until([&] { return store.rows.reads() >= end; }));
    store.fails = false;
    CHECK(wait_until([&] { return host.agent.peers().size() == 1; }));
    host.agent.stop();
}

// Otherwise hosts that start do not know the owner of a resource, and claim it
// from a live host.
TEST_CASE("a host claims nothing before it is registered", "[scheduler]")
{
    fake_store store;
    std::atomic<bool> is_held{true};
    const auto registration = [&store]
    {
        return store.row(std::string(cluster_table), "",
                         std::string(registration_prefix) + "h1");
    };
    store.before_commit = [&]
    {
        // Only the heartbeats pass.
        if (is_held)
        {
            store.hold_part("");
        }
    };
    agent_fixture host(store);
    REQUIRE(wait_until([&] { return store.held_writes() >= 2; }));
    CHECK(store.row(std::string(cluster_table), "", "rack/r1").version == 0);
    is_held = false;
    store.release_part();
    host.wait_for_rack();
    CHECK(registration().version != 0);
    CHECK(registration().version <
          store.row(std::string(cluster_table), "", "rack/r1").version);
    host.agent.stop();
}

// After the loss of most hosts, one of the others may have to claim more racks
// than a transaction can hold (`max_transaction_entries`). The store refuses
// larger ones, so that the racks would stay without an owner.
TEST_CASE("a host claims more racks than fit into one transaction",
          "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    constexpr std::size_t count = 80; // of 3 entries each
    std::map<std::string, std::string> racks;
    for (std::size_t n = 0; n < count; ++n)
    {
        racks["many" + std::to_string(n)] = "dc";
    }
    host.agent.set_racks(racks);
    std::unique_lock<std::mutex> lock(host.mutex);
    const auto has_all = [&]
    {
        return std::count_if(host.taken.begin(), host.taken.end(),
                             [](const auto& item) {
                                 return item.first.find("/many") !=
                                        std::string::npos;
                             }) == static_cast<std::ptrdiff_t>(count);
    };
    REQUIRE(host.changed.wait_for(lock, std::chrono::seconds(20), has_all));
    lock.unlock();
    host.agent.stop();
}

// A shard that was given up is loaded again only with a new token. If the claim
// for it were not repeated after a refusal, the shard would stay without jobs.
TEST_CASE("the claim that confirms an ownership is repeated after a refusal",
          "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    host.wait_for_rack();
    std::int64_t token = 0;
    {
        const std::optional<owner_location> owner =
            host.agent.owner_of("rack/r1");
        REQUIRE(owner);
        token = owner->token;
        const std::lock_guard<std::mutex> lock(host.mutex);
        host.taken.clear();
    }
    store.set_fault(write_fault::refused);
    host.agent.report_newer_token("rack/r1", token);
    std::this_thread::sleep_for(milliseconds(1'500));
    store.set_fault(write_fault::none);
    host.wait_for_rack();
    REQUIRE(host.agent.owner_of("rack/r1")->token > token);
    host.agent.stop();
}

// A former owner may grant leases for some seconds after its last heartbeat.
// Guards against counting from a heartbeat that was not its last one.
TEST_CASE("a claim from a stopped host depends on its last heartbeat",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h9", 1});
    write_host(store, "h9", 1);
    std::atomic<bool> writes_heartbeats{true};
    std::atomic<bool> is_leaving{false};
    std::atomic<int> commits{0};
    thread_local bool is_nested = false;
    store.before_commit = [&]
    {
        if (!is_nested && writes_heartbeats)
        {
            is_nested = true;
            write_host(store, "h9", ++commits, is_leaving);
            is_nested = false;
        }
    };
    agent_fixture host(store);
    // The agent has then read a heartbeat that it wrote after its start.
    const int watches = store.watches();
    REQUIRE(wait_until(
        [&] { return commits >= 3 && store.watches() >= watches + 3; }));
    is_leaving = true;
    const int before = commits;
    REQUIRE(wait_until([&] { return commits >= before + 5; }));
    {
        const std::lock_guard<std::mutex> lock(host.mutex);
        CHECK(host.taken.count("rack/r1") == 0);
    }
    writes_heartbeats = false;
    const former_ownership former = host.wait_for_rack();
    CHECK(former.kind == former_owner::other);
    CHECK(former.last_heartbeat.has_value());
    CHECK_FALSE(former.ended_at.has_value());
}

// The owner before a silent one grants leases until that one claims the rack.
// Guards against counting them from an earlier heartbeat of the silent host, so
// that a run that lasts is started again elsewhere.
TEST_CASE("a former owner counts as stopped only after its own claim",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h8", 1});
    write_host(store, "h8", 1);
    write_host(store, "h9", 1);
    agent_fixture host(store);
    const auto wait_for_reads = [&store]
    {
        const int end = store.watches() + 3;
        REQUIRE(wait_until([&] { return store.watches() >= end; }));
    };
    wait_for_reads();
    write_host(store, "h9", 2, true);
    wait_for_reads();
    const time_point claimed_at = steady_clock::now();
    write_owner(store, {"h9", 1});
    write_host(store, "h8", 2, true);
    const former_ownership former = host.wait_for_rack();
    CHECK(former.kind == former_owner::other);
    REQUIRE(former.last_heartbeat.has_value());
    CHECK(*former.last_heartbeat >= claimed_at);
}

// While no host reaches the store, owners grant leases beyond the time that
// follows from their last heartbeat. Guards against counting from that
// heartbeat after this host has reported that it does not reach the store.
TEST_CASE("a former owner does not count as stopped from before an outage",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h9", 1});
    write_host(store, "h9", 1);
    agent_fixture host(store, milliseconds(30'000), milliseconds(3'000));
    REQUIRE(wait_until([&] { return store.reads() >= 1; }));
    write_host(store, "h9", 2);
    const int end = store.watches() + 2;
    REQUIRE(wait_until([&] { return store.watches() >= end; }));
    store.set_unreadable(true);
    REQUIRE(wait_until([&] { return host.agent.is_without_store(); }));
    const time_point reported_at = steady_clock::now();
    store.set_unreadable(false);
    const former_ownership former = host.wait_for_rack();
    CHECK(former.kind == former_owner::other);
    REQUIRE(former.last_heartbeat.has_value());
    CHECK(elapsed_ms(reported_at, *former.last_heartbeat) >= 0);
}

// Guards against waiting for leases that a process cannot have granted after
// its end.
TEST_CASE("a restarted owner is known to have ended", "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h9", 0});
    write_host(store, "h9", 1);
    agent_fixture host(store);
    const auto wait_for_reads = [&store](int count)
    {
        const int end = store.watches() + count;
        REQUIRE(wait_until([&] { return store.watches() >= end; }));
    };
    wait_for_reads(1);
    write_host(store, "h9", 2);
    wait_for_reads(2);
    write_host(store, "h9", 3, true);
    const former_ownership former = host.wait_for_rack();
    CHECK(former.kind == former_owner::other);
    CHECK(former.ended_at.has_value());
}

// Guards against telling callers that far fewer jobs wait than do, until the
// shards of a silent host have been taken over.
TEST_CASE("jobs of a host that is not live count while it owns their shard",
          "[scheduler]")
{
    fake_store store;
    row_transaction transaction;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::string(shard_prefix) + "j00";
    row.value = to_json(resource_owner{"h9", 1});
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, milliseconds(100)).ok());
    write_host(store, "h9", 1, true);
    // Claims are refused, so that the shard stays with `h9`.
    store.set_fault(write_fault::refused);
    agent_fixture host(store);
    REQUIRE(wait_until(
        [&] { return host.agent.owner_of("shard/j00").has_value(); }));
    CHECK(host.agent.pending_elsewhere()["queue"] == 40);
}

// Guards against a host that ends before it has told the next owners of its
// racks when its leases end.
TEST_CASE("a host that leaves owns a rack until its loss has been handled",
          "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    host.wait_for_rack();
    REQUIRE(wait_until(
        [&]
        { return host.agent.progress_of_stop().owned == shard_count + 1; }));
    CHECK_FALSE(host.agent.progress_of_stop().is_announced);
    host.agent.leave();
    REQUIRE(
        wait_until([&] { return host.agent.progress_of_stop().is_announced; }));
    CHECK(host.agent.progress_of_stop().owned == shard_count + 1);
    {
        const std::lock_guard<std::mutex> lock(host.mutex);
        host.is_loss_held = true;
    }
    write_owner(store, {"h9", 1});
    {
        std::unique_lock<std::mutex> lock(host.mutex);
        REQUIRE(host.changed.wait_for(lock, std::chrono::seconds(20),
                                      [&] { return host.is_losing; }));
    }
    CHECK(host.agent.progress_of_stop().owned == shard_count + 1);
    {
        const std::lock_guard<std::mutex> lock(host.mutex);
        host.is_loss_held = false;
        host.changed.notify_all();
    }
    CHECK(wait_until(
        [&] { return host.agent.progress_of_stop().owned == shard_count; }));
}

// Guards against a rack that a host claims again while others are to take it.
TEST_CASE("a host that leaves claims nothing", "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    host.wait_for_rack();
    const std::int64_t token =
        store.row(std::string(cluster_table), "", "rack/r1").version;
    host.agent.leave();
    host.agent.report_newer_token("rack/r1", token);
    const int before = store.watches();
    REQUIRE(wait_until([&] { return store.watches() >= before + 4; }));
    CHECK(store.row(std::string(cluster_table), "", "rack/r1").version ==
          token);
}

// Guards against a release that is lost because the message did not arrive, so
// that the next owner of the rack waits for the longest lease.
TEST_CASE("a release in the store reaches the next owner once", "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h9", 1});
    write_host(store, "h9", 1, true);
    const std::int64_t token =
        store.row(std::string(cluster_table), "", "rack/r1").version;
    cluster_agent writer(store, host_row{"h9", 1, "", "dc", true, 0, {}}, {},
                         {});
    const rack_handover release{"r1", token, {{"t1", 700}}};
    const bool is_claimed_first = GENERATE(true, false);
    CAPTURE(is_claimed_first);
    if (!is_claimed_first)
    {
        REQUIRE(writer.record_releases({release}, milliseconds(100)));
    }
    agent_fixture host(store);
    REQUIRE(host.wait_for_rack().token == token);
    if (is_claimed_first)
    {
        REQUIRE(writer.record_releases({release}, milliseconds(100)));
    }
    const auto count = [&]
    {
        const std::lock_guard<std::mutex> lock(host.mutex);
        return host.released.size();
    };
    REQUIRE(wait_until([&] { return count() > 0; }));
    const int before = store.watches();
    REQUIRE(wait_until([&] { return store.watches() >= before + 2; }));
    CHECK(count() == 1);
    CHECK(host.released.front().rack == "r1");
    CHECK(host.released.front().token == token);
    REQUIRE(host.released.front().targets.size() == 1);
    CHECK(host.released.front().targets.front().remaining_ms <= 700);
}

// Guards against a host that was paused, and then extends its right to grant
// leases on reports that waited in its socket: the store may be back, and
// another host may have claimed its racks.
TEST_CASE("reports of an outage that waited to be read do not count as new",
          "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    REQUIRE(wait_until([&] { return store.watches() >= 1; }));
    write_heartbeat(store, "h2");
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 1; }));
    store.set_unreadable(true);
    REQUIRE(wait_until([&] { return host.agent.is_without_store(); }));
    std::atomic<bool> is_paused{false};
    std::atomic<bool> may_continue{false};
    std::atomic<int> received{0};
    const auto receive = [&](const load_message& message, std::size_t /*bytes*/)
    {
        if (message.host == "h3")
        {
            is_paused = true;
            wait_until([&] { return may_continue.load(); });
            return;
        }
        host.agent.record_store_contact(message.host, !message.is_without_store,
                                        age_of(message));
        ++received;
    };
    load_exchange sender("key", [](const load_message&, std::size_t) {});
    load_exchange receiver("key", receive);
    REQUIRE(sender.start("127.0.0.1", 0).ok());
    REQUIRE(receiver.start("127.0.0.1", 0).ok());
    const std::vector<std::string> peers{"127.0.0.1:" +
                                         std::to_string(receiver.port())};
    load_message message;
    message.host = "h3";
    static_cast<void>(sender.send({message}, steady_clock::now(), peers));
    REQUIRE(wait_until([&] { return is_paused.load(); }));
    message.host = "h2";
    message.is_without_store = true;
    static_cast<void>(sender.send({message}, steady_clock::now(), peers));
    std::this_thread::sleep_for(2 * contact_report_lifetime);
    may_continue = true;
    REQUIRE(wait_until([&] { return received == 1; }));
    CHECK_FALSE(host.agent.is_outage());
    // A new report counts.
    CHECK(wait_until(
        [&]
        {
            static_cast<void>(
                sender.send({message}, steady_clock::now(), peers));
            return host.agent.is_outage();
        }));
    sender.stop();
    receiver.stop();
    host.agent.stop();
}

// Guards against a message that is overtaken on its way, and hides that its
// sender has reached the store again.
TEST_CASE("a late report of an outage does not replace a newer one",
          "[scheduler]")
{
    fake_store store;
    agent_fixture host(store);
    REQUIRE(wait_until([&] { return store.watches() >= 1; }));
    write_heartbeat(store, "h2");
    REQUIRE(wait_until([&] { return host.agent.peers().size() == 1; }));
    store.set_unreadable(true);
    REQUIRE(wait_until([&] { return host.agent.is_without_store(); }));
    host.agent.record_store_contact("h2", true, milliseconds(0));
    host.agent.record_store_contact("h2", false, milliseconds(1'000));
    CHECK_FALSE(host.agent.is_outage());
    host.agent.record_store_contact("h2", false, milliseconds(0));
    CHECK(host.agent.is_outage());
    host.agent.stop();
}
