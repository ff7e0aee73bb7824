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
        if (is_reborn_in_start && starts.size() == 1)
        {
            life = 2;
            const std::size_t n = polls.size();
            changed.wait_for(lock, std::chrono::seconds(20),
                             [&] { return polls.size() > n + 2; });
            return order_answer{start_verdict, former_clock_ms};
        }
        if (start_silence > 0)
        {
            --start_silence;
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
        if (target.id == unreachable)
        {
            lost_polls.push_back(order);
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        polls.push_back(order);
        changed.notify_all();
        changed.wait_for(lock, poll_time,
                         [this] { return !poll_time.count(); });
        poll_answer answer;
        answer.verdict = poll_verdict;
        if (other_life_polls > 0)
        {
            --other_life_polls;
            answer.verdict = order_verdict::other_boot;
        }
        answer.clock_ms = 1'000;
        answer.started_ms = life;
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
    std::string unreachable;      ///< id of a target that answers no poll
    static constexpr std::int64_t former_clock_ms = 900'000;
    std::int64_t life = 1;           ///< its start time
    bool is_reborn_in_start = false; ///< before the first start is answered
    int start_silence = 0;           ///< starts that get no answer
    order_verdict start_verdict = order_verdict::taken;
    order_verdict stop_verdict = order_verdict::taken;
    order_verdict poll_verdict = order_verdict::taken;
    int other_life_polls = 0; ///< that are answered so
    std::chrono::milliseconds poll_time{20};
};

/// Agent with one rack of one target.
struct fixture
{
    fake_targets targets;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<run_report> reports;
    std::vector<std::string> lost;
    std::vector<rack_roster> rosters; ///< that were to be recorded
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

    /// Lists the target at an address, in the life that began at `started_ms`.
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

    /// Takes the rack over again, with a second target that is gone.
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
            targets.unreachable = "t2";
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
    fixture all;
    all.targets.start_silence = 2;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return all.targets.starts.size() == 3; }));
    for (const start_order& order : all.targets.starts)
    {
        REQUIRE(order.run == 1);
        REQUIRE(order.token == 7);
    }
    // Repeated copies must not extend the lease of a silent target.
    REQUIRE(all.targets.starts[2].lease_until_ms <=
            all.targets.starts[1].lease_until_ms);
}

// The unanswered copy may be carried out seconds later; a second run
// elsewhere would then be at work at the same time.
TEST_CASE("a refused start with an unanswered copy is fenced by a stop",
          "[scheduler]")
{
    fixture all;
    all.targets.start_silence = 1;
    all.targets.start_verdict = order_verdict::no_room;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.stops.empty(); }));
    REQUIRE(all.targets.stops.front().run == 1);
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.starts.size() == 2);
}

// The run was reported as lost 1 s later, while its first copy could still
// start.
TEST_CASE("a stop that was not carried out is repeated and ends no run",
          "[scheduler]")
{
    const order_verdict verdict =
        GENERATE(order_verdict::unhealthy, order_verdict::malformed,
                 order_verdict::too_late, order_verdict::no_room,
                 order_verdict::no_permission, order_verdict::other_boot);
    fixture all;
    all.targets.start_silence = 1;
    all.targets.start_verdict = order_verdict::no_room;
    all.targets.stop_verdict = verdict;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.stops.empty(); }));
    std::this_thread::sleep_for(milliseconds(1'500));
    {
        const std::lock_guard<std::mutex> lock(all.mutex);
        REQUIRE(all.reports.empty());
    }
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.stops.size() >= 3);
    // At most one in each pause between repetitions, which is 10 ms here.
    REQUIRE(all.targets.stops.size() <= 160);
    all.targets.stop_verdict = order_verdict::taken;
}

TEST_CASE("a run that a stop keeps out is reported as ended", "[scheduler]")
{
    fixture all;
    all.targets.start_silence = 1;
    all.targets.start_verdict = order_verdict::no_room;
    REQUIRE(all.send().is_owner);
    std::unique_lock<std::mutex> lock(all.mutex);
    REQUIRE(all.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !all.reports.empty(); }));
    REQUIRE(all.reports.front().what == "ended");
    REQUIRE(all.reports.front().how == "lost");
}

