#include "egretspindle/core/error.hpp"
#include "egretspindle/rack/order_sequence.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <set>
#include <thread>

using namespace egretspindle;

namespace
{

/// Fake targets with configurable answers. The members below are guarded by
/// `mutex`.
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
        if (restarts_during_first_start && starts.size() == 1)
        {
            target_started_ms = 2;
            const std::size_t n = polls.size();
            changed.wait_for(lock, std::chrono::seconds(20),
                             [&] { return polls.size() > n + 2; });
            return order_answer{start_verdict, clock_before_restart_ms};
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
        std::unique_lock<std::mutex> lock(mutex);
        stops.push_back(order);
        changed.notify_all();
        if (answer_stop)
        {
            return answer_stop(order, lock);
        }
        return order_answer{stop_verdict, 1'000};
    }

    absl::StatusOr<order_answer> pace(const target_entry&,
                                      const pace_order& order,
                                      std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        paces.push_back(order);
        changed.notify_all();
        if (paces_to_ignore > 0)
        {
            --paces_to_ignore;
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        if (paces_to_refuse > 0)
        {
            --paces_to_refuse;
            return order_answer{order_verdict::unhealthy, 1'000};
        }
        return order_answer{order_verdict::taken, 1'000};
    }

    absl::StatusOr<poll_answer> poll(const target_entry& target,
                                     const poll_request& request,
                                     std::chrono::milliseconds) override
    {
        std::unique_lock<std::mutex> lock(mutex);
        if (target.id == unreachable_id)
        {
            unanswered_polls.push_back(request);
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        polls.push_back(request);
        changed.notify_all();
        if (request.acknowledged > 0 && acknowledgements_to_ignore > 0)
        {
            --acknowledgements_to_ignore;
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        changed.wait_for(lock, poll_duration,
                         [this] { return !poll_duration.count(); });
        poll_answer answer;
        answer.verdict = poll_verdict;
        if (polls_to_answer_other_boot > 0)
        {
            --polls_to_answer_other_boot;
            answer.verdict = order_verdict::other_boot;
        }
        answer.clock_ms = 1'000;
        answer.started_ms = target_started_ms;
        answer.runs = active_runs;
        if (request.acknowledged == 0)
        {
            answer.ends = finished_runs;
        }
        return answer;
    }

    /// Returns the number of polls that granted a lease. The caller must hold
    /// `mutex`.
    [[nodiscard]] int renewals() const
    {
        return static_cast<int>(
            std::count_if(polls.begin(), polls.end(),
                          [](const poll_request& request)
                          { return request.lease_until_ms > 0; }));
    }

    /// Waits for a condition, which is evaluated under `mutex`. Returns whether
    /// it became true within 20 s.
    template <typename Condition>
    bool wait_until(Condition condition)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, std::chrono::seconds(20), condition);
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::vector<pace_order> paces;
    std::vector<poll_request> polls;
    std::vector<poll_request> unanswered_polls; ///< to `unreachable_id`
    /// Reported by each poll until one of them is acknowledged.
    std::vector<listed_end> finished_runs;
    std::vector<listed_run> active_runs; ///< reported by each poll
    std::string unreachable_id; ///< id of a target that answers no poll
    /// Clock in an answer from before the restart; later answers have 1'000.
    static constexpr std::int64_t clock_before_restart_ms = 900'000;
    /// Unix time in ms at which the target process started.
    std::int64_t target_started_ms = 1;
    /// The target restarts while it handles the first start, which it answers
    /// as before the restart.
    bool restarts_during_first_start = false;
    /// Answers the stops in place of `stop_verdict`, with the lock of `mutex`.
    std::function<absl::StatusOr<order_answer>(const stop_order& order,
                                               std::unique_lock<std::mutex>&)>
        answer_stop;
    int acknowledgements_to_ignore = 0; ///< polls that get no answer
    int starts_to_ignore = 0;           ///< starts that get no answer
    int paces_to_ignore = 0;            ///< changes of speed that get no answer
    int paces_to_refuse = 0; ///< changes of speed that are not carried out
    order_verdict start_verdict = order_verdict::taken;
    order_verdict stop_verdict = order_verdict::taken;
    order_verdict poll_verdict = order_verdict::taken;
    int polls_to_answer_other_boot = 0; ///< polls to answer with `other_boot`
    /// How long a poll waits. After a change to 0 with a notification of
    /// `changed`, waiting polls return at once.
    std::chrono::milliseconds poll_duration{20};
};

/// Agent with one rack of one target.
struct fixture
{
    fake_targets targets;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<run_report> reports;
    std::vector<std::string> lost_racks;       ///< passed to the hook `lost`
    std::vector<rack_roster> recorded_targets; ///< given to `record_roster`
    bool record_succeeds = true;               ///< result of `record_roster`
    /// Assigned rack of each run, by job.
    std::map<std::string, run_racks> job_records = {
        {"job", {{{"job.0.0.0", 1}, "r1"}}}};
    std::vector<std::string> looked_up_jobs; ///< whose record was read
    const bool records_intents;              ///< the hooks for intents are set
    intent_record intents;
    bool intents_are_writable = true;
    bool has_overloaded_store = false;   ///< refuses writes of intents
    int refused_intents = 0;             ///< writes of intents
    std::set<std::string> refused_racks; ///< of these writes
    rack_agent agent;

    fixture() : fixture(make_limits()) {}

    explicit fixture(const rack_agent_limits& limits,
                     bool has_intent_hooks = false)
        : records_intents(has_intent_hooks), agent(targets, hooks(), limits)
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

    /// Replaces the platform's list by the target `t1` with this address and
    /// start time in Unix time.
    void list_target(const std::string& address, std::int64_t started_ms,
                     bool is_draining = false)
    {
        target_entry entry;
        entry.id = "t1";
        entry.service = "svc";
        entry.rack = "r1";
        entry.address = address;
        entry.started_ms = started_ms;
        entry.capacity = {4'000, 4'000, 0};
        entry.is_draining = is_draining;
        agent.set_targets({{"t1", entry}});
    }

    /// Takes the rack over again, with a second recorded target that does not
    /// answer and that the platform does not list.
    void take_over_with_unreachable_target(time_point former_owner_stopped_at)
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
        takeover.former_stopped_at = former_owner_stopped_at;
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
            lost_racks.push_back(rack);
            changed.notify_all();
        };
        result.hand_back_quota =
            [](const step_terms&, const std::string&, room_kind)
        {
            return std::size_t{0};
        };
        result.has_eventual_room = [](const step_terms&)
        {
            return true;
        };
        result.read_assignments = [this](const std::string& job)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            looked_up_jobs.push_back(job);
            const auto it = job_records.find(job);
            return it == job_records.end() ? std::optional<run_racks>()
                                           : it->second;
        };
        if (records_intents)
        {
            result.read_intents =
                [this](const std::string&) -> absl::StatusOr<intent_record>
            {
                const std::lock_guard<std::mutex> lock(mutex);
                return intents;
            };
            result.write_intents = [this](const std::string& rack, std::int64_t,
                                          const intent_record& record)
                -> absl::StatusOr<intent_write>
            {
                const std::lock_guard<std::mutex> lock(mutex);
                if (!intents_are_writable)
                {
                    return make_error(error_kind::unavailable, "refused");
                }
                if (has_overloaded_store)
                {
                    ++refused_intents;
                    refused_racks.insert(rack);
                    return make_error(error_kind::overloaded, "overloaded");
                }
                intents = record;
                ++intents.version;
                return intent_write{true, intents.version, false};
            };
        }
        result.record_roster =
            [this](const std::string&, std::int64_t, const rack_roster& roster)
        {
            const std::lock_guard<std::mutex> lock(mutex);
            recorded_targets.push_back(roster);
            return record_succeeds;
        };
        return result;
    }

    /// \param lease_grant_period  how long an owner may grant leases after a
    ///                            confirmation by the store
    static rack_agent_limits
    make_limits(milliseconds lease_grant_period = std::chrono::minutes(1))
    {
        rack_agent_limits result;
        result.lease.authority = lease_grant_period;
        result.order_retry = milliseconds(10);
        return result;
    }

    /// Sends the start of run 1 of the task `job.0.0.0`.
    ///
    /// \param is_repeated  the start may have been sent before
    /// \param is_long_running  of the task
    rack_orders_reply send(std::int64_t token = 7, bool is_repeated = false,
                           bool is_long_running = false)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = token;
        start_batch batch;
        batch.terms.step = "job.0.0";
        batch.terms.service = "svc";
        batch.terms.size = {1'000, 100, 0};
        batch.terms.is_long_running = is_long_running;
        batch.runs.push_back({0, 1, "", is_repeated});
        orders.starts.push_back(batch);
        return agent.execute(orders);
    }

    /// Sends the starts of run 1 of some tasks of a step, and waits until the
    /// target has got them.
    void send_all(std::int64_t count)
    {
        for (std::int64_t index = 0; index < count; ++index)
        {
            step_terms terms;
            terms.step = "job.0.0";
            terms.service = "svc";
            terms.size = {1'000, 100, 0};
            send(terms, index);
        }
        REQUIRE(targets.wait_until(
            [&] { return targets.starts.size() == std::size_t(count); }));
    }

    /// Sends stops of run 1 of the first tasks of the step of `send_all`.
    void stop_all(std::int64_t count)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = 7;
        for (std::int64_t index = 0; index < count; ++index)
        {
            orders.stops.push_back({fmt::format("job.0.0.{}", index), 1});
        }
        REQUIRE(agent.execute(orders).is_owner);
    }

    /// Lets the target list an end whose acknowledgement it does not answer.
    void lose_acknowledgement()
    {
        {
            const std::lock_guard<std::mutex> lock(targets.mutex);
            targets.finished_runs = {{5, "job.0.0.7", 1, "done", ""}};
            targets.acknowledgements_to_ignore = 1;
        }
        std::vector<run_report> listed;
        {
            std::unique_lock<std::mutex> lock(mutex);
            const auto is_end = [](const run_report& report)
            {
                return report.number == 5;
            };
            REQUIRE(changed.wait_for(
                lock, std::chrono::seconds(20),
                [&] {
                    return std::any_of(reports.begin(), reports.end(), is_end);
                }));
            std::copy_if(reports.begin(), reports.end(),
                         std::back_inserter(listed), is_end);
        }
        report_reply reply;
        reply.verdicts.resize(listed.size());
        for (report_verdict& verdict : reply.verdicts)
        {
            verdict.verdict = "recorded";
        }
        agent.apply_verdicts(listed, reply);
        REQUIRE(targets.wait_until(
            [&] { return targets.acknowledgements_to_ignore == 0; }));
    }

    /// Sends the start of run 1 of a task of a step.
    void send(const step_terms& terms, std::int64_t index = 0)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = 7;
        start_batch batch;
        batch.terms = terms;
        batch.runs.push_back({index, 1, "", false});
        orders.starts.push_back(batch);
        agent.execute(orders);
    }
};

} // namespace

