#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against requests that fail or run twice while half of the hosts are
// restarted one after the other.
TEST_CASE("half of the hosts restart under load", "[rolling_restart]")
{
    const std::unique_ptr<cluster> nodes =
        make_cluster().with_data_centers(2).build();
    caller calls;
    load_options options;
    options.addresses = nodes->addresses();
    options.has_balancer = true;
    load traffic(calls, options);
    for (const std::string& name :
         {std::string("a1"), std::string("b2"), std::string("a3")})
    {
        const int before = traffic.submitted();
        CHECK(wait_until([&] { return traffic.submitted() > before + 50; }));
        nodes->host(name).terminate();
        CHECK(nodes->host(name).process->wait_exit(std::chrono::seconds(40)));
        nodes->host(name).start();
        nodes->wait_ready({name});
    }
    const std::vector<caller_reply> replies = traffic.wait_for_outcomes();
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    for (const caller_reply& reply : replies)
    {
        INFO(trace_of(record, reply.key));
        CHECK(reply.outcome == "done");
    }
}