// The acknowledgement reached the next life of a target, which then forgot an
// end of the same number that nobody had seen.
TEST_CASE("nothing is acknowledged to a target that does not answer",
          "[scheduler]")
{
    fixture all;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.ends = {{5, "job.0.0.7", 1, "done", ""}};
    }
    std::vector<run_report> reports;
    {
        std::unique_lock<std::mutex> lock(all.mutex);
        REQUIRE(all.changed.wait_for(lock, std::chrono::seconds(20),
                                     [&] { return !all.reports.empty(); }));
        reports = all.reports;
    }
    report_reply reply;
    reply.verdicts.resize(reports.size());
    reply.verdicts.front().verdict = "recorded";
    all.agent.apply_verdicts(reports, reply);
    REQUIRE(all.targets.wait(
        [&] { return all.targets.polls.back().acknowledged == 5; }));
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.unreachable = "t1";
    }
    const time_point limit = steady_clock::now() + std::chrono::seconds(20);
    for (std::size_t n = 0; n < 2;)
    {
        REQUIRE(steady_clock::now() < limit);
        std::this_thread::sleep_for(milliseconds(20));
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        n = all.targets.lost_polls.size();
    }
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.lost_polls[1].acknowledged == 0);
}

// The run was reported as lost although the repeated start was at work, and
// leases were sent for the clock of the former life.
TEST_CASE("an answer of a former life of the target proves nothing",
          "[scheduler]")
{
    fixture all;
    all.targets.is_reborn_in_start = true;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return all.targets.starts.size() == 2; }));
    REQUIRE(all.targets.starts.back().run == 1);
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        n = all.targets.polls.size();
    }
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > n + 3; }));
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.polls.back().lease_until_ms <
            fake_targets::former_clock_ms);
}

// Guards against a loop without a pause, and a second run, while the owner's
// estimate of the target's clock is behind.
TEST_CASE("a start that came too late is repeated as the same run with a pause",
          "[scheduler]")
{
    fixture all;
    all.targets.start_verdict = order_verdict::too_late;
    REQUIRE(all.send().is_owner);
    std::this_thread::sleep_for(milliseconds(500));
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        REQUIRE(all.targets.starts.size() >= 3);
        REQUIRE(all.targets.starts.size() <= 51); // one in 10 ms
        for (const start_order& order : all.targets.starts)
        {
            REQUIRE(order.run == 1);
        }
        REQUIRE(all.targets.stops.empty());
        all.targets.start_verdict = order_verdict::taken;
    }
    std::unique_lock<std::mutex> lock(all.mutex);
    REQUIRE(all.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !all.reports.empty(); }));
    REQUIRE(all.reports.front().what == "started");
    REQUIRE(all.reports.front().run == 1);
}

// A target that had restarted in a one-way cut took the repeated start with a
// lease that nobody counted, and the run started again elsewhere meanwhile.
TEST_CASE("a start is not repeated while its target answers no polls",
          "[scheduler]")
{
    fixture all;
    all.targets.start_silence = 1'000;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return all.targets.starts.size() > 2; }));
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.unreachable = "t1";
    }
    std::this_thread::sleep_for(milliseconds(100));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        n = all.targets.starts.size();
    }
    std::this_thread::sleep_for(milliseconds(100));
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        REQUIRE(all.targets.starts.size() == n);
        all.targets.unreachable.clear();
    }
    REQUIRE(all.targets.wait([&] { return all.targets.starts.size() > n; }));
}

