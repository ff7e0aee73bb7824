// Urgent idempotent requests.

#include "coordinator_fixture.hpp"

#include <catch2/catch.hpp>

#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

bool has_started(const coordinator_fixture& f, std::size_t count)
{
    return wait_until([&] { return f.router.starts().size() >= count; });
}

} // namespace

// Guards against a second run when the same request is sent twice.
TEST_CASE("concurrent requests with the same id share one run and its answer")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    absl::StatusOr<request_reply> first_reply;
    absl::StatusOr<request_reply> second_reply;
    std::thread caller(
        [&] { first_reply = f.first->submit(make_spec("a"), long_wait); });
    REQUIRE(has_started(f, 1));
    std::thread other(
        [&] { second_reply = f.first->submit(make_spec("a"), long_wait); });
    f.router.finish({"rota/a", 1}, "draft");
    caller.join();
    other.join();
    REQUIRE(first_reply.ok());
    REQUIRE(second_reply.ok());
    CHECK(first_reply->answer == "draft");
    CHECK(second_reply->answer == "draft");
    CHECK(f.router.starts().size() == 1);
}

// Guards against the answer of a different request that used the same id, both
// while that request is in memory and when only its record exists.
TEST_CASE("the same id with a different body is a conflict")
{
    coordinator_fixture f;
    REQUIRE(f.first->submit(make_spec("a"), long_wait).ok());
    request_spec changed = make_spec("a");
    changed.body = "other";
    CHECK(kind_of(f.first->submit(changed, long_wait).status()) ==
          error_kind::conflict);
    REQUIRE(f.first->flush(long_wait));
    const std::unique_ptr<coordinator> second = f.make_coordinator("host-b");
    CHECK(kind_of(second->submit(changed, long_wait).status()) ==
          error_kind::conflict);
    const absl::StatusOr<request_reply> same =
        second->submit(make_spec("a"), long_wait);
    REQUIRE(same.ok());
    CHECK(same->answer == "answer of rota/a");
    CHECK(f.router.starts().size() == 1);
}

// Guards against a reply that is never recorded: when the response to the claim
// was lost, the coordinator does not know the version of the row.
TEST_CASE("a reply is recorded after the response to the claim was lost")
{
    coordinator_fixture f;
    f.store.lose_responses(1);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::done);
    CHECK(f.router.starts().size() == 1);
    REQUIRE(wait_until(
        [&] {
            return f.router.is_acknowledged({"rota/a", 1});
        }));
    CHECK(f.store.record("rota/a").state == record_state::ended);
}

// Guards against a row that remains after the reply `not_run`, so that a
// corrected request with the same id would get a conflict.
TEST_CASE("not_run leaves no record")
{
    coordinator_fixture f;
    SECTION("claim recorded") {}
    SECTION("response to the claim lost")
    {
        f.store.lose_responses(1);
    }
    f.router.set(&fake_router::is_full, true);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::not_run);
    REQUIRE(wait_until([&] { return f.store.row_count() == 0; },
                       std::chrono::seconds(5)));
    f.router.set(&fake_router::is_full, false);
    request_spec changed = make_spec("a");
    changed.body = "other";
    const absl::StatusOr<request_reply> again =
        f.first->submit(changed, long_wait);
    REQUIRE(again.ok());
    CHECK(again->result == outcome::done);
    REQUIRE(f.router.starts().size() == 1);
    CHECK(f.router.starts().front().body == "other");
}

// Guards against an error reply when the same id is sent again just before the
// record of the first request is removed.
TEST_CASE("an id can be sent again while its record is being removed")
{
    coordinator_fixture f;
    f.store.put_record("rota/a", f.make_abandoned_record(make_spec("a"),
                                                         record_state::claimed,
                                                         1, "host-a"));
    std::atomic<bool> is_removed{false};
    f.store.before_commit = [&](const store_transaction& transaction)
    {
        const bool is_takeover = transaction.checks.front().version > 0;
        if (is_takeover && !is_removed.exchange(true))
        {
            f.store.remove(record_key("rota/a"));
        }
    };
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(is_removed.load());
    CHECK(reply->result == outcome::done);
    CHECK(f.router.starts().size() == 1);
}

// Guards against urgent requests that fail because the store is down, and
// against replies that are not recorded after the outage.
TEST_CASE("urgent idempotent requests run while the store is down")
{
    coordinator_fixture f;
    f.store.set_down(true);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::done);
    CHECK_FALSE(f.first->is_store_healthy());
    f.store.set_down(false);
    REQUIRE(f.first->flush(long_wait));
    CHECK(f.store.record("rota/a").reply.answer == "answer of rota/a");
}

// Guards against a start that waits for a slow store until the deadline (30 s)
// instead of `claim_timeout` (250 ms).
TEST_CASE("an urgent start does not wait until the deadline for a slow store")
{
    coordinator_fixture f;
    f.store.set_delay(long_wait);
    std::thread caller(
        [&]
        { f.first->submit(make_spec("a"), long_wait).status().IgnoreError(); });
    CHECK(wait_until([&] { return f.router.starts().size() == 1; },
                     std::chrono::seconds(5)));
    f.store.set_delay(milliseconds(0));
    caller.join();
}

// Guards against a second run when the membership has just changed and another
// coordinator may have started the request without a record.
TEST_CASE("an unrecorded start searches attempts if membership is unstable")
{
    coordinator_fixture f;
    f.store.set_down(true);
    f.is_membership_stable = false;
    f.router.add_running_task({"rota/a", 3});
    f.router.finish({"rota/a", 3}, "earlier");
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->answer == "earlier");
    CHECK(f.router.starts().empty());
}

// Guards against a second attempt while one whose response was lost may run.
TEST_CASE("a start whose response was lost is found instead of repeated")
{
    coordinator_fixture f;
    f.router.lose_start_responses(1);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::done);
    CHECK(f.router.starts().size() == 1);
}

// Guards against a lost request when the target restarts during its run.
TEST_CASE("an idempotent request runs again after its target restarted")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    request_spec spec = make_spec("a");
    f.first->submit(spec, milliseconds(0)).status().IgnoreError();
    REQUIRE(has_started(f, 1));
    f.router.set(&fake_router::is_held, false);
    f.router.restart();
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").result == outcome::done);
    REQUIRE(f.router.starts().size() == 2);
    CHECK(f.router.starts()[1].attempt > f.router.starts()[0].attempt);
}

// Guards against a task that continues to run after its request was cancelled.
TEST_CASE("cancelling a running urgent request stops its task")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    f.first->submit(make_spec("a"), milliseconds(0)).status().IgnoreError();
    REQUIRE(has_started(f, 1));
    const absl::StatusOr<request_reply> reply = f.first->cancel("rota/a");
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::cancelled);
    CHECK_FALSE(f.router.is_running({"rota/a", 1}));
    CHECK(f.router.starts().size() == 1);
}

// Guards against the loss of an answer when a caller cancels a completed
// request.
TEST_CASE("cancelling a completed request keeps its answer")
{
    coordinator_fixture f;
    REQUIRE(f.first->submit(make_spec("a"), long_wait).ok());
    const absl::StatusOr<request_reply> reply = f.first->cancel("rota/a");
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::done);
    CHECK(reply->answer == "answer of rota/a");
}