TEST_CASE("an unanswered start is retried with the same run number",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 2;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() == 3; }));
    rack_state rack;
    rack.token = 7;
    for (const start_order& order : env.targets.starts)
    {
        REQUIRE(order.run == 1);
        REQUIRE(order.token == order_token(rack, {}));
    }
    // Retries must not extend the lease, so that the runs of a target that does
    // not answer are certain to end.
    REQUIRE(env.targets.starts[2].lease_until_ms <=
            env.targets.starts[1].lease_until_ms);
}

// Guards against runs of a dead target whose end is concluded seconds late.
TEST_CASE("a start does not extend the lease of a target that left another one "
          "unanswered",
          "[scheduler]")
{
    fixture env;
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 1; }));
    std::size_t polls = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::seconds(20);
        env.targets.starts_to_ignore = 1'000;
        polls = env.targets.polls.size();
    }
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.polls.size() > polls; }));
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() > 1; }));
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {1'000, 100, 0};
    env.send(terms, 1);
    const auto is_second = [](const start_order& order)
    {
        return order.task == "job.0.0.1";
    };
    REQUIRE(env.targets.wait_until(
        [&]
        {
            return std::any_of(env.targets.starts.begin(),
                               env.targets.starts.end(), is_second);
        }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    const auto second = std::find_if(env.targets.starts.begin(),
                                     env.targets.starts.end(), is_second);
    REQUIRE(second->lease_until_ms ==
            env.targets.starts.front().lease_until_ms);
    env.targets.poll_duration = std::chrono::milliseconds(0);
    env.targets.changed.notify_all();
}

// The target may still execute the earlier, unanswered attempt seconds later,
// while a second run of the task is active elsewhere. The stop prevents that.
TEST_CASE("a start that is refused after an unanswered attempt is followed by "
          "a stop",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 1;
    env.targets.start_verdict = order_verdict::no_room;
    REQUIRE(env.send().is_owner);
    REQUIRE(env.targets.wait_until([&] { return !env.targets.stops.empty(); }));
    REQUIRE(env.targets.stops.front().run == 1);
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.size() == 2);
}

// Guards against runs of cancelled jobs that go on because the stops of one
// target wait for each other's time-outs.
TEST_CASE("a stop without an answer does not delay the other stops of its "
          "target",
          "[scheduler]")
{
    fixture env;
    bool is_overtaken = false;
    env.targets.answer_stop =
        [&](const stop_order&,
            std::unique_lock<std::mutex>& lock) -> absl::StatusOr<order_answer>
    {
        if (env.targets.stops.size() > 1)
        {
            return order_answer{order_verdict::taken, 1'000};
        }
        is_overtaken = env.targets.changed.wait_for(
            lock, std::chrono::seconds(5),
            [&] { return env.targets.stops.size() >= 3; });
        return make_error(error_kind::deadline_exceeded, "no answer");
    };
    env.send_all(3);
    env.stop_all(3);
    CHECK(env.targets.wait_until([&] { return is_overtaken; }));
}

// Guards against an owner that drops its rack although the newer token that the
// target has seen is its own.
TEST_CASE("a stop is repeated if a start has raised the token meanwhile",
          "[scheduler]")
{
    fixture env;
    std::set<std::string> refused;
    env.targets.answer_stop =
        [&](const stop_order& order,
            std::unique_lock<std::mutex>& lock) -> absl::StatusOr<order_answer>
    {
        // The sender of the target has the first of the two stops.
        const bool is_first = env.targets.stops.size() == 1;
        if (env.targets.stops.size() <= 2)
        {
            env.targets.changed.wait_for(
                lock, std::chrono::seconds(20),
                [&]
                {
                    return is_first ? env.targets.stops.size() == 2
                                    : env.targets.starts.size() == 3;
                });
        }
        if (order.token >= env.targets.starts.back().token)
        {
            return order_answer{order_verdict::taken, 1'000};
        }
        refused.insert(order.task);
        return order_answer{order_verdict::wrong_token, 1'000};
    };
    env.send_all(2);
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.active_runs = {{"job.0.0.0", 1, "", 0},
                                   {"job.0.0.1", 1, "", 0}};
    }
    env.lose_acknowledgement();
    env.stop_all(2);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.stops.size() == 2; }));
    step_terms terms;
    terms.step = "other.0.0";
    terms.service = "svc";
    terms.size = {1'000, 100, 0};
    env.send(terms);
    CHECK(env.targets.wait_until(
        [&]
        {
            return refused.size() == 1 &&
                   std::count_if(env.targets.stops.begin(),
                                 env.targets.stops.end(),
                                 [&](const stop_order& order) {
                                     return order.task == *refused.begin();
                                 }) > 1;
        }));
    const std::lock_guard<std::mutex> lock(env.mutex);
    CHECK(env.lost_racks.empty());
}

// Guards against a run that is reported as lost while the target may still
// execute the first attempt of its start.
TEST_CASE("a rejected stop is retried, and the run is not reported as ended",
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
    REQUIRE(env.targets.wait_until([&] { return !env.targets.stops.empty(); }));
    std::this_thread::sleep_for(milliseconds(1'500));
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        REQUIRE(env.reports.empty());
    }
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.stops.size() >= 3);
    // The delay between retries (`order_retry`) is 10 ms here, so there are at
    // most 150 in 1.5 s; 10 more allow for a late wake-up of this thread.
    REQUIRE(env.targets.stops.size() <= 160);
    env.targets.stop_verdict = order_verdict::taken; // ends the retries
}

TEST_CASE("a run is reported as lost once a stop guarantees that it cannot "
          "start",
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

// After a restart, a target numbers its ended runs anew. A stale
// acknowledgement would discard an unrelated end with the same number.
TEST_CASE("a poll after an unanswered one acknowledges no ended run",
          "[scheduler]")
{
    fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.finished_runs = {{5, "job.0.0.7", 1, "done", ""}};
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
    REQUIRE(env.targets.wait_until(
        [&]
        {
            return std::any_of(env.targets.polls.begin(),
                               env.targets.polls.end(),
                               [](const poll_request& request)
                               { return request.acknowledged == 5; });
        }));
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
        n = env.targets.unanswered_polls.size();
    }
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.unanswered_polls[1].acknowledged == 0);
}

