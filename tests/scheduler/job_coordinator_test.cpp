#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <future>
#include <mutex>
#include <set>
#include <sys/resource.h>
#include <thread>

using namespace egretspindle;

namespace
{

const std::string job_id = "0123456789abcdef";

// Hooks that record the orders of a coordinator and stand in for the other
// components.
struct fake_environment
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<rack_orders> sent;
    std::int64_t token = 5; ///< of the owner of every rack
    /// All shards are confirmed for tokens up to this one.
    std::int64_t confirmed_token = 5;
    /// Tokens for which the coordinator has asked whether its shard is
    /// confirmed.
    std::vector<std::int64_t> checked_tokens;
    /// The configuration contains the queue of the jobs.
    std::atomic<bool> has_queue{true};

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
        result.on_shard_lost = [](const std::string&) {
        };
        result.send = [this](rack_orders orders)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            sent.push_back(std::move(orders));
            changed.notify_all();
        };
        return result;
    }

    // Waits until at least `count` orders have been sent, for at most 20 s, and
    // returns all that have been sent.
    std::vector<rack_orders> wait_for_orders(std::size_t count)
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait_for(lock, std::chrono::seconds(20),
                         [&] { return sent.size() >= count; });
        return sent;
    }

    // Waits until the latest order starts this run, for at most 20 s. Returns
    // whether it does.
    bool wait_for_run(std::int64_t run)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(
            lock, std::chrono::seconds(20),
            [&]
            {
                return !sent.empty() && !sent.back().starts.empty() &&
                       sent.back().starts.front().runs.front().run == run;
            });
    }
};

job_request make_request()
{
    job_request request;
    request.id = job_id;
    request.queue = "queue";
    step_spec step;
    step.count = 1;
    step.cpu_milli = 1'000;
    request.spec.steps = {step};
    request.budget_ms = 20'000;
    return request;
}

// Returns a report of the end of run 1. `number` is 0 for an end that the owner
// of the rack inferred.
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

table_row job_row(fake_store& store)
{
    return store.row(std::string(jobs_table), shard_of(job_id), job_id);
}

// Replaces the owner row and the fence row of rack `r1`, as a claim does, and
// returns the token of the new owner.
std::int64_t replace_rack_owner(fake_store& store)
{
    row_transaction ownership;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::string(rack_prefix) + "r1";
    ownership.writes.push_back(row);
    row.table = std::string(rack_fences_table);
    row.part = "r1";
    row.key = std::string(rack_fence_key);
    ownership.writes.push_back(row);
    return store.commit(ownership, {})->version;
}

} // namespace

TEST_CASE("a submission is accepted once its row and its run are durable",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    REQUIRE(recorded.ok());
    REQUIRE(assigned_runs(*recorded).size() == 1);
    const std::vector<rack_orders> sent = environment.wait_for_orders(1);
    REQUIRE(sent.front().starts.size() == 1);
    REQUIRE(sent.front().starts.front().runs.front().run == 1);
    REQUIRE_FALSE(sent.front().starts.front().runs.front().is_repeated);
}

// A start that is marked as repeated waits in its rack until it is certain that
// no target executes it, for example 14.7 s during a takeover of the rack. That
// is long enough for a long-running task to count as lost.
TEST_CASE("an undelivered start is resent at once and not marked as repeated",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    std::vector<rack_orders> sent = environment.wait_for_orders(1);
    for (std::size_t n = 1; n < 4; ++n)
    {
        coordinator.mark_undelivered(sent.back());
        coordinator.tick();
        sent = environment.wait_for_orders(n + 1);
        REQUIRE(sent.size() == n + 1);
        REQUIRE(sent.back().starts.front().runs.front().run == 1);
        REQUIRE_FALSE(sent.back().starts.front().runs.front().is_repeated);
    }
}

// A message without a reply may still be carried out. If a later message with
// the same start were not marked as repeated, the run could be executed twice.
TEST_CASE("a start is marked as repeated while an earlier message with it may "
          "still arrive",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.resend_period = milliseconds(0);
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    environment.wait_for_orders(1);
    coordinator.tick();
    const std::vector<rack_orders> first = environment.wait_for_orders(2);
    const auto is_repeated = [](const rack_orders& orders)
    {
        return orders.starts.front().runs.front().is_repeated;
    };
    REQUIRE(is_repeated(first[1]));
    coordinator.mark_undelivered(first[1]);
    coordinator.tick();
    const std::vector<rack_orders> second = environment.wait_for_orders(3);
    REQUIRE(is_repeated(second[2]));
    // Once all three messages are known to be undelivered, the start is new.
    coordinator.mark_undelivered(second[2]);
    coordinator.mark_undelivered(second[0]);
    coordinator.tick();
    const std::vector<rack_orders> third = environment.wait_for_orders(4);
    REQUIRE_FALSE(is_repeated(third[3]));
}

// A former owner of the shard may have sent the start, so an undelivered
// message of this host does not rule out that the run is executed.
TEST_CASE("an undelivered start that was read from the store stays marked as "
          "repeated",
          "[scheduler]")
{
    fake_store store;
    fake_environment first_environment;
    fake_environment environment;
    job_coordinator first(store, first_environment.hooks(), {});
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_request()).verdict == "accepted");
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    const std::vector<rack_orders> sent = environment.wait_for_orders(1);
    coordinator.mark_undelivered(sent.front());
    coordinator.tick();
    const std::vector<rack_orders> again = environment.wait_for_orders(2);
    REQUIRE(again.size() == 2);
    REQUIRE(again.back().starts.front().runs.front().is_repeated);
}

