// Requests whose starts are recorded before they are sent.

#include "coordinator_fixture.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against a start without a record: another coordinator would not know
// about it, and would start the work a second time.
TEST_CASE("requests that must be recorded get not_run while the store is down")
{
    coordinator_fixture f;
    f.store.set_down(true);
    const request_spec spec =
        GENERATE(make_non_idempotent("a"), make_batch("a"));
    const absl::StatusOr<request_reply> reply =
        f.first->submit(spec, long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::not_run);
    CHECK(reply->retry_after_ms > 0);
    CHECK(f.router.starts().empty());
    f.store.set_down(false);
    CHECK(f.store.row_count() == 0);
    REQUIRE(f.first->submit(spec, milliseconds(0)).ok());
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").result == outcome::done);
    CHECK(f.router.starts().size() == 1);
}

// Guards against a second start of non-idempotent work after the response to
// the first start was lost.
TEST_CASE("a non-idempotent start whose response was lost is not repeated")
{
    coordinator_fixture f;
    f.router.lose_start_responses(1);
    SECTION("the target kept the result")
    {
        const absl::StatusOr<request_reply> reply =
            f.first->submit(make_non_idempotent("a"), long_wait);
        REQUIRE(reply.ok());
        CHECK(reply->result == outcome::done);
        CHECK(reply->answer == "answer of rota/a");
    }
    SECTION("the target restarted")
    {
        f.router.set(&fake_router::is_held, true);
        f.first->submit(make_non_idempotent("a"), milliseconds(0))
            .status()
            .IgnoreError();
        REQUIRE(wait_until([&] { return !f.router.starts().empty(); }));
        f.router.restart();
        CHECK(f.wait_for_final_reply(*f.first, "rota/a").result ==
              outcome::unknown);
    }
    CHECK(f.router.starts().size() == 1);
}

// Guards against the reply `unknown` after a definite refusal, and against a
// record that remains after `not_run` and blocks a retry with the same id.
TEST_CASE("a refused non-idempotent request gets not_run and can be sent again")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_full, true);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_non_idempotent("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::not_run);
    CHECK(f.store.row_count() == 0);
    f.router.set(&fake_router::is_full, false);
    CHECK(f.first->submit(make_non_idempotent("a"), long_wait)->result ==
          outcome::done);
    CHECK(f.router.starts().size() == 1);
}

// Guards against the reply `unknown` when the start was recorded but its target
// refused it.
TEST_CASE("a recorded start that its target refused is retried")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_start_refused, true);
    f.first->submit(make_non_idempotent("a"), milliseconds(0))
        .status()
        .IgnoreError();
    REQUIRE(wait_until([&] { return f.router.reservations() > 1; }));
    f.router.set(&fake_router::is_start_refused, false);
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").result == outcome::done);
    CHECK(f.router.starts().size() == 1);
}

// Guards against a record that remains after `not_run` when the store recorded
// the start but its response was lost.
TEST_CASE("a not_run reply after a lost store response leaves no record")
{
    coordinator_fixture f;
    f.store.lose_responses(1);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_non_idempotent("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(f.router.starts().size() <= 1);
    if (reply->result == outcome::not_run)
    {
        CHECK(f.router.starts().empty());
        CHECK(wait_until([&] { return f.store.row_count() == 0; },
                         std::chrono::seconds(5)));
    }
}

// Guards against a cancellation that is lost when it arrives during the
// reservation, so that the work still runs.
TEST_CASE("a cancellation during the reservation prevents the start")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    f.router.block_first_reservations(1);
    const request_spec spec =
        GENERATE(make_non_idempotent("a"), make_batch("a"));
    f.first->submit(spec, milliseconds(0)).status().IgnoreError();
    REQUIRE(wait_until([&] { return f.router.reservations() > 0; }));
    std::thread caller([&]
                       { f.first->cancel("rota/a").status().IgnoreError(); });
    REQUIRE(wait_until(
        [&]
        {
            const request_entry_ptr entry = f.first->entries().front();
            const std::lock_guard<std::mutex> lock(entry->mutex);
            return entry->cancel_requested;
        }));
    f.router.block_first_reservations(0);
    caller.join();
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").result ==
          outcome::cancelled);
    CHECK_FALSE(f.router.is_running({"rota/a", 1}));
}

// Guards against the start of a queued request after its cancellation.
TEST_CASE("cancelling a queued batch request prevents its start")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_full, true);
    f.first->submit(make_batch("a"), milliseconds(0)).status().IgnoreError();
    REQUIRE(wait_until([&] { return f.router.reservations() > 0; }));
    f.first->cancel("rota/a").status().IgnoreError();
    f.router.set(&fake_router::is_full, false);
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").result ==
          outcome::cancelled);
    REQUIRE(f.first->flush(long_wait));
    CHECK(f.router.starts().empty());
    CHECK(f.store.record("rota/a").reply.result == outcome::cancelled);
}

// Guards against a task that continues to run after its request was cancelled.
TEST_CASE("cancelling a running request with a recorded start stops its task")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    const request_spec spec =
        GENERATE(make_non_idempotent("a"), make_batch("a"));
    f.first->submit(spec, milliseconds(0)).status().IgnoreError();
    REQUIRE(wait_until([&] { return f.router.is_running({"rota/a", 1}); }));
    REQUIRE(wait_until(
        [&] {
            return reply_of(*f.first->entries().front()).result ==
                   outcome::running;
        }));
    const absl::StatusOr<request_reply> reply = f.first->cancel("rota/a");
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::cancelled);
    CHECK_FALSE(f.router.is_running({"rota/a", 1}));
    CHECK(f.router.starts().size() == 1);
}

// Guards against evicted work that is lost, starts without its checkpoint, or
// starts twice because its end is reported twice.
TEST_CASE("an evicted batch request resumes once from its checkpoint")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    f.first->submit(make_batch("a"), milliseconds(0)).status().IgnoreError();
    REQUIRE(wait_until(
        [&]
        {
            const std::vector<request_entry_ptr> all = f.first->entries();
            return !all.empty() &&
                   reply_of(*all.front()).result == outcome::running &&
                   !f.first->has_busy_requests();
        }));
    task_query query;
    query.key = "rota/a";
    query.attempt = 1;
    f.router.stop(query).status().IgnoreError();
    task_report report;
    report.task.key = "rota/a";
    report.task.attempt = 1;
    report.task.state = "stopped";
    report.task.checkpoint = "half";
    report.task.boot_id = "boot";
    report.target = "target";
    report.rack = "rack";
    report.data_center = "dc";
    REQUIRE(wait_until([&] { return f.first->task_ended(report).ok(); }));
    REQUIRE(wait_until([&] { return f.router.starts().size() == 2; }));
    REQUIRE(wait_until([&] { return f.first->task_ended(report).ok(); }));
    f.router.finish({"rota/a", 2}, "whole");
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").answer == "whole");
    REQUIRE(f.router.starts().size() == 2);
    CHECK(f.router.starts()[1].checkpoint == "half");
}
