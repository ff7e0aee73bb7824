#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

// Guards against a data centre that stops serving when it is partitioned, and
// against work that runs on both sides of the partition.
TEST_CASE("a partitioned data centre keeps serving urgent requests",
          "[partition]")
{
    const std::unique_ptr<cluster> nodes =
        make_cluster().with_data_centers(2).with_proxy().build();
    caller calls;
    load_options options;
    options.addresses = nodes->addresses();
    load traffic(calls, options);
    CHECK(wait_until([&] { return traffic.submitted() > 30; }));
    nodes->set_data_center_link("b", "drop");
    std::vector<caller_reply> urgent_replies;
    for (const std::string& side : {std::string("a"), std::string("b")})
    {
        load_options urgent;
        urgent.prefix = "cut-" + side;
        urgent.addresses = nodes->addresses(side);
        urgent.batch_share = 0;
        urgent.non_idempotent_share = 0;
        load urgent_traffic(calls, urgent);
        CHECK(wait_until([&] { return urgent_traffic.submitted() > 100; },
                         std::chrono::seconds(60)));
        const std::vector<caller_reply> replies =
            urgent_traffic.wait_for_outcomes();
        urgent_replies.insert(urgent_replies.end(), replies.begin(),
                              replies.end());
    }
    nodes->set_data_center_link("b", "pass");
    const std::vector<caller_reply> replies = traffic.wait_for_outcomes();
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    CHECK_THAT(check_outcomes(urgent_replies, {"done"}, record),
               Catch::Equals(violations{}));
    CHECK_THAT(check_outcomes(replies, {"done", "not_run"}, record),
               Catch::Equals(violations{}));
}
