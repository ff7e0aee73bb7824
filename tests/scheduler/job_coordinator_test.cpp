#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

const std::string job_id = "0123456789abcdef";

// Records what a coordinator sends, and plays the rest of the system.
struct surroundings
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<rack_orders> sent;
    std::int64_t token = 5;
    std::int64_t confirmed_token = 5; ///< tokens up to it, for all shards
    std::vector<std::int64_t> checked_tokens;

    job_coordinator_hooks hooks()
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
            return token;
        };
        result.is_shard_confirmed =
            [this](const std::string&, std::int64_t checked)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            checked_tokens.push_back(checked);
            changed.notify_all();
            return checked <= confirmed_token;
        };
        result.lost_shard = [](const std::string&) {
        };
        result.send = [this](rack_orders orders)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            sent.push_back(std::move(orders));
            changed.notify_all();
        };
        return result;
    }

    // Returns the orders once there are `count`.
    std::vector<rack_orders> wait_sent(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait_for(lock, std::chrono::seconds(20),
                         [&] { return sent.size() >= count; });
        return sent;
    }
};

job_request make_call()
{
    job_request call;
    call.id = job_id;
    call.queue = "queue";
    step_spec step;
    step.count = 1;
    step.cpu_milli = 1'000;
    call.spec.steps = {step};
    call.budget_ms = 20'000;
    return call;
}

run_report make_report(const std::string& how, std::int64_t number,
                       std::int64_t token = 5)
{
    run_report report;
    report.what = "ended";
    report.task = job_id + ".0.0.0";
    report.run = 1;
    report.how = how;
    report.rack = "r1";
    report.token = token;
    report.number = number;
    return report;
}

table_row row_of(fake_store& store)
{
    return store.row(std::string(jobs_table), shard_of(job_id), job_id);
}

// Makes some host the owner of rack `r1`, and returns its token.
std::int64_t claim_rack(fake_store& store)
{
    row_transaction ownership;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::string(rack_prefix) + "r1";
    ownership.writes.push_back(row);
    return store.commit(ownership, {})->version;
}

} // namespace

TEST_CASE("a submission is accepted once its row and its run are durable",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, row_of(store).value);
    REQUIRE(recorded.ok());
    REQUIRE(assigned_runs(*recorded).size() == 1);
    const std::vector<rack_orders> sent = around.wait_sent(1);
    REQUIRE(sent.front().starts.size() == 1);
    REQUIRE(sent.front().starts.front().runs.front().run == 1);
    REQUIRE_FALSE(sent.front().starts.front().runs.front().is_repeated);
}

// The start waited for the whole takeover of its rack, 14.7 s, as if it might
// be at work: a task that lasts was away for 14.685 s (LOST).
TEST_CASE("a start that reached nobody is sent again at once as a first one",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    std::vector<rack_orders> sent = around.wait_sent(1);
    for (std::size_t n = 1; n < 4; ++n)
    {
        coordinator.mark_undelivered(sent.back());
        coordinator.tick();
        sent = around.wait_sent(n + 1);
        REQUIRE(sent.size() == n + 1);
        REQUIRE(sent.back().starts.front().runs.front().run == 1);
        REQUIRE_FALSE(sent.back().starts.front().runs.front().is_repeated);
    }
}

// The message without an answer may be carried out, so that the run would be at
// work twice if a later one passed for the first.
TEST_CASE("a start stays a repeated one while any message with it is uncertain",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    coordinator_limits limits;
    limits.resend_period = milliseconds(0);
    job_coordinator coordinator(store, around.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    around.wait_sent(1);
    coordinator.tick();
    const std::vector<rack_orders> first = around.wait_sent(2);
    const auto is_repeated = [](const rack_orders& orders)
    {
        return orders.starts.front().runs.front().is_repeated;
    };
    REQUIRE(is_repeated(first[1]));
    coordinator.mark_undelivered(first[1]);
    coordinator.tick();
    const std::vector<rack_orders> second = around.wait_sent(3);
    REQUIRE(is_repeated(second[2]));
    // The news of the first message comes last.
    coordinator.mark_undelivered(second[2]);
    coordinator.mark_undelivered(second[0]);
    coordinator.tick();
    const std::vector<rack_orders> third = around.wait_sent(4);
    REQUIRE_FALSE(is_repeated(third[3]));
}

// A former owner of the shard may have sent the start.
TEST_CASE("an undelivered start that was read from the store stays a repeated "
          "one",
          "[scheduler]")
{
    fake_store store;
    surroundings first_around;
    surroundings around;
    job_coordinator first(store, first_around.hooks(), {});
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_call()).verdict == "accepted");
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    const std::vector<rack_orders> sent = around.wait_sent(1);
    coordinator.mark_undelivered(sent.front());
    coordinator.tick();
    const std::vector<rack_orders> again = around.wait_sent(2);
    REQUIRE(again.size() == 2);
    REQUIRE(again.back().starts.front().runs.front().is_repeated);
}

