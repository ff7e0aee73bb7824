#include "support/load.hpp"
#include "support/make_cluster.hpp"

#include <catch2/catch.hpp>

#include <random>
#include <thread>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against cancelled work that still runs, completed work that is
// reported as cancelled, and outcomes that change or differ between hosts.
TEST_CASE("500 cancellations race with starts and completions", "[cancel_wave]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    const unsigned seed = 11;
    INFO("seed " << seed);
    constexpr int count = 500;
    std::vector<test_request> requests;
    requests.reserve(count);
    for (int n = 0; n < count; ++n)
    {
        requests.push_back(
            batch_request("c-" + std::to_string(n), 20, n % 3 != 0));
    }
    const std::vector<std::string> addresses = nodes->addresses();
    std::vector<std::thread> threads;
    constexpr int thread_count = 10;
    threads.reserve(thread_count);
    for (int t = 0; t < thread_count; ++t)
    {
        threads.emplace_back(
            [&, t]
            {
                std::mt19937 random(seed + t);
                for (int n = t; n < count; n += thread_count)
                {
                    (void)calls.submit(addresses[random() % addresses.size()],
                                       requests[n]);
                    std::this_thread::sleep_for(
                        std::chrono::milliseconds(random() % 60));
                    (void)calls.cancel(addresses[random() % addresses.size()],
                                       requests[n]);
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    const std::vector<caller_reply> replies =
        follow_all(calls, addresses, requests);
    for (const std::string& address : addresses)
    {
        const std::vector<caller_reply> host_replies =
            follow_all(calls, {address}, requests);
        for (std::size_t n = 0; n < requests.size(); ++n)
        {
            INFO(host_replies[n].key << " " << host_replies[n].error);
            CHECK(host_replies[n].outcome == replies[n].outcome);
        }
    }
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    int cancelled = 0;
    for (const caller_reply& reply : replies)
    {
        INFO(trace_of(record, reply.key));
        CHECK((reply.outcome == "done" || reply.outcome == "cancelled"));
        if (reply.outcome != "cancelled")
        {
            continue;
        }
        ++cancelled;
        for (const execution& run :
             executions_for(record.executions, reply.key))
        {
            CHECK(run.start_ms <= reply.received_ms);
            CHECK(run.last_tick_ms <= reply.received_ms);
        }
    }
    // Without both outcomes there was no race.
    CHECK(cancelled > 0);
    CHECK(cancelled < count);
}
