// Runtime of an owned rack.

#include "rack_fixture.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against a second run elsewhere while the first target still holds its
// lease.
TEST_CASE("no end is reported while an unreachable target holds a lease")
{
    rack_fixture f;
    f.run();
    REQUIRE(f.runtime->place(make_place_request("a")).placed);
    REQUIRE(wait_until([&] { return f.target.lease_left_ms() > 0; }));
    f.target.set_unreachable(true);
    REQUIRE(wait_until(
        [&]
        {
            const std::int64_t lease_left_before_ms = f.target.lease_left_ms();
            const task_report report =
                f.runtime->query_task(make_query("rota/a"));
            // No end may be reported while the target holds a lease.
            CHECK((lease_left_before_ms <= 0 || f.target.lease_left_ms() <= 0 ||
                   !report.certainly_ended));
            return report.certainly_ended;
        }));
    CHECK(f.target.lease_left_ms() <= 0);
    REQUIRE(wait_until(
        [&]
        {
            return f
                .report([](const task_report& item)
                        { return item.certainly_ended; })
                .has_value();
        }));
}

// Guards against a second run elsewhere while a previous owner, which has not
// confirmed its stop, may still renew the lease.
TEST_CASE("a new owner reports no end before the previous owner has stopped")
{
    rack_fixture f;
    f.target.set_unreachable(true);
    f.run("host-old");
    const time_point observe_until = steady_clock::now() + 4 * lease;
    REQUIRE(wait_until(
        [&]
        {
            CHECK_FALSE(
                f.runtime->query_task(make_query("rota/a")).certainly_ended);
            return steady_clock::now() > observe_until;
        }));
    CHECK_FALSE(f.runtime->knows_all_attempts());
    f.rack.previous_released = true;
    f.rack.released_at = steady_clock::now();
    f.runtime->update(f.rack);
    CHECK(wait_until(
        [&] {
            return f.runtime->query_task(make_query("rota/a")).certainly_ended;
        }));
}

// Guards against a start command that is delayed in the network and runs the
// task although the rack owner has already stopped the attempt and reported
// that it never started.
TEST_CASE("a late start after a stop is refused")
{
    rack_fixture f;
    f.run();
    f.target.delay_starts(1);
    const place_reply reply = f.runtime->place(make_place_request("a"));
    CHECK_FALSE(reply.placed);
    CHECK_FALSE(reply.may_have_started);
    const task_report report = f.runtime->query_task(make_query("rota/a"));
    CHECK(report.never_started);
    CHECK(f.target.deliver_delayed() == 0);
    CHECK(f.target.starts().empty());
}

// Guards against `never_started` for an attempt that ran before the target
// restarted, which would let non-idempotent work run twice.
TEST_CASE("a stop after a restart does not report never_started")
{
    rack_fixture f;
    f.run();
    REQUIRE(f.runtime->place(make_place_request("a")).placed);
    f.target.restart();
    for (int n = 0; n < 2; ++n)
    {
        const task_report stopped = f.runtime->stop_task(make_query("rota/a"));
        CHECK_FALSE(stopped.never_started);
        const task_report queried = f.runtime->query_task(make_query("rota/a"));
        CHECK_FALSE(queried.never_started);
        CHECK(has_ended(queried));
    }
}

// Guards against a second start when only the response was lost.
TEST_CASE("a start whose response was lost is confirmed by the target")
{
    rack_fixture f;
    f.run();
    f.target.lose_responses(1);
    CHECK(f.runtime->place(make_place_request("a")).placed);
    CHECK(f.runtime->place(make_place_request("a")).placed);
    CHECK(f.target.starts().size() == 1);
}

// Guards against capacity that stays reserved for a start that is never
// requested, and against a start after its reservation expired.
TEST_CASE("an unused reservation expires")
{
    rack_fixture f;
    f.run();
    place_request request = make_place_request("a");
    request.reserve_only = true;
    const place_reply reserved = f.runtime->place(request);
    REQUIRE(reserved.placed);
    CHECK(f.runtime->load().targets.front().tasks.size() == 1);
    REQUIRE(wait_until(
        [&] { return f.runtime->load().targets.front().tasks.empty(); }));
    request.reserve_only = false;
    request.target = reserved.target;
    request.boot_id = reserved.boot_id;
    CHECK_FALSE(f.runtime->place(request).placed);
    CHECK(f.target.starts().empty());
}

