#include "egretspindle/scheduler/job_coordinator.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "fake_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

using namespace egretspindle;

namespace
{

constexpr std::size_t host_count = 4;
constexpr std::size_t jobs_per_host = 40;
// 25 calls a second for each host, about the share of a host on the grown site
// (1,200 calls a second for 43 hosts), and 40 times as many changes of jobs.
constexpr double calls_per_s = 100;
constexpr milliseconds change_period{4}; ///< on each host
constexpr milliseconds load_duration{8'000};
// The users allow 3 s until the tasks of a cancelled job are gone. A change
// that waits longer for its record exceeds this alone.
constexpr milliseconds max_delay{3'000};
// Refused calls are priced like others. At least 19 of 20 should have an
// effect.
constexpr double max_refused_share = 0.05;

std::string job_id_of(std::size_t host, std::size_t number)
{
    // Jobs are spread over the shards of their host.
    std::size_t left = number;
    for (std::size_t n = 0;; ++n)
    {
        const std::string id = fmt::format("{:016x}", n * 0x9e3779b97f4a7c15u);
        const std::string shard = shard_of(id);
        if (shard.back() % host_count == host && left-- == 0)
        {
            return id;
        }
    }
}

/// Change of a job that is not known to be durable.
struct pending_change
{
    std::int64_t run = 0; ///< that the change has assigned
    time_point made_at;
};

/// Coordinator whose racks hand back every start.
struct loaded_host
{
    std::mutex mutex;
    std::map<std::string, std::deque<pending_change>> pending; ///< by step
    milliseconds longest_delay{0};
    std::vector<std::string> job_ids;
    std::vector<std::int64_t> runs; ///< latest run of each job
    std::unique_ptr<job_coordinator> coordinator;

    loaded_host(fake_store& store, std::size_t number,
                const coordinator_limits& limits)
    {
        coordinator = std::make_unique<job_coordinator>(store, hooks(), limits);
        for (int n = 0; n < shard_count; ++n)
        {
            const std::string shard = shard_name(n);
            if (shard.back() % host_count == number)
            {
                coordinator->take_shard(shard);
            }
        }
        for (std::size_t n = 0; n < jobs_per_host; ++n)
        {
            job_request request;
            request.id = job_id_of(number, n);
            request.queue = "queue";
            step_spec step;
            step.count = 1;
            step.cpu_milli = 1'000;
            request.spec.steps = {step};
            request.budget_ms = 20'000;
            REQUIRE(coordinator->submit(request).verdict == "accepted");
            job_ids.push_back(request.id);
            runs.push_back(1);
        }
    }

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
        result.rack_token = [](const std::string&)
        {
            return std::int64_t{1};
        };
        result.on_shard_lost = [](const std::string&) {
        };
        result.send = [this](const rack_orders& orders)
        {
            note_durable(orders);
        };
        return result;
    }

    // A start is sent once the change that assigned its run is durable.
    void note_durable(const rack_orders& orders)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const start_batch& batch : orders.starts)
        {
            std::deque<pending_change>& changes = pending[batch.terms.step];
            while (!changes.empty() &&
                   changes.front().run <= batch.runs.front().run)
            {
                longest_delay =
                    std::max(longest_delay, elapsed(changes.front().made_at));
                changes.pop_front();
            }
        }
    }

    // Hands the current run of a job back, so that it gets the next one.
    void change_job(std::size_t number)
    {
        run_report report;
        report.what = "ended";
        report.task = job_ids[number] + ".0.0.0";
        report.run = runs[number]++;
        report.how = "not_started";
        report.rack = "r1";
        report.token = 1;
        {
            const std::lock_guard<std::mutex> lock(mutex);
            pending[job_ids[number] + ".0.0"].push_back(
                {runs[number], steady_clock::now()});
        }
        static_cast<void>(coordinator->report({{report}}));
    }

    bool has_pending_changes()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        return std::any_of(pending.begin(), pending.end(),
                           [](const auto& item)
                           { return !item.second.empty(); });
    }
};

} // namespace

// Guards against hosts that keep a store at its limit: starts and ends wait for
// writes that are repeated until one of them is admitted, and the repeated ones
// take the calls that larger transactions could use.
TEST_CASE("hosts merge the writes of job records while the store is overloaded",
          "[.][store_overload]")
{
    const std::uint32_t seed = GENERATE(1u, 2u, 3u);
    CAPTURE(seed);
    fake_store store;
    store.before_commit = []
    {
        std::this_thread::sleep_for(milliseconds(3)); // of the users' store
    };
    coordinator_limits limits;
    limits.may_span_parts = true;
    limits.max_report_wait = milliseconds(0); // the load does not wait
    // An end that the owner of a rack inferred requires its fence row.
    row_transaction ownership;
    table_row row;
    row.table = std::string(cluster_table);
    row.key = std::string(rack_prefix) + "r1";
    ownership.writes.push_back(row);
    row.table = std::string(rack_fences_table);
    row.part = "r1";
    row.key = std::string(rack_fence_key);
    ownership.writes.push_back(row);
    REQUIRE(store.commit(ownership, {})->version == 1);
    std::deque<std::unique_ptr<loaded_host>> hosts;
    for (std::size_t n = 0; n < host_count; ++n)
    {
        hosts.push_back(std::make_unique<loaded_host>(store, n, limits));
    }
    store.limit_writes(calls_per_s);
    std::vector<std::thread> load;
    for (std::size_t n = 0; n < host_count; ++n)
    {
        load.emplace_back(
            [&host = *hosts[n], seed = seed + n * 100]
            {
                std::mt19937 random(static_cast<std::uint32_t>(seed));
                std::uniform_int_distribution<std::size_t> job(
                    0, jobs_per_host - 1);
                const time_point begun_at = steady_clock::now();
                for (time_point at = begun_at; at < begun_at + load_duration;
                     at += change_period)
                {
                    std::this_thread::sleep_until(at);
                    host.change_job(job(random));
                }
            });
    }
    for (std::thread& item : load)
    {
        item.join();
    }
    const time_point ended_at = steady_clock::now();
    const auto has_pending_changes = [&]
    {
        return std::any_of(hosts.begin(), hosts.end(),
                           [](const auto& host)
                           { return host->has_pending_changes(); });
    };
    while (has_pending_changes() &&
           steady_clock::now() - ended_at < std::chrono::seconds(60))
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    CHECK_FALSE(has_pending_changes());
    const write_counts counts = store.counted_writes();
    CAPTURE(counts.admitted, counts.refused);
    CHECK(counts.refused <=
          max_refused_share * (counts.admitted + counts.refused));
    for (const auto& host : hosts)
    {
        const std::lock_guard<std::mutex> lock(host->mutex);
        CHECK(host->longest_delay.count() <= max_delay.count());
    }
}
