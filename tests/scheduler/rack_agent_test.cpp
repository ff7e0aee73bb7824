#include "egretspindle/core/error.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

/// Target whose answers a test sets.
class fake_targets final : public target_port
{
public:
    absl::StatusOr<order_answer> start(const target_entry& /*target*/,
                                       const start_order& order,
                                       std::chrono::milliseconds) override
    {
        std::unique_lock<std::mutex> lock(mutex);
        starts.push_back(order);
        changed.notify_all();
        if (restarts_in_start && starts.size() == 1)
        {
            target_started_ms = 2;
            const std::size_t n = polls.size();
            changed.wait_for(lock, std::chrono::seconds(20),
                             [&] { return polls.size() > n + 2; });
            return order_answer{start_verdict, former_clock_ms};
        }
        if (starts_to_ignore > 0)
        {
            --starts_to_ignore;
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        return order_answer{start_verdict, 1'000};
    }

    absl::StatusOr<order_answer> stop(const target_entry& /*target*/,
                                      const stop_order& order,
                                      std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        stops.push_back(order);
        changed.notify_all();
        return order_answer{stop_verdict, 1'000};
    }

    absl::StatusOr<order_answer> pace(const target_entry&, const pace_order&,
                                      std::chrono::milliseconds) override
    {
        return order_answer{order_verdict::taken, 1'000};
    }

    absl::StatusOr<poll_answer> poll(const target_entry& target,
                                     const poll_request& order,
                                     std::chrono::milliseconds) override
    {
        std::unique_lock<std::mutex> lock(mutex);
        if (target.id == unreachable_id)
        {
            lost_polls.push_back(order);
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        polls.push_back(order);
        changed.notify_all();
        changed.wait_for(lock, poll_duration,
                         [this] { return !poll_duration.count(); });
        poll_answer answer;
        answer.verdict = poll_verdict;
        if (other_boot_polls > 0)
        {
            --other_boot_polls;
            answer.verdict = order_verdict::other_boot;
        }
        answer.clock_ms = 1'000;
        answer.started_ms = target_started_ms;
        if (order.acknowledged == 0)
        {
            answer.ends = ends;
        }
        return answer;
    }

    /// Polls that granted a lease; called under the lock.
    [[nodiscard]] int renewals() const
    {
        return static_cast<int>(
            std::count_if(polls.begin(), polls.end(),
                          [](const poll_request& order)
                          { return order.lease_until_ms > 0; }));
    }

    template <typename Condition>
    bool wait(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(20), condition);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<poll_request> polls;
    std::vector<poll_request> lost_polls;
    std::vector<listed_end> ends; ///< listed until one is acknowledged
    std::string unreachable_id;   ///< id of a target that answers no poll
    static constexpr std::int64_t former_clock_ms = 900'000;
    std::int64_t target_started_ms = 1; ///< start time of the target
    bool restarts_in_start = false;     ///< restarts before it answers a start
    int starts_to_ignore = 0;           ///< starts that get no answer
    order_verdict start_verdict = order_verdict::taken;
    order_verdict stop_verdict = order_verdict::taken;
    order_verdict poll_verdict = order_verdict::taken;
    int other_boot_polls = 0; ///< polls to answer with `other_boot`
    std::chrono::milliseconds poll_duration{20};
};

/// Agent with one rack of one target.
struct fixture
{
    fake_targets targets;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<run_report> reports;
    std::vector<std::string> lost;
    std::vector<rack_roster> rosters; ///< given to `record_roster`
    bool is_recordable = true;
    std::map<std::string, run_racks> records = {
        {"job", {{{"job.0.0.0", 1}, "r1"}}}}; ///< by job
    std::vector<std::string> lookups;         ///< jobs whose record was read
    rack_agent agent;

    fixture() : fixture(limits()) {}

    explicit fixture(const rack_agent_limits& bounds)
        : agent(targets, hooks(), bounds)
    {
        target_entry entry;
        entry.id = "t1";
        entry.service = "svc";
        entry.rack = "r1";
        entry.address = "127.0.0.1:1";
        entry.started_ms = 1;
        entry.capacity = {4'000, 4'000, 0};
        agent.set_targets({{"t1", entry}});
        rack_takeover takeover;
        takeover.confirmed_at = read_clocks();
        takeover.rack = "r1";
        takeover.token = 7;
        takeover.roster = {{"t1", "127.0.0.1:1"}};
        agent.take_rack(takeover);
    }

    /// Lists the target at an address, with a start time.
    void list_target(const std::string& address, std::int64_t started_ms)
    {
        target_entry entry;
        entry.id = "t1";
        entry.service = "svc";
        entry.rack = "r1";
        entry.address = address;
        entry.started_ms = started_ms;
        entry.capacity = {4'000, 4'000, 0};
        agent.set_targets({{"t1", entry}});
    }

    /// Takes the rack over again, with a second target that does not answer.
    void take_over_with_lost_target(time_point former_stopped_at)
    {
        target_entry entry;
        entry.id = "t1";
        entry.service = "svc";
        entry.rack = "r1";
        entry.address = "127.0.0.1:1";
        entry.capacity = {4'000, 4'000, 0};
        {
            const std::lock_guard<std::mutex> lock(targets.mutex);
            targets.unreachable_id = "t2";
        }
        agent.set_targets({{"t1", entry}});
        rack_takeover takeover;
        takeover.confirmed_at = read_clocks();
        takeover.rack = "r1";
        takeover.token = 8;
        takeover.roster = {{"t1", "127.0.0.1:1"}, {"t2", "127.0.0.1:2"}};
        takeover.former_stopped_at = former_stopped_at;
        agent.take_rack(takeover);
        agent.verify_rack("r1", 8, read_clocks());
    }

    rack_agent_hooks hooks()
    {
        rack_agent_hooks result;
        result.report = [this](std::vector<run_report> items)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            reports.insert(reports.end(), items.begin(), items.end());
            changed.notify_all();
        };
        result.lost = [this](const std::string& rack)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            lost.push_back(rack);
            changed.notify_all();
        };
        result.hand_back_quota = [](const step_terms&, const std::string&)
        {
            return std::size_t{0};
        };
        result.read_assignments = [this](const std::string& job)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            lookups.push_back(job);
            const auto it = records.find(job);
            return it == records.end() ? std::optional<run_racks>()
                                       : it->second;
        };
        result.record_roster =
            [this](const std::string&, std::int64_t, const rack_roster& roster)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            rosters.push_back(roster);
            return is_recordable;
        };
        return result;
    }

    static rack_agent_limits
    limits(milliseconds authority = std::chrono::minutes(1))
    {
        rack_agent_limits result;
        result.lease.authority = authority;
        result.order_retry = milliseconds(10);
        return result;
    }

    rack_orders_reply send(std::int64_t token = 7, bool is_repeated = false)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = token;
        start_batch batch;
        batch.terms.step = "job.0.0";
        batch.terms.service = "svc";
        batch.terms.size = {1'000, 100, 0};
        batch.runs.push_back({0, 1, "", is_repeated});
        orders.starts.push_back(batch);
        return agent.execute(orders);
    }
};

} // namespace