// This host may have lost the shard without knowing it. The new owner of the
// shard may have sent the start and recorded the end of the run before the rack
// got its current owner, which does not know the run and would execute it
// again.
TEST_CASE(
    "an undelivered start waits for a read that confirms the shard's owner",
    "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const std::vector<rack_orders> sent = environment.wait_for_orders(1);
    coordinator.mark_undelivered(sent.front());
    environment.token =
        6; // another host has claimed the rack since the last read
    coordinator.tick();
    REQUIRE(environment.sent.size() == 1);
    REQUIRE(environment.checked_tokens.back() == 6);
    environment.confirmed_token = 6;
    coordinator.tick();
    const std::vector<rack_orders> again = environment.wait_for_orders(2);
    REQUIRE(again.size() == 2);
    REQUIRE(again.back().token == 6);
    REQUIRE_FALSE(again.back().starts.front().runs.front().is_repeated);
}

// The rack may have got a new owner before this host took over the shard, and
// the new owner may have started the run for the former owner of the shard. If
// this host sent the start to the former owner of the rack, the run could be
// executed twice.
TEST_CASE(
    "a start read from the store waits for a read of the owners after the "
    "takeover",
    "[scheduler]")
{
    fake_store store;
    fake_environment first_environment;
    fake_environment environment;
    job_coordinator first(store, first_environment.hooks(), {});
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_request()).verdict == "accepted");
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id), 9);
    {
        // The start is due once the job has been written by this host.
        std::unique_lock<std::mutex> lock(environment.mutex);
        REQUIRE(environment.changed.wait_for(
            lock, std::chrono::seconds(20),
            [&] { return !environment.checked_tokens.empty(); }));
        REQUIRE(environment.checked_tokens.front() == 9);
        REQUIRE(environment.sent.empty());
        environment.token = 8;
        environment.confirmed_token = 9;
    }
    coordinator.tick();
    const std::vector<rack_orders> sent = environment.wait_for_orders(1);
    REQUIRE(sent.size() == 1);
    REQUIRE(sent.front().token == 8);
    REQUIRE(sent.front().starts.front().runs.front().is_repeated);
}

TEST_CASE("a second submission with the same id does not change the job",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const std::int64_t version = job_row(store).version;
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    REQUIRE(job_row(store).version == version);
}

TEST_CASE(
    "requests for a job of another host's shard are answered with not_owner",
    "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    REQUIRE(coordinator.submit(make_request()).verdict == "not_owner");
    REQUIRE(coordinator.query(make_request()).verdict == "not_owner");
    REQUIRE(job_row(store).version == 0);
}

// The write takes effect although its answer is lost, so a refusal would be
// wrong.
TEST_CASE("a lost answer of the store does not lead to a refusal",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    store.set_fault(write_fault::answer_lost);
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
}

TEST_CASE("a job that cannot be written is refused and never runs",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(50);
    limits.former_owner_write_delay = milliseconds(0);
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_request()).verdict == "absent");
    store.set_fault(write_fault::refused);
    const job_reply reply = coordinator.submit(make_request());
    REQUIRE(reply.verdict == "refused");
    REQUIRE(reply.retry_after_ms > 0);
    REQUIRE(store.last_was_sent_once());
    store.set_fault(write_fault::none);
    coordinator.tick();
    REQUIRE(coordinator.query(make_request()).verdict == "absent");
    REQUIRE(environment.sent.empty());
}

// A former owner of the shard may have sent a write of the same job that takes
// effect within `former_owner_write_delay`. Otherwise a job could run after its
// caller was told that it would not.
TEST_CASE("a refusal within former_owner_write_delay after a takeover is "
          "uncertain",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(50);
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_request()).verdict == "absent");
    store.set_fault(write_fault::refused);
    REQUIRE(coordinator.submit(make_request()).verdict == "uncertain");
}

// A write in progress can still store the job after the shard is lost, so the
// caller must not be told that the job will not run.
TEST_CASE(
    "the result for a job whose shard is lost during its write is unknown",
    "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    std::promise<void> answered;
    std::shared_future<void> is_answered = answered.get_future().share();
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_request()).verdict == "absent");
    store.before_commit = [&coordinator, is_answered]
    {
        coordinator.drop_shard(shard_of(job_id));
        is_answered.wait_for(std::chrono::seconds(20));
    };
    const std::string verdict = coordinator.submit(make_request()).verdict;
    answered.set_value();
    REQUIRE(verdict == "unknown");
}

// Without this, callers wait for a refusal (2.9 s) although the store is known
// to be down.
TEST_CASE("new jobs are refused at once during an outage of the store",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(50);
    limits.former_owner_write_delay = milliseconds(0);
    limits.outage_after = milliseconds(10);
    job_coordinator coordinator(store, environment.hooks(), limits);
    job_request other = make_request();
    other.id = "fedcba9876543210";
    coordinator.take_shard(shard_of(job_id));
    coordinator.take_shard(shard_of(other.id));
    REQUIRE(coordinator.query(other).verdict == "absent");
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const std::int64_t before = job_row(store).version;
    store.set_fault(write_fault::refused);
    // The cancellation cannot be written, which starts the outage for this
    // host.
    job_request cancellation = make_request();
    cancellation.budget_ms = 200;
    REQUIRE(coordinator.cancel(cancellation).verdict == "unknown");
    const time_point begun_at = steady_clock::now();
    REQUIRE(coordinator.submit(other).verdict == "refused");
    REQUIRE(steady_clock::now() - begun_at < std::chrono::seconds(10));
    // New jobs are accepted again once the store is available.
    store.set_fault(write_fault::none);
    REQUIRE(coordinator.submit(other).verdict != "unknown");
    job_reply reply = coordinator.submit(other);
    for (int n = 0; n < 100 && reply.verdict == "refused"; ++n)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        reply = coordinator.submit(other);
    }
    REQUIRE(reply.verdict == "accepted");
    // A job that is already known is accepted in any case.
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    REQUIRE(job_row(store).version >= before);
}

