#include "egretspindle/core/error.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

/// Target that numbers ends and compares fencing tokens as the platform's
/// targets do, and restarts under its id. Each run ends as soon as it starts.
/// The members below are guarded by `mutex`.
class restarting_target final : public target_port
{
public:
    absl::StatusOr<order_answer> start(const target_entry& /*target*/,
                                       const start_order& order,
                                       std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (delays_starts)
        {
            delayed_starts.push_back(order);
            changed.notify_all();
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        const order_verdict verdict = execute(order);
        changed.notify_all();
        if (loses_start_answers)
        {
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        return order_answer{verdict, clock_ms()};
    }

    absl::StatusOr<order_answer> stop(const target_entry& /*target*/,
                                      const stop_order& /*order*/,
                                      std::chrono::milliseconds) override
    {
        return order_answer{order_verdict::taken, 0};
    }

    absl::StatusOr<order_answer> pace(const target_entry& /*target*/,
                                      const pace_order& /*order*/,
                                      std::chrono::milliseconds) override
    {
        return order_answer{order_verdict::taken, 0};
    }

    absl::StatusOr<poll_answer> poll(const target_entry& /*target*/,
                                     const poll_request& request,
                                     std::chrono::milliseconds) override
    {
        std::unique_lock<std::mutex> lock(mutex);
        if (silence.count() > 0)
        {
            ++silent_polls;
            changed.notify_all();
            lock.unlock();
            std::this_thread::sleep_for(silence);
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        if (delays_acknowledgements && request.acknowledged > 0)
        {
            delayed_polls.push_back(request);
            changed.notify_all();
            changed.wait_for(lock, std::chrono::seconds(20),
                             [this] { return !delays_acknowledgements; });
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        ++polls;
        poll_answer answer;
        answer.verdict = execute(request);
        changed.notify_all();
        if (request.wait.count() > 0)
        {
            changed.wait_for(lock, std::chrono::milliseconds(20),
                             [this] { return !ends.empty(); });
        }
        answer.clock_ms = clock_ms();
        answer.started_ms = started_ms;
        for (const auto& [number, end] : ends)
        {
            answer.ends.push_back(end);
        }
        return answer;
    }

    // The following functions are called with `mutex` locked.

    order_verdict execute(const start_order& order)
    {
        if (order.token < fence)
        {
            return order_verdict::wrong_token;
        }
        fence = order.token;
        if (order.run <= ended_runs[order.task])
        {
            return order_verdict::old_run;
        }
        ended_runs[order.task] = order.run;
        ++end_count;
        if (ends_runs)
        {
            ends[end_count] = {end_count, order.task, order.run, "done", ""};
        }
        return order_verdict::taken;
    }

    order_verdict execute(const poll_request& request)
    {
        if (request.token < fence)
        {
            return order_verdict::wrong_token;
        }
        fence = request.token;
        ends.erase(ends.begin(), ends.upper_bound(request.acknowledged));
        return order_verdict::taken;
    }

    void restart()
    {
        ++started_ms;
        booted_at = steady_clock::now();
        uptime_before = milliseconds(1);
        fence = 0;
        end_count = 0;
        ends.clear();
        ended_runs.clear();
    }

    [[nodiscard]] std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(
                   uptime_before + (steady_clock::now() - booted_at))
            .count();
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
    std::int64_t started_ms = 1;
    time_point booted_at = steady_clock::now();
    milliseconds uptime_before{100'000}; ///< at `booted_at`
    std::int64_t fence = 0;
    std::int64_t end_count = 0;
    bool ends_runs = true;
    std::map<std::int64_t, listed_end> ends; ///< not acknowledged, by number
    std::map<std::string, std::int64_t> ended_runs; ///< latest, by task
    /// Starts are not carried out and get no answer.
    bool delays_starts = false;
    std::vector<start_order> delayed_starts;
    bool loses_start_answers = false;
    milliseconds silence{0}; ///< time until polls fail; 0: they are answered
    int silent_polls = 0;
    int polls = 0; ///< that were answered
    /// Polls that acknowledge ends are not carried out, and get no answer once
    /// this is reset.
    bool delays_acknowledgements = false;
    std::vector<poll_request> delayed_polls;
};

/// Agent with one rack of one target.
struct fixture
{
    restarting_target target;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::string> ends; ///< reported, by task
    /// Called for a reported end before it is recorded.
    std::function<void(const std::string& task)> on_end =
        [](const std::string&) {
        };
    rack_agent agent;

    fixture() : fixture(make_limits()) {}

    explicit fixture(const rack_agent_limits& limits)
        : agent(target, hooks(), limits)
    {
        list_target(1);
        rack_takeover takeover;
        takeover.confirmed_at = read_clocks();
        takeover.rack = "r1";
        takeover.token = 7;
        takeover.roster = {{"t1", "127.0.0.1:1"}};
        agent.take_rack(takeover);
    }

    static rack_agent_limits make_limits()
    {
        rack_agent_limits result;
        result.lease.authority = std::chrono::minutes(1);
        result.order_retry = milliseconds(10);
        result.poll_retry = milliseconds(20);
        return result;
    }

    rack_agent_hooks hooks()
    {
        rack_agent_hooks result;
        result.report = [this](const std::vector<run_report>& items)
        {
            record(items);
        };
        result.lost = [](const std::string&) {
        };
        result.hand_back_quota =
            [](const step_terms&, const std::string&, room_kind)
        {
            return std::size_t{0};
        };
        result.read_assignments = [](const std::string&)
        {
            return std::optional<run_racks>();
        };
        result.record_roster =
            [](const std::string&, std::int64_t, const rack_roster&)
        {
            return true;
        };
        return result;
    }

    void record(const std::vector<run_report>& items)
    {
        for (const run_report& item : items)
        {
            if (item.what == "ended")
            {
                on_end(item.task);
                const std::lock_guard<std::mutex> lock(mutex);
                ends[item.task] = item.how;
                changed.notify_all();
            }
        }
        report_reply reply;
        reply.verdicts.resize(items.size());
        for (report_verdict& verdict : reply.verdicts)
        {
            verdict.verdict = "recorded";
        }
        agent.apply_verdicts(items, reply);
    }

    /// Replaces the platform's list by the target with this start time.
    void list_target(std::int64_t started_ms)
    {
        target_entry entry;
        entry.id = "t1";
        entry.service = "svc";
        entry.rack = "r1";
        entry.address = "127.0.0.1:1";
        entry.started_ms = started_ms;
        entry.capacity = {4'000, 4'000, 0};
        agent.set_targets({{"t1", entry}});
    }

    /// Starts task 0 on a boot that has answered no poll, and answers none.
    void start_on_silent_boot()
    {
        REQUIRE(target.wait_until([this] { return target.polls > 1; }));
        {
            const std::lock_guard<std::mutex> lock(target.mutex);
            target.ends_runs = false;
            target.silence = milliseconds(800);
        }
        REQUIRE(target.wait_until([this] { return target.silent_polls > 0; }));
        {
            const std::lock_guard<std::mutex> lock(target.mutex);
            target.restart();
        }
        send(0);
        REQUIRE(target.wait_until([this] { return target.end_count > 0; }));
    }

    [[nodiscard]] bool has_ended_after(milliseconds delay)
    {
        std::this_thread::sleep_for(delay);
        agent.verify_rack("r1", 7, read_clocks());
        agent.tick();
        const std::lock_guard<std::mutex> lock(mutex);
        return !ends.empty();
    }

    /// Sends the start of run 1 of the task `job.0.0.INDEX`.
    void send(std::int64_t index)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = 7;
        start_batch batch;
        batch.terms.step = "job.0.0";
        batch.terms.service = "svc";
        batch.terms.size = {1'000, 100, 0};
        batch.runs.push_back({index, 1, "", false});
        orders.starts.push_back(batch);
        REQUIRE(agent.execute(orders).is_owner);
    }

    /// Waits until an end of a task is reported. Returns how it ended; empty:
    /// none within 20 s.
    std::string wait_for_end(const std::string& task)
    {
        std::unique_lock<std::mutex> lock(mutex);
        changed.wait_for(lock, std::chrono::seconds(20),
                         [&] { return ends.count(task) > 0; });
        const auto it = ends.find(task);
        return it == ends.end() ? "" : it->second;
    }
};

} // namespace

// Guards against a task that is run again although it has ended as done.
TEST_CASE("a delayed poll of a former boot acknowledges no end of a new one",
          "[scheduler]")
{
    fixture env;
    env.target.delays_acknowledgements = true;
    env.send(0);
    REQUIRE(env.target.wait_until(
        [&] { return !env.target.delayed_polls.empty(); }));
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.restart();
    }
    env.send(1);
    REQUIRE(env.target.wait_until([&] { return !env.target.ends.empty(); }));
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.execute(env.target.delayed_polls.front());
        env.target.delays_acknowledgements = false;
        env.target.changed.notify_all();
    }
    CHECK(env.wait_for_end("job.0.0.1") == "done");
}

// Guards against a task that is run again although it has ended as done.
TEST_CASE("a poll after a start that a new boot has carried out acknowledges "
          "no end of it",
          "[scheduler]")
{
    fixture env;
    env.target.loses_start_answers = GENERATE(false, true);
    env.on_end = [&env](const std::string& task)
    {
        if (task != "job.0.0.0")
        {
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(env.target.mutex);
            env.target.restart();
        }
        env.send(1);
        env.target.wait_until([&] { return !env.target.ends.empty(); });
    };
    env.send(0);
    CHECK(env.wait_for_end("job.0.0.1") == "done");
}

// Guards against a task that is run again although it has ended as done.
TEST_CASE("a poll after an unanswered start acknowledges no end of a boot that "
          "carries out both",
          "[scheduler]")
{
    fixture env;
    env.on_end = [&env](const std::string& task)
    {
        if (task != "job.0.0.0")
        {
            return;
        }
        {
            const std::lock_guard<std::mutex> lock(env.target.mutex);
            env.target.delays_starts = true;
            env.target.delays_acknowledgements = true;
        }
        env.send(1);
        env.target.wait_until([&]
                              { return !env.target.delayed_starts.empty(); });
    };
    env.send(0);
    REQUIRE(env.target.wait_until(
        [&] { return !env.target.delayed_starts.empty(); }));
    // Time for an acknowledgement that does not wait for the start.
    std::this_thread::sleep_for(milliseconds(400));
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.restart();
        env.target.execute(env.target.delayed_starts.front());
        for (const poll_request& request : env.target.delayed_polls)
        {
            env.target.execute(request);
        }
        env.target.delays_starts = false;
        env.target.delays_acknowledgements = false;
        env.target.changed.notify_all();
    }
    CHECK(env.wait_for_end("job.0.0.1") == "done");
}

// Guards against two runs of a task: a poll may be sent up to its timeout
// before it fails, and a new boot then grants the longest lease.
TEST_CASE("the lease of a poll that was sent again counts from then",
          "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.poll_timeout = milliseconds(400);
    limits.lease.longest = milliseconds(1'000);
    limits.lease.expiry_slack = milliseconds(50);
    fixture env(limits);
    env.start_on_silent_boot();
    CHECK_FALSE(env.has_ended_after(milliseconds(1'250)));
    CHECK(env.has_ended_after(milliseconds(1'500)));
}

// Guards against two runs of a task: an order for the former boot that arrives
// late renews the lease of a run that the new boot has started.
TEST_CASE("runs of a restarted target that answers no polls may be on the new "
          "boot",
          "[scheduler]")
{
    rack_agent_limits limits = fixture::make_limits();
    limits.lease.longest = milliseconds(300);
    limits.lease.expiry_slack = milliseconds(50);
    fixture env(limits);
    env.start_on_silent_boot();
    env.list_target(2);
    CHECK_FALSE(env.has_ended_after(milliseconds(2'000)));
}
