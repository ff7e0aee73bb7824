#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/merge_orders.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace egretspindle;

namespace
{

const std::string job_id = "0123456789abcdef";

// Owner of the shard of the job. Racks are chosen by the test; starts and stops
// are recorded by rack.
class gang_owner
{
public:
    explicit gang_owner(fake_store& store)
        : coordinator_(store, make_hooks(), make_limits())
    {
        coordinator_.take_shard(shard_of(job_id));
    }

    job_coordinator& coordinator()
    {
        return coordinator_;
    }

    void set_racks(std::vector<std::string> racks)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        racks_ = std::move(racks);
    }

    step_terms last_choice()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return last_choice_;
    }

    // Returns the starts of a run as `rack/task` with the terms that they were
    // sent with.
    std::map<std::string, step_terms> starts(std::int64_t run)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return starts_[run];
    }

    std::set<std::string> stops()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return stops_;
    }

    // Calls `tick` until a condition holds, for at most 20 s.
    template <typename Predicate>
    bool wait_for(Predicate predicate)
    {
        for (int n = 0; n < 2'000; ++n)
        {
            coordinator_.tick();
            if (predicate())
            {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(10));
        }
        return false;
    }

    std::string report_end(int index, std::int64_t run, const std::string& rack,
                           const std::string& how)
    {
        run_report report;
        report.what = "ended";
        report.task = job_id + ".0.0." + std::to_string(index);
        report.run = run;
        report.how = how;
        report.rack = rack;
        report.token = 5;
        return coordinator_.report({{report}}).verdicts.front().verdict;
    }

private:
    static coordinator_limits make_limits()
    {
        coordinator_limits limits;
        limits.resend_period = milliseconds(20);
        return limits;
    }

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
            [this](const step_terms& terms, std::size_t, const std::string&)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            last_choice_ = terms;
            return racks_;
        };
        hooks.rack_token = [](const std::string&)
        {
            return std::int64_t{5};
        };
        hooks.on_shard_lost = [](const std::string&) {
        };
        hooks.send = [this](const rack_orders& orders)
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const start_batch& batch : orders.starts)
            {
                for (const step_run& run : batch.runs)
                {
                    starts_[run.run][orders.rack + "/" +
                                     std::to_string(run.index)] = batch.terms;
                }
            }
            for (const run_ref& stop : orders.stops)
            {
                stops_.insert(orders.rack + "/" + stop.task);
            }
        };
        return hooks;
    }

    std::mutex mutex_;
    std::vector<std::string> racks_{"r1", "r1", "r2"};
    step_terms last_choice_;
    std::map<std::int64_t, std::map<std::string, step_terms>> starts_;
    std::set<std::string> stops_;
    job_coordinator coordinator_;
};

job_request make_request(bool is_rack_local = false)
{
    step_spec step;
    step.count = 3;
    step.cpu_milli = 1'000;
    step.is_gang = true;
    step.is_rack_local = is_rack_local;
    job_request request;
    request.id = job_id;
    request.queue = "queue";
    request.spec.steps = {step};
    request.budget_ms = 20'000;
    return request;
}

} // namespace

// Guards against racks that wait for members of a gang which another rack has:
// a rack starts only what it takes for complete.
TEST_CASE("each rack learns the size of its part of a gang", "[scheduler]")
{
    fake_store store;
    gang_owner owner(store);
    REQUIRE(owner.coordinator().submit(make_request()).verdict == "accepted");
    REQUIRE(owner.wait_for([&] { return owner.starts(1).size() == 3; }));
    std::map<std::string, step_terms> starts = owner.starts(1);
    REQUIRE(starts.count("r1/0") + starts.count("r1/1") +
                starts.count("r2/2") ==
            3);
    CHECK(starts["r1/0"].gang_size == 2);
    CHECK(starts["r1/0"].is_part_of_gang);
    CHECK(starts["r2/2"].gang_size == 1);
}

// Guards against parts of a gang that hold their targets until they give up as
// `alone`, and against a gang that is never tried again.
TEST_CASE("the rest of a split gang is stopped after a part was handed back",
          "[scheduler]")
{
    fake_store store;
    gang_owner owner(store);
    REQUIRE(owner.coordinator().submit(make_request()).verdict == "accepted");
    REQUIRE(owner.wait_for([&] { return owner.starts(1).size() == 3; }));
    REQUIRE(owner.stops().empty());
    REQUIRE(owner.report_end(2, 1, "r2", "not_started") == "recorded");
    REQUIRE(owner.wait_for([&] { return owner.stops().size() == 2; }));
    CHECK(owner.stops() == std::set<std::string>{"r1/" + job_id + ".0.0.0",
                                                 "r1/" + job_id + ".0.0.1"});
    CHECK(owner.starts(2).empty());
    owner.set_racks({"r3", "r3", "r3"});
    REQUIRE(owner.report_end(0, 1, "r1", "stopped") == "recorded");
    REQUIRE(owner.report_end(1, 1, "r1", "stopped") == "recorded");
    REQUIRE(owner.wait_for([&] { return owner.starts(2).size() == 3; }));
    CHECK_FALSE(owner.starts(2)["r3/0"].is_part_of_gang);
    CHECK(owner.starts(2)["r3/0"].gang_size == 3);
    CHECK(owner.last_choice().prefers_split_gang);
}

// Guards against a gang that runs `remotePenalty` times as long although a rack
// could hold it.
TEST_CASE("a gang that depends on one rack does not ask to be split",
          "[scheduler]")
{
    fake_store store;
    gang_owner owner(store);
    owner.set_racks({"r1", "r1", "r1"});
    REQUIRE(owner.coordinator().submit(make_request(true)).verdict ==
            "accepted");
    REQUIRE(owner.wait_for([&] { return owner.starts(1).size() == 3; }));
    for (int n = 0; n < 3; ++n)
    {
        REQUIRE(owner.report_end(n, 1, "r1", "not_started") == "recorded");
    }
    REQUIRE(owner.wait_for([&] { return owner.starts(2).size() == 3; }));
    CHECK_FALSE(owner.last_choice().prefers_split_gang);
    CHECK(owner.stops().empty());
}

// Guards against a part that takes the size of an earlier run's part, and is
// never complete.
TEST_CASE("parts of different sizes do not share their terms in a message",
          "[scheduler]")
{
    rack_orders first;
    first.rack = "r1";
    first.starts.emplace_back();
    first.starts.front().terms.step = "job.0.0";
    first.starts.front().terms.gang_size = 2;
    first.starts.front().runs.resize(2);
    rack_orders second = first;
    second.starts.front().terms.gang_size = 1;
    second.starts.front().runs.resize(1);
    const std::vector<rack_orders> merged = merge_orders({first, second});
    REQUIRE(merged.size() == 1);
    REQUIRE(merged.front().starts.size() == 2);
    CHECK(merged.front().starts[1].terms.gang_size == 1);
}