// Guards against two runs of a task: the lease of a silent target may expire
// while the start is sent, and a new boot of it carries the start out.
TEST_CASE(
    "a target that left a poll unanswered gets no start before it answers",
    "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.poll_timeout = milliseconds(20);
    fixture env(limits);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 1; }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id = "t1";
    }
    const time_point limit = steady_clock::now() + std::chrono::seconds(20);
    for (std::size_t n = 0; n == 0;)
    {
        REQUIRE(steady_clock::now() < limit);
        std::this_thread::sleep_for(milliseconds(20));
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.unanswered_polls.size();
    }
    std::this_thread::sleep_for(milliseconds(100));
    REQUIRE(env.send().is_owner);
    std::this_thread::sleep_for(milliseconds(50));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        CHECK(env.targets.starts.empty());
        env.targets.unreachable_id.clear();
    }
    CHECK(env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
}

// A run must not be reported as lost after its retried start was executed, and
// leases must not be computed from the target's clock before the restart.
TEST_CASE("an answer from before a restart of the target is ignored",
          "[scheduler]")
{
    fixture env;
    env.targets.restarts_during_first_start = true;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() == 2; }));
    REQUIRE(env.targets.starts.back().run == 1);
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.polls.size();
    }
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.polls.size() > n + 3; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.polls.back().lease_until_ms <
            fake_targets::clock_before_restart_ms);
}

