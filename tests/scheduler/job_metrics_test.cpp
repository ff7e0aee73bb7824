#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"
#include "metric_value.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace egretspindle;

namespace
{

const std::string job_id = "0123456789abcdef";

/// Coordinator that owns the shard of job `job_id`, with a fake store.
struct job_fixture
{
    fake_store store;
    std::shared_ptr<metric_registry> registry =
        std::make_shared<metric_registry>();
    std::string rack = "r1";           ///< assigned to all tasks; empty: none
    bool has_room = true;              ///< for long-running tasks
    bool has_queue;                    ///< in the configuration
    std::atomic<std::size_t> stops{0}; ///< sent to racks
    std::unique_ptr<job_coordinator> coordinator;

    /// \param is_queue_removed  there is a job without terms, and its queue is
    ///                          not in the configuration
    explicit job_fixture(const coordinator_limits& limits = {},
                         bool is_queue_removed = false)
        : has_queue(!is_queue_removed)
    {
        if (is_queue_removed)
        {
            write_job_without_terms();
        }
        coordinator = std::make_unique<job_coordinator>(store, hooks(), limits);
        coordinator->take_shard(shard_of(job_id));
    }

    job_coordinator_hooks hooks()
    {
        job_coordinator_hooks result;
        result.config = [this]
        {
            fleet_config config;
            config.version = 1;
            queue_config queue;
            queue.name = "queue";
            queue.service = "svc";
            queue.max_attempts = 2;
            if (has_queue)
            {
                config.queues = {queue};
            }
            return std::make_shared<const fleet_config>(config);
        };
        result.choose_racks =
            [this](const step_terms&, std::size_t count, const std::string&)
        {
            return std::vector<std::string>(count, rack);
        };
        result.has_room_for_long_running =
            [this](const step_terms&, std::size_t)
        {
            return has_room;
        };
        result.rack_token = [](const std::string&)
        {
            return std::int64_t{5};
        };
        result.on_shard_lost = [](const std::string&) {
        };
        result.send = [this](const rack_orders& orders)
        {
            stops += orders.stops.size();
        };
        result.metrics = registry;
        return result;
    }

