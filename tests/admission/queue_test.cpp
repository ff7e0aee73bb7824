#include "egretspindle/admission/batch_queue.hpp"
#include "egretspindle/admission/retry_budget.hpp"
#include "egretspindle/admission/urgent_queue.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace egretspindle;

namespace
{

constexpr time_point test_epoch = time_point{} + std::chrono::hours(1);

batch_item make_item(const std::string& key, const std::string& team,
                     time_point enqueued = test_epoch)
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

task_request make_urgent_request(const std::string& team, int deadline_ms)
{
    task_request request;
    request.team = team;
    request.urgent = true;
    request.deadline = test_epoch + milliseconds(deadline_ms);
    return request;
}

} // namespace

// A team must not get all starts; the shares follow the weights (3:1), not the
// order of arrival.
TEST_CASE("batch starts are shared among teams in proportion to their weights",
          "[admission]")
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
            next_batch(queue, limits, use, make_racks(100), test_epoch);
        REQUIRE(item);
        ++use[item->team].tasks;
    }
    CHECK(use["a"].tasks == 30);
}

// Low-priority requests must not starve, and a priority must have an effect.
TEST_CASE(
    "a higher priority starts first unless the other request is much older",
    "[admission]")
{
    batch_queue queue;
    push(queue, make_item("low", "a", test_epoch - std::chrono::seconds(30)));
    push(queue, make_item("old", "a", test_epoch - std::chrono::minutes(10)));
    batch_item high = make_item("high", "a");
    high.priority = 2;
    push(queue, high);
    std::string order;
    while (const std::optional<batch_item> item =
               next_batch(queue, {}, {}, make_racks(100), test_epoch))
    {
        order += item->key + " ";
    }
    CHECK(order == "old high low ");
}

// Guards against a large request that blocks all others, or that waits forever
// behind a stream of small ones.
TEST_CASE("once a large request has waited long, only short ones are "
          "backfilled ahead of it",
          "[admission]")
{
    batch_queue queue;
    batch_item large = make_item("large", "a");
    large.size.cpu_cores = 50;
    push(queue, large);
    batch_item long_running = make_item("lengthy", "a");
    long_running.expected_ms = 600000;
    push(queue, long_running);
    const time_point later = test_epoch + std::chrono::minutes(5);
    CHECK_FALSE(next_batch(queue, {}, {}, make_racks(10), later));
    push(queue, make_item("short", "a"));
    const std::optional<batch_item> backfilled =
        next_batch(queue, {}, {}, make_racks(10), later);
    REQUIRE(backfilled);
    CHECK(backfilled->key == "short");
    // The large request has not waited yet, so a long one may start first.
    CHECK(next_batch(queue, {}, {}, make_racks(10), test_epoch)->key ==
          "lengthy");
}

// Guards against a queue that exceeds the limit of its team or blocks another
// team, against counting a key twice, and against starting cancelled requests.
TEST_CASE("the queue of a team is bounded, ignores duplicates and drops "
          "cancelled requests",
          "[admission]")
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
    CHECK(next_batch(queue, limits, {}, make_racks(10), test_epoch)->key ==
          "2");
    CHECK(queue_size(queue) == 0);
}

// A request that would miss its deadline must be rejected at once, so that the
// caller does not wait in vain.
TEST_CASE(
    "an urgent request that cannot meet its deadline is rejected or expires",
    "[admission]")
{
    urgent_queue queue;
    const urgent_admission late =
        admit(queue, {}, make_urgent_request("a", 300), 200, 150, test_epoch);
    CHECK_FALSE(late.admitted);
    CHECK(late.retry_after_ms > 0);
    CHECK(admit(queue, {}, make_urgent_request("a", 500), 200, 150, test_epoch)
              .admitted);
    CHECK(expire(queue, test_epoch + milliseconds(400)).size() == 1);
}

// Guards against a flood of requests of one team that displaces or delays the
// requests of other teams.
TEST_CASE(
    "a flood from one team does not lock other teams out of the urgent queue",
    "[admission]")
{
    urgent_queue queue;
    queue.max_items = 10;
    for (int n = 0; n < 10; ++n)
    {
        REQUIRE(admit(queue, {}, make_urgent_request("flood", 9000), 10, 10,
                      test_epoch)
                    .admitted);
    }
    CHECK_FALSE(
        admit(queue, {}, make_urgent_request("flood", 9000), 10, 10, test_epoch)
            .admitted);
    const urgent_admission other = admit(
        queue, {}, make_urgent_request("other", 9000), 10, 10, test_epoch);
    REQUIRE(other.admitted);
    CHECK(other.displaced != 0);
    // Counts a start of the flooding team, so that the other team has the
    // fewest recent starts and comes next.
    observe_start(queue, "flood", test_epoch);
    CHECK(next_urgent(queue, {}, {}, test_epoch) == other.id);
}

// Guards against retries that multiply the load during an outage.
TEST_CASE("retries are limited to a fraction of the requests", "[admission]")
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
