#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const std::string large_id = "0123456789abcdef";
const std::string small_id = "0123456789abcde0";

// Owner of the shards of both jobs, with one writer that a transaction which is
// never decided would stop.
job_coordinator_hooks make_hooks()
{
    job_coordinator_hooks hooks;
    hooks.config = []
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
    hooks.send = [](const rack_orders&) {
    };
    return hooks;
}

coordinator_limits make_limits()
{
    coordinator_limits limits;
    limits.writers = 1;
    limits.may_span_parts = true;
    return limits;
}

job_request make_request(const std::string& id, std::size_t text_bytes)
{
    step_spec step;
    step.cpu_milli = 1'000;
    step.is_checkpointing = true;
    job_request request;
    request.id = id;
    request.queue = "queue";
    request.spec.text = std::string(text_bytes, 'x');
    request.spec.steps = {step};
    request.budget_ms = 20'000;
    return request;
}

run_report make_end(const std::string& id, const std::string& how,
                    std::size_t checkpoint_bytes)
{
    run_report report;
    report.what = "ended";
    report.task = id + ".0.0.0";
    report.run = 1;
    report.how = how;
    report.rack = "r1";
    report.token = 5;
    report.number = 1;
    report.checkpoint = std::string(checkpoint_bytes, 'c');
    return report;
}

// Largest row that a coordinator has written.
std::size_t row_size(fake_store& store, const std::string& id)
{
    return store.row(std::string(jobs_table), shard_of(id), id).value.size();
}

} // namespace

// Guards against hosts that record nothing any more: the store refuses each
// transaction with a row that is too large, and the write was repeated for
// ever.
TEST_CASE("a new job whose record is too large is refused and others go on",
          "[scheduler]")
{
    fake_store store;
    job_coordinator coordinator(store, make_hooks(), make_limits());
    coordinator.take_shard(shard_of(large_id));
    coordinator.take_shard(shard_of(small_id));
    // Both shards are new to this host, so that a refusal is not certain yet.
    CHECK(coordinator.submit(make_request(large_id, 70'000)).verdict ==
          "uncertain");
    CHECK(row_size(store, large_id) == 0);
    CHECK(coordinator.submit(make_request(small_id, 100)).verdict ==
          "accepted");
}

// Guards against an accepted job that grows beyond a row, for example by its
// checkpoints, and takes the writes and reports of all others with it.
TEST_CASE("a job that outgrows its row does not stop other jobs", "[scheduler]")
{
    fake_store store;
    job_coordinator coordinator(store, make_hooks(), make_limits());
    coordinator.take_shard(shard_of(large_id));
    coordinator.take_shard(shard_of(small_id));
    REQUIRE(coordinator.submit(make_request(large_id, 100)).verdict ==
            "accepted");
    REQUIRE(coordinator.submit(make_request(small_id, 100)).verdict ==
            "accepted");
    const time_point begun_at = steady_clock::now();
    const report_reply reply = coordinator.report(
        {{make_end(large_id, "lost", 70'000), make_end(small_id, "done", 10)}});
    CHECK(reply.verdicts[0].verdict == "retry");
    CHECK(reply.verdicts[1].verdict == "recorded");
    CHECK(steady_clock::now() - begun_at < make_limits().max_report_wait);
    CHECK(row_size(store, large_id) < max_record_bytes);
    CHECK(coordinator.query(make_request(small_id, 100)).state == "completed");
    // The record of a cancelled job has no checkpoints.
    CHECK(coordinator.cancel(make_request(large_id, 100)).verdict == "known");
}
