#include "egretspindle/scheduler/job_scheduler.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"
#include "metric_value.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

using namespace egretspindle;

namespace
{

/// Target on which each run ends as soon as it is started.
class immediate_end_target final : public target_port
{
public:
    absl::StatusOr<order_answer> start(const target_entry& /*target*/,
                                       const start_order& order,
                                       std::chrono::milliseconds) override
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ends_.push_back({static_cast<std::int64_t>(ends_.size()) + 1,
                         order.task, order.run, "done", ""});
        return order_answer{order_verdict::taken, 1'000};
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
                                     const poll_request& request,
                                     std::chrono::milliseconds) override
    {
        std::this_thread::sleep_for(milliseconds(5));
        const std::lock_guard<std::mutex> lock(mutex_);
        poll_answer answer;
        answer.clock_ms = 1'000;
        answer.started_ms = 1;
        for (const listed_end& end : ends_)
        {
            if (end.number > request.acknowledged)
            {
                answer.ends.push_back(end);
            }
        }
        return answer;
    }

private:
    std::mutex mutex_;
    std::vector<listed_end> ends_;
};

/// Single host of a cluster with one rack.
struct host_fixture
{
    fake_store store;
    immediate_end_target target;
    job_scheduler scheduler;

    host_fixture() : scheduler(store, target, options())
    {
        fleet_config config;
        config.version = 4;
        queue_config queue;
        queue.name = "queue";
        queue.service = "svc";
        queue.max_attempts = 2;
        config.queues = {queue};
        scheduler.set_config(config);
        target_entry entry;
        entry.id = "t1";
        entry.service = "svc";
        entry.rack = "r1";
        entry.data_center = "dc";
        entry.address = "127.0.0.1:1";
        entry.started_ms = 1;
        entry.capacity = {4'000, 4'000, 0};
        scheduler.set_targets({{"t1", entry}});
        REQUIRE(scheduler.start().ok());
    }

    ~host_fixture()
    {
        scheduler.stop();
    }

    static scheduler_options options()
    {
        scheduler_options result;
        result.host = "h1";
        result.data_center = "dc";
        result.peer_address = "127.0.0.1";
        result.peer_port = 0; // chosen by the kernel; there is no other host
        return result;
    }

    static job_spec make_spec(const std::string& image)
    {
        step_spec step;
        step.count = 1;
        step.cpu_milli = 500;
        step.image = image;
        job_spec result;
        result.steps = {step};
        return result;
    }

    /// Returns the id of job `n`, which has 16 characters.
    static std::string make_job_id(int n)
    {
        const std::string digits = std::to_string(n);
        return std::string(16 - digits.size(), 'a') + digits;
    }

    double value(const std::string& series) const
    {
        return metric_value(scheduler.metrics_text(), series);
    }

    /// Returns whether a series reached a value within 20 s.
    bool wait_until_at_least(const std::string& series, double minimum) const
    {
        const time_point until = steady_clock::now() + std::chrono::seconds(20);
        while (value(series) < minimum)
        {
            if (steady_clock::now() > until)
            {
                UNSCOPED_INFO(scheduler.metrics_text());
                return false;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        return true;
    }
};

std::int64_t line_count(const std::string& text)
{
    return std::count(text.begin(), text.end(), '\n');
}

} // namespace

// Guards against a component whose metrics are not registered with the host.
TEST_CASE("the metrics text of a host has the metrics of all its components",
          "[metrics]")
{
    host_fixture fixture;
    REQUIRE(fixture.wait_until_at_least(
        "egretspindle_ownership_taken_total{former=\"none\","
        "resource=\"shard\"}",
        shard_count));
    REQUIRE(fixture.wait_until_at_least(
        "egretspindle_ownership_taken_total{former=\"none\","
        "resource=\"rack\"}",
        1));
    REQUIRE(fixture.scheduler
                .submit("queue", host_fixture::make_job_id(1),
                        host_fixture::make_spec("image"),
                        std::chrono::seconds(15))
                .verdict == submit_verdict::accepted);
    REQUIRE(fixture.wait_until_at_least(
        "egretspindle_runs_ended_total{how=\"done\"}", 1));
    CHECK(
        fixture.value("egretspindle_job_submissions_total{reason=\"\",verdict="
                      "\"accepted\"}") == 1);
    CHECK(fixture.value("egretspindle_starts_placed_total{tasks=\"short\"}") ==
          1);
    CHECK(fixture.value("egretspindle_job_first_start_milliseconds_count{tasks="
                        "\"short\"}") == 1);
    CHECK(fixture.value("egretspindle_config_version") == 4);
    CHECK(fixture.value(
              "egretspindle_ownership_lost_total{resource=\"rack\"}") == 0);
    CHECK(
        fixture.wait_until_at_least("egretspindle_tick_milliseconds_count", 2));
    CHECK(fixture.scheduler
              .query(host_fixture::make_job_id(2), std::chrono::seconds(15))
              .verdict == lookup_verdict::absent);
    CHECK(fixture.value(
              "egretspindle_job_lookups_failed_total{verdict=\"absent\"}") ==
          1);
}

// Guards against submissions that fail without being counted.
TEST_CASE(
    "a submission without an owner to forward it to is counted as refused",
    "[metrics]")
{
    fake_store store;
    immediate_end_target target;
    job_scheduler scheduler(store, target, host_fixture::options());
    REQUIRE(scheduler
                .submit("queue", host_fixture::make_job_id(1),
                        host_fixture::make_spec("image"), milliseconds(50))
                .verdict == submit_verdict::refused);
    CHECK(metric_value(scheduler.metrics_text(),
                       "egretspindle_job_submissions_total{reason="
                       "\"no_owner\",verdict=\"refused\"}") == 1);
}

// Guards against series per task, job, image or target, which would fill the
// memory of a small host. A scrape every 15 s may use a fifth of the 10 KB/s
// that a node has for control traffic.
TEST_CASE("the metrics text of a host is bounded and gains no series with jobs",
          "[metrics]")
{
    constexpr std::size_t max_text_bytes = 15 * 10'000 / 5;
    constexpr int jobs = 40;
    host_fixture fixture;
    const std::string before = fixture.scheduler.metrics_text();
    REQUIRE(fixture.wait_until_at_least("egretspindle_racks_owned", 1));
    for (int n = 0; n < jobs; ++n)
    {
        REQUIRE(
            fixture.scheduler
                .submit("queue", host_fixture::make_job_id(n),
                        host_fixture::make_spec("image" + std::to_string(n)),
                        std::chrono::seconds(15))
                .verdict == submit_verdict::accepted);
    }
    REQUIRE(fixture.wait_until_at_least(
        "egretspindle_runs_ended_total{how=\"done\"}", jobs));
    const std::string after = fixture.scheduler.metrics_text();
    CHECK(line_count(after) == line_count(before));
    CHECK(after.size() <= max_text_bytes);
    CHECK(metric_value(after, "egretspindle_metrics_dropped_total") == 0);
    CHECK(after.find("image") == std::string::npos);
    CHECK(after.find(host_fixture::make_job_id(1)) == std::string::npos);
}
