#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

const std::string job_id = "0123456789abcdef";

queue_config make_queue(const std::string& service)
{
    queue_config queue;
    queue.name = "queue";
    queue.service = service;
    queue.priority = 3;
    queue.max_attempts = 2;
    queue.stretch = 2.0;
    queue.target_duration_ms = 700;
    return queue;
}

fleet_config make_config(std::int64_t version, std::vector<queue_config> queues)
{
    fleet_config config;
    config.version = version;
    config.queues = std::move(queues);
    return config;
}

// A host that owns the shard of the job, with a configuration that the test
// replaces. A second one with the same store stands for a new owner, which has
// nothing in memory.
class lone_owner
{
public:
    lone_owner(fake_store& store, fleet_config config)
        : config_(std::move(config)), coordinator_(store, make_hooks(), {})
    {
        coordinator_.take_shard(shard_of(job_id));
    }

    job_coordinator& coordinator()
    {
        return coordinator_;
    }

    void set_config(fleet_config config)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        config_ = std::move(config);
    }

    // Calls `tick` until the start of a run of a task was sent, for at most
    // 20 s. Returns its terms; `step` is empty if there was none.
    step_terms wait_for_start(const std::string& task, std::int64_t run)
    {
        for (int n = 0; n < 2'000; ++n)
        {
            coordinator_.tick();
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                const auto it = starts_.find({task, run});
                if (it != starts_.end())
                {
                    return it->second;
                }
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return {};
    }

private:
    job_coordinator_hooks make_hooks()
    {
        job_coordinator_hooks hooks;
        hooks.config = [this]
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            return std::make_shared<const fleet_config>(config_);
        };
        hooks.choose_racks =
            [](const step_terms&, std::size_t count, const std::string&)
        {
            return std::vector<std::string>(count, "r1");
        };
        hooks.rack_token = [](const std::string&)
        {
            return std::int64_t{5};
        };
        hooks.on_shard_lost = [](const std::string&) {
        };
        hooks.send = [this](const rack_orders& orders)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const start_batch& batch : orders.starts)
            {
                for (const step_run& run : batch.runs)
                {
                    starts_[{fmt::format("{}.{}", batch.terms.step, run.index),
                             run.run}] = batch.terms;
                }
            }
        };
        return hooks;
    }

    std::mutex mutex_;
    fleet_config config_;
    std::map<std::pair<std::string, std::int64_t>, step_terms> starts_;
    job_coordinator coordinator_;
};

job_request make_request()
{
    step_spec step;
    step.cpu_milli = 1'000;
    step.estimate_ms = 500;
    job_request request;
    request.id = job_id;
    request.queue = "queue";
    request.spec.steps = {step, step};
    request.spec.steps[1].after = {0};
    request.budget_ms = 20'000;
    return request;
}

std::string report_end(lone_owner& owner, const std::string& task,
                       std::int64_t run, const std::string& how)
{
    run_report report;
    report.what = "ended";
    report.task = task;
    report.run = run;
    report.how = how;
    report.rack = "r1";
    report.token = 5;
    report.number = run;
    return owner.coordinator().report({{report}}).verdicts.front().verdict;
}

job read_record(fake_store& store)
{
    return *decode_job(
        job_id,
        store.row(std::string(jobs_table), shard_of(job_id), job_id).value);
}

const std::string first_task = job_id + ".0.0.0";
const std::string second_task = job_id + ".0.1.0";

} // namespace

// Guards against accepted jobs that stand still because their queue is removed
// before their later steps are due.
TEST_CASE("a step that becomes due after its queue was removed is started",
          "[scheduler]")
{
    fake_store store;
    lone_owner owner(store, make_config(1, {make_queue("svc")}));
    REQUIRE(owner.coordinator().submit(make_request()).verdict == "accepted");
    const step_terms accepted = owner.wait_for_start(first_task, 1);
    owner.set_config(make_config(2, {}));
    REQUIRE(report_end(owner, first_task, 1, "done") == "recorded");
    const step_terms later = owner.wait_for_start(second_task, 1);
    CHECK(later.service == "svc");
    CHECK(later.priority == 3);
    CHECK(later.objective_ms == accepted.objective_ms);
    REQUIRE(report_end(owner, second_task, 1, "done") == "recorded");
    CHECK(owner.coordinator().query(make_request()).state == "completed");
}

// Guards against tasks that are not tried again after their queue was removed,
// and against a limit other than the one that the job was accepted with.
TEST_CASE("a failed task of a removed queue is tried again up to its limit",
          "[scheduler]")
{
    fake_store store;
    lone_owner owner(store, make_config(1, {make_queue("svc")}));
    REQUIRE(owner.coordinator().submit(make_request()).verdict == "accepted");
    REQUIRE(owner.wait_for_start(first_task, 1).service == "svc");
    owner.set_config(make_config(2, {}));
    REQUIRE(report_end(owner, first_task, 1, "failed") == "recorded");
    CHECK(owner.coordinator().query(make_request()).state == "running");
    CHECK(owner.wait_for_start(first_task, 2).service == "svc");
    REQUIRE(report_end(owner, first_task, 2, "failed") == "recorded");
    CHECK(owner.coordinator().query(make_request()).state == "failed");
}