TEST_CASE("a start without an answer is repeated as the same run",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 2;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return env.targets.starts.size() == 3; }));
    for (const start_order& order : env.targets.starts)
    {
        REQUIRE(order.run == 1);
        REQUIRE(order.token == 7);
    }
    // Repeated copies must not extend the lease of a target that does not
    // answer.
    REQUIRE(env.targets.starts[2].lease_until_ms <=
            env.targets.starts[1].lease_until_ms);
}

// The unanswered copy may be carried out seconds later, while a second run of
// the task is active elsewhere.
TEST_CASE("a refused start with an unanswered copy is followed by a stop",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 1;
    env.targets.start_verdict = order_verdict::no_room;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.stops.empty(); }));
    REQUIRE(env.targets.stops.front().run == 1);
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.size() == 2);
}

// Guards against a run that is reported as lost while the first copy of its
// start may still be carried out.
TEST_CASE("a stop that was not carried out is repeated and ends no run",
          "[scheduler]")
{
    const order_verdict verdict =
        GENERATE(order_verdict::unhealthy, order_verdict::malformed,
                 order_verdict::too_late, order_verdict::no_room,
                 order_verdict::no_permission, order_verdict::other_boot);
    fixture env;
    env.targets.starts_to_ignore = 1;
    env.targets.start_verdict = order_verdict::no_room;
    env.targets.stop_verdict = verdict;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.stops.empty(); }));
    std::this_thread::sleep_for(milliseconds(1'500));
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        REQUIRE(env.reports.empty());
    }
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.stops.size() >= 3);
    // The pause between repetitions is 10 ms here.
    REQUIRE(env.targets.stops.size() <= 160);
    env.targets.stop_verdict = order_verdict::taken;
}

