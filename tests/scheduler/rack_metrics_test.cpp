#include "egretspindle/core/error.hpp"
#include "egretspindle/scheduler/rack_agent.hpp"

#include "metric_value.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

/// Target that answers every start with `start_verdict`, or not at all, and
/// lists the runs and ends in `runs` and `ends`.
class plain_target final : public target_port
{
public:
    absl::StatusOr<order_answer> start(const target_entry& /*target*/,
                                       const start_order& order,
                                       std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (is_unresponsive)
        {
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        if (lists_starts)
        {
            runs.push_back({order.task, order.run, "", 100, 0});
        }
        return order_answer{start_verdict, 1'000};
    }

    absl::StatusOr<order_answer> stop(const target_entry&, const stop_order&,
                                      std::chrono::milliseconds) override
    {
        return order_answer{order_verdict::taken, 1'000};
    }

    absl::StatusOr<order_answer> pace(const target_entry&, const pace_order&,
                                      std::chrono::milliseconds) override
    {
        return order_answer{order_verdict::taken, 1'000};
    }

    absl::StatusOr<poll_answer> poll(const target_entry& /*target*/,
                                     const poll_request& /*order*/,
                                     std::chrono::milliseconds) override
    {
        std::this_thread::sleep_for(milliseconds(5));
        const std::lock_guard<std::mutex> lock(mutex);
        if (is_unreachable)
        {
            return make_error(error_kind::deadline_exceeded, "no answer");
        }
        poll_answer answer;
        answer.clock_ms = 1'000;
        answer.started_ms = 1;
        answer.runs = runs;
        answer.ends = ends;
        answer.max_ends = max_ends;
        return answer;
    }

    std::mutex mutex;
    order_verdict start_verdict = order_verdict::taken;
    bool is_unresponsive = false;
    bool is_unreachable = false; ///< polls are not answered
    bool lists_starts = false;   ///< in `runs`
    std::vector<listed_run> runs;
    std::vector<listed_end> ends;
    std::size_t max_ends = 500;
};

// Limits with short delays.
//
// \param lease_grant_period  how long the owner may grant leases after a
//                            confirmation by the store
rack_agent_limits make_limits(milliseconds lease_grant_period)
{
    rack_agent_limits result;
    result.lease.authority = lease_grant_period;
    result.order_retry = milliseconds(10);
    result.max_queue_wait = milliseconds(0);
    return result;
}

/// Agent with one rack of one target with 4 cores.
struct rack_fixture
{
    plain_target target;
    std::shared_ptr<metric_registry> registry =
        std::make_shared<metric_registry>();
    std::size_t hand_back_quota = 0;
    bool is_recorded = true; ///< the job record assigns the run to the rack
    rack_agent agent;

    /// \param is_unreachable  the target, which a former owner may have used
    explicit rack_fixture(
        milliseconds lease_grant_period = std::chrono::minutes(1),
        bool is_unreachable = false)
        : agent(target, hooks(), make_limits(lease_grant_period))
    {
        target.is_unreachable = is_unreachable;
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
        takeover.former_stopped_at =
            is_unreachable ? steady_clock::now() : time_point{};
        takeover.roster = {{"t1", "127.0.0.1:1"}};
        agent.take_rack(takeover);
    }

    rack_agent_hooks hooks()
    {
        rack_agent_hooks result;
        result.report = [](const std::vector<run_report>&) {
        };
        result.lost = [](const std::string&) {
        };
        result.hand_back_quota =
            [this](const step_terms&, const std::string&, room_kind)
        {
            return hand_back_quota;
        };
        result.read_assignments = [this](const std::string&)
        {
            run_racks assigned;
            if (is_recorded)
            {
                assigned[{"a.0.0.0", 1}] = "r1";
            }
            return std::optional<run_racks>(assigned);
        };
        result.record_roster =
            [](const std::string&, std::int64_t, const rack_roster&)
        {
            return true;
        };
        result.metrics = registry;
        return result;
    }

    /// Sends the start of run 1 of the first task of a step.
    void send(const std::string& step, std::int64_t cpu_milli,
              bool is_long_running = false, bool is_repeated = false)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = 7;
        start_batch batch;
        batch.terms.step = step;
        batch.terms.service = "svc";
        batch.terms.size = {cpu_milli, 100, 0};
        batch.terms.is_long_running = is_long_running;
        batch.runs.push_back({0, 1, "", is_repeated});
        orders.starts.push_back(batch);
        REQUIRE(agent.execute(orders).is_owner);
    }

    void set_lists_starts()
    {
        const std::lock_guard<std::mutex> lock(target.mutex);
        target.lists_starts = true;
    }

    /// Sends a stop of run 1 of a task.
    void withdraw(const std::string& task)
    {
        rack_orders orders;
        orders.rack = "r1";
        orders.token = 7;
        orders.stops.push_back({task, 1});
        REQUIRE(agent.execute(orders).is_owner);
    }

    /// Returns the current value of a series.
    double value(const std::string& series) const
    {
        return metric_value(registry->prometheus_text(), series);
    }

    /// Calls `tick` until a series has at least the value `least`. Returns
    /// false after 20 s.
    bool reaches(const std::string& series, double least)
    {
        const time_point until = steady_clock::now() + std::chrono::seconds(20);
        while (value(series) < least)
        {
            if (steady_clock::now() > until)
            {
                UNSCOPED_INFO(registry->prometheus_text());
                return false;
            }
            agent.tick();
            std::this_thread::sleep_for(milliseconds(2));
        }
        return true;
    }

    /// Sets the gauges until one has a value between `least` and `most`.
    /// Returns false after 20 s.
    bool shows(const std::string& series, double least, double most)
    {
        const time_point until = steady_clock::now() + std::chrono::seconds(20);
        for (;;)
        {
            agent.log_queues();
            const double current = value(series);
            if (least <= current && current <= most)
            {
                return true;
            }
            if (steady_clock::now() > until)
            {
                UNSCOPED_INFO(registry->prometheus_text());
                return false;
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
    }
};

} // namespace

// Every start must show in the metrics, and a confirmation must not be counted
// again when the target answers later polls.
TEST_CASE("placed and confirmed starts are counted once", "[metrics]")
{
    rack_fixture env;
    env.send("a.0.0", 1'000);
    env.send("b.0.0", 1'000, true);
    REQUIRE(env.reaches("egretspindle_start_confirmed_milliseconds_count", 2));
    const double polls =
        env.value("egretspindle_poll_milliseconds_count{result=\"answered\"}");
    REQUIRE(
        env.reaches("egretspindle_poll_milliseconds_count{result=\"answered\"}",
                    polls + 3));
    CHECK(env.value("egretspindle_start_confirmed_milliseconds_count") == 2);
    for (const char* tasks : {"short", "lasting"})
    {
        const std::string labels = std::string("{tasks=\"") + tasks + "\"}";
        CHECK(env.value("egretspindle_starts_placed_total" + labels) == 1);
        CHECK(env.value("egretspindle_start_waited_milliseconds_count" +
                        labels) == 1);
    }
    CHECK(env.value("egretspindle_target_order_milliseconds_count{order="
                    "\"start\"}") == 2);
    CHECK(env.value("egretspindle_target_orders_failed_total{order="
                    "\"start\"}") == 0);
    // Orders of less than 1 ms must not disappear from the sum.
    const double sum = env.value("egretspindle_target_order_milliseconds_sum{"
                                 "order=\"start\"}");
    CHECK(sum > 0);
    CHECK(sum != std::floor(sum));
}

TEST_CASE("refused and unanswered starts are counted separately and not as "
          "confirmed",
          "[metrics]")
{
    rack_fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.start_verdict = order_verdict::no_permission;
    }
    env.send("a.0.0", 1'000);
    REQUIRE(
        env.reaches("egretspindle_ends_concluded_total{cause=\"refused\"}", 1));
    CHECK(env.value("egretspindle_starts_refused_total{verdict="
                    "\"no_permission\"}") == 1);
    CHECK(env.value("egretspindle_starts_refused_total{verdict=\"no_room\"}") ==
          0);
    CHECK(env.value("egretspindle_start_confirmed_milliseconds_count") == 0);
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.is_unresponsive = true;
    }
    env.send("b.0.0", 1'000);
    REQUIRE(env.reaches(
        "egretspindle_target_orders_failed_total{order=\"start\"}", 1));
    CHECK(env.value("egretspindle_start_confirmed_milliseconds_count") == 0);
}

TEST_CASE("the gauges of queues show what starts wait for, and return to zero",
          "[metrics]")
{
    rack_fixture env;
    REQUIRE(env.reaches(
        "egretspindle_poll_milliseconds_count{result=\"answered\"}", 1));
    // The target has 4 cores, so these starts stay in the queue.
    env.send("a.0.0", 9'000, true);
    env.send("b.0.0", 9'000);
    env.agent.log_queues();
    CHECK(env.value("egretspindle_queue_starts") == 2);
    CHECK(env.value("egretspindle_queue_lasting_starts") == 1);
    CHECK(env.value("egretspindle_queue_waiting_starts{for=\"no_room\"}") == 2);
    CHECK(env.value("egretspindle_queue_waiting_starts{for=\"nothing\"}") == 0);
    CHECK(env.shows("egretspindle_queue_longest_wait_milliseconds{for="
                    "\"no_room\",tasks=\"lasting\"}",
                    10, 20'000));
    CHECK(env.value("egretspindle_queue_longest_wait_milliseconds{for="
                    "\"nothing\",tasks=\"short\"}") == 0);
    CHECK(env.value("egretspindle_rack_cpu_milli") == 4'000);
    CHECK(env.value("egretspindle_rack_free_cpu_milli") == 4'000);
    CHECK(env.value("egretspindle_rack_largest_free_cpu_milli") == 4'000);
    CHECK(env.value("egretspindle_racks_owned") == 1);
    CHECK(env.value("egretspindle_rack_targets") == 1);
    env.withdraw("a.0.0.0");
    env.withdraw("b.0.0.0");
    env.agent.log_queues();
    CHECK(env.value("egretspindle_queue_starts") == 0);
    CHECK(env.value("egretspindle_queue_waiting_starts{for=\"no_room\"}") == 0);
    CHECK(env.value("egretspindle_ends_concluded_total{cause=\"withdrawn\"}") ==
          2);
    env.agent.drop_rack("r1");
    env.agent.log_queues();
    CHECK(env.value("egretspindle_racks_owned") == 0);
    CHECK(env.value("egretspindle_rack_targets") == 0);
}

// Guards against stops that a new owner of a rack keeps without showing it.
TEST_CASE("stops of unknown runs are counted while they are kept", "[metrics]")
{
    const std::string unknown =
        "egretspindle_stops_received_total{run=\"unknown\"}";
    rack_fixture env(std::chrono::minutes(1), true);
    env.withdraw("a.0.0.0");
    env.withdraw("a.0.0.0"); // repeated
    env.withdraw("b.0.0.0");
    env.agent.log_queues();
    CHECK(env.value(unknown) == 3);
    CHECK(env.value("egretspindle_rack_stops_kept") == 2);
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.is_unreachable = false;
    }
    REQUIRE(env.reaches(
        "egretspindle_ends_concluded_total{cause=\"withdrawn\"}", 2));
    env.agent.log_queues();
    CHECK(env.value("egretspindle_rack_stops_kept") == 0);
    CHECK(env.value(unknown) == 3);
}

// Guards against a stop that is counted as passed on to a target although the
// run is still queued or has ended.
TEST_CASE("stops are counted by the state of their runs", "[metrics]")
{
    rack_fixture env;
    env.set_lists_starts();
    env.send("running.0.0", 1'000);
    REQUIRE(env.reaches("egretspindle_start_confirmed_milliseconds_count", 1));
    env.withdraw("running.0.0.0");
    // The target has 4 cores, so this start stays in the queue.
    env.send("queued.0.0", 9'000);
    env.withdraw("queued.0.0.0");
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.ends.push_back({1, "ended.0.0.0", 1, "done", ""});
    }
    const std::string polls =
        "egretspindle_poll_milliseconds_count{result=\"answered\"}";
    REQUIRE(env.reaches(polls, env.value(polls) + 3));
    env.withdraw("ended.0.0.0");
    for (const char* run : {"placed", "withdrawn", "ended"})
    {
        CAPTURE(run);
        CHECK(env.value(std::string("egretspindle_stops_received_total{run="
                                    "\"") +
                        run + "\"}") == 1);
    }
    CHECK(env.value("egretspindle_stops_received_total{run=\"unknown\"}") == 0);
    env.agent.log_queues();
    CHECK(env.value("egretspindle_rack_stops_kept") == 0);
}

// Guards against stops that take long unseen, and against ends that no job
// owner asked for being counted as stopped.
TEST_CASE("the time from a stop to the end of its run is counted once",
          "[metrics]")
{
    const std::string stopped = "egretspindle_run_stopped_milliseconds";
    rack_fixture env;
    env.set_lists_starts();
    env.send("a.0.0", 1'000);
    env.send("b.0.0", 1'000);
    REQUIRE(env.reaches("egretspindle_start_confirmed_milliseconds_count", 2));
    env.withdraw("a.0.0.0");
    std::this_thread::sleep_for(milliseconds(20));
    env.withdraw("a.0.0.0"); // repeated
    CHECK(env.value(stopped + "_count") == 0);
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.runs.clear();
        env.target.ends.push_back({1, "a.0.0.0", 1, "stopped", ""});
        env.target.ends.push_back({2, "b.0.0.0", 1, "done", ""});
    }
    REQUIRE(env.reaches(stopped + "_count", 1));
    const std::string polls =
        "egretspindle_poll_milliseconds_count{result=\"answered\"}";
    REQUIRE(env.reaches(polls, env.value(polls) + 3));
    CHECK(env.value(stopped + "_count") == 1);
    CHECK(env.value(stopped + "_sum") >= 20);
}

TEST_CASE(
    "starts that are handed back are counted with their time in the queue",
    "[metrics]")
{
    rack_fixture env;
    env.hand_back_quota = 1;
    env.send("a.0.0", 9'000);
    REQUIRE(
        env.reaches("egretspindle_start_handed_back_milliseconds_count", 1));
    CHECK(env.value(
              "egretspindle_ends_concluded_total{cause=\"handed_back\"}") == 1);
    CHECK(env.value("egretspindle_starts_placed_total{tasks=\"short\"}") == 0);
}

TEST_CASE("repeated starts are counted as held, and then as started or dropped",
          "[metrics]")
{
    const bool is_recorded = GENERATE(true, false);
    CAPTURE(is_recorded);
    rack_fixture env;
    env.is_recorded = is_recorded;
    env.send("a.0.0", 1'000, false, true);
    env.send("a.0.0", 1'000, false, true); // already queued
    CHECK(env.value("egretspindle_starts_repeated_total{result=\"held\"}") ==
          1);
    const std::string result = is_recorded ? "started" : "dropped";
    const std::string other = is_recorded ? "dropped" : "started";
    REQUIRE(env.reaches(
        "egretspindle_starts_repeated_total{result=\"" + result + "\"}", 1));
    CHECK(env.value("egretspindle_starts_repeated_total{result=\"" + other +
                    "\"}") == 0);
}

// The metrics must show a host that owns racks but cannot use them, since the
// store has not confirmed its ownership in time.
TEST_CASE("leases that are not granted are counted", "[metrics]")
{
    rack_fixture env(milliseconds(0));
    env.send("a.0.0", 1'000);
    CHECK(
        env.reaches("egretspindle_leases_not_granted_total{use=\"poll\"}", 1));
    CHECK(
        env.reaches("egretspindle_leases_not_granted_total{use=\"place\"}", 1));
    CHECK(env.value("egretspindle_starts_placed_total{tasks=\"short\"}") == 0);
}

TEST_CASE("no lease is counted as not granted while the ownership is confirmed",
          "[metrics]")
{
    rack_fixture env;
    env.send("a.0.0", 1'000);
    REQUIRE(env.reaches("egretspindle_start_confirmed_milliseconds_count", 1));
    for (const char* use : {"poll", "start", "place"})
    {
        CHECK(env.value(std::string("egretspindle_leases_not_granted_total{"
                                    "use=\"") +
                        use + "\"}") == 0);
    }
}

// Guards against a list of ends that grows, and keeps starts from its target,
// without showing it.
TEST_CASE("ends that wait for their acknowledgement are shown", "[metrics]")
{
    const std::string waited =
        "egretspindle_target_ends_waited_milliseconds{for=\"record\"}";
    rack_fixture env;
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.ends = {{1, "z.0.0.0", 1, "done", ""},
                           {2, "z.0.0.1", 1, "done", ""}};
        env.target.max_ends = 2;
    }
    REQUIRE(env.shows("egretspindle_target_ends_listed", 2, 2));
    CHECK(env.value("egretspindle_rack_targets_full") == 1);
    CHECK(env.shows(waited, 10, 20'000));
    {
        const std::lock_guard<std::mutex> lock(env.target.mutex);
        env.target.ends.clear();
    }
    REQUIRE(env.shows("egretspindle_target_ends_listed", 0, 0));
    CHECK(env.value("egretspindle_rack_targets_full") == 0);
    CHECK(env.value(waited) == 0);
}
