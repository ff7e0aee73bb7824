// Shard scans, host list cache and conversion of plan limits.

#include "egretspindle/core/error.hpp"
#include "egretspindle/node/host_list_cache.hpp"
#include "egretspindle/node/plan_limits.hpp"
#include "egretspindle/node/shard_scanner.hpp"
#include "egretspindle/request_path/request_record.hpp"

#include "../support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

class fake_host_list : public host_list_client
{
public:
    absl::StatusOr<std::vector<host_entry>> hosts() override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++calls_;
        return answer_;
    }

    void set(absl::StatusOr<std::vector<host_entry>> answer)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        answer_ = std::move(answer);
        calls_ = 0;
    }

    /// Returns whether the cache has applied the last answer.
    bool is_applied() const
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return calls_ >= 2;
    }

private:
    mutable std::mutex mutex_;
    int calls_ = 0;
    absl::StatusOr<std::vector<host_entry>> answer_ =
        make_error(error_kind::unavailable, "down");
};

host_entry make_host(const std::string& name, const std::string& role,
                     const std::string& data_center, const std::string& rack)
{
    host_entry host;
    host.name = name;
    host.role = role;
    host.data_center = data_center;
    host.rack = rack;
    return host;
}

/// Counts the scans of each shard.
class scan_counter
{
public:
    absl::Status scan(int shard)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++counts_[shard];
        return is_down ? make_error(error_kind::unavailable, "down")
                       : absl::OkStatus();
    }

    int count(int shard)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return counts_[shard];
    }

    std::size_t shards()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return counts_.size();
    }

    std::atomic<bool> is_down{false};

private:
    std::mutex mutex_;
    std::map<int, int> counts_;
};

constexpr milliseconds long_period{600'000};

} // namespace

// Guards against open requests that wait for the next periodic scan after a
// membership change, and against scans of the shards of other hosts.
TEST_CASE("own shards are scanned at start and after a membership change")
{
    scan_counter scans;
    shard_scanner scanner([](int shard) { return shard % 2 == 0; },
                          [&](int shard) { return scans.scan(shard); },
                          long_period);
    scanner.start();
    REQUIRE(wait_until([&] { return scans.count(shard_count - 2) == 1; }));
    scanner.wake();
    REQUIRE(wait_until([&] { return scans.count(shard_count - 2) == 2; }));
    scanner.stop();
    CHECK(scans.count(0) == 2);
    CHECK(scans.shards() == shard_count / 2);
}

// Guards against shards that are never scanned because the store was down.
TEST_CASE("a failed scan is repeated")
{
    scan_counter scans;
    scans.is_down = true;
    shard_scanner scanner([](int) { return true; },
                          [&](int shard) { return scans.scan(shard); },
                          long_period);
    scanner.start();
    REQUIRE(wait_until([&] { return scans.count(0) > 0; }));
    scans.is_down = false;
    CHECK(wait_until([&] { return scans.count(shard_count - 1) > 0; }));
}

// Guards against a membership change that is missed because it occurs during a
// scan.
TEST_CASE("a membership change during a scan causes another scan")
{
    scan_counter scans;
    shard_scanner* scanner_to_wake = nullptr;
    std::atomic<bool> is_woken{false};
    shard_scanner scanner([](int shard) { return shard == 0; },
                          [&](int shard)
                          {
                              if (!is_woken.exchange(true))
                              {
                                  scanner_to_wake->wake();
                              }
                              return scans.scan(shard);
                          },
                          long_period);
    scanner_to_wake = &scanner;
    scanner.start();
    CHECK(wait_until([&] { return scans.count(0) == 2; }));
}

// Guards against an outage of the host list that removes all targets, and
// against members that count as removed while no list is known.
TEST_CASE("the last host list is kept during an outage")
{
    fake_host_list client;
    host_list_cache cache(client, milliseconds(5));
    CHECK(cache.is_entry_host_listed("entry-a"));
    client.set(std::vector<host_entry>{
        make_host("entry-a", "entry", "dc-a", ""),
        make_host("target-a", "target", "dc-a", "rack-1"),
        make_host("target-b", "target", "dc-b", "rack-2")});
    cache.start();
    REQUIRE(wait_until([&] { return cache.hosts().size() == 3; }));
    client.set(make_error(error_kind::unavailable, "down"));
    REQUIRE(wait_until([&] { return client.is_applied(); }));
    CHECK(cache.hosts().size() == 3);
    client.set(std::vector<host_entry>{});
    REQUIRE(wait_until([&] { return client.is_applied(); }));
    CHECK(cache.racks("dc-a") == std::set<std::string>{"rack-1"});
    CHECK(cache.is_entry_host_listed("entry-a"));
    CHECK_FALSE(cache.is_entry_host_listed("target-a"));
    client.set(std::vector<host_entry>{
        make_host("target-a", "target", "dc-a", "rack-1")});
    CHECK(wait_until([&] { return !cache.is_entry_host_listed("entry-a"); }));
}

// Guards against floors, quotas and priorities of the plan that placement
// ignores.
TEST_CASE("policy limits are taken from the plan")
{
    plan_document plan;
    const policy_limits defaults;
    CHECK(make_policy_limits(plan).urgent_floor == defaults.urgent_floor);
    CHECK(make_policy_limits(plan).batch_floor == defaults.batch_floor);
    plan.teams["rota"].urgent_floor = 0.125;
    plan.teams["rota"].quota = 0.5;
    plan.teams["rota"].weight = 3;
    plan.teams["rota"].max_queue = 7;
    plan.teams["pay"].urgent_floor = 0.25;
    plan.teams["pay"].batch_floor = 0.5;
    plan.services["draft"].team = "rota";
    plan.services["draft"].deadline_ms = 900;
    plan.batches["index"].team = "pay";
    plan.batches["index"].priority = 80;
    const policy_limits limits = make_policy_limits(plan);
    CHECK(limits.urgent_floor == 0.375);
    CHECK(limits.batch_floor == 0.5);
    CHECK(limits.teams.at("rota").quota == 0.5);
    CHECK(limits.teams.at("rota").weight == 3);
    CHECK(limits.teams.at("rota").max_queue == 7);
    CHECK(limits.kinds.at("draft").team == "rota");
    CHECK(limits.kinds.at("draft").deadline_ms == 900);
    CHECK(limits.kinds.at("index").priority == 80);
}