// Guards against new jobs that are refused for a store that is down, while it
// only refuses some writes of every host.
TEST_CASE("refusals for overload do not count as an outage of the store",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.refuse_after = milliseconds(20'000);
    limits.former_owner_write_delay = milliseconds(0);
    limits.outage_after = milliseconds(10);
    job_coordinator coordinator(store, environment.hooks(), limits);
    job_request other = make_request();
    other.id = "fedcba9876543210";
    coordinator.take_shard(shard_of(job_id));
    coordinator.take_shard(shard_of(other.id));
    REQUIRE(coordinator.query(other).verdict == "absent");
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    store.set_fault(write_fault::overloaded);
    job_request cancellation = make_request();
    cancellation.budget_ms = 200; // well beyond `outage_after`
    REQUIRE(coordinator.cancel(cancellation).verdict == "unknown");
    std::future<job_reply> reply = std::async(
        std::launch::async, [&] { return coordinator.submit(other); });
    // A job that is refused for an outage is refused at once.
    CHECK(reply.wait_for(milliseconds(100)) == std::future_status::timeout);
    store.set_fault(write_fault::none);
    CHECK(reply.get().verdict == "accepted");
}

// Some hosts may be refused all calls. Guards against callers that wait for
// each of their jobs until such a host has lost its shards.
TEST_CASE("new jobs are refused at once after all writes were refused for "
          "overload",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.former_owner_write_delay = milliseconds(0);
    limits.overload_outage_after = milliseconds(10);
    job_coordinator coordinator(store, environment.hooks(), limits);
    job_request other = make_request();
    other.id = "fedcba9876543210";
    coordinator.take_shard(shard_of(job_id));
    coordinator.take_shard(shard_of(other.id));
    REQUIRE(coordinator.query(other).verdict == "absent");
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    store.set_fault(write_fault::overloaded);
    job_request cancellation = make_request();
    cancellation.budget_ms = 300;
    REQUIRE(coordinator.cancel(cancellation).verdict == "unknown");
    const int attempts = store.commits();
    REQUIRE(coordinator.submit(other).verdict == "refused");
    CHECK(coordinator.query(other).verdict == "absent");
    CHECK(store.commits() <= attempts + 1); // at most one of the cancellation
}

// A transaction that the store refuses for overload has jobs of several ages.
// Guards against a new job that no caller waits for any more, because an older
// job is in the same transaction.
TEST_CASE("a new job is refused in time while an older one waits for the same "
          "overloaded store",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.may_span_parts = true;
    limits.writers = 1;
    limits.refuse_after = milliseconds(50);
    limits.former_owner_write_delay = milliseconds(0);
    job_coordinator coordinator(store, environment.hooks(), limits);
    job_request other = make_request();
    other.id = "fedcba9876543210";
    coordinator.take_shard(shard_of(job_id));
    coordinator.take_shard(shard_of(other.id));
    REQUIRE(coordinator.query(other).verdict == "absent");
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    store.set_fault(write_fault::overloaded);
    job_request cancellation = make_request();
    cancellation.budget_ms = 50;
    REQUIRE(coordinator.cancel(cancellation).verdict == "unknown");
    REQUIRE(coordinator.submit(other).verdict == "refused");
    CHECK(store.last_was_sent_once());
    store.set_fault(write_fault::none);
    // The older job is still written, the refused one never is.
    CHECK(coordinator.cancel(make_request()).state == "cancelled");
    CHECK(store.row(std::string(jobs_table), shard_of(other.id), other.id)
              .version == 0);
}

// The HTTP library may send a write twice, and the store may carry out the
// first copy and refuse the second one. Guards against a job that is forgotten
// and read again, with the loss of its later changes, because its own write
// looks like one of another host.
TEST_CASE("changes after a write that was refused but took effect are kept",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    // The next write begins only after the changes below.
    limits.pace.first_rate = 1;
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const std::int64_t version = job_row(store).version;
    store.set_fault(write_fault::overloaded_after_commit);
    std::future<report_reply> first = std::async(
        std::launch::async,
        [&] { return coordinator.report({{make_report("not_started", 0)}}); });
    for (int n = 0; n < 20'000 && job_row(store).version == version; ++n)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    REQUIRE(job_row(store).version > version);
    run_report end = make_report("done", 1);
    end.run = 2;
    CHECK(coordinator.report({{end}}).verdicts.front().verdict == "recorded");
    CHECK(first.get().verdicts.front().verdict == "recorded");
    CHECK(coordinator.query(make_request()).state == "completed");
}

// Guards against hosts that write the changes of a busy time in many small
// transactions to a store that limits their number.
TEST_CASE("changes that have waited for an overloaded store share one "
          "transaction",
          "[scheduler]")
{
    constexpr std::size_t job_count = 30; // more than `max_batch`
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.may_span_parts = true;
    limits.writers = 1;
    limits.max_report_wait = milliseconds(0);
    job_coordinator coordinator(store, environment.hooks(), limits);
    std::vector<run_report> reports;
    for (std::size_t n = 0; n < job_count; ++n)
    {
        job_request request = make_request();
        request.id = fmt::format("{:016x}", n + 1);
        coordinator.take_shard(shard_of(request.id));
        REQUIRE(coordinator.submit(request).verdict == "accepted");
        run_report report = make_report("not_started", 1);
        report.task = request.id + ".0.0.0";
        reports.push_back(report);
    }
    store.set_fault(write_fault::overloaded);
    static_cast<void>(coordinator.report({reports}));
    // A second change of a job adds no second write.
    run_report second = reports.front();
    second.run = 2;
    static_cast<void>(coordinator.report({{second}}));
    // The first transaction may have begun before the last change.
    const int commits = store.commits();
    for (int n = 0; n < 20'000 && store.commits() < commits + 2; ++n)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    REQUIRE(store.commits() >= commits + 2);
    store.limit_writes(0); // counts from now on
    store.set_fault(write_fault::none);
    const auto restarted_jobs = [&]
    {
        const std::lock_guard<std::mutex> lock(environment.mutex);
        std::set<std::string> steps;
        for (const rack_orders& orders : environment.sent)
        {
            for (const start_batch& batch : orders.starts)
            {
                if (batch.runs.front().run > 1)
                {
                    steps.insert(batch.terms.step);
                }
            }
        }
        return steps.size();
    };
    for (int n = 0; n < 20'000 && restarted_jobs() < job_count; ++n)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(restarted_jobs() == job_count);
    CHECK(store.counted_writes().admitted == 1);
}

// Guards against transactions that the store refuses for good because they are
// larger than 1 MB.
TEST_CASE("large records are written in several transactions", "[scheduler]")
{
    const bool is_overloaded = GENERATE(false, true);
    CAPTURE(is_overloaded);
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.may_span_parts = true;
    limits.writers = 1;
    limits.max_batch = 40;
    job_coordinator coordinator(store, environment.hooks(), limits);
    std::vector<job_request> requests;
    for (int n = 0; n < 40; ++n)
    {
        job_request request = make_request();
        request.id = fmt::format("{:016x}", n + 1);
        request.spec.text = std::string(40'000, 'x');
        coordinator.take_shard(shard_of(request.id));
        REQUIRE(coordinator.query(request).verdict == "absent");
        requests.push_back(request);
    }
    store.set_fault(is_overloaded ? write_fault::overloaded
                                  : write_fault::refused);
    std::vector<std::future<job_reply>> replies;
    replies.reserve(requests.size());
    for (const job_request& request : requests)
    {
        replies.push_back(std::async(std::launch::async, [&]
                                     { return coordinator.submit(request); }));
    }
    std::this_thread::sleep_for(milliseconds(100));
    store.set_fault(write_fault::none);
    for (std::future<job_reply>& reply : replies)
    {
        CHECK(reply.get().verdict == "accepted");
    }
}

// Otherwise long-running tasks take all capacity of an overloaded fleet, and
// short tasks of the same priority cannot start.
TEST_CASE(
    "a long-running job is refused when the remaining capacity is kept for "
    "short tasks",
    "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator_hooks hooks = environment.hooks();
    std::size_t requested_count = 0;
    hooks.has_room_for_long_running =
        [&requested_count](const step_terms&, std::size_t count)
    {
        requested_count = count;
        return false;
    };
    coordinator_limits limits;
    limits.former_owner_write_delay = milliseconds(0);
    job_coordinator coordinator(store, hooks, limits);
    coordinator.take_shard(shard_of(job_id));
    job_request long_running = make_request();
    long_running.spec.steps.front().is_long_running = true;
    long_running.spec.steps.front().count = 6;
    const job_reply reply = coordinator.submit(long_running);
    REQUIRE(reply.verdict == "refused");
    REQUIRE(reply.retry_after_ms >= 1'000);
    REQUIRE(requested_count == 6);
    REQUIRE(job_row(store).version == 0);
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
}

TEST_CASE("the end of a run is confirmed only after it is recorded",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.max_report_wait = milliseconds(100);
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    store.set_fault(write_fault::refused);
    const report_batch batch{{make_report("done", 1)}};
    REQUIRE(coordinator.report(batch).verdicts.front().verdict == "retry");
    REQUIRE(coordinator.query(make_request()).state != "completed");
    store.set_fault(write_fault::none);
    report_reply reply = coordinator.report(batch);
    for (int n = 0; n < 100 && reply.verdicts.front().verdict == "retry"; ++n)
    {
        reply = coordinator.report(batch);
    }
    REQUIRE(reply.verdicts.front().verdict == "recorded");
    REQUIRE(coordinator.query(make_request()).state == "completed");
}

// A former owner of a rack may infer the end of a run from the expiry of a
// lease that the new owner has renewed.
TEST_CASE("ends inferred by a former owner of a rack are ignored",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    environment.token = 9;
    const report_batch inferred{{make_report("lost", 0, 5)}};
    REQUIRE(coordinator.report(inferred).verdicts.front().verdict == "ignored");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
}

// A target may restart after a former owner of its rack has read the end of a
// run. The new owner then starts the run again under the same number. Guards
// against a second run beside that one, and against an acknowledgement of an
// end that is not recorded.
TEST_CASE("ends listed for a former owner of a rack are left to its new owner",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    environment.token = 9;
    const report_batch late{{make_report("failed", 3, 5)}};
    REQUIRE(coordinator.report(late).verdicts.front().verdict == "ignored");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
    // An end that the target still lists is reported by the new owner.
    const report_batch listed{{make_report("done", 3, 9)}};
    REQUIRE(coordinator.report(listed).verdicts.front().verdict == "recorded");
    REQUIRE(coordinator.query(make_request()).state == "completed");
    // The run has ended, so the former owner may acknowledge its end.
    REQUIRE(coordinator.report(late).verdicts.front().verdict == "recorded");
}

// The former owner of a shard may have sent a start to a rack owner that this
// host does not know yet. Guards against an end of an earlier start of that
// run, which would lead to a second run.
TEST_CASE("a listed end waits until the rack owners are known that the former "
          "owner of the shard may have used",
          "[scheduler]")
{
    fake_store store;
    fake_environment first_environment;
    {
        job_coordinator first(store, first_environment.hooks(), {});
        first.take_shard(shard_of(job_id), 5);
        REQUIRE(first.submit(make_request()).verdict == "accepted");
    }
    fake_environment environment;
    job_coordinator second(store, environment.hooks(), {});
    second.take_shard(shard_of(job_id), 7);
    REQUIRE(second.query(make_request()).verdict == "known");
    const report_batch batch{{make_report("done", 1)}};
    REQUIRE(second.report(batch).verdicts.front().verdict == "retry");
    {
        const std::lock_guard<std::mutex> lock(environment.mutex);
        environment.confirmed_token = 7;
    }
    REQUIRE(second.report(batch).verdicts.front().verdict == "recorded");
    REQUIRE(second.query(make_request()).state == "completed");
}

// Guards against the absence of a task counted from the conclusion that its run
// is lost, seconds after its target has gone.
TEST_CASE("a task is away since its lost target was silent", "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    environment.token = replace_rack_owner(store);
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    REQUIRE(environment.wait_for_run(1));
    run_report started = make_report("", 0, environment.token);
    started.what = "started";
    REQUIRE(coordinator.report({{started}}).verdicts.front().verdict ==
            "recorded");
    run_report lost = make_report("lost", 0, environment.token);
    lost.silent_ms = 6'900;
    static_cast<void>(coordinator.report({{lost}}));
    REQUIRE(environment.wait_for_run(2));
    const std::lock_guard<std::mutex> lock(environment.mutex);
    CHECK(environment.sent.back().starts.front().runs.front().waited_ms >=
          lost.silent_ms);
}

// A former owner of a rack that is cut off may report a run as not started that
// the new owner has started. If the report were recorded, the task would run a
// second time.
TEST_CASE("an inferred end is not recorded after the rack has a new owner",
          "[scheduler]")
{
    fake_store store;
    const std::int64_t token = replace_rack_owner(store);
    fake_environment environment;
    environment.token = token;
    coordinator_limits limits;
    limits.may_span_parts = true;
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    // Another host takes over the rack; the coordinator has not read this yet.
    replace_rack_owner(store);
    const report_reply reply =
        coordinator.report({{make_report("not_started", 0, token)}});
    REQUIRE(reply.verdicts.front().verdict == "retry");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
    // A listed end does not depend on the owner row: the coordinator has sent
    // the start to no later owner.
    REQUIRE(coordinator.report({{make_report("done", 1, token)}})
                .verdicts.front()
                .verdict == "recorded");
}

TEST_CASE("an inferred end is recorded while the rack has the same owner",
          "[scheduler]")
{
    fake_store store;
    const std::int64_t token = replace_rack_owner(store);
    fake_environment environment;
    environment.token = token;
    coordinator_limits limits;
    limits.may_span_parts = true;
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    REQUIRE(coordinator.report({{make_report("not_started", 0, token)}})
                .verdicts.front()
                .verdict == "recorded");
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 2);
}

TEST_CASE("a new owner of a shard resends recorded starts and the former owner "
          "can no longer write",
          "[scheduler]")
{
    fake_store store;
    fake_environment first_environment;
    fake_environment second_environment;
    coordinator_limits limits;
    limits.max_report_wait = milliseconds(2'000);
    job_coordinator first(store, first_environment.hooks(), limits);
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_request()).verdict == "accepted");

    job_coordinator second(store, second_environment.hooks(), limits);
    second.take_shard(shard_of(job_id));
    const std::vector<rack_orders> sent = second_environment.wait_for_orders(1);
    REQUIRE(sent.front().starts.front().runs.front().is_repeated);

    // The former owner does not know of the new one. The end that it records
    // must not lead to a second run of the task.
    const report_batch batch{{make_report("not_started", 0)}};
    static_cast<void>(first.report(batch));
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    REQUIRE(assigned_runs(*recorded).front().run == 1);
}

// A former owner that reads the job again has the current version of its
// record. If it could record an end with that, the new owner would not learn of
// the end and wait for it forever.
TEST_CASE(
    "a former owner of a shard cannot record an end after it reads the job "
    "again",
    "[scheduler]")
{
    fake_store store;
    fake_environment first_environment;
    fake_environment second_environment;
    coordinator_limits limits;
    limits.max_report_wait = milliseconds(500);
    job_coordinator first(store, first_environment.hooks(), limits);
    first.take_shard(shard_of(job_id));
    REQUIRE(first.submit(make_request()).verdict == "accepted");
    job_coordinator second(store, second_environment.hooks(), limits);
    second.take_shard(shard_of(job_id));
    second_environment.wait_for_orders(1);

    const report_batch batch{{make_report("done", 1)}};
    for (int n = 0; n < 3; ++n)
    {
        REQUIRE(first.report(batch).verdicts.front().verdict == "retry");
    }
    REQUIRE(second.report(batch).verdicts.front().verdict == "recorded");
    REQUIRE(second.query(make_request()).state == "completed");
}

// Guards against jobs that fail for good after their first failed run because
// their queue is removed and added again.
TEST_CASE("a run that fails while its queue is not configured uses up one "
          "attempt",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    environment.has_queue = false;
    REQUIRE(coordinator.report({{make_report("failed", 1)}})
                .verdicts.front()
                .verdict == "recorded");
    coordinator.tick();
    CHECK(coordinator.query(make_request()).state == "running");
    environment.has_queue = true;
    coordinator.tick();
    run_report second = make_report("failed", 2);
    second.run = 2;
    REQUIRE(coordinator.report({{second}}).verdicts.front().verdict ==
            "recorded");
    CHECK(coordinator.query(make_request()).state == "failed");
}

// Guards against a start beyond the limit of the queue, which is not known when
// the last failure is reported: the record was written by a version that did
// not store the terms of the queue.
TEST_CASE("a job whose attempts were used up while its queue was not "
          "configured fails once it is",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job recorded_before =
        make_job(job_id, "queue", make_request().spec, unix_ms());
    assign_run(recorded_before, {job_id, 0, 0, 0}, "r1");
    end_run(recorded_before, {job_id, 0, 0, 0}, 1, run_end::failed, "",
            std::nullopt, unix_ms());
    assign_run(recorded_before, {job_id, 0, 0, 0}, "r1");
    recorded_before.has_started = true;
    row_transaction transaction;
    table_row row;
    row.table = std::string(jobs_table);
    row.part = shard_of(job_id);
    row.key = job_id;
    row.value = encode_job(recorded_before, encode_spec(recorded_before.spec));
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, {})->is_committed);
    environment.has_queue = false;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_request()).state == "running");
    run_report second = make_report("failed", 2);
    second.run = 2;
    REQUIRE(coordinator.report({{second}}).verdicts.front().verdict ==
            "recorded");
    CHECK(coordinator.query(make_request()).state == "running");
    environment.has_queue = true;
    coordinator.tick();
    const absl::StatusOr<job> recorded =
        decode_job(job_id, job_row(store).value);
    CHECK(assigned_runs(*recorded).empty());
    const auto is_failed = [&]
    {
        return coordinator.query(make_request()).state == "failed";
    };
    for (int n = 0; n < 2'000 && !is_failed(); ++n)
    {
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(is_failed());
}

// Guards against a run that its rack's new owner never starts, because a late
// report of the former owner counts as the confirmation of the new one.
TEST_CASE("a start is resent to a new rack owner after a late report of the "
          "former one",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.resend_period = milliseconds(1);
    job_coordinator coordinator(store, environment.hooks(), limits);
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const std::size_t n = environment.wait_for_orders(1).size();
    environment.token = 9;
    run_report late = make_report("", 0, 5);
    late.what = "started";
    REQUIRE(coordinator.report({{late}}).verdicts.front().verdict ==
            "recorded");
    std::this_thread::sleep_for(milliseconds(5));
    coordinator.tick();
    const std::vector<rack_orders> sent = environment.wait_for_orders(n + 1);
    REQUIRE(sent.size() == n + 1);
    CHECK(sent.back().token == 9);
    CHECK(sent.back().starts.size() == 1);
}

// Guards against an end that is forgotten with the memory of its shard.
TEST_CASE("an end that was applied but not written is reported again",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.max_report_wait = milliseconds(50);
    job_coordinator coordinator(store, environment.hooks(), limits);
    const std::string shard = shard_of(job_id);
    coordinator.take_shard(shard);
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    environment.wait_for_orders(1);
    store.set_fault(write_fault::refused);
    const run_report end = make_report("failed", 1);
    // A report without the verdict `recorded` is sent again.
    REQUIRE(coordinator.report({{end}}).verdicts.front().verdict == "retry");
    coordinator.drop_shard(shard);
    store.set_fault(write_fault::none);
    coordinator.take_shard(shard);
    REQUIRE(coordinator.query(make_request()).verdict == "known");
    coordinator.report({{end}});
    CHECK(environment.wait_for_run(2));
}

// Without the configuration, the service of a start is not known. A start
// without a service fits no target, so its job would stay open forever.
TEST_CASE("a start is not sent before the configuration is loaded",
          "[scheduler]")
{
    fake_store store;
    fake_environment first_environment;
    {
        job_coordinator first(store, first_environment.hooks(), {});
        first.take_shard(shard_of(job_id));
        REQUIRE(first.submit(make_request()).verdict == "accepted");
    }
    fake_environment environment;
    std::atomic<bool> is_configured{false};
    job_coordinator_hooks hooks = environment.hooks();
    const auto config = hooks.config();
    hooks.config = [&]
    {
        return is_configured ? config : std::make_shared<const fleet_config>();
    };
    job_coordinator second(store, hooks, {});
    second.take_shard(shard_of(job_id));
    REQUIRE(second.query(make_request()).state == "queued");
    second.tick();
    is_configured = true;
    second.tick();
    const std::vector<rack_orders> sent = environment.wait_for_orders(1);
    REQUIRE(sent.front().starts.front().terms.service == "svc");
}

TEST_CASE("runs are stopped once the cancellation of their job is durable",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    environment.wait_for_orders(1);
    const job_reply reply = coordinator.cancel(make_request());
    REQUIRE(reply.verdict == "known");
    REQUIRE(reply.state == "cancelled");
    const std::vector<rack_orders> sent = environment.wait_for_orders(2);
    REQUIRE(sent.back().stops.size() == 1);
    REQUIRE(sent.back().stops.front().run == 1);
    REQUIRE(coordinator.cancel(make_request()).state == "cancelled");
}

// Guards against stops that wait until the ends of the other runs are durable.
TEST_CASE("runs are stopped while later changes of their cancelled job are not "
          "durable",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    std::mutex mutex;
    std::condition_variable released;
    bool is_blocked = false; // guarded by `mutex`; writes wait
    store.before_commit = [&]
    {
        std::unique_lock<std::mutex> lock(mutex);
        released.wait(lock, [&] { return !is_blocked; });
    };
    coordinator_limits limits;
    limits.max_report_wait = milliseconds(0);
    job_coordinator coordinator(store, environment.hooks(), limits);
    const std::string shard = shard_of(job_id);
    coordinator.take_shard(shard);
    job_request request = make_request();
    request.spec.steps.front().count = 2;
    REQUIRE(coordinator.submit(request).verdict == "accepted");
    environment.wait_for_orders(1);
    store.hold_part(shard);
    std::future<job_reply> cancelled = std::async(
        std::launch::async, [&] { return coordinator.cancel(request); });
    for (int n = 0; n < 20'000 && store.held_writes() == 0; ++n)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    REQUIRE(store.held_writes() > 0);
    static_cast<void>(coordinator.report({{make_report("done", 1)}}));
    {
        const std::lock_guard<std::mutex> lock(mutex);
        is_blocked = true;
    }
    store.release_part();
    const job_reply reply = cancelled.get();
    const std::string state = coordinator.query(request).state;
    coordinator.tick();
    const std::vector<rack_orders> sent = environment.wait_for_orders(2);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        is_blocked = false;
    }
    released.notify_all();
    CHECK(reply.verdict == "known");
    CHECK(reply.state == "cancelled");
    CHECK(state == "cancelled");
    REQUIRE(sent.back().stops.size() == 1);
    CHECK(sent.back().stops.front().task == job_id + ".0.0.1");
}

// Guards against stops that wait until the new owner of a shard has written the
// records that it has read, while the racks still place queued starts of
// cancelled jobs.
TEST_CASE("a new owner of a shard stops the runs of cancelled jobs before its "
          "first write of their records",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    {
        fake_environment first_environment;
        job_coordinator first(store, first_environment.hooks(), {});
        first.take_shard(shard_of(job_id));
        REQUIRE(first.submit(make_request()).verdict == "accepted");
        first_environment.wait_for_orders(1);
        REQUIRE(first.cancel(make_request()).verdict == "known");
    }
    std::mutex mutex;
    std::condition_variable changed;
    int writes = 0;         // guarded by `mutex`; of the new owner
    bool is_blocked = true; // guarded by `mutex`; writes of records wait
    store.before_commit = [&]
    {
        std::unique_lock<std::mutex> lock(mutex);
        ++writes;
        changed.notify_all();
        // The first write replaces the fence row of the shard.
        changed.wait(lock, [&] { return writes == 1 || !is_blocked; });
    };
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    const std::string state = coordinator.query(make_request()).state;
    coordinator.tick();
    std::vector<rack_orders> sent;
    {
        const std::lock_guard<std::mutex> lock(environment.mutex);
        sent = environment.sent;
    }
    {
        const std::lock_guard<std::mutex> lock(mutex);
        is_blocked = false;
    }
    changed.notify_all();
    CHECK(state == "cancelled");
    REQUIRE(sent.size() == 1);
    REQUIRE(sent.front().stops.size() == 1);
    CHECK(sent.front().stops.front().task == job_id + ".0.0.0");
    CHECK(sent.front().stops.front().run == 1);
}

// Orders to a host that does not answer wait behind each other. Guards against
// starts of cancelled jobs that are delivered seconds later.
TEST_CASE("orders that have waited do not start runs of cancelled jobs",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const rack_orders sent = environment.wait_for_orders(1).front();
    rack_orders waiting = sent;
    coordinator.remove_outdated_starts(waiting);
    REQUIRE(waiting.starts.size() == 1);
    CHECK(waiting.starts.front().runs.size() == 1);
    REQUIRE(coordinator.cancel(make_request()).verdict == "known");
    waiting = sent;
    waiting.stops.push_back({job_id + ".0.0.0", 1});
    coordinator.remove_outdated_starts(waiting);
    CHECK(waiting.starts.empty());
    CHECK(waiting.stops.size() == 1);
}

TEST_CASE("a job is unknown rather than absent when the store cannot be read",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    job_request request = make_request();
    REQUIRE(coordinator.query(request).verdict == "absent");
    store.set_unreadable(true);
    REQUIRE(coordinator.query(request).verdict == "unknown");
}

// Guards against a reply that comes after the caller or its host have given up:
// the owner read the store for 0.7 s whatever was left.
TEST_CASE(
    "the read for a query or cancellation ends in the time of the request",
    "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    job_request request = make_request();
    REQUIRE(coordinator.query(request).verdict == "absent");
    request.budget_ms = 200;
    REQUIRE(coordinator.query(request).verdict == "absent");
    CHECK(store.last_read_timeout() <= milliseconds(200));
    REQUIRE(coordinator.query(request, steady_clock::now() + milliseconds(400))
                .verdict == "absent");
    CHECK(store.last_read_timeout() <= milliseconds(400));
    REQUIRE(coordinator.cancel(request).verdict == "absent");
    CHECK(store.last_read_timeout() <= milliseconds(200));
}

// Guards against writes of an unchanged record in each tick while no rack can
// take a task.
// Guards against telling a caller that an accepted job does not exist.
TEST_CASE("a job whose record is malformed is unknown rather than absent",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    row_transaction transaction;
    table_row row;
    row.table = std::string(jobs_table);
    row.part = shard_of(job_id);
    row.key = job_id;
    row.value = "{";
    transaction.writes.push_back(row);
    REQUIRE(store.commit(transaction, {}).ok());
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.query(make_request()).verdict == "unknown");
}

TEST_CASE("a job that fits on no rack is not written at each tick",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator_hooks hooks = environment.hooks();
    hooks.choose_racks =
        [](const step_terms&, std::size_t count, const std::string&)
    {
        return std::vector<std::string>(count);
    };
    job_coordinator coordinator(store, hooks, {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const std::int64_t version = job_row(store).version;
    for (int n = 0; n < 20; ++n)
    {
        coordinator.tick();
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    REQUIRE(job_row(store).version == version);
}

TEST_CASE("a job is pending until its first task is reported as started",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    REQUIRE(coordinator.pending().at("queue") == 1);
    run_report report = make_report("done", 0);
    report.what = "started";
    static_cast<void>(coordinator.report({{report}}));
    REQUIRE(coordinator.pending().empty());
}

// If only the latest rack were avoided, a task could alternate between two
// racks that cannot run it.
TEST_CASE("a task avoids every rack that has just handed it back, not only the "
          "latest",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator_hooks hooks = environment.hooks();
    std::vector<step_terms> requested_terms;
    hooks.choose_racks =
        [&](const step_terms& terms, std::size_t count, const std::string&)
    {
        requested_terms.push_back(terms);
        return std::vector<std::string>(
            count, "r" + std::to_string(requested_terms.size()));
    };
    job_coordinator coordinator(store, hooks, {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    for (std::int64_t run = 1; run <= 3; ++run)
    {
        run_report report = make_report("not_started", 0);
        report.run = run;
        report.rack = "r" + std::to_string(run);
        const report_reply reply = coordinator.report({{report}});
        REQUIRE(reply.verdicts.front().verdict == "recorded");
    }
    REQUIRE(requested_terms.size() == 4);
    REQUIRE(requested_terms.back().avoided_racks ==
            std::set<std::string>{"r1", "r2", "r3"});
    REQUIRE(requested_terms.back().earlier_rack == "r3");
    REQUIRE(requested_terms.back().tasks_in_rack.empty());
}

// While this host was paused, another host may have taken over its shard and
// the rack may have got a new owner. Without the read, it could start the run a
// second time at the new owner of the rack.
TEST_CASE("the first start of a run waits for a read that confirms the shard's "
          "owner",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    environment.confirmed_token = environment.token - 1;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    coordinator.tick();
    {
        const std::lock_guard<std::mutex> lock(environment.mutex);
        REQUIRE(std::all_of(environment.sent.begin(), environment.sent.end(),
                            [](const rack_orders& orders)
                            { return orders.starts.empty(); }));
    }
    environment.confirmed_token = environment.token;
    coordinator.tick();
    REQUIRE(environment.wait_for_orders(1).back().starts.size() == 1);
}

// Guards against writes that wake every thread that waits for a job, which
// takes most of the processor time of a loaded host.
TEST_CASE("a write wakes only those that wait for its jobs", "[scheduler]")
{
    constexpr int waiting = 64;
    constexpr int writes = 200;
    const std::string slow_id = "00000000000000ff";
    fake_store store;
    fake_environment environment;
    coordinator_limits limits;
    limits.writers = 2;
    limits.max_batch = 1;
    job_coordinator coordinator(store, environment.hooks(), limits);
    job_request request = make_request();
    std::vector<std::string> ids{slow_id};
    ids.reserve(writes + 1);
    for (int n = 0; n < writes; ++n)
    {
        ids.push_back(fmt::format("{:016x}", 0x1000 + n));
    }
    for (const std::string& id : ids)
    {
        coordinator.take_shard(shard_of(id));
    }
    for (const std::string& id : ids)
    {
        // Waits until the shard is loaded, since the load writes, too.
        request.id = id;
        REQUIRE(coordinator.query(request).verdict == "absent");
    }
    std::atomic<bool> is_blocked{false};
    std::atomic<int> blocked{0};
    std::promise<void> unblocked;
    const std::shared_future<void> unblock = unblocked.get_future().share();
    store.before_commit = [&]
    {
        // Holds the first commit after `is_blocked` was set.
        if (is_blocked && blocked.fetch_add(1) == 0)
        {
            unblock.wait();
        }
    };
    request.id = slow_id;
    REQUIRE(coordinator.submit(request).verdict == "accepted");
    environment.wait_for_orders(1);
    is_blocked = true;
    run_report report = make_report("failed", 1);
    report.task = slow_id + ".0.0.0";
    std::vector<std::future<report_reply>> replies;
    replies.reserve(waiting);
    for (int n = 0; n < waiting; ++n)
    {
        replies.push_back(
            std::async(std::launch::async,
                       [&] { return coordinator.report({{report}}); }));
    }
    while (blocked == 0)
    {
        std::this_thread::yield();
    }
    const auto switches = []
    {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_nvcsw;
    };
    const long before = switches();
    for (int n = 1; n <= writes; ++n)
    {
        request.id = ids[static_cast<std::size_t>(n)];
        CHECK(coordinator.submit(request).verdict == "accepted");
    }
    const long taken = switches() - before;
    unblocked.set_value();
    for (std::future<report_reply>& reply : replies)
    {
        CHECK(reply.get().verdicts.front().verdict == "recorded");
    }
    INFO("context switches: " << taken);
    CHECK(taken < writes * waiting / 2);
}

// Guards against jobs that wait without an end because their owner relies on a
// confirmation, whatever has become of the start since.
TEST_CASE("the owner of a rack is asked about a confirmed start while nothing "
          "of its job is at work",
          "[scheduler]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    REQUIRE(coordinator.submit(make_request()).verdict == "accepted");
    const rack_orders first = environment.wait_for_orders(1).front();
    REQUIRE(first.starts.size() == 1);
    coordinator.confirm(first, {true, 5, {}});
    const auto wait_for_next = [&](std::size_t known)
    {
        const time_point end = steady_clock::now() + std::chrono::seconds(20);
        std::size_t count = known;
        while (count == known && steady_clock::now() < end)
        {
            coordinator.tick();
            std::this_thread::sleep_for(milliseconds(10));
            const std::lock_guard<std::mutex> lock(environment.mutex);
            count = environment.sent.size();
        }
        const std::lock_guard<std::mutex> lock(environment.mutex);
        return environment.sent.back();
    };
    const rack_orders question = wait_for_next(1);
    REQUIRE(question.starts.empty());
    REQUIRE(question.overdue.size() == 1);
    CHECK(question.overdue.front().task == job_id + ".0.0.0");
    SECTION("one that the owner does not have is sent again")
    {
        coordinator.confirm(question, {true, 5, question.overdue});
        const rack_orders again = wait_for_next(2);
        REQUIRE(again.starts.size() == 1);
        CHECK(again.starts.front().runs.front().is_repeated);
    }
    SECTION("not any more once a task is at work")
    {
        run_report started = make_report("", 0);
        started.what = "started";
        REQUIRE(coordinator.report({{started}}).verdicts.front().verdict ==
                "recorded");
        const time_point end = steady_clock::now() + milliseconds(2'500);
        while (steady_clock::now() < end)
        {
            coordinator.tick();
            std::this_thread::sleep_for(milliseconds(50));
        }
        const std::lock_guard<std::mutex> lock(environment.mutex);
        CHECK(environment.sent.size() == 2);
    }
}

// Guards against a long-running task that is away for good while others of its
// job are at work: users expect each of them within 6 s.
TEST_CASE("the owner of a rack is asked about a long-running task that waits "
          "while others of its job are at work",
          "[.][scheduler_overdue_long_running]")
{
    fake_store store;
    fake_environment environment;
    job_coordinator coordinator(store, environment.hooks(), {});
    coordinator.take_shard(shard_of(job_id));
    job_request request = make_request();
    request.spec.steps.front().count = 2;
    request.spec.steps.front().is_long_running = true;
    REQUIRE(coordinator.submit(request).verdict == "accepted");
    const rack_orders first = environment.wait_for_orders(1).front();
    REQUIRE(first.starts.front().runs.size() == 2);
    coordinator.confirm(first, {true, 5, {}});
    run_report started = make_report("", 0);
    started.what = "started";
    REQUIRE(coordinator.report({{started}}).verdicts.front().verdict ==
            "recorded");
    const auto is_asked = [&]
    {
        const std::lock_guard<std::mutex> lock(environment.mutex);
        return std::any_of(environment.sent.begin(), environment.sent.end(),
                           [](const rack_orders& item)
                           { return !item.overdue.empty(); });
    };
    const time_point end = steady_clock::now() + std::chrono::seconds(12);
    while (!is_asked() && steady_clock::now() < end)
    {
        coordinator.tick();
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(is_asked());
}