// While the owner's estimate of the target's clock lags, the start must be
// retried with a delay and without a new run number.
TEST_CASE("a start whose lease has expired is retried after a delay with the "
          "same run number",
          "[scheduler]")
{
    fixture env;
    env.targets.start_verdict = order_verdict::too_late;
    REQUIRE(env.send().is_owner);
    std::this_thread::sleep_for(milliseconds(500));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.size() >= 3);
        // At most one every 10 ms (`order_retry`).
        REQUIRE(env.targets.starts.size() <= 51);
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

// Otherwise a target that restarts unnoticed could accept the retried start
// with a lease that its owner does not know, while the run is started again
// elsewhere.
TEST_CASE("a start is not retried while its target answers no polls",
          "[scheduler]")
{
    fixture env;
    env.targets.starts_to_ignore = 1'000;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() > 2; }));
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
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() > n; }));
}

// The target may have accepted the start after its restart. Otherwise the run
// would be started elsewhere when the lease from before the restart expires.
TEST_CASE("a run whose start may have arrived after a restart is not reported "
          "as lost when the earlier lease expires",
          "[scheduler]")
{
    const bool is_restarted = GENERATE(false, true);
    rack_agent_limits limits = fixture::make_limits();
    limits.lease.lease = milliseconds(200);
    limits.lease.longest = milliseconds(300);
    limits.lease.expiry_slack = milliseconds(50);
    fixture env(limits);
    env.targets.starts_to_ignore = 1'000;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
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

// Like the test before, but no answer of the target shows the restart.
TEST_CASE(
    "a run is not reported as lost when the earlier lease expires if only "
    "the platform's list shows the restart",
    "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.lease.lease = milliseconds(200);
    limits.lease.longest = milliseconds(300);
    limits.lease.expiry_slack = milliseconds(50);
    fixture env(limits);
    env.targets.starts_to_ignore = 1'000;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(5'000);
    }
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 1; }));
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    env.list_target("127.0.0.1:1", 2);
    std::size_t before = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        before = env.targets.starts.size();
    }
    // Unanswered starts are repeated after the restart has been listed.
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.starts.size() > before + 1; }));
    {
        // The pending poll still returns the state from before the restart.
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

TEST_CASE("orders with a different fencing token are refused", "[scheduler]")
{
    fixture env;
    REQUIRE_FALSE(env.send(6).is_owner);
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.empty());
}

TEST_CASE("an owner stops accepting orders once a target rejects its token",
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
                                     [&] { return !env.lost_racks.empty(); }));
    }
    REQUIRE_FALSE(env.send().is_owner);
}

// Polls that wait for a target must not block the thread that drops a rack.
TEST_CASE("dropping a rack does not wait for pending polls", "[scheduler]")
{
    fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(5'000);
    }
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 1; }));
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

// A new owner need not wait a full lease after its own takeover for a target
// that has disappeared. That wait would interrupt long-running tasks for 18 s
// after a restart of all hosts.
TEST_CASE("leases of the former owner expire relative to the time at which it "
          "stopped",
          "[scheduler]")
{
    fixture env;
    const milliseconds lease = max_lease_duration(lease_limits{});
    env.take_over_with_unreachable_target(steady_clock::now() - lease);
    REQUIRE(env.send(8, true).is_owner);
    env.agent.tick();
    // The run may have ended on the unreachable target, so the owner of the job
    // gives the next run a new number.
    std::unique_lock<std::mutex> lock(env.mutex);
    REQUIRE(env.changed.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return !env.reports.empty(); }));
    REQUIRE(env.reports.front().how == "lost");
}

// The run may still be active on the unreachable target.
TEST_CASE(
    "a start that may have been sent before is not sent while a lease of the "
    "former owner may be valid",
    "[scheduler]")
{
    fixture env;
    env.take_over_with_unreachable_target(steady_clock::now());
    REQUIRE(env.send(8, true).is_owner);
    env.agent.tick();
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 3; }));
    env.agent.tick();
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.empty());
}

// A new owner waits only for recorded targets that it cannot reach. A wait of a
// whole lease after each takeover would interrupt long-running tasks for 17 s
// during rolling restarts.
TEST_CASE("an owner that has reached all recorded targets does not wait for "
          "leases to expire",
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

// One read for each start would delay starts by up to 30 s after a restart of
// all hosts of a large fleet.
TEST_CASE("one read of a job record resolves all repeated starts of the job",
          "[scheduler]")
{
    fixture env;
    constexpr std::int64_t tasks = 30; // above `rack_agent_limits::max_lookups`
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
            env.job_records[job][{task, 1}] = "r1";
        }
        orders.starts.push_back(batch);
    }
    // Look-ups wait until the target has been reached.
    REQUIRE(env.targets.wait_until([&] { return env.targets.renewals() > 0; }));
    REQUIRE(env.agent.execute(orders).is_owner);
    env.agent.tick();
    REQUIRE(env.looked_up_jobs == std::vector<std::string>{"a", "b"});
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.starts.size() == 2 * tasks; }));
}

