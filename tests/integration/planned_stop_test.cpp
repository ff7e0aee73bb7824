#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against a planned stop that interrupts or refuses requests, or that
// reports a failure to the supervisor of the process.
TEST_CASE("a planned stop under load fails no request", "[planned_stop]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    load_options options;
    options.addresses = nodes->addresses();
    options.has_balancer = true;
    options.urgent_ms = 100;
    load traffic(calls, options);
    for (const std::string& name : nodes->host_names())
    {
        const int before = traffic.submitted();
        CHECK(wait_until([&] { return traffic.submitted() > before + 50; }));
        nodes->host(name).terminate();
        const std::optional<int> status =
            nodes->host(name).process->wait_exit(std::chrono::seconds(40));
        INFO("stop of " << name << "\n" << nodes->log_tails(1000));
        CHECK(status.has_value());
        CHECK(status.value_or(0) == 0);
        nodes->host(name).start();
        nodes->wait_ready({name});
    }
    const std::vector<caller_reply> replies = traffic.wait_for_outcomes();
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    for (const caller_reply& reply : record.replies)
    {
        INFO(reply.call << " " << reply.error << reply.reason
                        << trace_of(record, reply.key));
        CHECK((reply.status == 200 || reply.status == 202));
    }
    for (const caller_reply& reply : replies)
    {
        INFO(trace_of(record, reply.key));
        CHECK(reply.outcome == "done");
    }
}
