#include "egretspindle/placement/choose_racks.hpp"
#include "egretspindle/placement/choose_target.hpp"
#include "egretspindle/placement/guard.hpp"

#include "rack_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

/// Fills a rack of 32 slots with `urgent` urgent tasks and then batch tasks.
rack_load make_full_rack(int urgent, const std::string& batch_team)
{
    rack_load rack = make_rack(4);
    int n = 0;
    for (target_load& target : rack.targets)
    {
        for (int slot = 0; slot < target.slots; ++slot, ++n)
        {
            const bool is_urgent = n < urgent;
            target.tasks.push_back(
                make_task(std::to_string(n), is_urgent ? "draft" : "index",
                          is_urgent ? "rota" : batch_team, is_urgent));
        }
    }
    rack.last_batch_request = start;
    rack.last_urgent_request = start;
    return rack;
}

placement_decision decide(const rack_load& rack, const task_request& request,
                          const policy_limits& limits = {})
{
    std::mt19937_64 rng(1);
    return choose_target(rack, request, {}, limits, start, rng);
}

} // namespace

// Guards against urgent work that waits because its floor is lent to batch
// work.
TEST_CASE("an urgent request evicts one checkpointable batch task",
          "[placement]")
{
    rack_load rack = make_full_rack(4, "archive");
    for (target_load& target : rack.targets)
    {
        for (task_load& task : target.tasks)
        {
            task.checkpointable = task.key == "30";
        }
    }
    const task_request request = make_request("x", "draft", "rota", true);
    const placement_decision decision = decide(rack, request);
    REQUIRE(decision.kind == placement_kind::place);
    REQUIRE(decision.evictions.size() == 1);
    CHECK(decision.evictions[0].key == "30");
    CHECK(decision.evictions[0].cause == eviction_cause::urgent_room);
}

// Guards against a flood of urgent work that uses all slots.
TEST_CASE("urgent work leaves the batch floor to batch work", "[placement]")
{
    // With 23 of 32 slots urgent work would leave batch less than 0.3.
    rack_load rack = make_full_rack(22, "archive");
    rack.targets[3].tasks.pop_back();
    policy_limits limits;
    limits.teams["rota"].quota = 1;
    const task_request request = make_request("x", "draft", "rota", true);
    CHECK(decide(rack, request, limits).kind != placement_kind::place);
    rack.targets[0].tasks.pop_back();
    CHECK(decide(rack, request, limits).kind == placement_kind::place);
}

// Guards against slots that stay unused because their class has no demand.
TEST_CASE("the batch floor is lent while there is no demand for batch work",
          "[placement]")
{
    rack_load rack = make_full_rack(32, "archive");
    rack.targets[0].tasks.pop_back();
    rack.last_batch_request = start - std::chrono::minutes(5);
    const placement_decision decision =
        decide(rack, make_request("x", "draft", "rota", true));
    CHECK(decision.kind == placement_kind::place);
}

// Guards against batch work in the slots that urgent work will need soon.
TEST_CASE("batch work leaves room for the recent urgent peak", "[placement]")
{
    rack_load rack = make_full_rack(4, "archive");
    for (target_load& target : rack.targets)
    {
        target.tasks.pop_back();
    }
    rack.urgent_peak = 6;
    rack.urgent_peak_updated = start;
    policy_limits limits;
    limits.teams["archive"].quota = 1;
    const task_request request = make_request("x", "index", "archive", false);
    CHECK(decide(rack, request, limits).kind == placement_kind::wait);
    rack.urgent_peak = 0;
    rack.last_urgent_request = start - std::chrono::minutes(5);
    CHECK(decide(rack, request, limits).kind == placement_kind::place);
}

// Guards against a flood of one team that uses the quota of another.
TEST_CASE("a team above its quota does not evict teams within theirs",
          "[placement]")
{
    policy_limits limits;
    limits.teams["rota"].quota = 0.1;
    limits.teams["archive"].quota = 0.9;
    const rack_load rack = make_full_rack(6, "archive");
    const placement_decision decision =
        decide(rack, make_request("x", "draft", "rota", true), limits);
    CHECK(decision.kind != placement_kind::place);
    const placement_decision other =
        decide(rack, make_request("y", "check", "upload", true), limits);
    CHECK(other.kind == placement_kind::place);
}

