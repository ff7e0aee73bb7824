#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

// Urgent work has to start within this time, failover included.
constexpr std::int64_t urgent_start_limit_ms = 5900;

std::vector<test_request> requests_of_each_class(const std::string& prefix)
{
    std::vector<test_request> result;
    for (int n = 0; n < 6; ++n)
    {
        const std::string id = prefix + "-" + std::to_string(n);
        result.push_back(urgent_request("ui-" + id, 300));
        result.push_back(urgent_request("un-" + id, 300, false));
        result.push_back(batch_request("bi-" + id, 600));
        result.push_back(batch_request("bn-" + id, 600, false));
    }
    return result;
}

/// Counts the events of a kind for ids with this prefix.
std::size_t count_events(const cluster& nodes, const caller& calls,
                         const std::string& event, const std::string& prefix)
{
    const run_record record = nodes.record(calls);
    return static_cast<std::size_t>(std::count_if(
        record.events.begin(), record.events.end(),
        [&](const standin::journal_event& it)
        {
            return it.event == event &&
                   it.key.find("-" + prefix + "-") != std::string::npos;
        }));
}

void check_outcomes(const std::vector<caller_reply>& replies,
                    const run_record& record)
{
    for (const caller_reply& reply : replies)
    {
        INFO(trace_of(record, reply.key));
        // All targets keep running, so no outcome may be lost.
        if (reply.is_idempotent)
        {
            CHECK(reply.outcome == "done");
        }
        else
        {
            CHECK((reply.outcome == "done" || reply.outcome == "not_run"));
        }
    }
}

void check_urgent_starts(const run_record& record)
{
    for (const execution& run : record.executions)
    {
        std::int64_t sent_ms = run.start_ms;
        for (const caller_reply& reply : record.replies)
        {
            if (reply.key == run.key)
            {
                sent_ms = std::min(sent_ms, reply.sent_ms);
            }
        }
        if (run.urgent)
        {
            INFO(trace_of(record, run.key));
            CHECK(run.start_ms - sent_ms <= urgent_start_limit_ms);
        }
    }
}

} // namespace

// Guards against lost, duplicated and wrongly reported requests when the host
// that received a request, the owner of its target's rack, or both are killed.
TEST_CASE("killing an entry host neither loses nor duplicates requests",
          "[host_kill]")
{
    struct scenario
    {
        /// Part of the request ids. First letter: receiver, other or two hosts
        /// killed; second letter: before, during or after the execution.
        std::string name;
        std::vector<std::string> killed_hosts;
        std::string event; ///< half of the requests reach it before the kill
    };
    const std::vector<std::string> receiver{"a1"};
    const std::vector<std::string> other{"a2"};
    const std::vector<std::string> both{"a1", "a2"};
    const std::vector<scenario> scenarios{
        {"rb", receiver, ""},    {"rd", receiver, "start"},
        {"ra", receiver, "end"}, {"ob", other, ""},
        {"od", other, "start"},  {"oa", other, "end"},
        {"tb", both, ""},        {"td", both, "start"},
        {"ta", both, "end"},
    };
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    for (const scenario& it : scenarios)
    {
        const std::vector<test_request> requests =
            requests_of_each_class(it.name);
        std::vector<std::string> survivors;
        for (const std::string& name : nodes->host_names())
        {
            if (std::count(it.killed_hosts.begin(), it.killed_hosts.end(),
                           name) == 0)
            {
                survivors.push_back(nodes->host(name).address);
            }
        }
        {
            const parallel_submit submits(calls, nodes->host("a1").address,
                                          requests);
            if (!it.event.empty())
            {
                CHECK(wait_until(
                    [&]
                    {
                        return count_events(*nodes, calls, it.event, it.name) >=
                               requests.size() / 2;
                    }));
            }
            for (const std::string& name : it.killed_hosts)
            {
                nodes->host(name).kill();
            }
        }
        const std::vector<caller_reply> replies =
            follow_all(calls, survivors, requests);
        INFO("scenario " << it.name);
        check_outcomes(replies, nodes->record(calls));
        for (const std::string& name : it.killed_hosts)
        {
            nodes->host(name).start();
        }
        nodes->wait_ready(it.killed_hosts);
    }
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    check_urgent_starts(record);
}