    static job_request make_request(bool is_long_running,
                                    std::int64_t budget_ms = 20'000)
    {
        job_request result;
        result.id = job_id;
        result.queue = "queue";
        step_spec step;
        step.count = 1;
        step.cpu_milli = 1'000;
        step.is_long_running = is_long_running;
        result.spec.steps = {step};
        result.budget_ms = budget_ms;
        return result;
    }

    /// Writes an accepted job whose record lacks the terms of the queue, as one
    /// of a former version does.
    void write_job_without_terms()
    {
        const job_request request = make_request(false);
        table_row row;
        row.table = std::string(jobs_table);
        row.part = shard_of(job_id);
        row.key = job_id;
        row.value =
            encode_job(make_job(job_id, request.queue, request.spec, unix_ms()),
                       encode_spec(request.spec));
        row_transaction transaction;
        transaction.writes = {row};
        REQUIRE(store.commit(transaction, milliseconds(1'000)).ok());
    }

    /// Reports a run of the task and requires that it is recorded. See
    /// `run_report` for the arguments.
    void report(const std::string& what, const std::string& how,
                std::int64_t run = 1)
    {
        run_report item;
        item.what = what;
        item.task = job_id + ".0.0.0";
        item.run = run;
        item.how = how;
        item.rack = "r1";
        item.token = 5;
        item.number = 1;
        const report_reply reply = coordinator->report({{item}});
        REQUIRE(reply.verdicts.front().verdict == "recorded");
    }

    double value(const std::string& series) const
    {
        return metric_value(registry->prometheus_text(), series);
    }

    /// Calls `tick` until a series has at least the value `least`. Returns
    /// false after 20 s.
    bool reaches(const std::string& series, double least) const
    {
        const time_point until = steady_clock::now() + std::chrono::seconds(20);
        while (value(series) < least)
        {
            if (steady_clock::now() > until)
            {
                return false;
            }
            coordinator->tick();
            std::this_thread::sleep_for(milliseconds(20));
        }
        return true;
    }
};

coordinator_limits limits_without_write_delay()
{
    coordinator_limits limits;
    limits.former_owner_write_delay = milliseconds(0);
    return limits;
}

// Limits with which a new job is not refused before its submission times out,
// however long the machine delays the threads of the test.
coordinator_limits limits_without_refusal()
{
    coordinator_limits limits;
    limits.refuse_after = std::chrono::seconds(60);
    return limits;
}

std::string verdict_series(const std::string& reason, const std::string& name)
{
    return "egretspindle_job_verdicts_total{reason=\"" + reason +
           "\",verdict=\"" + name + "\"}";
}

} // namespace

// Guards against jobs whose acceptance, start or end is not counted, and
// against a first start that is counted once per report.
TEST_CASE("a job is counted from its acceptance to its end", "[metrics]")
{
    const bool is_long_running = GENERATE(false, true);
    CAPTURE(is_long_running);
    const std::string own =
        is_long_running ? "{tasks=\"lasting\"}" : "{tasks=\"short\"}";
    const std::string other =
        is_long_running ? "{tasks=\"short\"}" : "{tasks=\"lasting\"}";
    const std::string first_start = "egretspindle_job_first_start_milliseconds";
    const std::string oldest = "egretspindle_oldest_unstarted_job_milliseconds";
    job_fixture fixture;
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(is_long_running))
            .verdict == "accepted");
    std::this_thread::sleep_for(milliseconds(20));
    fixture.coordinator->tick();
    CHECK(fixture.value(verdict_series("", "accepted")) == 1);
    CHECK(fixture.value("egretspindle_open_jobs") == 1);
    CHECK(fixture.value("egretspindle_queued_jobs") == 1);
    CHECK(fixture.value("egretspindle_shards_owned") == 1);
    CHECK(fixture.value("egretspindle_shards_loading") == 0);
    CHECK(fixture.value(oldest + own) >= 20);
    CHECK(fixture.value(oldest + other) == 0);
    CHECK(fixture.value("egretspindle_record_write_milliseconds_count{result="
                        "\"committed\"}") >= 1);
    fixture.report("started", "");
    fixture.report("started", "");
    fixture.coordinator->tick();
    CHECK(fixture.value(first_start + "_count" + own) == 1);
    CHECK(fixture.value(first_start + "_sum" + own) >= 20);
    CHECK(fixture.value(first_start + "_count" + other) == 0);
    CHECK(fixture.value("egretspindle_queued_jobs") == 0);
    CHECK(fixture.value(oldest + own) == 0);
    fixture.report("ended", "done");
    fixture.coordinator->tick();
    CHECK(fixture.value("egretspindle_runs_ended_total{how=\"done\"}") == 1);
    CHECK(fixture.value(first_start + "_count" + own) == 1);
    // A long-running task restarts after each end.
    CHECK(fixture.value("egretspindle_open_jobs") == (is_long_running ? 1 : 0));
}

// Guards against an absence that is counted anew in each rack: a run that was
// handed back does not end it.
TEST_CASE("the absence of a long-running task lasts from one run to the next",
          "[metrics]")
{
    const std::string away = "egretspindle_task_away_milliseconds";
    const std::string longest = "egretspindle_task_longest_away_milliseconds";
    const std::string own = "{tasks=\"lasting\"}";
    job_fixture fixture;
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(true)).verdict ==
        "accepted");
    fixture.coordinator->tick();
    fixture.report("started", "");
    fixture.coordinator->tick();
    CHECK(fixture.value(away + "_count" + own) == 1);
    CHECK(fixture.value(longest + own) == 0);
    const double before = fixture.value(away + "_sum" + own);
    fixture.report("ended", "failed");
    std::this_thread::sleep_for(milliseconds(20));
    fixture.report("ended", "not_started", 2);
    std::this_thread::sleep_for(milliseconds(20));
    fixture.coordinator->tick();
    CHECK(fixture.value(longest + own) >= 40);
    fixture.report("started", "", 3);
    fixture.coordinator->tick();
    CHECK(fixture.value(away + "_count" + own) == 2);
    CHECK(fixture.value(away + "_sum" + own) - before >= 40);
    CHECK(fixture.value(longest + own) == 0);
}

// Guards against a cancelled job whose stops wait unseen, and against one that
// is counted again with each repeated stop.
TEST_CASE("the first stops of a cancelled job are counted once, with their "
          "wait for the record",
          "[metrics]")
{
    const std::string waited = "egretspindle_job_first_stops_milliseconds";
    coordinator_limits limits;
    limits.resend_period = milliseconds(0);
    job_fixture fixture(limits);
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(false)).verdict ==
        "accepted");
    fixture.report("started", "");
    fixture.store.set_fault(write_fault::refused);
    REQUIRE(fixture.coordinator->cancel(job_fixture::make_request(false, 50))
                .verdict == "unknown");
    fixture.coordinator->tick();
    CHECK(fixture.stops == 0);
    CHECK(fixture.value(waited + "_count") == 0);
    fixture.store.set_fault(write_fault::none);
    REQUIRE(
        fixture.coordinator->cancel(job_fixture::make_request(false)).verdict ==
        "known");
    fixture.coordinator->tick();
    fixture.coordinator->tick();
    CHECK(fixture.stops >= 2);
    CHECK(fixture.value(waited + "_count") == 1);
    CHECK(fixture.value(waited + "_sum") >= 50);
}

