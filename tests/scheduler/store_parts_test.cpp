#include "egretspindle/scheduler/cluster_agent.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <condition_variable>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <string>

using namespace egretspindle;

namespace
{

// More than the writers of a coordinator take at once.
constexpr std::size_t handed_back_jobs = 100;
constexpr std::size_t new_jobs = 20;

std::string make_job_id(std::size_t number)
{
    return fmt::format("{:016x}", (number + 1) * 0x9e3779b97f4a7c15u);
}

job_request make_request(std::size_t number)
{
    job_request request;
    request.id = make_job_id(number);
    request.queue = "queue";
    step_spec step;
    step.count = 1;
    step.cpu_milli = 1'000;
    request.spec.steps = {step};
    request.budget_ms = 20'000;
    return request;
}

/// Host that owns rack `r1` and all shards.
struct host_fixture
{
    fake_store store;
    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t rack_token = 0; ///< 0: rack `r1` is not owned yet
    std::set<std::string> taken; ///< by `agent`
    cluster_agent agent{store,
                        host_row{"h1", 2, "127.0.0.1:1", "dc", false, 0, {}},
                        agent_hooks(), liveness()};
    coordinator_limits limits;
    std::unique_ptr<job_coordinator> coordinator;

    host_fixture()
    {
        agent.set_racks({{"r1", "dc"}});
        agent.start();
        {
            std::unique_lock<std::mutex> lock(mutex);
            REQUIRE(changed.wait_for(
                lock, std::chrono::seconds(20),
                [this] { return taken.size() == shard_count + 1; }));
        }
        agent.stop();
        limits.may_span_parts = true;
        coordinator = std::make_unique<job_coordinator>(
            store, coordinator_hooks(), limits);
        for (int n = 0; n < shard_count; ++n)
        {
            coordinator->take_shard(shard_name(n));
        }
    }

    ~host_fixture()
    {
        store.release_part();
    }

    static liveness_limits liveness()
    {
        liveness_limits result;
        result.heartbeat_timeout = milliseconds(60'000);
        result.first_claim_delay = milliseconds(1);
        return result;
    }

    cluster_hooks agent_hooks()
    {
        cluster_hooks result;
        result.taken = [this](const std::string& resource, std::int64_t token,
                              const former_ownership&, const clock_reading&)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            taken.insert(resource);
            rack_token = resource == "rack/r1" ? token : rack_token;
            changed.notify_all();
        };
        result.lost = [](const std::string&) {
        };
        result.verified = [](const std::string&, std::int64_t,
                             const clock_reading&) {
        };
        result.pending = []
        {
            return std::map<std::string, std::int64_t>{};
        };
        return result;
    }

    job_coordinator_hooks coordinator_hooks()
    {
        job_coordinator_hooks result;
        result.config = []
        {
            fleet_config config;
            config.version = 1;
            queue_config queue;
            queue.name = "queue";
            queue.service = "svc";
            queue.max_attempts = 2;
            config.queues = {queue};
            return std::make_shared<const fleet_config>(config);
        };
        result.choose_racks =
            [](const step_terms&, std::size_t count, const std::string&)
        {
            return std::vector<std::string>(count, "r1");
        };
        result.rack_token = [this](const std::string&)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            return rack_token;
        };
        result.is_shard_confirmed = [](const std::string&, std::int64_t)
        {
            return true;
        };
        result.on_shard_lost = [](const std::string&) {
        };
        result.send = [](const rack_orders&) {
        };
        return result;
    }

    /// Returns the report of the owner of the rack that hands back the starts
    /// of the first `count` jobs.
    report_batch make_hand_backs(std::size_t count)
    {
        report_batch batch;
        const std::lock_guard<std::mutex> lock(mutex);
        for (std::size_t n = 0; n < count; ++n)
        {
            run_report report;
            report.what = "ended";
            report.task = make_job_id(n) + ".0.0.0";
            report.run = 1;
            report.how = "not_started";
            report.rack = "r1";
            report.token = rack_token;
            report.number = 0;
            batch.reports.push_back(report);
        }
        return batch;
    }
};

} // namespace

// Guards against hand-backs that wait for the heartbeats, claims and intents of
// all hosts, which are written to the empty part one after another.
TEST_CASE("a hand-back is recorded while the empty part of the store is busy",
          "[.][store_parts]")
{
    host_fixture fixture;
    REQUIRE(fixture.coordinator->submit(make_request(0)).verdict == "accepted");
    fixture.store.hold_part("");
    const report_reply reply =
        fixture.coordinator->report(fixture.make_hand_backs(1));
    CHECK(reply.verdicts.front().verdict == "recorded");
}

// Guards against new jobs that wait for the records of hand-backs, whose
// transactions use the empty part.
TEST_CASE("new jobs are accepted beside hand-backs while the empty part of the "
          "store is busy",
          "[.][store_parts]")
{
    host_fixture fixture;
    for (std::size_t n = 0; n < handed_back_jobs; ++n)
    {
        REQUIRE(fixture.coordinator->submit(make_request(n)).verdict ==
                "accepted");
    }
    fixture.store.hold_part("");
    const report_batch batch = fixture.make_hand_backs(handed_back_jobs);
    const std::future<report_reply> reply = std::async(
        std::launch::async, [&] { return fixture.coordinator->report(batch); });
    // The hand-backs are recorded, or all writers wait with some of them.
    const time_point until = steady_clock::now() + std::chrono::seconds(20);
    while (reply.wait_for(milliseconds(5)) != std::future_status::ready &&
           fixture.store.held_writes() < fixture.limits.writers)
    {
        REQUIRE(steady_clock::now() < until);
    }
    std::size_t accepted = 0;
    for (std::size_t n = 0; n < new_jobs; ++n)
    {
        const job_reply submitted =
            fixture.coordinator->submit(make_request(handed_back_jobs + n));
        accepted += submitted.verdict == "accepted" ? 1 : 0;
    }
    CHECK(accepted == new_jobs);
    fixture.store.release_part();
    reply.wait();
}
