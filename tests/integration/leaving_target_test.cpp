#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

// Required by the users: no starts on a target later than this after the host
// list shows that it leaves.
constexpr std::int64_t leaving_limit_ms = 3000;

} // namespace

// Guards against new work on a leaving target, and against batch work that is
// lost or duplicated when it is moved to another target.
TEST_CASE(
    "a leaving target receives no work and its batch work resumes elsewhere",
    "[leaving_target]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    std::vector<test_request> requests;
    for (int n = 0; n < 16; ++n)
    {
        requests.push_back(batch_request("long-" + std::to_string(n), 8000));
        (void)calls.submit(nodes->host("a1").address, requests.back());
    }
    std::string target;
    CHECK(wait_until(
        [&]
        {
            const run_record record = nodes->record(calls);
            if (!record.executions.empty())
            {
                target = record.executions.front().target;
            }
            return record.executions.size() == requests.size();
        }));
    load_options options;
    options.addresses = nodes->addresses();
    load traffic(calls, options);
    const std::int64_t visible_ms = nodes->control_host_list(
        R"({"name":")" + target + R"(","state":"leaving"})");
    const std::vector<caller_reply> replies = follow_all(
        calls, nodes->addresses(), requests, std::chrono::seconds(60));
    (void)traffic.wait_for_outcomes();
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    for (const execution& run : record.executions)
    {
        if (run.target == target)
        {
            INFO(trace_of(record, run.key));
            CHECK(run.start_ms <= visible_ms + leaving_limit_ms);
        }
    }
    int moved = 0;
    for (const caller_reply& reply : replies)
    {
        INFO(trace_of(record, reply.key));
        CHECK(reply.outcome == "done");
        const std::vector<execution> runs =
            executions_for(record.executions, reply.key);
        const bool ran_on_target =
            std::any_of(runs.begin(), runs.end(),
                        [&](const execution& run)
                        { return run.target == target && run.ended != "end"; });
        if (ran_on_target)
        {
            ++moved;
            CHECK(runs.size() == 2);
            CHECK(runs.back().resumed_ms > 0);
        }
    }
    CHECK(moved > 0);
}
