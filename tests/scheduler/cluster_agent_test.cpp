#include "egretspindle/codec/json.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace egretspindle;

namespace
{

/// Agent of host `h1`, boot 2, with what it tells of one rack.
struct claims
{
    fake_store& store;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, former_owner> taken;
    cluster_agent agent{store,
                        host_row{"h1", 2, "127.0.0.1:1", "dc", false, 0, {}},
                        hooks(), limits()};

    explicit claims(fake_store& rows) : store(rows)
    {
        agent.set_racks({{"r1", "dc"}});
        agent.start();
    }

    static liveness_limits limits()
    {
        liveness_limits result;
        result.silence = milliseconds(60'000);
        result.first_claim = milliseconds(1);
        return result;
    }

    cluster_hooks hooks()
    {
        cluster_hooks result;
        result.taken = [this](const std::string& resource, std::int64_t,
                              former_owner former, const moment&)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            taken[resource] = former;
            changed.notify_all();
        };
        result.lost = [](const std::string&) {
        };
        result.verified = [](const std::string&, std::int64_t, const moment&) {
        };
        result.pending = []
        {
            return std::map<std::string, std::int64_t>{};
        };
        return result;
    }

    former_owner wait_for_rack()
    {
        std::unique_lock<std::mutex> lock(mutex);
        REQUIRE(changed.wait_for(lock, std::chrono::seconds(20),
                                 [this] { return taken.count("rack/r1"); }));
        return taken["rack/r1"];
    }
};

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

// A restarted host waited a whole lease from its claim for targets that were
// gone, although its earlier life had ended seconds before; tasks that last
// stayed away for 18 s.
TEST_CASE("a restarted host knows its earlier life as the former owner",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h1", 1});
    claims host(store);
    REQUIRE(host.wait_for_rack() == former_owner::restart);
    host.agent.stop();
}

// A host without heartbeats may live, be cut off from the store, and go on
// renewing leases: tasks ran twice.
TEST_CASE("a former owner without heartbeats is not taken for stopped",
          "[scheduler]")
{
    fake_store store;
    write_owner(store, {"h9", 1});
    claims host(store);
    REQUIRE(host.wait_for_rack() == former_owner::other);
    host.agent.stop();
}