// A later owner of the shard may have sent the start and recorded its end
// before the rack's token was given, so that the rack's owner does not know the
// run.
TEST_CASE("an undelivered start waits for a read that confirms the shard",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    const std::vector<rack_orders> sent = around.wait_sent(1);
    coordinator.mark_undelivered(sent.front());
    around.token = 6; // claimed since the last read
    coordinator.tick();
    REQUIRE(around.sent.size() == 1);
    REQUIRE(around.checked_tokens.back() == 6);
    around.confirmed_token = 6;
    coordinator.tick();
    const std::vector<rack_orders> again = around.wait_sent(2);
    REQUIRE(again.size() == 2);
    REQUIRE(again.back().token == 6);
    REQUIRE_FALSE(again.back().starts.front().runs.front().is_repeated);
}

// The rack may have got another owner before this host took the shard over. The
// former one could still start the run, while the new one started it for the
// former owner of the shard.
TEST_CASE("a recorded start waits for a read of the owners after the takeover",
          "[scheduler]")
{
    fake_store store;
    surroundings first_around;
    surroundings around;
    job_coordinator first(store, first_around.hooks(), {});
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_call()).verdict == "accepted");
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id), 9);
    {
        // The start is due once the job has been written by this host.
        std::unique_lock<std::mutex> lock(around.mutex);
        REQUIRE(around.changed.wait_for(
            lock, std::chrono::seconds(20),
            [&] { return !around.checked_tokens.empty(); }));
        REQUIRE(around.checked_tokens.front() == 9);
        REQUIRE(around.sent.empty());
        around.token = 8;
        around.confirmed_token = 9;
    }
    coordinator.tick();
    const std::vector<rack_orders> sent = around.wait_sent(1);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent.front().token == 8);
    REQUIRE(sent.front().starts.front().runs.front().is_repeated);
}

TEST_CASE("the same id again is the same job", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    const std::int64_t version = row_of(store).version;
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    REQUIRE(row_of(store).version == version);
}

TEST_CASE("a host without the shard does not answer for it", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    REQUIRE(coordinator.submit(make_call()).verdict == "not_owner");
    REQUIRE(coordinator.query(make_call()).verdict == "not_owner");
    REQUIRE(row_of(store).version == 0);
}

// The write took effect although no answer came; "refused" would be untrue.
TEST_CASE("a lost answer of the store is not taken for a refusal",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    store.set_fault(write_fault::answer_lost);
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
}

TEST_CASE("a job that the store refuses is refused, and never runs",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(50);
    limits.former_writes = milliseconds(0);
    job_coordinator coordinator(store, around.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_call()).verdict == "absent");
    store.set_fault(write_fault::refused);
    const job_reply reply = coordinator.submit(make_call());
    REQUIRE(reply.verdict == "refused");
    REQUIRE(reply.retry_after_ms > 0);
    REQUIRE(store.last_was_sent_once());
    store.set_fault(write_fault::none);
    coordinator.tick();
    REQUIRE(coordinator.query(make_call()).verdict == "absent");
    REQUIRE(around.sent.empty());
}

// A former owner of the shard may have sent a write of the same job that takes
// effect later: trouble-2 of the cooperative started a job that had been
// answered with "not run" (REFUSED, 4 times in one play of four).
TEST_CASE("a host that has just taken a shard over refuses nothing for certain",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(50);
    job_coordinator coordinator(store, around.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_call()).verdict == "absent");
    store.set_fault(write_fault::refused);
    REQUIRE(coordinator.submit(make_call()).verdict == "uncertain");
}

