// Takeover of requests from coordinators that died or were paused.

#include "coordinator_fixture.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against the loss of an accepted request when its coordinator dies, and
// against a second start when the shard is scanned twice.
TEST_CASE("an accepted batch request of a dead coordinator starts once")
{
    coordinator_fixture f;
    const request_spec spec = make_batch("a");
    const int shard = shard_of("rota/a");
    f.store.put_record(
        "rota/a", f.make_abandoned_record(spec, record_state::accepted, 0));
    f.store.put(open_key("dc", shard, "rota/a"), "host-dead");
    REQUIRE(f.first->take_over_shard(shard).ok());
    REQUIRE(f.first->take_over_shard(shard).ok());
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").result == outcome::done);
    REQUIRE(f.first->flush(long_wait));
    CHECK(f.router.starts().size() == 1);
    CHECK(f.store.row_count() == 1);
}

// Guards against two hosts that coordinate the same request.
TEST_CASE("a takeover scan skips requests of live coordinators")
{
    coordinator_fixture f;
    const int shard = shard_of("rota/a");
    f.store.put_record("rota/a", f.make_abandoned_record(make_batch("a"),
                                                         record_state::accepted,
                                                         0, "host-b"));
    f.store.put(open_key("dc", shard, "rota/a"), "host-b");
    REQUIRE(f.first->take_over_shard(shard).ok());
    CHECK(f.first->entries().empty());
    CHECK(f.store.record("rota/a").coordinator == "host-b");
}

// Guards against a second attempt beside a running one of the dead coordinator,
// and against a late start by that coordinator.
TEST_CASE("takeover of a claimed request follows or fences its attempts")
{
    coordinator_fixture f;
    f.store.put_record("rota/a", f.make_abandoned_record(
                                     make_spec("a"), record_state::claimed, 1));
    SECTION("an attempt runs")
    {
        f.router.add_running_task({"rota/a", 3});
        f.first->submit(make_spec("a"), milliseconds(0)).status().IgnoreError();
        REQUIRE(wait_until([&] { return f.router.find_calls() > 0; }));
        f.router.finish({"rota/a", 3}, "earlier");
        CHECK(f.wait_for_final_reply(*f.first, "rota/a").answer == "earlier");
        CHECK(f.router.starts().empty());
    }
    SECTION("no attempt is found")
    {
        const absl::StatusOr<request_reply> reply =
            f.first->submit(make_spec("a"), long_wait);
        REQUIRE(reply.ok());
        CHECK(reply->result == outcome::done);
        REQUIRE(f.router.starts().size() == 1);
        // The dead coordinator may have used the attempts 1 to 16.
        CHECK(f.router.starts().front().attempt > 16);
        place_request late;
        late.spec = make_spec("a");
        late.attempt = 16;
        CHECK(f.router.place(late)->superseded);
    }
    SECTION("the id is sent again after not_run")
    {
        f.router.set(&fake_router::is_full, true);
        CHECK(f.first->submit(make_spec("a"), long_wait)->result ==
              outcome::not_run);
        REQUIRE(f.first->flush(long_wait));
        f.router.set(&fake_router::is_full, false);
        CHECK(f.first->submit(make_spec("a"), long_wait)->result ==
              outcome::done);
    }
}

// Guards against a second start of recorded work after its coordinator died,
// and against two attempts with the same number.
TEST_CASE("takeover of a recorded start repeats it only when that is safe")
{
    coordinator_fixture f;
    const bool is_idempotent = GENERATE(false, true);
    const request_spec spec =
        is_idempotent ? make_spec("a") : make_non_idempotent("a");
    f.store.put_record(
        "rota/a", f.make_abandoned_record(spec, record_state::starting, 1));
    SECTION("the attempt runs")
    {
        f.router.add_running_task({"rota/a", 1});
        f.first->submit(spec, milliseconds(0)).status().IgnoreError();
        f.router.finish({"rota/a", 1}, "earlier");
        CHECK(f.wait_for_final_reply(*f.first, "rota/a").answer == "earlier");
        CHECK(f.router.starts().empty());
    }
    SECTION("the start never arrived")
    {
        const absl::StatusOr<request_reply> reply =
            f.first->submit(spec, long_wait);
        REQUIRE(reply.ok());
        CHECK(reply->result == outcome::done);
        REQUIRE(f.router.starts().size() == 1);
        CHECK(f.router.starts().front().attempt == 2);
        REQUIRE(f.first->flush(long_wait));
        CHECK(f.store.record("rota/a").attempt == 2);
    }
    SECTION("the target restarted")
    {
        f.router.restart();
        const absl::StatusOr<request_reply> reply =
            f.first->submit(spec, long_wait);
        REQUIRE(reply.ok());
        CHECK(reply->result ==
              (is_idempotent ? outcome::done : outcome::unknown));
        CHECK(f.router.starts().size() == (is_idempotent ? 1 : 0));
    }
}