// Guards against an end that has nothing to stop and counts as a wait of 0.
TEST_CASE("a job without runs to stop does not count as a wait for stops",
          "[metrics]")
{
    job_fixture fixture;
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(false)).verdict ==
        "accepted");
    fixture.report("started", "");
    fixture.report("ended", "done");
    fixture.coordinator->tick();
    REQUIRE(fixture.value("egretspindle_open_jobs") == 0);
    CHECK(fixture.value("egretspindle_job_first_stops_milliseconds_count") ==
          0);
}

// Guards against steps without a rack that no metric shows, and against
// counting one step again in each tick.
TEST_CASE("a step without a rack is counted once until it is assigned",
          "[metrics]")
{
    job_fixture fixture;
    fixture.rack.clear();
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(false)).verdict ==
        "accepted");
    fixture.coordinator->tick();
    fixture.coordinator->tick();
    CHECK(fixture.value("egretspindle_steps_without_rack") == 1);
    fixture.rack = "r1";
    fixture.coordinator->tick();
    CHECK(fixture.value("egretspindle_steps_without_rack") == 0);
}

// Guards against refusals that are counted under the wrong reason.
TEST_CASE("refusals are counted by reason", "[metrics]")
{
    job_fixture fixture(limits_without_write_delay());
    fixture.has_room = false;
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(true)).verdict ==
        "refused");
    CHECK(fixture.value(verdict_series("no_room", "refused")) == 1);
    fixture.store.set_fault(write_fault::refused);
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(false)).verdict ==
        "refused");
    CHECK(fixture.value(verdict_series("not_recorded", "refused")) == 1);
    // The refusal came after `refuse_after`, so writes have now failed for
    // longer than `outage_after`.
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(false)).verdict ==
        "refused");
    CHECK(fixture.value(verdict_series("store_down", "refused")) == 1);
    CHECK(fixture.value(verdict_series("not_recorded", "refused")) == 1);
    CHECK(fixture.value(verdict_series("", "accepted")) == 0);
    CHECK(fixture.value("egretspindle_record_write_milliseconds_count{result="
                        "\"failed\"}") >= 1);
}

// Guards against counting a refusal as certain while an earlier attempt may be
// stored.
TEST_CASE("a refusal within former_owner_write_delay after a takeover is "
          "counted as uncertain",
          "[metrics]")
{
    job_fixture fixture;
    fixture.store.set_fault(write_fault::none);
    // The fence of the shard must be written before writes fail.
    REQUIRE(
        fixture.coordinator->submit(job_fixture::make_request(false)).verdict ==
        "accepted");
    fixture.store.set_fault(write_fault::refused);
    // Finds another id of the same shard.
    job_request other = job_fixture::make_request(false);
    for (int n = 0; shard_of(other.id) != shard_of(job_id) || n == 0; ++n)
    {
        other.id = "1123456789abc" + std::to_string(100 + n % 900);
    }
    REQUIRE(fixture.coordinator->submit(other).verdict == "uncertain");
    CHECK(fixture.value(verdict_series("not_recorded", "uncertain")) == 1);
    CHECK(fixture.value(verdict_series("not_recorded", "refused")) == 0);
}

// Guards against counting submissions that time out as accepted.
TEST_CASE("a submission that is not recorded in time is counted as unknown",
          "[metrics]")
{
    job_fixture fixture;
    REQUIRE(
        fixture.coordinator->query(job_fixture::make_request(false)).verdict ==
        "absent"); // the shard is ready
    fixture.store.set_fault(write_fault::refused);
    REQUIRE(fixture.coordinator->submit(job_fixture::make_request(false, 50))
                .verdict == "unknown");
    CHECK(fixture.value(verdict_series("", "unknown")) == 1);
    CHECK(fixture.value(verdict_series("", "accepted")) == 0);
}

// Guards against a host that delays its writes without showing it.
TEST_CASE("writes that an overloaded store refuses are counted, and show the "
          "interval between writes",
          "[metrics]")
{
    job_fixture fixture(limits_without_refusal());
    REQUIRE(
        fixture.coordinator->query(job_fixture::make_request(false)).verdict ==
        "absent"); // the shard is ready
    const std::string interval =
        "egretspindle_record_write_interval_milliseconds";
    fixture.coordinator->tick();
    CHECK(fixture.value(interval) == 0);
    fixture.store.set_fault(write_fault::overloaded);
    REQUIRE(fixture.coordinator->submit(job_fixture::make_request(false, 50))
                .verdict == "unknown");
    // A busy machine may run the writer only after the submission has ended.
    CHECK(fixture.reaches("egretspindle_record_write_milliseconds_count{result="
                          "\"overloaded\"}",
                          1));
    CHECK(fixture.reaches(interval, 50));
    CHECK(fixture.value("egretspindle_record_write_milliseconds_count{result="
                        "\"failed\"}") == 0);
}