// hunt-0069-35 of the cooperative: REFUSED 5 times. A shard was lost while the
// write of a new job was under way, and the caller was told that it never runs.
TEST_CASE("a job whose shard is lost during its write is not refused",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    std::promise<void> answered;
    std::shared_future<void> is_answered = answered.get_future().share();
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_call()).verdict == "absent");
    store.before_commit = [&coordinator, is_answered]
    {
        coordinator.drop_shard(shard_of(job_id));
        is_answered.wait_for(std::chrono::seconds(20));
    };
    const std::string verdict = coordinator.submit(make_call()).verdict;
    answered.set_value();
    REQUIRE(verdict == "unknown");
}

// Callers waited 2.9 s for an answer that was known from the start.
TEST_CASE("new jobs are refused at once during an outage", "[scheduler]")
{
    fake_store store;
    surroundings around;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(50);
    limits.former_writes = milliseconds(0);
    limits.outage_after = milliseconds(10);
    job_coordinator coordinator(store, around.hooks(), limits);
    job_request other = make_call();
    other.id = "fedcba9876543210";
    coordinator.take_shard(shard_of(job_id));
    coordinator.take_shard(shard_of(other.id));
    REQUIRE(coordinator.query(other).verdict == "absent");
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    const std::int64_t before = row_of(store).version;
    store.set_fault(write_fault::refused);
    // The cancellation cannot be recorded, which shows the outage.
    job_request cancellation = make_call();
    cancellation.budget_ms = 200;
    REQUIRE(coordinator.cancel(cancellation).verdict == "unknown");
    const time_point begun = steady_clock::now();
    REQUIRE(coordinator.submit(other).verdict == "refused");
    REQUIRE(steady_clock::now() - begun < std::chrono::seconds(10));
    // Later jobs are accepted again once the store is back.
    store.set_fault(write_fault::none);
    REQUIRE(coordinator.submit(other).verdict != "unknown");
    job_reply reply = coordinator.submit(other);
    for (int n = 0; n < 100 && reply.verdict == "refused"; ++n)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        reply = coordinator.submit(other);
    }
    REQUIRE(reply.verdict == "accepted");
    // A job that is known is accepted all the same.
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    REQUIRE(row_of(store).version >= before);
}