// Guards against a job whose record cannot be read and that blocks all others.
TEST_CASE("repeated starts are looked up although the record of another job "
          "cannot be read",
          "[.][scheduler_lookup_order]")
{
    fixture env;
    rack_orders orders;
    orders.rack = "r1";
    orders.token = 7;
    for (const std::string job : {"a", "job"}) // `a` has no readable record
    {
        start_batch batch;
        batch.terms.step = job + ".0.0";
        batch.terms.service = "svc";
        batch.terms.size = {10, 10, 0};
        batch.runs.push_back({0, 1, "", true});
        orders.starts.push_back(batch);
    }
    // Look-ups wait until the target has been reached.
    REQUIRE(env.targets.wait_until([&] { return env.targets.renewals() > 0; }));
    REQUIRE(env.agent.execute(orders).is_owner);
    constexpr int ticks = 20;
    for (int n = 0; n < ticks; ++n)
    {
        env.agent.tick();
    }
    CHECK(std::count(env.looked_up_jobs.begin(), env.looked_up_jobs.end(),
                     "job") > 0);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    CHECK(env.targets.starts.front().task == "job.0.0.0");
}

// Guards against backfill tasks at full speed beside serving tasks that only
// bear less.
TEST_CASE("the speed of a slowed start is ordered once the target confirms it",
          "[scheduler]")
{
    fixture env;
    step_terms serving;
    serving.step = "serving.0.0";
    serving.service = "svc";
    serving.size = {1'000, 100, 0};
    serving.image = "serving";
    serving.is_long_running = true;
    serving.response_target_ms = 50;
    env.send(serving);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() == 1; }));
    env.agent.update_peer_interference("h2", 1,
                                       {{"serving", "heavy", 5.0, 1'000'000}});
    step_terms backfill;
    backfill.step = "job.0.0";
    backfill.service = "svc";
    backfill.size = {1'000, 100, 0};
    backfill.image = "heavy";
    backfill.uses_idle_cpu = true;
    env.send(backfill);
    const auto is_paced = [&]
    {
        return !env.targets.paces.empty() &&
               env.targets.paces.front().task == "job.0.0.0";
    };
    const time_point end = steady_clock::now() + std::chrono::seconds(20);
    bool is_done = false;
    while (!is_done && steady_clock::now() < end)
    {
        env.agent.tick();
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        is_done = is_paced();
    }
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(is_done);
    CHECK(env.targets.starts.back().task == "job.0.0.0");
    CHECK(env.targets.paces.front().percent < 100);
}

// Guards against a backfill task that harms serving tasks at full speed for as
// long as it runs, because its target has refused the orders to slow it.
TEST_CASE("a slowed start is slowed or stopped after its target has refused "
          "changes of speed",
          "[.][scheduler_refused_pace]")
{
    fixture env;
    // The first speed of the run, and the change to 0 once the serving task has
    // missed its target.
    env.targets.paces_to_refuse = 2;
    step_terms serving;
    serving.step = "serving.0.0";
    serving.service = "svc";
    serving.size = {1'000, 100, 0};
    serving.image = "serving";
    serving.is_long_running = true;
    serving.response_target_ms = 50;
    env.send(serving);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() == 1; }));
    {
        // A little more than its target of 50 ms needs, so that no task may be
        // sped up.
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.active_runs = {{"serving.0.0.0", 1, "", 100, 42}};
    }
    env.agent.update_peer_interference("h2", 1,
                                       {{"serving", "heavy", 5.0, 1'000'000}});
    step_terms backfill;
    backfill.step = "job.0.0";
    backfill.service = "svc";
    backfill.size = {1'000, 100, 0};
    backfill.image = "heavy";
    backfill.uses_idle_cpu = true;
    env.send(backfill);
    const auto tick_until = [&](auto condition)
    {
        const time_point end = steady_clock::now() + std::chrono::seconds(20);
        bool is_done = false;
        while (!is_done && steady_clock::now() < end)
        {
            env.agent.tick();
            std::this_thread::sleep_for(milliseconds(20));
            const std::lock_guard<std::mutex> lock(env.targets.mutex);
            is_done = condition();
        }
        return is_done;
    };
    REQUIRE(tick_until([&] { return env.targets.paces.size() == 1; }));
    {
        // The other task runs at full speed, so the target is missed.
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.active_runs = {{"serving.0.0.0", 1, "", 100, 62},
                                   {"job.0.0.0", 1, "", 100, 1'000}};
    }
    REQUIRE(tick_until([&] { return env.targets.paces.size() == 2; }));
    const auto has_new_order = [&]
    {
        return env.targets.paces.size() > 2 || !env.targets.stops.empty();
    };
    CHECK(tick_until(has_new_order));
}

// A run must not be started if the record assigns it to another rack, where it
// would run twice, or no longer contains it, since it has ended.
TEST_CASE(
    "only repeated starts that the job record assigns to the rack are sent",
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
    env.job_records["job"] = {{{"job.0.0.0", 1}, "r2"},
                              {{"job.0.0.1", 2}, "r1"},
                              {{"job.0.0.3", 1}, "r1"}};
    REQUIRE(env.targets.wait_until([&] { return env.targets.renewals() > 0; }));
    REQUIRE(env.agent.execute(orders).is_owner);
    env.agent.tick();
    REQUIRE(env.agent.measure().front().queued == 0);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        n = env.targets.polls.size();
    }
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.polls.size() > n + 2; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.size() == 1);
    REQUIRE(env.targets.starts.front().task == "job.0.0.3");
}

// Otherwise a later owner would not know that this target may have active runs.
TEST_CASE("a target gets no starts before it is recorded", "[scheduler]")
{
    fixture env;
    env.record_succeeds = false;
    rack_takeover takeover;
    takeover.confirmed_at = read_clocks();
    takeover.rack = "r1";
    takeover.token = 8;
    env.agent.take_rack(takeover);
    REQUIRE(env.send(8).is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 3; }));
    env.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.empty());
    }
    env.record_succeeds = true;
    env.agent.tick();
    REQUIRE(env.recorded_targets.back() == rack_roster{{"t1", "127.0.0.1:1"}});
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
}