// Guards against an unrecorded start after a takeover: the next coordinator
// would look for attempts on the previous target only.
TEST_CASE("a start after the takeover of a recorded start is recorded")
{
    coordinator_fixture f;
    f.router.set(&fake_router::is_held, true);
    f.store.put_record(
        "rota/a",
        f.make_abandoned_record(make_spec("a"), record_state::starting, 1));
    f.first->submit(make_spec("a"), milliseconds(0)).status().IgnoreError();
    REQUIRE(wait_until([&] { return f.router.starts().size() == 1; }));
    const int attempt = f.router.starts().front().attempt;
    CHECK(f.store.record("rota/a").attempt == attempt);
    f.router.finish({"rota/a", attempt}, "draft");
    CHECK(f.wait_for_final_reply(*f.first, "rota/a").answer == "draft");
}

// Guards against a coordinator that is paused between reservation and record,
// and then overwrites the record of its successor or starts the work again.
TEST_CASE("a paused coordinator cannot overwrite the record of its successor")
{
    coordinator_fixture f;
    const std::unique_ptr<coordinator> second = f.make_coordinator("host-b");
    f.router.set(&fake_router::is_held, true);
    f.router.block_first_reservations(1);
    f.first->submit(make_batch("a"), milliseconds(0)).status().IgnoreError();
    REQUIRE(wait_until([&] { return f.router.reservations() == 1; }));
    // The first coordinator now waits for the reservation and has not recorded
    // the start.
    f.set_dead("host-a");
    REQUIRE(second->take_over_shard(shard_of("rota/a")).ok());
    REQUIRE(wait_until([&] { return f.router.starts().size() == 1; }));
    f.set_forward_result(outcome::running);
    f.router.block_first_reservations(0);
    REQUIRE(wait_until([&] { return f.forward_count() > 0; }));
    CHECK(f.router.starts().size() == 1);
    CHECK(f.store.record("rota/a").coordinator == "host-b");
    f.router.finish({"rota/a", f.router.starts().front().attempt}, "whole");
    CHECK(f.wait_for_final_reply(*second, "rota/a").answer == "whole");
    REQUIRE(second->flush(long_wait));
    f.set_forward_result(outcome::done);
    REQUIRE(wait_until([&] { return !f.first->has_busy_requests(); }));
    CHECK(f.router.starts().size() == 1);
    CHECK(f.store.record("rota/a").coordinator == "host-b");
    CHECK(f.store.record("rota/a").reply.answer == "whole");
}

// Guards against the loss of a result when the coordinator died while the store
// was down: the rack owner reports the end of a request that has no record.
TEST_CASE("the end of a request without a record is recorded")
{
    coordinator_fixture f;
    task_report report;
    report.task.key = "rota/a";
    report.task.attempt = 1;
    report.task.state = "finished";
    report.task.ok = true;
    report.task.answer = "draft";
    report.target = "target";
    REQUIRE(wait_until([&] { return f.first->task_ended(report).ok(); }));
    CHECK(f.store.record("rota/a").reply.answer == "draft");
    const absl::StatusOr<request_reply> reply =
        f.first->submit(make_spec("a"), long_wait);
    REQUIRE(reply.ok());
    CHECK(reply->answer == "draft");
    CHECK(f.router.starts().empty());
}