// Guards against lent capacity that its team cannot reclaim.
TEST_CASE("a team reclaims its quota by evicting batch tasks of another",
          "[placement]")
{
    policy_limits limits;
    limits.teams["search"].quota = 0.5;
    limits.teams["archive"].quota = 0.5;
    rack_load rack = make_full_rack(0, "archive");
    rack.last_urgent_request = {};
    const placement_decision decision =
        decide(rack, make_request("x", "index", "search", false), limits);
    REQUIRE(decision.kind == placement_kind::place);
    REQUIRE(decision.evictions.size() == 1);
    CHECK(decision.evictions[0].cause == eviction_cause::quota);
}

// Guards against callers that wait for a result that will be too late.
TEST_CASE("an urgent request that cannot meet its deadline is rejected at once",
          "[placement]")
{
    const rack_load rack = make_full_rack(32, "archive");
    task_request request = make_request("x", "draft", "rota", true);
    request.deadline = start + milliseconds(500);
    CHECK(decide(rack, request).kind == placement_kind::reject);
    request.deadline = start + std::chrono::seconds(60);
    CHECK(decide(rack, request).kind == placement_kind::wait);
}

// Guards against a task that exceeds its reservation and slows urgent tasks,
// and against evictions where throttling is sufficient.
TEST_CASE("guards throttle first, then evict, and end the throttling",
          "[placement]")
{
    rack_load rack = make_rack(1);
    task_load service = make_task("s", "draft", "rota", true);
    service.measured = true;
    service.used = {4, 1000, 0};
    task_load batch = make_task("b", "index", "search", false);
    batch.measured = true;
    batch.reserve = {4, 1000, 0};
    batch.used = {28, 1000, 0};
    rack.targets[0].tasks = {service, batch};
    guard_actions actions = check_guards(rack, {}, {}, start);
    REQUIRE(actions.throttles.size() == 1);
    CHECK(actions.throttles[0].key == "b");
    CHECK(actions.throttles[0].share < 1);
    CHECK(actions.evictions.empty());

    rack.targets[0].tasks[1].share = actions.throttles[0].share;
    actions = check_guards(rack, {}, {}, start);
    REQUIRE(actions.evictions.size() == 1);
    CHECK(actions.evictions[0].key == "b");
    CHECK(actions.evictions[0].cause == eviction_cause::cpu_guard);

    rack.targets[0].tasks[1].used.cpu_cores = 2;
    actions = check_guards(rack, {}, {}, start);
    CHECK(actions.evictions.empty());
    REQUIRE(actions.throttles.size() == 1);
    CHECK(actions.throttles[0].share == 1);
}

// Guards against exhausted memory, which throttling cannot prevent.
TEST_CASE("batch tasks are evicted when memory is nearly exhausted",
          "[placement]")
{
    rack_load rack = make_rack(1);
    task_load service = make_task("s", "draft", "rota", true);
    task_load batch = make_task("b", "index", "search", false);
    service.measured = batch.measured = true;
    service.used = {1, 60000, 0};
    batch.used = {1, 59000, 0};
    rack.targets[0].tasks = {service, batch};
    const guard_actions actions = check_guards(rack, {}, {}, start);
    REQUIRE(actions.evictions.size() == 1);
    CHECK(actions.evictions[0].key == "b");
    CHECK(actions.evictions[0].cause == eviction_cause::memory_guard);
}

// Guards against all hosts sending their work to the rack that was less loaded
// a second ago, and against choosing racks without targets.
TEST_CASE("urgent work is spread over the racks with free slots", "[placement]")
{
    std::mt19937_64 rng(1);
    std::vector<rack_summary> racks(3);
    for (rack_summary& rack : racks)
    {
        rack.targets = 8;
        rack.free_cores = 100;
        rack.free_memory_mb = 100000;
        rack.free_slots = 4;
    }
    racks[1].free_slots = 16;
    racks[2].targets = 0;
    std::map<std::size_t, int> first;
    for (int n = 0; n < 1000; ++n)
    {
        const std::vector<std::size_t> order =
            choose_racks(racks, make_request("x", "draft", "rota", true), rng);
        REQUIRE(order.size() == 2);
        ++first[order[0]];
    }
    CHECK(first[0] > 350);
    CHECK(first[1] > first[0]);
}