TEST_CASE("a run whose start a stop rules out is reported as ended",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 1;
    env.targets.start_verdict = order_verdict::no_room;
    REQUIRE(env.send().is_owner);
    std::unique_lock<std::mutex> lock(env.mutex);
    REQUIRE(env.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !env.reports.empty(); }));
    REQUIRE(env.reports.front().what == "ended");
    REQUIRE(env.reports.front().how == "lost");
}

// Guards against an acknowledgement that reaches a target after its restart:
// the target would discard a new end of the same number.
TEST_CASE("nothing is acknowledged to a target that does not answer",
          "[scheduler]")
{
    fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.ends = {{5, "job.0.0.7", 1, "done", ""}};
    }
    std::vector<run_report> reports;
    {
        std::unique_lock<std::mutex> lock(env.mutex);
        REQUIRE(env.changed.wait_for(lock, std::chrono::seconds(20),
                                     [&] { return !env.reports.empty(); }));
        reports = env.reports;
    }
    report_reply reply;
    reply.verdicts.resize(reports.size());
    reply.verdicts.front().verdict = "recorded";
    env.agent.apply_verdicts(reports, reply);
    REQUIRE(env.targets.wait(
        [&] { return env.targets.polls.back().acknowledged == 5; }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id = "t1";
    }
    const time_point limit = steady_clock::now() + std::chrono::seconds(20);
    for (std::size_t n = 0; n < 2;)
    {
        REQUIRE(steady_clock::now() < limit);
        std::this_thread::sleep_for(milliseconds(20));
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.lost_polls.size();
    }
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.lost_polls[1].acknowledged == 0);
}

// Guards against a run that is reported as lost although its repeated start has
// been carried out, and against leases by the clock from before the restart.
TEST_CASE("an answer from before a restart of the target is ignored",
          "[scheduler]")
{
    fixture env;
    env.targets.restarts_in_start = true;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return env.targets.starts.size() == 2; }));
    REQUIRE(env.targets.starts.back().run == 1);
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.polls.size();
    }
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > n + 3; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.polls.back().lease_until_ms <
            fake_targets::former_clock_ms);
}

// Guards against repetitions without a pause, and against a second run, while
// the owner's estimate of the target's clock is behind.
TEST_CASE("a start that came too late is repeated as the same run with a pause",
          "[scheduler]")
{
    fixture env;
    env.targets.start_verdict = order_verdict::too_late;
    REQUIRE(env.send().is_owner);
    std::this_thread::sleep_for(milliseconds(500));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.size() >= 3);
        REQUIRE(env.targets.starts.size() <= 51); // one every 10 ms
        for (const start_order& order : env.targets.starts)
        {
            REQUIRE(order.run == 1);
        }
        REQUIRE(env.targets.stops.empty());
        env.targets.start_verdict = order_verdict::taken;
    }
    std::unique_lock<std::mutex> lock(env.mutex);
    REQUIRE(env.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !env.reports.empty(); }));
    REQUIRE(env.reports.front().what == "started");
    REQUIRE(env.reports.front().run == 1);
}

// A target whose answers were lost restarted and accepted the repeated start,
// with a lease that its owner did not know. Meanwhile the run was started again
// elsewhere.
TEST_CASE("a start is not repeated while its target answers no polls",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 1'000;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return env.targets.starts.size() > 2; }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id = "t1";
    }
    std::this_thread::sleep_for(milliseconds(100));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.starts.size();
    }
    std::this_thread::sleep_for(milliseconds(100));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.size() == n);
        env.targets.unreachable_id.clear();
    }
    REQUIRE(env.targets.wait([&] { return env.targets.starts.size() > n; }));
}

