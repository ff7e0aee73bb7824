#include "egretspindle/admission/batch_queue.hpp"
#include "egretspindle/admission/retry_budget.hpp"
#include "egretspindle/admission/urgent_queue.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace egretspindle;

namespace
{

constexpr time_point start = time_point{} + std::chrono::hours(1);

batch_item make_item(const std::string& key, const std::string& team,
                     time_point enqueued = start)
{
    batch_item item;
    item.key = key;
    item.team = team;
    item.kind = "index";
    item.size = {1, 1000, 0};
    item.expected_ms = 5000;
    item.enqueued = enqueued;
    return item;
}

std::vector<rack_summary> make_racks(double cores)
{
    std::vector<rack_summary> racks(1);
    racks[0].free_slots = 8;
    racks[0].free_cores = cores;
    racks[0].free_memory_mb = 100000;
    racks[0].targets = 8;
    return racks;
}

task_request make_request(const std::string& team, int deadline_ms)
{
    task_request request;
    request.team = team;
    request.urgent = true;
    request.deadline = start + milliseconds(deadline_ms);
    return request;
}

} // namespace

// Guards against the team with the most requests taking all starts.
TEST_CASE("teams start batch in proportion to their weights", "[admission]")
{
    batch_queue queue;
    policy_limits limits;
    limits.teams["a"].weight = 3;
    for (int n = 0; n < 100; ++n)
    {
        push(queue, make_item("a" + std::to_string(n), "a"));
        push(queue, make_item("b" + std::to_string(n), "b"));
    }
    team_use_map use;
    for (int n = 0; n < 40; ++n)
    {
        const std::optional<batch_item> item =
            next_batch(queue, limits, use, make_racks(100), start);
        REQUIRE(item);
        ++use[item->team].tasks;
    }
    CHECK(use["a"].tasks == 30);
}

// Guards against low priority that never starts, and against priority that
// has no effect.
TEST_CASE("priority goes first until the other has aged", "[admission]")
{
    batch_queue queue;
    push(queue, make_item("low", "a", start - std::chrono::seconds(30)));
    push(queue, make_item("old", "a", start - std::chrono::minutes(10)));
    batch_item high = make_item("high", "a");
    high.priority = 2;
    push(queue, high);
    std::string order;
    while (const std::optional<batch_item> item =
               next_batch(queue, {}, {}, make_racks(100), start))
    {
        order += item->key + " ";
    }
    CHECK(order == "old high low ");
}

// Guards against a large request that blocks all others, or waits for ever
// behind a stream of small ones.
TEST_CASE("small requests pass a large one until it has waited long",
          "[admission]")
{
    batch_queue queue;
    batch_item large = make_item("large", "a");
    large.size.cpu_cores = 50;
    push(queue, large);
    batch_item lengthy = make_item("lengthy", "a");
    lengthy.expected_ms = 600000;
    push(queue, lengthy);
    const time_point later = start + std::chrono::minutes(5);
    CHECK_FALSE(next_batch(queue, {}, {}, make_racks(10), later));
    push(queue, make_item("short", "a"));
    const std::optional<batch_item> passed =
        next_batch(queue, {}, {}, make_racks(10), later);
    REQUIRE(passed);
    CHECK(passed->key == "short");
    CHECK(next_batch(queue, {}, {}, make_racks(10), start)->key == "lengthy");
}

// Guards against a full queue that grows, and cancelled work that starts.
TEST_CASE("the batch queue is bounded and forgets the cancelled", "[admission]")
{
    batch_queue queue;
    policy_limits limits;
    limits.teams["a"].max_queue = 2;
    push(queue, make_item("1", "a"));
    push(queue, make_item("1", "a"));
    REQUIRE(check_queue_capacity(queue, limits, "a").ok());
    push(queue, make_item("2", "a"));
    CHECK_FALSE(check_queue_capacity(queue, limits, "a").ok());
    CHECK(check_queue_capacity(queue, limits, "b").ok());
    CHECK(cancel(queue, "1"));
    CHECK_FALSE(cancel(queue, "1"));
    CHECK(next_batch(queue, limits, {}, make_racks(10), start)->key == "2");
    CHECK(queue_size(queue) == 0);
}

// Guards against callers waiting for an answer that comes too late.
TEST_CASE("an urgent request that must be late is not queued", "[admission]")
{
    urgent_queue queue;
    const urgent_admission late =
        admit(queue, {}, make_request("a", 300), 200, 150, start);
    CHECK_FALSE(late.admitted);
    CHECK(late.retry_after_ms > 0);
    CHECK(admit(queue, {}, make_request("a", 500), 200, 150, start).admitted);
    CHECK(expire(queue, start + milliseconds(400)).size() == 1);
}

// Guards against a flood of one team that keeps others out of the queue or
// behind its own requests.
TEST_CASE("a flood of one team leaves the urgent queue to others",
          "[admission]")
{
    urgent_queue queue;
    queue.max_items = 10;
    for (int n = 0; n < 10; ++n)
    {
        REQUIRE(admit(queue, {}, make_request("flood", 9000), 10, 10, start)
                    .admitted);
    }
    CHECK_FALSE(
        admit(queue, {}, make_request("flood", 9000), 10, 10, start).admitted);
    const urgent_admission other =
        admit(queue, {}, make_request("other", 9000), 10, 10, start);
    REQUIRE(other.admitted);
    CHECK(other.displaced != 0);
    observe_start(queue, "flood", start);
    CHECK(next_urgent(queue, {}, {}, start) == other.id);
}

// Guards against retries that multiply the load of an outage.
TEST_CASE("retries are bounded to a share of the requests", "[admission]")
{
    retry_budget budget;
    int retries = 0;
    for (int n = 0; n < 1000; ++n)
    {
        observe_request(budget, "a");
        retries += consume_retry_token(budget, "a") ? 1 : 0;
    }
    CHECK(retries >= 95);
    CHECK(retries <= 105);
}
