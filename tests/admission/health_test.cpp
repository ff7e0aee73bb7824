#include "egretspindle/admission/health_table.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

constexpr time_point start = time_point{} + std::chrono::hours(1);

health_table make_table(int targets)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(targets));
    for (int n = 0; n < targets; ++n)
    {
        names.push_back("t" + std::to_string(n));
    }
    health_table table;
    set_targets(table, names);
    return table;
}

void report(health_table& table, const std::string& target,
            const std::string& key, bool ok, time_point now = start)
{
    observe_result(table, target, {key, "kind", "team", ok, now});
}

} // namespace

// Guards against a faulty target that receives more and more work because it
// fails fast, and against parking the jobs that failed there.
TEST_CASE("a bad target is quarantined and its jobs are not parked",
          "[admission]")
{
    health_table table = make_table(8);
    for (int n = 1; n < 8; ++n)
    {
        report(table, "t" + std::to_string(n), "fine", true);
    }
    for (int n = 0; n < 4; ++n)
    {
        const std::string key = "job" + std::to_string(n);
        report(table, "t0", key, false);
        CHECK(decide_on_job(table, key).verdict == job_verdict::retry);
        report(table, "t1", key, true);
    }
    CHECK(health_state_of(table, "t0") == target_health_state::quarantined);
    CHECK(health_state_of(table, "t1") == target_health_state::healthy);
}

// Guards against parking a good job that failed on several bad targets, on
// which other jobs had succeeded earlier.
TEST_CASE("failures on suspect targets do not park a job", "[admission]")
{
    health_table table = make_table(16);
    for (const char* target : {"t0", "t1", "t2"})
    {
        report(table, target, "earlier", true);
        for (int n = 0; n < 4; ++n)
        {
            report(table, target, target + std::to_string(n), false);
        }
        report(table, target, "good", false);
    }
    CHECK(decide_on_job(table, "good").verdict == job_verdict::retry);
    CHECK(decide_on_job(table, "good").excluded.size() == 3);
}

// Guards against quarantining targets because of a job that fails everywhere.
TEST_CASE("a bad job is parked and no target is quarantined", "[admission]")
{
    health_table table = make_table(8);
    for (int n = 0; n < 8; ++n)
    {
        report(table, "t" + std::to_string(n), "fine", true);
    }
    job_decision decision;
    int failures = 0;
    for (; failures < 8 && decision.verdict == job_verdict::retry; ++failures)
    {
        report(table, "t" + std::to_string(failures), "bad", false);
        decision = decide_on_job(table, "bad");
    }
    CHECK(decision.verdict == job_verdict::park_failing);
    CHECK(failures == 3);
    // More bad jobs on every target than a quarantine needs, which is three.
    for (int job = 0; job < 6; ++job)
    {
        for (int n = 0; n < 8; ++n)
        {
            report(table, "t" + std::to_string(n), "bad" + std::to_string(job),
                   false);
            report(table, "t" + std::to_string(n), "fine" + std::to_string(job),
                   true);
        }
    }
    for (int n = 0; n < 8; ++n)
    {
        CHECK(health_state_of(table, "t" + std::to_string(n)) ==
              target_health_state::healthy);
    }
}

// Guards against quarantining the whole fleet because of a fault of the jobs or
// the network.
TEST_CASE("at most a quarter of the targets is quarantined", "[admission]")
{
    health_table table = make_table(8);
    for (int n = 0; n < 8; ++n)
    {
        for (int job = 0; job < 10; ++job)
        {
            report(table, "t" + std::to_string(n),
                   std::to_string(n) + "-" + std::to_string(job), false);
        }
    }
    int quarantined = 0;
    for (int n = 0; n < 8; ++n)
    {
        quarantined += health_state_of(table, "t" + std::to_string(n)) ==
                               target_health_state::quarantined
                           ? 1
                           : 0;
    }
    CHECK(quarantined == 2);
}

// Guards against a repaired target that never returns to service, or returns
// without probes.
TEST_CASE("a target returns to service after probes and a time at half load",
          "[admission]")
{
    health_table table = make_table(8);
    for (int n = 0; n < 4; ++n)
    {
        report(table, "t0", std::to_string(n), false);
    }
    REQUIRE(health_state_of(table, "t0") == target_health_state::quarantined);
    advance_health(table, start + std::chrono::seconds(1));
    CHECK(health_state_of(table, "t0") == target_health_state::quarantined);
    const time_point later = start + std::chrono::minutes(1);
    advance_health(table, later);
    CHECK(health_state_of(table, "t0") == target_health_state::probing);
    report(table, "t0", "p1", true, later);
    report(table, "t0", "p2", true, later);
    CHECK(health_state_of(table, "t0") == target_health_state::returning);
    for (int n = 0; n < 6; ++n)
    {
        report(table, "t0", "r" + std::to_string(n), true, later);
    }
    CHECK(health_state_of(table, "t0") == target_health_state::healthy);
}

// Guards against a target that is never used again because there is no batch
// work, and therefore no probe.
TEST_CASE("a target returns to service after a timeout without probes",
          "[admission]")
{
    health_table table = make_table(8);
    for (int n = 0; n < 4; ++n)
    {
        report(table, "t0", std::to_string(n), false);
    }
    const time_point probing = start + std::chrono::minutes(1);
    advance_health(table, probing);
    REQUIRE(health_state_of(table, "t0") == target_health_state::probing);
    const time_point later = probing + std::chrono::minutes(2);
    advance_health(table, later);
    CHECK(health_state_of(table, "t0") == target_health_state::returning);
    report(table, "t0", "urgent", false, later);
    CHECK(health_state_of(table, "t0") == target_health_state::quarantined);
}