// Guards against accepted jobs that stand still and do not show in the metrics,
// or too early, too late or not with what they wait for. The test reads the
// clock before and after each tick, so that a delay of its thread cannot fail
// it.
TEST_CASE("a job with nothing at work for over 3 s shows with its reason",
          "[metrics]")
{
    const std::string reason =
        GENERATE("no_queue", "no_target", "order", "rack");
    CAPTURE(reason);
    const std::string jobs = "egretspindle_idle_jobs{for=\"" + reason + "\"}";
    const std::string longest =
        "egretspindle_idle_job_longest_milliseconds{for=\"" + reason + "\"}";
    job_fixture fixture({}, reason == "no_queue");
    fixture.rack = reason == "no_target" ? "" : "r1";
    if (fixture.has_queue)
    {
        REQUIRE(fixture.coordinator->submit(job_fixture::make_request(false))
                    .verdict == "accepted");
    }
    REQUIRE(
        fixture.coordinator->query(job_fixture::make_request(false)).verdict ==
        "known");
    const time_point first_begin = steady_clock::now();
    fixture.coordinator->tick();
    const time_point first_end = steady_clock::now();
    if (reason == "rack")
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = 5;
        start_batch batch;
        batch.terms.step = job_id + ".0.0";
        batch.runs.push_back({0, 1, "", false});
        orders.starts.push_back(batch);
        rack_orders_reply reply;
        reply.is_owner = true;
        reply.token = 5;
        fixture.coordinator->confirm(orders, reply);
    }
    CHECK(fixture.value(jobs) == 0);
    constexpr time_point::duration limit = milliseconds(3'000);
    time_point begin;
    time_point end;
    for (;;)
    {
        begin = steady_clock::now();
        fixture.coordinator->tick();
        end = steady_clock::now();
        if (fixture.value(jobs) != 0)
        {
            break;
        }
        CHECK(fixture.value(longest) == 0);
        REQUIRE((begin - first_end).count() <= limit.count());
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK((end - first_begin).count() > limit.count());
    // The gauge shows whole milliseconds: 3,000 in the first one after the
    // limit.
    CHECK(fixture.value(longest) >= 3'000);
    CHECK(fixture.value(longest) >= elapsed_ms(first_end, begin));
    CHECK(fixture.value(longest) <= elapsed_ms(first_begin, end));
    for (const char* other : {"no_queue", "no_target", "order", "rack"})
    {
        CHECK(fixture.value(std::string("egretspindle_idle_jobs{for=\"") +
                            other + "\"}") == (reason == other ? 1 : 0));
    }
    fixture.has_queue = true;
    fixture.rack = "r1";
    fixture.coordinator->tick();
    fixture.report("started", "");
    fixture.coordinator->tick();
    CHECK(fixture.value(jobs) == 0);
    CHECK(fixture.value(longest) == 0);
}

// Guards against long-running tasks that are away and are not counted, because
// they wait for a rack or because another task of their job is at work.
TEST_CASE("long-running tasks that are away are counted", "[metrics]")
{
    const std::string away = "egretspindle_lasting_tasks_away";
    job_fixture fixture;
    SECTION("without a rack")
    {
        fixture.rack = "";
        REQUIRE(fixture.coordinator->submit(job_fixture::make_request(true))
                    .verdict == "accepted");
        fixture.coordinator->tick();
        CHECK(fixture.value(away) == 1);
        CHECK(fixture.value(away + "_long") == 0);
        REQUIRE(fixture.reaches(away + "_long", 1));
        fixture.rack = "r1";
        fixture.coordinator->tick();
        fixture.report("started", "");
    }
    SECTION("one of two")
    {
        job_request request = job_fixture::make_request(true);
        request.spec.steps[0].count = 2;
        REQUIRE(fixture.coordinator->submit(request).verdict == "accepted");
        fixture.coordinator->tick();
        CHECK(fixture.value(away) == 2);
        fixture.report("started", "");
        fixture.coordinator->tick();
        CHECK(fixture.value(away) == 1);
        REQUIRE(fixture.reaches(away + "_long", 1));
        for (const char* reason : {"no_queue", "no_target", "order", "rack"})
        {
            CHECK(fixture.value(std::string("egretspindle_idle_jobs{for=\"") +
                                reason + "\"}") == 0);
        }
        REQUIRE(fixture.coordinator->cancel(request).verdict == "known");
    }
    fixture.coordinator->tick();
    CHECK(fixture.value(away) == 0);
    CHECK(fixture.value(away + "_long") == 0);
}
