#include "support/make_cluster.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against a cluster that cannot serve the simplest request of each
// class.
TEST_CASE("requests of each class end with complete answers", "[smoke]")
{
    const std::unique_ptr<cluster> nodes =
        make_cluster().with_data_centers(2).build();
    caller calls;
    const std::vector<test_request> requests{
        urgent_request("draft-1"), urgent_request("pay-1", 20, false),
        batch_request("index-1", 100), batch_request("final-1", 100, false)};
    for (const test_request& request : requests)
    {
        for (const std::string& host : {std::string("a1"), std::string("b2")})
        {
            test_request sent = request;
            sent.id += host;
            (void)calls.submit(nodes->host(host).address, sent);
            const caller_reply reply =
                calls.follow({nodes->host(host).address}, sent);
            INFO(sent.id << " " << reply.reason << reply.error
                         << nodes->log_tails());
            CHECK(reply.outcome == "done");
        }
    }
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    CHECK(record.executions.size() == 2 * requests.size());
}