// Guards against terms that are only in the memory of the host that accepted
// the job: all hosts may be replaced after the queue was removed.
TEST_CASE("a new owner of a shard finishes the jobs of a removed queue",
          "[scheduler]")
{
    fake_store store;
    {
        lone_owner first(store, make_config(1, {make_queue("svc")}));
        REQUIRE(first.coordinator().submit(make_request()).verdict ==
                "accepted");
    }
    lone_owner second(store, make_config(2, {}));
    CHECK(second.wait_for_start(first_task, 1).service == "svc");
    REQUIRE(report_end(second, first_task, 1, "done") == "recorded");
    CHECK(second.wait_for_start(second_task, 1).service == "svc");
}

// Guards against starts on the service of a former configuration while a new
// host has not read the present one.
TEST_CASE("recorded terms are not used before a configuration is read",
          "[scheduler]")
{
    fake_store store;
    {
        lone_owner first(store, make_config(1, {make_queue("svc")}));
        REQUIRE(first.coordinator().submit(make_request()).verdict ==
                "accepted");
    }
    lone_owner second(store, {});
    REQUIRE(second.coordinator().query(make_request()).state == "queued");
    second.coordinator().tick();
    second.set_config(make_config(2, {make_queue("other")}));
    CHECK(second.wait_for_start(first_task, 1).service == "other");
}

// Guards against a job that is finished on a service that its queue has left:
// the last service that the queue had is part of the record.
TEST_CASE("a queue that is moved to another service and then removed keeps the "
          "latest one",
          "[scheduler]")
{
    fake_store store;
    {
        lone_owner first(store, make_config(1, {make_queue("svc")}));
        REQUIRE(first.coordinator().submit(make_request()).verdict ==
                "accepted");
        first.set_config(make_config(2, {make_queue("other")}));
        const auto is_recorded = [&]
        {
            return read_record(store).terms.service == "other";
        };
        for (int n = 0; n < 2'000 && !is_recorded(); ++n)
        {
            first.coordinator().tick();
            std::this_thread::sleep_for(milliseconds(10));
        }
        REQUIRE(is_recorded());
    }
    lone_owner second(store, make_config(3, {}));
    CHECK(second.wait_for_start(first_task, 1).service == "other");
}

// Guards against a new owner that applies an older configuration than the one
// that the record is based on.
TEST_CASE("an older configuration does not replace recorded terms",
          "[scheduler]")
{
    fake_store store;
    {
        lone_owner first(store, make_config(5, {make_queue("new")}));
        REQUIRE(first.coordinator().submit(make_request()).verdict ==
                "accepted");
    }
    lone_owner second(store, make_config(4, {make_queue("old")}));
    CHECK(second.wait_for_start(first_task, 1).service == "new");
}

// Guards against starts under outdated terms after a queue has come back.
TEST_CASE("a queue that comes back applies its new terms", "[scheduler]")
{
    fake_store store;
    lone_owner owner(store, make_config(1, {make_queue("svc")}));
    REQUIRE(owner.coordinator().submit(make_request()).verdict == "accepted");
    REQUIRE(owner.wait_for_start(first_task, 1).service == "svc");
    owner.set_config(make_config(2, {}));
    owner.coordinator().tick();
    queue_config queue = make_queue("other");
    queue.priority = 1;
    owner.set_config(make_config(3, {queue}));
    REQUIRE(report_end(owner, first_task, 1, "done") == "recorded");
    const step_terms later = owner.wait_for_start(second_task, 1);
    CHECK(later.service == "other");
    CHECK(later.priority == 1);
}

// Guards against records of a version without terms that a new one cannot read
// or completes with wrong terms.
TEST_CASE("a record without terms adopts those of the configuration",
          "[scheduler]")
{
    fake_store store;
    const job_request request = make_request();
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
    REQUIRE(read_record(store).terms.service.empty());
    lone_owner second(store, make_config(2, {make_queue("svc")}));
    REQUIRE(second.wait_for_start(first_task, 1).service == "svc");
    REQUIRE(read_record(store).terms.service == "svc");
}

// Guards against accepted jobs without known terms: the host that received the
// submission may have read a later configuration than the owner of the shard.
TEST_CASE("a submission brings the terms that its receiver knows",
          "[scheduler]")
{
    fake_store store;
    lone_owner owner(store, make_config(1, {}));
    job_request request = make_request();
    request.terms.service = "svc";
    request.terms.config_version = 2;
    REQUIRE(owner.coordinator().submit(request).verdict == "accepted");
    CHECK(owner.wait_for_start(first_task, 1).service == "svc");
}

// Guards against new jobs on a removed queue, received by a host with an older
// configuration than the owner of the shard.
TEST_CASE("a new job of a queue that was removed since is not accepted",
          "[scheduler]")
{
    fake_store store;
    lone_owner owner(store, make_config(3, {}));
    job_request request = make_request();
    request.terms.service = "svc";
    request.terms.config_version = 2;
    CHECK(owner.coordinator().submit(request).verdict == "uncertain");
    CHECK(store.row(std::string(jobs_table), shard_of(job_id), job_id)
              .value.empty());
}

// Guards against accepted jobs that never start: the receiver may apply a
// configuration without the queue after it has found the queue in the former
// one, and hosts of a former version send no terms.
TEST_CASE("a new job without known terms is not accepted", "[scheduler]")
{
    fake_store store;
    lone_owner owner(store, make_config(3, {}));
    CHECK(owner.coordinator().submit(make_request()).verdict == "uncertain");
    CHECK(store.row(std::string(jobs_table), shard_of(job_id), job_id)
              .value.empty());
}