// Otherwise a later owner could poll the old address, reach a different target
// there, and report the runs as lost.
TEST_CASE("a target gets no starts before its new address is recorded",
          "[scheduler]")
{
    fixture env;
    env.record_succeeds = false;
    env.list_target("127.0.0.1:9", 1);
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 3; }));
    env.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        REQUIRE(env.targets.starts.empty());
    }
    env.record_succeeds = true;
    env.agent.tick();
    REQUIRE(env.recorded_targets.back() == rack_roster{{"t1", "127.0.0.1:9"}});
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
}

// An answer from the former address must not cause runs at the current address
// to be reported as lost.
TEST_CASE("an answer from a target's former address ends no runs",
          "[scheduler]")
{
    fixture env;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    std::size_t n = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::milliseconds(5'000);
        n = env.targets.polls.size();
    }
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > n; }));
    env.list_target("127.0.0.1:9", 1);
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.polls_to_answer_other_boot = 1;
        env.targets.poll_duration = std::chrono::milliseconds(0);
        env.targets.changed.notify_all();
    }
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.polls.size() > n + 1; }));
    const std::lock_guard<std::mutex> lock(env.mutex);
    for (const run_report& report : env.reports)
    {
        REQUIRE(report.what == "started");
    }
}

// Otherwise a host that the store rejects would keep renewing the leases of a
// target that the new owner cannot reach, and tasks would run twice.
TEST_CASE(
    "an owner renews no lease when its confirmation by the store is older "
    "than the limit",
    "[scheduler]")
{
    fixture env(fixture::make_limits(milliseconds(400)));
    REQUIRE(env.targets.wait_until([&] { return env.targets.renewals() > 0; }));
    // The first poll only reads the target's clock and grants no lease, so this
    // waits for a lease and then for a poll without one.
    REQUIRE(env.targets.wait_until(
        [&]
        {
            const std::vector<poll_request>& polls = env.targets.polls;
            return env.targets.renewals() > 0 &&
                   polls.back().lease_until_ms == 0;
        }));
    const std::size_t count = env.targets.polls.size();
    REQUIRE(env.targets.wait_until(
        [&] { return env.targets.polls.size() > count + 3; }));
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
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
}

// A later owner relies on the former one not to grant leases after its right to
// do so has expired. A restarted target, whose clock starts anew, grants up to
// `lease_limits::longest` to a start that was made before the restart.
TEST_CASE("an owner that must not grant leases sends no starts", "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.lease.authority = milliseconds(1'000);
    fixture env(limits);
    env.targets.starts_to_ignore = 1'000'000;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    const auto count_polls_without_lease = [&]
    {
        return std::count_if(env.targets.polls.begin(), env.targets.polls.end(),
                             [](const poll_request& request)
                             { return request.lease_until_ms == 0; });
    };
    REQUIRE(env.targets.wait_until(
        [&] { return count_polls_without_lease() > 10; }));
    std::size_t starts = 0;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        starts = env.targets.starts.size();
    }
    // Starts are retried every 10 ms (`order_retry`), polls answered after 20
    // ms.
    REQUIRE(env.targets.wait_until(
        [&] { return count_polls_without_lease() > 60; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    REQUIRE(env.targets.starts.size() == starts);
}

// Guards against an owner that is paused after it has found that no host
// reaches the store, and then extends its right to grant leases from its return
// on.
TEST_CASE("the right to grant leases is extended from the check on",
          "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.lease.authority = milliseconds(1'000);
    fixture env(limits);
    REQUIRE(env.targets.wait_until([&] { return !env.targets.polls.empty(); }));
    const auto end = steady_clock::now() + std::chrono::seconds(20);
    bool is_expired = false;
    while (!is_expired && steady_clock::now() < end)
    {
        env.agent.extend_authority(boot_clock::now() -
                                   limits.lease.outage_step);
        std::this_thread::sleep_for(milliseconds(20));
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        is_expired =
            std::count_if(env.targets.polls.begin(), env.targets.polls.end(),
                          [](const poll_request& request)
                          { return request.lease_until_ms == 0; }) > 10;
    }
    CHECK(is_expired);
}

// A start that is delayed until the owner may grant leases again must be
// checked against the current list before it is sent. Otherwise it may reach a
// target seconds after the platform has listed it as draining.
TEST_CASE("a delayed start is not sent to a target that is draining by then",
          "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.lease.authority = milliseconds(1'000);
    limits.order_retry = milliseconds(1'500);
    fixture env(limits);
    const auto last_poll_granted_no_lease = [&]
    {
        return !env.targets.polls.empty() &&
               env.targets.polls.back().lease_until_ms == 0;
    };
    // The retry delay of the first start (1.5 s) occupies the sender thread
    // until the right to grant leases has expired (1 s).
    env.targets.starts_to_ignore = 1;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
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
    REQUIRE(env.targets.wait_until(last_poll_granted_no_lease));
    env.list_target("127.0.0.1:1", 1, true);
    env.agent.verify_rack("r1", 7, read_clocks());
    // The retry of the first start shows that the sender thread has continued.
    // The first attempt may have been executed, so it is retried on the same
    // target even though that is draining.
    const auto has_retried = [&]
    {
        // The retry may come after the right to grant leases has lapsed again.
        env.agent.verify_rack("r1", 7, read_clocks());
        return env.targets.starts.size() >= 2;
    };
    REQUIRE(env.targets.wait_until(has_retried));
    REQUIRE(env.agent.measure().front().queued == 1);
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    for (const start_order& order : env.targets.starts)
    {
        REQUIRE(order.task != "job.0.1.0");
    }
}

// Guards against long-running tasks that end with their target although it has
// said before that it drains.
TEST_CASE(
    "a long-running run is stopped when its draining target is about to end",
    "[scheduler]")
{
    fixture env;
    REQUIRE(env.send(7, false, true).is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.active_runs = {{"job.0.0.0", 1, "", 0}};
    }
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.polls.size() > 2; }));
    env.list_target("127.0.0.1:1", 1, true);
    REQUIRE(env.targets.wait_until([&] { return !env.targets.stops.empty(); }));
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        CHECK(env.targets.stops.front().task == "job.0.0.0");
        CHECK(env.targets.stops.front().run == 1);
        env.targets.active_runs.clear();
        env.targets.finished_runs = {{1, "job.0.0.0", 1, "stopped", ""}};
    }
    std::unique_lock<std::mutex> lock(env.mutex);
    const auto is_reported = [&]
    {
        return std::any_of(env.reports.begin(), env.reports.end(),
                           [](const run_report& report) {
                               return report.task == "job.0.0.0" &&
                                      report.how == "stopped";
                           });
    };
    CHECK(env.changed.wait_for(lock, std::chrono::seconds(20), is_reported));
}