// The target may have accepted the start after its restart. The run was started
// elsewhere when the lease from before the restart expired.
TEST_CASE("a lease from before a restart does not end a start that may have "
          "arrived after it",
          "[scheduler]")
{
    const bool is_restarted = GENERATE(false, true);
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.lease = milliseconds(200);
    bounds.lease.longest = milliseconds(300);
    bounds.lease.expiry_slack = milliseconds(50);
    fixture env(bounds);
    env.targets.starts_to_ignore = 1'000;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id = "t1";
    }
    std::this_thread::sleep_for(milliseconds(50));
    env.list_target("127.0.0.1:1", is_restarted ? 2 : 1);
    std::this_thread::sleep_for(milliseconds(1'000));
    env.agent.verify_rack("r1", 7, read_clocks());
    env.agent.tick();
    const std::lock_guard<std::mutex> lock(env.mutex);
    REQUIRE(env.reports.size() == (is_restarted ? 0 : 1));
}

TEST_CASE("a start after a restart that only the platform's list shows is not "
          "ended by the lease from before it",
          "[scheduler]")
{
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.lease = milliseconds(200);
    bounds.lease.longest = milliseconds(300);
    bounds.lease.expiry_slack = milliseconds(50);
    fixture env(bounds);
    env.targets.starts_to_ignore = 1'000;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(5'000);
    }
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > 1; }));
    env.list_target("127.0.0.1:1", 2);
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
    {
        // The waiting poll is answered from before the restart.
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id = "t1";
        env.targets.poll_duration = std::chrono::milliseconds(0);
        env.targets.changed.notify_all();
    }
    std::this_thread::sleep_for(milliseconds(1'000));
    env.agent.verify_rack("r1", 7, read_clocks());
    env.agent.tick();
    const std::lock_guard<std::mutex> lock(env.mutex);
    REQUIRE(env.reports.empty());
}

TEST_CASE("orders for another ownership of the rack are refused", "[scheduler]")
{
    fixture env;
    REQUIRE_FALSE(env.send(6).is_owner);
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.empty());
}

TEST_CASE("an owner whose token a target refuses accepts no more orders",
          "[scheduler]")
{
    fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_verdict = order_verdict::wrong_token;
    }
    {
        std::unique_lock<std::mutex> lock(env.mutex);
        REQUIRE(env.changed.wait_for(lock, std::chrono::seconds(20),
                                     [&] { return !env.lost.empty(); }));
    }
    REQUIRE_FALSE(env.send().is_owner);
}

// Polls that wait for a target must not block the thread that drops a rack.
TEST_CASE("losing a rack does not wait for its polls", "[scheduler]")
{
    fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(5'000);
    }
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > 1; }));
    const time_point begun = steady_clock::now();
    env.agent.drop_rack("r1");
    env.agent.tick();
    const milliseconds taken =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun);
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(0);
        env.targets.changed.notify_all();
    }
    REQUIRE(taken < milliseconds(4'000));
}

// After a restart of all hosts a long-running task was interrupted for 18 s:
// the owner waited a whole lease from its claim for a target that was gone.
TEST_CASE("leases of the former owner count from the time when it stopped",
          "[scheduler]")
{
    fixture env;
    const milliseconds lease = max_lease_duration(lease_limits{});
    env.take_over_with_lost_target(steady_clock::now() - lease);
    REQUIRE(env.send(8, true).is_owner);
    env.agent.tick();
    // The run may have ended on the lost target, so the owner of the job gives
    // the next run a new number.
    std::unique_lock<std::mutex> lock(env.mutex);
    REQUIRE(env.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !env.reports.empty(); }));
    REQUIRE(env.reports.front().how == "lost");
}

// The run may still be active on the target that does not answer.
TEST_CASE("a repeated start waits while a lease may be valid", "[scheduler]")
{
    fixture env;
    env.take_over_with_lost_target(steady_clock::now());
    REQUIRE(env.send(8, true).is_owner);
    env.agent.tick();
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > 3; }));
    env.agent.tick();
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.empty());
}

