#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

std::vector<test_request> long_requests(const std::string& prefix, int work_ms)
{
    std::vector<test_request> result;
    for (int n = 0; n < 8; ++n)
    {
        const std::string id = prefix + "-" + std::to_string(n);
        result.push_back(batch_request("bi-" + id, work_ms));
        result.push_back(batch_request("bn-" + id, work_ms, false));
    }
    return result;
}

/// Returns a target that executes one of the requests, after all started.
std::string busy_target(const cluster& nodes, const caller& calls,
                        const std::vector<test_request>& requests)
{
    std::string target;
    const bool has_started = wait_until(
        [&]
        {
            const run_record record = nodes.record(calls);
            return std::all_of(requests.begin(), requests.end(),
                               [&](const test_request& it)
                               {
                                   const std::vector<execution> runs =
                                       executions_for(record.executions,
                                                      key_of(it));
                                   if (!runs.empty())
                                   {
                                       target = runs.back().target;
                                   }
                                   return !runs.empty();
                               });
        });
    CHECK(has_started);
    return target;
}

void submit_all(caller& calls, cluster& nodes,
                const std::vector<test_request>& requests)
{
    for (const test_request& request : requests)
    {
        (void)calls.submit(nodes.host("a1").address, request);
    }
}

/// Checks the outcomes that callers received after one target was killed or
/// became unreachable.
///
/// \param is_lost  whether the results of the target's tasks are lost for good
void check_replies(const std::vector<caller_reply>& replies,
                   const run_record& record, const std::string& target,
                   bool is_lost)
{
    for (const caller_reply& reply : replies)
    {
        INFO(trace_of(record, reply.key));
        const std::vector<execution> runs =
            executions_for(record.executions, reply.key);
        const bool ran_on_target = std::any_of(
            runs.begin(), runs.end(),
            [&](const execution& run) { return run.target == target; });
        if (reply.is_idempotent || !ran_on_target)
        {
            CHECK(reply.outcome == "done");
        }
        else if (is_lost)
        {
            CHECK((reply.outcome == "unknown" || reply.outcome == "done"));
        }
        else
        {
            CHECK((reply.outcome == "unknown" || reply.outcome == "failed" ||
                   reply.outcome == "done"));
        }
    }
}

} // namespace

// Guards against work that is lost with its target, that is started again while
// it still runs, or that runs twice although it is not idempotent.
TEST_CASE("only idempotent tasks of a killed target move", "[target_fault]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    const std::vector<test_request> requests = long_requests("k", 3000);
    submit_all(calls, *nodes, requests);
    const std::string target = busy_target(*nodes, calls, requests);
    nodes->target(target).kill();
    const std::vector<caller_reply> replies =
        follow_all(calls, nodes->addresses(), requests);
    nodes->target(target).start();
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    check_replies(replies, record, target, true);
}

// Guards against a second execution that overlaps a paused one after it
// resumes.
TEST_CASE("tasks of a paused target stop before they move", "[target_fault]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    const std::vector<test_request> requests = long_requests("p", 3000);
    submit_all(calls, *nodes, requests);
    const std::string target = busy_target(*nodes, calls, requests);
    nodes->target(target).pause();
    // Waits until another target has started a further attempt.
    CHECK(wait_until(
        [&]
        {
            const run_record record = nodes->record(calls);
            return std::any_of(
                record.executions.begin(), record.executions.end(),
                [](const execution& it) { return it.attempt > 1; });
        }));
    nodes->target(target).resume();
    const std::vector<caller_reply> replies =
        follow_all(calls, nodes->addresses(), requests);
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    check_replies(replies, record, target, false);
}

// Guards against wrong conclusions when commands or replies are held back in
// one direction of the network and arrive late.
TEST_CASE("a target unreachable in one direction runs nothing twice",
          "[target_fault]")
{
    const std::string mode = GENERATE("cut_requests", "cut_replies", "drop");
    const std::unique_ptr<cluster> nodes = make_cluster().with_proxy().build();
    caller calls;
    const std::vector<test_request> requests = long_requests("c", 3000);
    submit_all(calls, *nodes, requests);
    const std::string target = busy_target(*nodes, calls, requests);
    nodes->set_links({"to-" + target}, mode);
    CHECK(wait_until(
        [&]
        {
            const run_record record = nodes->record(calls);
            return std::any_of(
                record.executions.begin(), record.executions.end(),
                [](const execution& it) { return it.attempt > 1; });
        }));
    nodes->set_links({"to-" + target}, "pass");
    const std::vector<caller_reply> replies =
        follow_all(calls, nodes->addresses(), requests);
    const run_record record = nodes->record(calls);
    INFO(mode);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    check_replies(replies, record, target, false);
}