// The new life may have taken the start, with a lease that nobody renews. The
// run was started elsewhere when the lease of the former life was over.
TEST_CASE("a lease of a former life ends no start that may be in the next one",
          "[scheduler]")
{
    const bool is_reborn = GENERATE(false, true);
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.lease = milliseconds(200);
    bounds.lease.longest = milliseconds(300);
    bounds.lease.expiry_slack = milliseconds(50);
    fixture all(bounds);
    all.targets.start_silence = 1'000;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.unreachable = "t1";
    }
    std::this_thread::sleep_for(milliseconds(50));
    all.list_target("127.0.0.1:1", is_reborn ? 2 : 1);
    std::this_thread::sleep_for(milliseconds(1'000));
    all.agent.verify_rack("r1", 7, read_clocks());
    all.agent.tick();
    const std::lock_guard<std::mutex> lock(all.mutex);
    REQUIRE(all.reports.size() == (is_reborn ? 0 : 1));
}

TEST_CASE("a start to a life that only the list has shown is not ended by the "
          "lease of the former one",
          "[scheduler]")
{
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.lease = milliseconds(200);
    bounds.lease.longest = milliseconds(300);
    bounds.lease.expiry_slack = milliseconds(50);
    fixture all(bounds);
    all.targets.start_silence = 1'000;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.poll_time = std::chrono::milliseconds(5'000);
    }
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > 1; }));
    all.list_target("127.0.0.1:1", 2);
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
    {
        // The poll that is waiting was answered by the former life.
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.unreachable = "t1";
        all.targets.poll_time = std::chrono::milliseconds(0);
        all.targets.changed.notify_all();
    }
    std::this_thread::sleep_for(milliseconds(1'000));
    all.agent.verify_rack("r1", 7, read_clocks());
    all.agent.tick();
    const std::lock_guard<std::mutex> lock(all.mutex);
    REQUIRE(all.reports.empty());
}

TEST_CASE("orders for another ownership of the rack are refused", "[scheduler]")
{
    fixture all;
    REQUIRE_FALSE(all.send(6).is_owner);
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.starts.empty());
}

TEST_CASE("an owner that a target refuses takes no more orders", "[scheduler]")
{
    fixture all;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.poll_verdict = order_verdict::wrong_token;
    }
    {
        std::unique_lock<std::mutex> lock(all.mutex);
        REQUIRE(all.changed.wait_for(lock, std::chrono::seconds(20),
                                     [&] { return !all.lost.empty(); }));
    }
    REQUIRE_FALSE(all.send().is_owner);
}

// The thread that loses a rack also sends the heartbeats.
TEST_CASE("losing a rack does not wait for its polls", "[scheduler]")
{
    fixture all;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.poll_time = std::chrono::milliseconds(5'000);
    }
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > 1; }));
    const time_point begun = steady_clock::now();
    all.agent.drop_rack("r1");
    all.agent.tick();
    const milliseconds taken =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun);
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.poll_time = std::chrono::milliseconds(0);
        all.targets.changed.notify_all();
    }
    REQUIRE(taken < milliseconds(4'000));
}

// After a restart of all hosts a task that lasts was away for 18 s: the owner
// waited a whole lease from its claim for a target that was gone.
TEST_CASE("a lease of an earlier life counts from the end of that life",
          "[scheduler]")
{
    fixture all;
    const milliseconds lease = max_lease_duration(lease_limits{});
    all.take_over_with_lost_target(steady_clock::now() - lease);
    REQUIRE(all.send(8, true).is_owner);
    all.agent.tick();
    // The run may have ended on the target that was given up, so the job's
    // owner gives the next one a number of its own.
    std::unique_lock<std::mutex> lock(all.mutex);
    REQUIRE(all.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !all.reports.empty(); }));
    REQUIRE(all.reports.front().how == "lost");
}

// The run may still be at work on the target that does not answer.
TEST_CASE("a repeated start waits while a lease may last", "[scheduler]")
{
    fixture all;
    all.take_over_with_lost_target(steady_clock::now());
    REQUIRE(all.send(8, true).is_owner);
    all.agent.tick();
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > 3; }));
    all.agent.tick();
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.starts.empty());
}