// During rolling restarts, each new owner waited a whole lease for targets that
// it might not know, and a long-running task was interrupted for 17 s.
TEST_CASE("an owner that has reached all recorded targets waits for no lease",
          "[scheduler]")
{
    fixture env;
    rack_takeover takeover;
    takeover.confirmed_at = read_clocks();
    takeover.rack = "r1";
    takeover.token = 8;
    takeover.roster = {{"t1", "127.0.0.1:1"}};
    takeover.former_stopped_at = steady_clock::now() + milliseconds(60'000);
    env.agent.take_rack(takeover);
    REQUIRE(env.send(8, true).is_owner);
    const time_point limit = steady_clock::now() + std::chrono::seconds(20);
    for (bool is_started = false; !is_started;)
    {
        REQUIRE(steady_clock::now() < limit);
        env.agent.tick();
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        is_started = !env.targets.starts.empty();
    }
}

// After a restart of all hosts of a large fleet, starts waited up to 30 s for
// reads of job records, one for each start.
TEST_CASE("one read of a record resolves all repeated starts of its job",
          "[scheduler]")
{
    fixture env;
    constexpr std::int64_t tasks = 30; // more than the reads of one tick
    rack_orders orders;
    orders.rack = "r1";
    orders.token = 7;
    for (const std::string job : {"a", "b"})
    {
        start_batch batch;
        batch.terms.step = job + ".0.0";
        batch.terms.service = "svc";
        batch.terms.size = {10, 10, 0};
        for (std::int64_t n = 0; n < tasks; ++n)
        {
            batch.runs.push_back({n, 1, "", true});
            const std::string task = batch.terms.step + "." + std::to_string(n);
            env.records[job][{task, 1}] = "r1";
        }
        orders.starts.push_back(batch);
    }
    // Look-ups wait until the target has been reached.
    REQUIRE(env.targets.wait([&] { return env.targets.renewals() > 0; }));
    REQUIRE(env.agent.execute(orders).is_owner);
    env.agent.tick();
    REQUIRE(env.lookups == std::vector<std::string>{"a", "b"});
    REQUIRE(env.targets.wait(
        [&] { return env.targets.starts.size() == 2 * tasks; }));
}

// Guards against a run that is started twice, since the record assigns it to
// another rack, or started after its end.
TEST_CASE("a read of a record starts only the runs that it assigns to the rack",
          "[scheduler]")
{
    fixture env;
    rack_orders orders;
    orders.rack = "r1";
    orders.token = 7;
    start_batch batch;
    batch.terms.step = "job.0.0";
    batch.terms.service = "svc";
    batch.terms.size = {10, 10, 0};
    batch.runs = {
        {0, 1, "", true}, {1, 1, "", true}, {2, 1, "", true}, {3, 1, "", true}};
    orders.starts = {batch};
    env.records["job"] = {{{"job.0.0.0", 1}, "r2"},
                          {{"job.0.0.1", 2}, "r1"},
                          {{"job.0.0.3", 1}, "r1"}};
    REQUIRE(env.targets.wait([&] { return env.targets.renewals() > 0; }));
    REQUIRE(env.agent.execute(orders).is_owner);
    env.agent.tick();
    REQUIRE(env.agent.measure().front().queued == 0);
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.polls.size();
    }
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > n + 2; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.size() == 1);
    REQUIRE(env.targets.starts.front().task == "job.0.0.3");
}

// A later owner would not know that the target has runs.
TEST_CASE("a target gets no starts before it is recorded", "[scheduler]")
{
    fixture env;
    env.is_recordable = false;
    rack_takeover takeover;
    takeover.confirmed_at = read_clocks();
    takeover.rack = "r1";
    takeover.token = 8;
    env.agent.take_rack(takeover);
    REQUIRE(env.send(8).is_owner);
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > 3; }));
    env.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.empty());
    }
    env.is_recordable = true;
    env.agent.tick();
    REQUIRE(env.rosters.back() == rack_roster{{"t1", "127.0.0.1:1"}});
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
}

// A later owner polled the recorded address, where another target had started,
// and reported the runs as lost.
TEST_CASE("a target with a new address gets no starts before it is recorded",
          "[scheduler]")
{
    fixture env;
    env.is_recordable = false;
    env.list_target("127.0.0.1:9", 1);
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > 3; }));
    env.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.empty());
    }
    env.is_recordable = true;
    env.agent.tick();
    REQUIRE(env.rosters.back() == rack_roster{{"t1", "127.0.0.1:9"}});
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
}