// Tasks that last held all room of an overloaded fleet, and short ones of the
// same priority found none.
TEST_CASE("a job whose tasks last is refused while the rest is for short tasks",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator_hooks hooks = around.hooks();
    std::size_t asked = 0;
    hooks.has_room_for_long_running =
        [&asked](const step_terms&, std::size_t count)
    {
        asked = count;
        return false;
    };
    coordinator_limits limits;
    limits.former_writes = milliseconds(0);
    job_coordinator coordinator(store, hooks, limits);
    coordinator.take_shard(shard_of(job_id));
    job_request long_running = make_call();
    long_running.spec.steps.front().is_long_running = true;
    long_running.spec.steps.front().count = 6;
    const job_reply reply = coordinator.submit(long_running);
    REQUIRE(reply.verdict == "refused");
    REQUIRE(reply.retry_after_ms >= 1'000);
    REQUIRE(asked == 6);
    REQUIRE(row_of(store).version == 0);
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
}

TEST_CASE("an end is recorded before it is confirmed", "[scheduler]")
{
    fake_store store;
    surroundings around;
    coordinator_limits limits;
    limits.report_wait = milliseconds(100);
    job_coordinator coordinator(store, around.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    store.set_fault(write_fault::refused);
    const report_batch batch{{make_report("done", 1)}};
    REQUIRE(coordinator.report(batch).verdicts.front().verdict == "retry");
    REQUIRE(coordinator.query(make_call()).state != "completed");
    store.set_fault(write_fault::none);
    report_reply reply = coordinator.report(batch);
    for (int n = 0; n < 100 && reply.verdicts.front().verdict == "retry"; ++n)
    {
        reply = coordinator.report(batch);
    }
    REQUIRE(reply.verdicts.front().verdict == "recorded");
    REQUIRE(coordinator.query(make_call()).state == "completed");
}

// A former owner of a rack concludes from leases that the new one renewed.
TEST_CASE("conclusions of a former owner of a rack are ignored", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    around.token = 9;
    const report_batch concluded{{make_report("lost", 0, 5)}};
    REQUIRE(coordinator.report(concluded).verdicts.front().verdict ==
            "recorded");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, row_of(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
    // What a target has listed is certain, whoever reports it.
    const report_batch listed{{make_report("done", 3, 5)}};
    REQUIRE(coordinator.report(listed).verdicts.front().verdict == "recorded");
    REQUIRE(coordinator.query(make_call()).state == "completed");
}

// A host that was cut off took a run for not started that the new owner of the
// rack had started and seen done; the task was started again after its end.
TEST_CASE("a conclusion is recorded only while its owner is the owner",
          "[scheduler]")
{
    fake_store store;
    const std::int64_t token = claim_rack(store);
    surroundings around;
    around.token = token;
    coordinator_limits limits;
    limits.may_span_parts = true;
    job_coordinator coordinator(store, around.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    // Another host takes the rack over; this one has not read that yet.
    claim_rack(store);
    const report_reply reply =
        coordinator.report({{make_report("not_started", 0, token)}});
    REQUIRE(reply.verdicts.front().verdict == "retry");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, row_of(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
    // What a target lists is certain, whoever reports it.
    REQUIRE(coordinator.report({{make_report("done", 1, token)}})
                .verdicts.front()
                .verdict == "recorded");
}

TEST_CASE("a conclusion of the present owner is recorded", "[scheduler]")
{
    fake_store store;
    const std::int64_t token = claim_rack(store);
    surroundings around;
    around.token = token;
    coordinator_limits limits;
    limits.may_span_parts = true;
    job_coordinator coordinator(store, around.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    REQUIRE(coordinator.report({{make_report("not_started", 0, token)}})
                .verdicts.front()
                .verdict == "recorded");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, row_of(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 2);
}

TEST_CASE("a new owner of a shard repeats recorded starts, and the former one "
          "can record no more",
          "[scheduler]")
{
    fake_store store;
    surroundings first_around;
    surroundings second_around;
    coordinator_limits limits;
    limits.report_wait = milliseconds(2'000);
    job_coordinator first(store, first_around.hooks(), limits);
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_call()).verdict == "accepted");

    job_coordinator second(store, second_around.hooks(), limits);
    second.take_shard(shard_of(job_id));
    const std::vector<rack_orders> sent = second_around.wait_sent(1);
    REQUIRE(sent.front().starts.front().runs.front().is_repeated);

    // The former owner does not know of the new one. Its conclusion must not
    // lead to a second run.
    const report_batch batch{{make_report("not_started", 0)}};
    static_cast<void>(first.report(batch));
    const absl::StatusOr<job> recorded =
        decode_job(job_id, row_of(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
}

// Found by the soak (seed 33): the former owner read the job again and recorded
// an end, which the new owner then waited for without limit.
TEST_CASE(
    "a former owner of a shard records no end of a job that it read again",
    "[scheduler]")
{
    fake_store store;
    surroundings first_around;
    surroundings second_around;
    coordinator_limits limits;
    limits.report_wait = milliseconds(500);
    job_coordinator first(store, first_around.hooks(), limits);
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_call()).verdict == "accepted");
    job_coordinator second(store, second_around.hooks(), limits);
    second.take_shard(shard_of(job_id));
    second_around.wait_sent(1);

    const report_batch batch{{make_report("done", 1)}};
    for (int n = 0; n < 3; ++n)
    {
        REQUIRE(first.report(batch).verdicts.front().verdict == "retry");
    }
    REQUIRE(second.report(batch).verdicts.front().verdict == "recorded");
    REQUIRE(second.query(make_call()).state == "completed");
}

// Found by the soak (seeds 8 and 65): a start without a service fits no target,
// and its job stayed open for good.
TEST_CASE("a start is not sent before the configuration names its service",
          "[scheduler]")
{
    fake_store store;
    surroundings first_around;
    {
        job_coordinator first(store, first_around.hooks(), {});
        first.take_shard(shard_of(job_id));
        REQUIRE(first.submit(make_call()).verdict == "accepted");
    }
    surroundings around;
    std::atomic<bool> is_configured{false};
    job_coordinator_hooks hooks = around.hooks();
    const auto config = hooks.config();
    hooks.config = [&]
    {
        return is_configured ? config : std::make_shared<const fleet_config>();
    };
    job_coordinator second(store, hooks, {});
    second.take_shard(shard_of(job_id));
    REQUIRE(second.query(make_call()).state == "queued");
    second.tick();
    is_configured = true;
    second.tick();
    const std::vector<rack_orders> sent = around.wait_sent(1);
    REQUIRE(sent.front().starts.front().terms.service == "svc");
}

TEST_CASE("a cancelled job is stopped once that is durable", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    around.wait_sent(1);
    const job_reply reply = coordinator.cancel(make_call());
    REQUIRE(reply.verdict == "known");
    REQUIRE(reply.state == "cancelled");
    const std::vector<rack_orders> sent = around.wait_sent(2);
    REQUIRE(sent.back().stops.size() == 1);
    REQUIRE(sent.back().stops.front().run == 1);
    REQUIRE(coordinator.cancel(make_call()).state == "cancelled");
}

TEST_CASE("a job is absent only if the store says so", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    job_request call = make_call();
    REQUIRE(coordinator.query(call).verdict == "absent");
    store.set_unreadable(true);
    REQUIRE(coordinator.query(call).verdict == "unknown");
}

// Each tick wrote the record of a job that no target could take.
TEST_CASE("a job without room is not written again and again", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator_hooks hooks = around.hooks();
    hooks.choose_racks =
        [](const step_terms&, std::size_t count, const std::string&)
    {
        return std::vector<std::string>(count);
    };
    job_coordinator coordinator(store, hooks, {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    const std::int64_t version = row_of(store).version;
    for (int n = 0; n < 20; ++n)
    {
        coordinator.tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    REQUIRE(row_of(store).version == version);
}

TEST_CASE("jobs whose tasks have not begun are pending", "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    REQUIRE(coordinator.pending().at("queue") == 1);
    run_report report = make_report("done", 0);
    report.what = "started";
    static_cast<void>(coordinator.report({{report}}));
    REQUIRE(coordinator.pending().empty());
}

// Only the last rack was left out, so that a task alternated between two racks
// that could not take it.
TEST_CASE("a task that was handed back avoids all racks that refused it",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    job_coordinator_hooks hooks = around.hooks();
    std::vector<step_terms> asked;
    hooks.choose_racks =
        [&](const step_terms& terms, std::size_t count, const std::string&)
    {
        asked.push_back(terms);
        return std::vector<std::string>(count,
                                        "r" + std::to_string(asked.size()));
    };
    job_coordinator coordinator(store, hooks, {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    for (std::int64_t run = 1; run <= 3; ++run)
    {
        run_report report = make_report("not_started", 0);
        report.run = run;
        report.rack = "r" + std::to_string(run);
        const report_reply reply = coordinator.report({{report}});
        REQUIRE(reply.verdicts.front().verdict == "recorded");
    }
    REQUIRE(asked.size() == 4);
    REQUIRE(asked.back().avoided_racks ==
            std::set<std::string>{"r1", "r2", "r3"});
    REQUIRE(asked.back().earlier_rack == "r3");
    REQUIRE(asked.back().tasks_in_rack.empty());
}

// A host that thaws after another one has taken its shard and the rack has
// moved could start the run at the new owner of the rack a second time.
TEST_CASE("a first start waits for a read that confirms the shard",
          "[scheduler]")
{
    fake_store store;
    surroundings around;
    around.confirmed_token = around.token - 1;
    job_coordinator coordinator(store, around.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_call()).verdict == "accepted");
    coordinator.tick();
    {
        const std::lock_guard<std::mutex> lock(around.mutex);
        REQUIRE(std::all_of(around.sent.begin(), around.sent.end(),
                            [](const rack_orders& orders)
                            { return orders.starts.empty(); }));
    }
    around.confirmed_token = around.token;
    coordinator.tick();
    REQUIRE(around.wait_sent(1).back().starts.size() == 1);
}
