// Urgent requests that may run again.

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

// Guards against a second run of a request that a caller sent twice.
TEST_CASE("the same id twice at once is run once and answered twice")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    absl::StatusOr<request_reply> one;
    absl::StatusOr<request_reply> two;
    std::thread caller([&]
                       { one = f.first->submit(make_spec("a"), long_wait); });
    REQUIRE(has_started(f, 1));
    std::thread other([&]
                      { two = f.first->submit(make_spec("a"), long_wait); });
    f.router.finish({"rota/a", 1}, "draft");
    caller.join();
    other.join();
    REQUIRE(one.ok());
    REQUIRE(two.ok());
    CHECK(one->answer == "draft");
    CHECK(two->answer == "draft");
    CHECK(f.router.starts().size() == 1);
}

// Guards against an answer to another request under the same id, while the
// first is in memory and when only its record is left.
TEST_CASE("the same id with a different body is a conflict")
{
    coordinator_fixture f;
    REQUIRE(f.first->submit(make_spec("a"), long_wait).ok());
    request_spec changed = make_spec("a");
    changed.body = "other";
    CHECK(kind_of(f.first->submit(changed, long_wait).status()) ==
          error_kind::conflict);
    REQUIRE(f.first->flush(long_wait));
    const std::unique_ptr<coordinator> second = f.make("host-b");
    CHECK(kind_of(second->submit(changed, long_wait).status()) ==
          error_kind::conflict);
    const absl::StatusOr<request_reply> same =
        second->submit(make_spec("a"), long_wait);
    REQUIRE(same.ok());
    CHECK(same->answer == "answer of rota/a");
    CHECK(f.router.starts().size() == 1);
}

// Guards against a reply that is never recorded because the row of the claim
// has a version that the coordinator does not know.
TEST_CASE("a claim whose answer was lost is recorded at its end")
{
    coordinator_fixture f;
    f.store.lose_answers(1);
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

// Guards against a row that stays behind a reply `not_run`, which would make
// a corrected request with the same id a conflict.
TEST_CASE("not_run leaves no record behind")
{
    coordinator_fixture f;
    SECTION("claim recorded") {}
    SECTION("answer of the claim lost")
    {
        f.store.lose_answers(1);
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

// Guards against an error in place of an answer when the same id is sent
// again just before the record of the first try is removed.
TEST_CASE("an id is sent again while its record is removed")
{
    coordinator_fixture f;
    f.store.put_record(
        "rota/a",
        f.left_record(make_spec("a"), record_state::claimed, 1, "host-a"));
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

// Guards against urgent work that stops with the store, and against replies
// that are not recorded after the outage.
TEST_CASE("urgent requests that may run again run while the store is down")
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

// Guards against a start that waits for a slow store until its deadline.
TEST_CASE("a slow store does not hold up urgent requests")
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

// Guards against a second run when the members have just changed and another
// coordinator may have started the request without a record.
TEST_CASE("without a record and a settled view, attempts are searched first")
{
    coordinator_fixture f;
    f.store.set_down(true);
    f.is_membership_stable = false;
    f.router.add_running({"rota/a", 3});
    f.router.finish({"rota/a", 3}, "earlier");
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->answer == "earlier");
    CHECK(f.router.starts().empty());
}

// Guards against a second attempt beside one whose answer was lost.
TEST_CASE("a start whose answer was lost is found instead of repeated")
{
    coordinator_fixture f;
    f.router.lose_starts(1);
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::done);
    CHECK(f.router.starts().size() == 1);
}

// Guards against work that is lost with its target although it may run again.
TEST_CASE("a restarted target makes an idempotent request run again")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    request_spec spec = make_spec("a");
    f.first->submit(spec, milliseconds(0)).status().IgnoreError();
    REQUIRE(has_started(f, 1));
    f.router.set(&fake_router::is_held, false);
    f.router.restart();
    CHECK(f.final_reply(*f.first, "rota/a").result == outcome::done);
    REQUIRE(f.router.starts().size() == 2);
    CHECK(f.router.starts()[1].attempt > f.router.starts()[0].attempt);
}

// Guards against a cancellation that leaves the task running until its end.
TEST_CASE("cancellation stops a running urgent request")
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

// Guards against a lost answer when a caller cancels too late.
TEST_CASE("cancellation after the end keeps the answer")
{
    coordinator_fixture f;
    REQUIRE(f.first->submit(make_spec("a"), long_wait).ok());
    const absl::StatusOr<request_reply> reply = f.first->cancel("rota/a");
    REQUIRE(reply.ok());
    CHECK(reply->result == outcome::done);
    CHECK(reply->answer == "answer of rota/a");
}