// Guards against runs at the present address that are reported as lost.
TEST_CASE("another process at a former address of a target ends no runs",
          "[scheduler]")
{
    fixture env;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(5'000);
        n = env.targets.polls.size();
    }
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > n; }));
    env.list_target("127.0.0.1:9", 1);
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.other_boot_polls = 1;
        env.targets.poll_duration = std::chrono::milliseconds(0);
        env.targets.changed.notify_all();
    }
    REQUIRE(env.targets.wait([&] { return env.targets.polls.size() > n + 1; }));
    const std::lock_guard<std::mutex> lock(env.mutex);
    for (const run_report& report : env.reports)
    {
        REQUIRE(report.what == "started");
    }
}

// A host that the store rejected kept renewing the leases of a target that the
// new owner of the rack could not reach, so that tasks ran twice.
TEST_CASE("an owner that the store has not confirmed recently renews no lease",
          "[scheduler]")
{
    fixture env(fixture::limits(milliseconds(400)));
    REQUIRE(env.targets.wait([&] { return env.targets.renewals() > 0; }));
    // The first poll only makes contact and grants no lease.
    REQUIRE(env.targets.wait(
        [&]
        {
            const std::vector<poll_request>& polls = env.targets.polls;
            return env.targets.renewals() > 0 &&
                   polls.back().lease_until_ms == 0;
        }));
    const std::size_t count = env.targets.polls.size();
    REQUIRE(
        env.targets.wait([&] { return env.targets.polls.size() > count + 3; }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.polls.back().lease_until_ms == 0);
    }
    REQUIRE(env.send().is_owner);
    env.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.empty());
    }
    env.agent.verify_rack("r1", 7, read_clocks());
    env.agent.tick();
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
}

// A later owner relies on the former one not to grant leases after its right to
// do so has expired, but a restarted target grants 10 s to any start.
TEST_CASE("no start is sent by an owner that may grant no lease", "[scheduler]")
{
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.authority = milliseconds(1'000);
    fixture env(bounds);
    env.targets.starts_to_ignore = 1'000'000;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
    const auto count_polls_without_lease = [&]
    {
        return std::count_if(env.targets.polls.begin(), env.targets.polls.end(),
                             [](const poll_request& order)
                             { return order.lease_until_ms == 0; });
    };
    REQUIRE(env.targets.wait([&] { return count_polls_without_lease() > 10; }));
    std::size_t starts = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        starts = env.targets.starts.size();
    }
    // Starts are repeated every 150 ms, polls every 20 ms.
    REQUIRE(env.targets.wait([&] { return count_polls_without_lease() > 60; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.size() == starts);
}

// A start that was held until leases might be granted reached a target 3 s
// after the platform had listed it as draining.
TEST_CASE("a start that was held is not sent to a draining target",
          "[scheduler]")
{
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.authority = milliseconds(1'000);
    bounds.order_retry = milliseconds(1'500);
    fixture env(bounds);
    const auto has_no_lease = [&]
    {
        return !env.targets.polls.empty() &&
               env.targets.polls.back().lease_until_ms == 0;
    };
    // The first start keeps the sender busy until no lease may be granted.
    env.targets.starts_to_ignore = 1;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait([&] { return !env.targets.starts.empty(); }));
    rack_orders orders;
    orders.rack = "r1";
    orders.token = 7;
    start_batch batch;
    batch.terms.step = "job.0.1";
    batch.terms.service = "svc";
    batch.terms.size = {10, 10, 0};
    batch.runs.push_back({0, 1, "", false});
    orders.starts.push_back(batch);
    REQUIRE(env.agent.execute(orders).is_owner);
    REQUIRE(env.targets.wait(has_no_lease));
    target_entry entry;
    entry.id = "t1";
    entry.service = "svc";
    entry.rack = "r1";
    entry.address = "127.0.0.1:1";
    entry.started_ms = 1;
    entry.capacity = {4'000, 4'000, 0};
    entry.is_draining = true;
    env.agent.set_targets({{"t1", entry}});
    env.agent.verify_rack("r1", 7, read_clocks());
    // The repeated first start shows that the sender has continued. Its earlier
    // copy may have been carried out, so it stays with the target.
    REQUIRE(env.targets.wait([&] { return env.targets.starts.size() >= 2; }));
    REQUIRE(env.agent.measure().front().queued == 1);
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    for (const start_order& order : env.targets.starts)
    {
        REQUIRE(order.task != "job.0.1.0");
    }
}