// Guards against a start on a target that restarted after the reservation was
// recorded: the coordinator's record contains the boot id from before the
// restart.
TEST_CASE("a start with a reservation from before a restart is refused")
{
    rack_fixture f;
    f.run();
    place_request request = make_place_request("a");
    request.reserve_only = true;
    const place_reply reserved = f.runtime->place(request);
    REQUIRE(reserved.placed);
    f.target.restart();
    const int renewals = f.target.renewals();
    REQUIRE(wait_until([&] { return f.target.renewals() >= renewals + 2; }));
    request.reserve_only = false;
    request.target = reserved.target;
    request.boot_id = reserved.boot_id;
    CHECK_FALSE(f.runtime->place(request).placed);
    CHECK(f.target.starts().empty());
}

// Guards against a new rack owner that does not count running tasks and
// overloads their target, and against results dropped before they are recorded.
TEST_CASE("a new owner counts running tasks and reports their ends")
{
    rack_fixture f;
    f.target.add_running_task({"rota/a", 1});
    f.target.add_running_task({"rota/b", 1});
    f.is_recording = false;
    f.run("host-old");
    const place_reply refused = f.runtime->place(make_place_request("c"));
    CHECK_FALSE(refused.placed);
    CHECK(f.target.starts().empty());
    f.target.finish({"rota/a", 1}, "draft");
    const auto has_draft_answer = [](const task_report& report)
    {
        return report.task.answer == "draft";
    };
    REQUIRE(wait_until([&] { return f.report(has_draft_answer).has_value(); }));
    CHECK(f.target.has_task({"rota/a", 1}));
    {
        const std::lock_guard<std::mutex> lock(f.mutex);
        f.is_recording = true;
    }
    CHECK(wait_until([&] { return !f.target.has_task({"rota/a", 1}); }));
    CHECK(f.runtime->find("rota/b", 0).size() == 1);
}

// Guards against an eviction without a checkpoint, against a second stop that
// would replace the checkpoint, and against the eviction of a non-idempotent
// task, which must not start twice.
TEST_CASE("idempotent batch work on a leaving target is evicted once")
{
    rack_fixture f;
    f.run();
    REQUIRE(f.runtime->place(make_place_request("a")).placed);
    place_request non_idempotent = make_place_request("b");
    non_idempotent.spec.idempotent = false;
    REQUIRE(f.runtime->place(non_idempotent).placed);
    f.is_leaving = true;
    const auto is_evicted = [](const task_report& report)
    {
        return report.task.key == "rota/a" && report.task.checkpoint == "half";
    };
    REQUIRE(wait_until([&] { return f.report(is_evicted).has_value(); }));
    CHECK(f.runtime->evictions()["leaving"] == 1);
    CHECK(f.target.state({"rota/b", 1}) == "running");
}

// Guards against commands from an owner that has been replaced by one with a
// higher epoch (the token of the fixture has epoch 5).
TEST_CASE("an owner with a stale token reports it and starts no task")
{
    rack_fixture f;
    f.target.set_token({6, 0});
    f.run();
    CHECK_FALSE(f.runtime->place(make_place_request("a")).placed);
    CHECK(wait_until([&] { return f.stale_token_count > 0; }));
    CHECK(f.target.starts().empty());
}

// Guards against a start by a replaced coordinator. Its successor calls `find`
// with `fence_attempt` 16, after which attempts up to 16 are refused.
TEST_CASE("fenced attempts are refused, later ones start")
{
    rack_fixture f;
    f.run();
    CHECK(f.runtime->find("rota/a", 16).empty());
    CHECK(f.runtime->place(make_place_request("a", 16)).superseded);
    CHECK(f.target.starts().empty());
    CHECK(f.runtime->place(make_place_request("a", 17)).placed);
}

// Guards against lease renewals and starts after the rack was released, when
// the next owner may have counted the leases as expired.
TEST_CASE("a stopped rack runtime renews no leases and starts no tasks")
{
    rack_fixture f;
    f.run();
    REQUIRE(wait_until([&] { return f.target.renewals() > 2; }));
    f.runtime->stop();
    const int renewals = f.target.renewals();
    CHECK_FALSE(f.runtime->place(make_place_request("a")).placed);
    CHECK(f.target.renewals() == renewals);
    CHECK(f.target.starts().empty());
}
