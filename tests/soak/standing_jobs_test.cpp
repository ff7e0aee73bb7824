// Checks of jobs that stand still, on made-up records.

#include "made_up_record.hpp"
#include "standing_jobs.hpp"
#include "target_capacity.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle::bench;
using namespace egretspindle::test;

namespace
{

std::vector<std::string> standing(const soak_record& record)
{
    std::vector<check_failure> failures;
    check_standing_jobs(record, failures);
    return names_of(failures);
}

std::vector<std::string> absent(const soak_record& record)
{
    std::vector<check_failure> failures;
    check_absent_tasks(record, failures);
    return names_of(failures);
}

using names = std::vector<std::string>;
const names stands_still{"jobs do not stand still"};
const names is_away{"long-running tasks return"};
constexpr const char* id = "0000000000000001";
constexpr const char* first_task = "0000000000000001.0.0.0";
constexpr const char* other_id = "0000000000000002";

} // namespace

// Guards against a check that counts processors of targets that are down,
// affected by a fault or in use.
TEST_CASE("the capacity has free processors of calm targets only")
{
    made_up_record record;
    record.add_job(id).steps[0].cpu_milli = 3'000;
    record.add_run(first_task, "t00", 10'000, 20'000, "done");
    const auto at = [&](std::int64_t ms)
    {
        return capacity_at(record.value, soak_begun_ms + ms);
    };
    CHECK(at(5'000).total_milli == 16'000);
    CHECK(at(5'000).count_places(5'000) == 2);
    CHECK(at(15'000).used_milli == 3'000);
    CHECK(at(15'000).count_places(3'000) == 3);
    record.add_fault("target-t01", 14'000, 15'000);
    CHECK(at(19'000).total_milli == 8'000);
    CHECK(at(19'001).total_milli == 16'000);
    record.value.boots[1].ended_ms = soak_begun_ms + 30'000;
    CHECK(at(30'000).total_milli == 8'000);
}

// Guards against accepted jobs that have nothing at work beside free room.
TEST_CASE("a job that stands still after the load fails the check")
{
    made_up_record record;
    soak_job& job = record.add_job(id, 2);
    SECTION("and never runs")
    {
        CHECK(standing(record.value) == stands_still);
    }
    SECTION("for over 3 s, from 14 s after the last fault")
    {
        record.add_run(first_task, "t00", 2'000, 29'000, "failed");
        record.add_run(first_task, "t00", 47'500, 59'900, "done");
        CHECK(standing(record.value) == stands_still);
        record.add_fault("target-t09", 20'000, 30'200);
        CHECK(standing(record.value) == stands_still);
        record.value.faults.back().ended_ms = soak_begun_ms + 30'600;
        CHECK(standing(record.value).empty());
    }
    SECTION("also in the load, when there is no fault")
    {
        record.add_run(first_task, "t00", 2'000, 16'000, "failed");
        record.add_run(first_task, "t00", 19'500, 59'900, "done");
        CHECK(standing(record.value) == stands_still);
    }
    SECTION("but not for less")
    {
        record.add_run(first_task, "t00", 2'000, 43'500, "failed");
        record.add_run(first_task, "t00", 46'400, 59'900, "done");
        CHECK(standing(record.value).empty());
    }
    SECTION("but not when it has been cancelled")
    {
        record.add_run(first_task, "t00", 2'000, 39'000, "failed");
        job.calls.push_back(
            {"DELETE", "h0", 200, "cancelled", soak_begun_ms + 40'000, 0});
        CHECK(standing(record.value).empty());
    }
    SECTION("but not while half of the processors are in use")
    {
        record.add_job(other_id).steps[0].cpu_milli = 8'000;
        record.add_run("0000000000000002.0.0.0", "t00", 2'000, 70'000, "");
        CHECK(standing(record.value).empty());
    }
    SECTION("but not when it fits only once")
    {
        job.steps[0].cpu_milli = 8'000;
        record.value.boots.pop_back();
        CHECK(standing(record.value).empty());
    }
}

// Guards against a check that takes a later step for due, and against one that
// misses it once it is due.
TEST_CASE("a step is due after the earlier ones are done")
{
    made_up_record record;
    soak_job& job = record.add_job(id);
    soak_step later;
    later.after.push_back(0);
    job.steps.push_back(later);
    record.add_run(first_task, "t00", 2'000, 50'000, "done");
    SECTION("not started")
    {
        CHECK(standing(record.value) == stands_still);
    }
    SECTION("started in time")
    {
        record.add_run("0000000000000001.0.1.0", "t00", 50'500, 59'900, "done");
        CHECK(standing(record.value).empty());
    }
}

// Guards against long-running tasks that stay away, at any time of the soak and
// whether others of their job run or not.
TEST_CASE("a long-running task that stays away fails the check")
{
    made_up_record record;
    soak_job& job = record.add_job(id, 2);
    job.is_long_running = true;
    record.add_run("0000000000000001.0.0.1", "t01", 1'500, 70'000, "");
    record.add_run(first_task, "t00", 1'500, 10'000, "lapsed");
    SECTION("for over 6 s and 3 s")
    {
        record.add_run(first_task, "t00", 19'200, 70'000, "");
        CHECK(absent(record.value) == is_away);
    }
    SECTION("but not once it runs until the end")
    {
        record.add_run(first_task, "t00", 18'800, 20'000, "");
        record.value.runs[first_task].back().ended_ms = still_running;
        CHECK(absent(record.value).empty());
    }
    SECTION("also when the service is nearly full")
    {
        record.add_run(first_task, "t00", 19'200, 70'000, "");
        record.add_job(other_id).steps[0].cpu_milli = 6'000;
        record.add_run("0000000000000002.0.0.0", "t00", 2'000, 70'000, "");
        CHECK(absent(record.value) == is_away);
    }
    SECTION("but not for less")
    {
        record.add_run(first_task, "t00", 18'800, 70'000, "");
        CHECK(absent(record.value).empty());
    }
    SECTION("but not within 4 s after a fault")
    {
        record.add_run(first_task, "t00", 22'000, 70'000, "");
        record.add_fault("front-h3", 14'000, 15'100);
        CHECK(absent(record.value).empty());
        record.value.faults.front().ended_ms = soak_begun_ms + 14'500;
        CHECK(absent(record.value) == is_away);
    }
    SECTION("but not beside a planned stop")
    {
        record.add_run(first_task, "t00", 22'000, 70'000, "");
        record.add_stop(13'000, 18'500);
        CHECK(absent(record.value).empty());
    }
    SECTION("nor does a new configuration excuse it")
    {
        record.add_run(first_task, "t00", 22'000, 70'000, "");
        record.add_fault("config", 15'000, 15'000, fault_kind::config);
        CHECK(absent(record.value) == is_away);
    }
}