// Guards against starts of cancelled jobs that are sent seconds after the
// cancellation, since they waited behind orders that their target left
// unanswered.
TEST_CASE("a waiting start is not sent once its run is to be stopped",
          "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.order_retry = milliseconds(300);
    fixture env(limits);
    env.targets.starts_to_ignore = 1;
    env.targets.stop_verdict = order_verdict::unhealthy;
    REQUIRE(env.send().is_owner);
    REQUIRE(
        env.targets.wait_until([&] { return !env.targets.starts.empty(); }));
    {
        // Each answer to a poll would queue the stop again, before the start.
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.poll_duration = std::chrono::seconds(60);
    }
    // The retry delay of the first start occupies the sender thread.
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
    rack_orders stop;
    stop.rack = "r1";
    stop.token = 7;
    stop.stops.push_back({"job.0.1.0", 1});
    REQUIRE(env.agent.execute(stop).is_owner);
    {
        std::unique_lock<std::mutex> lock(env.mutex);
        const auto is_reported = [&]
        {
            return std::any_of(env.reports.begin(), env.reports.end(),
                               [](const run_report& report) {
                                   return report.task == "job.0.1.0" &&
                                          report.how == "not_started";
                               });
        };
        CHECK(
            env.changed.wait_for(lock, std::chrono::seconds(20), is_reported));
    }
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() >= 2; }));
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    for (const start_order& order : env.targets.starts)
    {
        CHECK(order.task != "job.0.1.0");
    }
    env.targets.poll_duration = {};
    env.targets.changed.notify_all();
}

// An entry of the list may name a target that does not exist. Guards against
// takeovers that wait for the leases of such a target (14.7 s), which is long
// enough for a long-running task to count as lost.
TEST_CASE("a target is recorded once it has answered a poll", "[scheduler]")
{
    fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id = "t2";
    }
    target_entry entry;
    entry.id = "t2";
    entry.service = "svc";
    entry.rack = "r1";
    entry.address = "127.0.0.1:2";
    entry.capacity = {4'000, 4'000, 0};
    target_entry other = entry;
    other.id = "t1";
    other.address = "127.0.0.1:1";
    env.agent.set_targets({{"t1", other}, {"t2", entry}});
    REQUIRE(env.targets.wait_until(
        [&] { return !env.targets.unanswered_polls.empty(); }));
    env.agent.tick();
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        CHECK(env.recorded_targets.empty());
    }
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        env.targets.unreachable_id.clear();
    }
    const auto is_recorded = [&]
    {
        env.agent.tick();
        const std::lock_guard<std::mutex> lock(env.mutex);
        return !env.recorded_targets.empty() &&
               env.recorded_targets.back().count("t2") == 1;
    };
    bool was_recorded = false;
    for (int n = 0; n < 2'000 && !was_recorded; ++n)
    {
        was_recorded = is_recorded();
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(was_recorded);
}

// Guards against a run that a later owner does not know of: it would start the
// task a second time.
TEST_CASE("a long-running start is sent after its intent is recorded",
          "[scheduler]")
{
    fixture env(fixture::make_limits(), true);
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        env.intents_are_writable = false;
    }
    REQUIRE(env.targets.wait_until([&] { return !env.targets.polls.empty(); }));
    REQUIRE(env.send(7, false, true).is_owner);
    for (int n = 0; n < 10; ++n)
    {
        env.agent.tick();
        std::this_thread::sleep_for(milliseconds(20));
    }
    {
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        CHECK(env.targets.starts.empty());
    }
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        env.intents_are_writable = true;
    }
    REQUIRE(
        env.targets.wait_until([&] { return env.targets.starts.size() == 1; }));
    const std::lock_guard<std::mutex> lock(env.mutex);
    REQUIRE(env.intents.intents.size() == 1);
    CHECK(env.intents.intents.at({"job.0.0.0", 1}).target == "t1");
}

