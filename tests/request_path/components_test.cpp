// Completion log, request table, store health and worker pool.

#include "egretspindle/request_path/completion_log.hpp"
#include "egretspindle/request_path/request_table.hpp"
#include "egretspindle/request_path/store_health.hpp"
#include "egretspindle/request_path/worker_pool.hpp"

#include "../support/wait_until.hpp"
#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <atomic>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

constexpr milliseconds limit{30'000};

completion make_completion(const std::string& key, std::int64_t version,
                           std::atomic<int>& committed,
                           std::atomic<int>& conflicted)
{
    completion item;
    item.checks.push_back({key, version});
    item.writes.push_back({key, "ended", false});
    item.on_result = [&](const commit_result& result)
    {
        ++(result.committed ? committed : conflicted);
    };
    return item;
}

} // namespace

// Guards against one transaction per completion, and against completions that
// are lost during an outage of the store.
TEST_CASE("completions survive an outage and are written in one transaction")
{
    fake_store store;
    std::atomic<int> committed{0};
    std::atomic<int> conflicted{0};
    completion_log log(store, "host-a");
    store.set_down(true);
    for (int n = 0; n < 10; ++n)
    {
        log.add(make_completion("row/" + std::to_string(n), 0, committed,
                                conflicted));
    }
    log.start();
    CHECK_FALSE(log.flush(milliseconds(50)));
    CHECK(log.pending() == 10);
    store.set_down(false);
    REQUIRE(log.flush(limit));
    CHECK(committed == 10);
    CHECK(store.commits() == 1);
}

// Guards against a conflict that delays or fails other completions of the
// batch.
TEST_CASE("a conflict of one completion does not affect others in its batch")
{
    fake_store store;
    std::atomic<int> committed{0};
    std::atomic<int> conflicted{0};
    store.put("row/1", "by another");
    completion_log log(store, "host-a");
    for (int n = 0; n < 3; ++n)
    {
        log.add(make_completion("row/" + std::to_string(n), 0, committed,
                                conflicted));
    }
    log.start();
    REQUIRE(log.flush(limit));
    CHECK(committed == 2);
    CHECK(conflicted == 1);
    CHECK(store.read("row/1", limit)->value == "by another");
}

// Guards against a missing or repeated result when the store wrote a completion
// but its response was lost.
TEST_CASE("each completion gets one result after a lost response")
{
    fake_store store;
    std::atomic<int> committed{0};
    std::atomic<int> conflicted{0};
    completion_log log(store, "host-a");
    store.lose_responses(1);
    log.add(make_completion("row/0", 0, committed, conflicted));
    log.start();
    REQUIRE(log.flush(limit));
    CHECK(committed + conflicted == 1);
    CHECK(store.read("row/0", limit)->value == "ended");
}

// Guards against two entries for one key, against the removal of a different
// entry with the same key, and against pruning before a reply is recorded.
TEST_CASE("the request table holds one entry per key")
{
    request_table table;
    request_spec spec;
    spec.id = "a";
    spec.team = "rota";
    const time_point now = steady_clock::now();
    const request_entry_ptr first = make_entry(spec, now);
    const request_entry_ptr second = make_entry(spec, now);
    CHECK(table.insert(first).second);
    CHECK(table.insert(second) == std::pair(first, false));
    table.erase(second);
    CHECK(table.find("rota/a") == first);
    first->reply.result = outcome::done;
    first->ended = now;
    table.prune(now + milliseconds(20), milliseconds(10));
    CHECK(table.find("rota/a") == first);
    first->is_reply_recorded = true;
    table.prune(now + milliseconds(5), milliseconds(10));
    CHECK(table.find("rota/a") == first);
    table.prune(now + milliseconds(20), milliseconds(10));
    CHECK(table.find("rota/a") == nullptr);
}

// Guards against urgent requests that all wait for a store that is down, and
// against a store that is not called again after it has recovered.
TEST_CASE("one call per retry period is let through to a failed store")
{
    store_health health;
    const time_point now = steady_clock::now();
    CHECK(health.should_call(now));
    health.failed(now);
    CHECK_FALSE(health.is_healthy());
    // The retry period is 500 ms.
    CHECK_FALSE(health.should_call(now + milliseconds(499)));
    CHECK(health.should_call(now + milliseconds(501)));
    CHECK_FALSE(health.should_call(now + milliseconds(502)));
    health.succeeded();
    CHECK(health.should_call(now + milliseconds(503)));
    CHECK(health.is_healthy());
}

// Guards against a job that waits although another thread may be started,
// against more threads than the limit, and against jobs that run after `stop`.
TEST_CASE("the worker pool grows up to its limit")
{
    worker_pool pool(2);
    std::atomic<int> running{0};
    std::atomic<int> started{0};
    std::atomic<bool> is_released{false};
    std::atomic<int> max_running{0};
    const auto job = [&]
    {
        ++started;
        max_running = std::max(max_running.load(), ++running);
        CHECK(wait_until([&] { return is_released.load(); }));
        --running;
    };
    for (int n = 0; n < 4; ++n)
    {
        pool.run(job);
    }
    REQUIRE(wait_until([&] { return running == 2; }));
    CHECK(started == 2);
    is_released = true;
    REQUIRE(wait_until([&] { return started == 4 && running == 0; }));
    CHECK(max_running == 2);
    pool.stop();
    pool.run(job);
    CHECK(started == 4);
}