// Rolling restarts: each young owner waited a whole lease for targets that it
// might not know, and a task that lasts stayed away for 17 s (LOST).
TEST_CASE("an owner that has reached all recorded targets waits for no lease",
          "[scheduler]")
{
    fixture all;
    rack_takeover takeover;
    takeover.confirmed_at = read_clocks();
    takeover.rack = "r1";
    takeover.token = 8;
    takeover.roster = {{"t1", "127.0.0.1:1"}};
    takeover.former_stopped_at = steady_clock::now() + milliseconds(60'000);
    all.agent.take_rack(takeover);
    REQUIRE(all.send(8, true).is_owner);
    const time_point limit = steady_clock::now() + std::chrono::seconds(20);
    for (bool is_started = false; !is_started;)
    {
        REQUIRE(steady_clock::now() < limit);
        all.agent.tick();
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        is_started = !all.targets.starts.empty();
    }
}

// After a restart of all hosts of a large fleet, starts waited up to 30 s for
// reads of records, one for each start.
TEST_CASE("one read of a record answers for all repeated starts of its job",
          "[scheduler]")
{
    fixture all;
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
            all.records[job][{task, 1}] = "r1";
        }
        orders.starts.push_back(batch);
    }
    // Look-ups wait until the target has been reached.
    REQUIRE(all.targets.wait([&] { return all.targets.renewals() > 0; }));
    REQUIRE(all.agent.execute(orders).is_owner);
    all.agent.tick();
    REQUIRE(all.lookups == std::vector<std::string>{"a", "b"});
    REQUIRE(all.targets.wait(
        [&] { return all.targets.starts.size() == 2 * tasks; }));
}

// A run that its record assigns to another rack, or that has ended, would run
// twice or after its end.
TEST_CASE("a read of a record starts only the runs that it assigns to the rack",
          "[scheduler]")
{
    fixture all;
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
    all.records["job"] = {{{"job.0.0.0", 1}, "r2"},
                          {{"job.0.0.1", 2}, "r1"},
                          {{"job.0.0.3", 1}, "r1"}};
    REQUIRE(all.targets.wait([&] { return all.targets.renewals() > 0; }));
    REQUIRE(all.agent.execute(orders).is_owner);
    all.agent.tick();
    REQUIRE(all.agent.measure().front().queued == 0);
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        n = all.targets.polls.size();
    }
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > n + 2; }));
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.starts.size() == 1);
    REQUIRE(all.targets.starts.front().task == "job.0.0.3");
}

// A later owner could not know that work runs on it.
TEST_CASE("a target gets no starts before it is recorded", "[scheduler]")
{
    fixture all;
    all.is_recordable = false;
    rack_takeover takeover;
    takeover.confirmed_at = read_clocks();
    takeover.rack = "r1";
    takeover.token = 8;
    all.agent.take_rack(takeover);
    REQUIRE(all.send(8).is_owner);
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > 3; }));
    all.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        REQUIRE(all.targets.starts.empty());
    }
    all.is_recordable = true;
    all.agent.tick();
    REQUIRE(all.rosters.back() == rack_roster{{"t1", "127.0.0.1:1"}});
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
}

// A later owner asked at the former address, where another target had started,
// and took the runs for lost.
TEST_CASE("a target that has moved gets no starts before that is recorded",
          "[scheduler]")
{
    fixture all;
    all.is_recordable = false;
    all.list_target("127.0.0.1:9", 1);
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > 3; }));
    all.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        REQUIRE(all.targets.starts.empty());
    }
    all.is_recordable = true;
    all.agent.tick();
    REQUIRE(all.rosters.back() == rack_roster{{"t1", "127.0.0.1:9"}});
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
}

// Runs at the present address were reported as lost.
TEST_CASE("another life at a former address of a target ends no runs",
          "[scheduler]")
{
    fixture all;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.poll_time = std::chrono::milliseconds(5'000);
        n = all.targets.polls.size();
    }
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > n; }));
    all.list_target("127.0.0.1:9", 1);
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        all.targets.other_life_polls = 1;
        all.targets.poll_time = std::chrono::milliseconds(0);
        all.targets.changed.notify_all();
    }
    REQUIRE(all.targets.wait([&] { return all.targets.polls.size() > n + 1; }));
    const std::lock_guard<std::mutex> lock(all.mutex);
    for (const run_report& report : all.reports)
    {
        REQUIRE(report.what == "started");
    }
}