// Guards against owners of several racks that write at full rate to a store
// that refuses calls of all hosts, and against racks that never get a turn.
TEST_CASE("racks share a limited rate of writes of intents while the store is "
          "overloaded",
          "[scheduler]")
{
    fixture env(fixture::make_limits(), true);
    env.has_overloaded_store = true;
    std::map<std::string, target_entry> entries;
    for (int n = 1; n <= 4; ++n)
    {
        target_entry entry;
        entry.id = fmt::format("t{}", n);
        entry.service = "svc";
        entry.rack = fmt::format("r{}", n);
        entry.address = fmt::format("127.0.0.1:{}", n);
        entry.capacity = {4'000, 4'000, 0};
        entries[entry.id] = entry;
    }
    env.agent.set_targets(entries);
    for (int n = 1; n <= 4; ++n)
    {
        rack_takeover takeover;
        takeover.confirmed_at = read_clocks();
        takeover.rack = fmt::format("r{}", n);
        takeover.token = 7;
        takeover.roster = {
            {fmt::format("t{}", n), fmt::format("127.0.0.1:{}", n)}};
        env.agent.take_rack(takeover);
        rack_orders orders;
        orders.rack = takeover.rack;
        orders.token = 7;
        start_batch batch;
        batch.terms.step = fmt::format("job{}.0.0", n);
        batch.terms.service = "svc";
        batch.terms.size = {1'000, 100, 0};
        batch.terms.is_long_running = true;
        batch.runs.push_back({0, 1, "", false});
        orders.starts.push_back(batch);
        REQUIRE(env.agent.execute(orders).is_owner);
    }
    const auto refused_intents = [&]
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        return env.refused_intents;
    };
    for (int n = 0; n < 2'000 && refused_intents() == 0; ++n)
    {
        env.agent.tick();
        std::this_thread::sleep_for(milliseconds(10));
    }
    REQUIRE(refused_intents() > 0);
    // Intervals of 50, 100, 200, 400 and 800 ms and a quarter less: at most 6
    // more writes. Without a limit each rack writes every 100 ms.
    for (int n = 0; n < 15; ++n)
    {
        env.agent.tick();
        std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(refused_intents() <= 8);
    const auto refused_racks = [&]
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        return env.refused_racks.size();
    };
    for (int n = 0; n < 2'000 && refused_racks() < 4; ++n)
    {
        env.agent.tick();
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(refused_racks() == 4);
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        env.has_overloaded_store = false;
    }
    const auto started = [&]
    {
        env.agent.tick();
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        std::set<std::string> tasks;
        for (const start_order& order : env.targets.starts)
        {
            tasks.insert(order.task);
        }
        return tasks.size();
    };
    std::size_t count = 0;
    for (int n = 0; n < 2'000 && count < 4; ++n)
    {
        count = started();
        std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK(count == 4);
}

// Guards against a long-running task that is away for 14.7 s, because its start
// got no answer before its rack was taken over.
TEST_CASE("a repeated start without an intent does not wait for leases",
          "[scheduler]")
{
    fixture env(fixture::make_limits(), true);
    env.take_over_with_unreachable_target(steady_clock::now());
    REQUIRE(env.send(8, true, true).is_owner);
    bool is_started = false;
    for (int n = 0; n < 300 && !is_started; ++n)
    {
        env.agent.tick();
        std::this_thread::sleep_for(milliseconds(10));
        const std::lock_guard<std::mutex> lock(env.targets.mutex);
        is_started = !env.targets.starts.empty();
    }
    CHECK(is_started);
}

// The former owner may have started the run on the target that does not answer.
// Guards against a second run beside it.
TEST_CASE("a repeated start waits for the target in its intent", "[scheduler]")
{
    fixture env(fixture::make_limits(), true);
    {
        const std::lock_guard<std::mutex> lock(env.mutex);
        env.intents.intents = {{{"job.0.0.0", 1}, {"t2"}}};
    }
    env.take_over_with_unreachable_target(steady_clock::now());
    REQUIRE(env.send(8, true, true).is_owner);
    for (int n = 0; n < 20; ++n)
    {
        env.agent.tick();
        std::this_thread::sleep_for(milliseconds(20));
    }
    const std::lock_guard<std::mutex> lock(env.targets.mutex);
    CHECK(env.targets.starts.empty());
}

// Guards against a backfill task that stays at full speed beside a serving task
// over its response-time target, since the order to slow it was lost.
TEST_CASE("an unanswered change of speed is repeated", "[scheduler]")
{
    fixture test;
    test.agent.verify_rack("r1", 7, read_clocks());
    step_terms serving;
    serving.step = "serving.0.0";
    serving.service = "svc";
    serving.size = {500, 100, 0};
    serving.image = "serving";
    serving.is_long_running = true;
    serving.response_target_ms = 50;
    step_terms backfill;
    backfill.step = "backfill.0.0";
    backfill.service = "svc";
    backfill.size = {2'000, 100, 0};
    backfill.image = "backfill";
    backfill.uses_idle_cpu = true;
    {
        const std::lock_guard<std::mutex> lock(test.targets.mutex);
        // Over the response-time target by so much that it orders a speed of 0,
        // which changes no more.
        test.targets.active_runs = {{"serving.0.0.0", 1, "", 100, 60},
                                    {"backfill.0.0.0", 1, "", 100, 2'000}};
        test.targets.paces_to_ignore = 1;
    }
    test.send(serving);
    test.send(backfill);
    REQUIRE(test.targets.wait_until(
        [&] { return test.targets.paces.size() == 2; }));
    const std::lock_guard<std::mutex> lock(test.targets.mutex);
    for (const pace_order& order : test.targets.paces)
    {
        REQUIRE(order.task == "backfill.0.0.0");
        REQUIRE(order.run == 1);
        REQUIRE(order.percent == 0);
    }
}

// A reservation alone does not free memory that a slowed backfill task holds.
TEST_CASE("a backfill task is stopped for the memory of a long-running start",
          "[scheduler]")
{
    fixture test;
    test.agent.verify_rack("r1", 7, read_clocks());
    step_terms backfill;
    backfill.step = "backfill.0.0";
    backfill.service = "svc";
    backfill.size = {1'000, 3'000, 0};
    backfill.priority = 1;
    backfill.image = "backfill";
    backfill.uses_idle_cpu = true;
    step_terms waiting;
    waiting.step = "waiting.0.0";
    waiting.service = "svc";
    waiting.size = {1'000, 2'000, 0};
    waiting.is_long_running = true;
    {
        const std::lock_guard<std::mutex> lock(test.targets.mutex);
        test.targets.active_runs = {{"backfill.0.0.0", 1, "", 100, 1'000}};
    }
    test.send(backfill);
    test.send(waiting);
    REQUIRE(
        test.targets.wait_until([&] { return !test.targets.stops.empty(); }));
    const std::lock_guard<std::mutex> lock(test.targets.mutex);
    REQUIRE(test.targets.stops.front().task == "backfill.0.0.0");
    REQUIRE(test.targets.stops.front().run == 1);
}