// A host that the store rejected went on renewing the leases of a target that
// the new owner of the rack did not reach: its tasks ran twice.
TEST_CASE("an owner that the store has not confirmed lately renews no lease",
          "[scheduler]")
{
    fixture all(fixture::limits(milliseconds(400)));
    REQUIRE(all.targets.wait([&] { return all.targets.renewals() > 0; }));
    // The first poll makes contact and grants nothing.
    REQUIRE(all.targets.wait(
        [&]
        {
            const std::vector<poll_request>& polls = all.targets.polls;
            return all.targets.renewals() > 0 &&
                   polls.back().lease_until_ms == 0;
        }));
    const std::size_t count = all.targets.polls.size();
    REQUIRE(
        all.targets.wait([&] { return all.targets.polls.size() > count + 3; }));
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        REQUIRE(all.targets.polls.back().lease_until_ms == 0);
    }
    REQUIRE(all.send().is_owner);
    all.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        REQUIRE(all.targets.starts.empty());
    }
    all.agent.verify_rack("r1", 7, read_clocks());
    all.agent.tick();
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
}

// A later owner counts on it that the former one grants no lease once its
// authority is over; a restarted target grants 10 s to any order of it.
TEST_CASE("no start is sent by an owner that may grant no lease", "[scheduler]")
{
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.authority = milliseconds(1'000);
    fixture all(bounds);
    all.targets.start_silence = 1'000'000;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
    const auto count_unleased = [&]
    {
        return std::count_if(all.targets.polls.begin(), all.targets.polls.end(),
                             [](const poll_request& order)
                             { return order.lease_until_ms == 0; });
    };
    REQUIRE(all.targets.wait([&] { return count_unleased() > 10; }));
    std::size_t starts = 0;
    {
        const std::lock_guard<std::mutex> lock(all.targets.mutex);
        starts = all.targets.starts.size();
    }
    // Starts are repeated every 150 ms, polls every 20 ms.
    REQUIRE(all.targets.wait([&] { return count_unleased() > 60; }));
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    REQUIRE(all.targets.starts.size() == starts);
}

// A start that was held for a lease reached a target 3 s after the platform had
// said that it leaves (DRAIN).
TEST_CASE("a start that was held is not sent to a target that leaves",
          "[scheduler]")
{
    rack_agent_limits bounds = fixture::limits();
    bounds.lease.authority = milliseconds(1'000);
    bounds.order_retry = milliseconds(1'500);
    fixture all(bounds);
    const auto has_lapsed = [&]
    {
        return !all.targets.polls.empty() &&
               all.targets.polls.back().lease_until_ms == 0;
    };
    // The first start keeps the sender busy until the authority is over.
    all.targets.start_silence = 1;
    REQUIRE(all.send().is_owner);
    REQUIRE(all.targets.wait([&] { return !all.targets.starts.empty(); }));
    rack_orders orders;
    orders.rack = "r1";
    orders.token = 7;
    start_batch batch;
    batch.terms.step = "job.0.1";
    batch.terms.service = "svc";
    batch.terms.size = {10, 10, 0};
    batch.runs.push_back({0, 1, "", false});
    orders.starts.push_back(batch);
    REQUIRE(all.agent.execute(orders).is_owner);
    REQUIRE(all.targets.wait(has_lapsed));
    target_entry entry;
    entry.id = "t1";
    entry.service = "svc";
    entry.rack = "r1";
    entry.address = "127.0.0.1:1";
    entry.started_ms = 1;
    entry.capacity = {4'000, 4'000, 0};
    entry.is_draining = true;
    all.agent.set_targets({{"t1", entry}});
    all.agent.verify_rack("r1", 7, read_clocks());
    // The repeated first start shows that the sender has gone on; its copy may
    // have started, so it stays with the target.
    REQUIRE(all.targets.wait([&] { return all.targets.starts.size() >= 2; }));
    REQUIRE(all.agent.measure().front().queued == 1);
    const std::lock_guard<std::mutex> lock(all.targets.mutex);
    for (const start_order& order : all.targets.starts)
    {
        REQUIRE(order.task != "job.0.1.0");
    }
}
