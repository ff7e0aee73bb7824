#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

load_options mixed_load(const cluster& nodes, const std::string& prefix)
{
    load_options options;
    options.prefix = prefix;
    options.addresses = nodes.addresses();
    return options;
}

/// Waits until `count` further requests were submitted.
bool wait_for_submissions(const load& traffic, int count)
{
    const int before = traffic.submitted();
    return wait_until([&] { return traffic.submitted() >= before + count; },
                      std::chrono::seconds(60));
}

void check_run(cluster& nodes, caller& calls,
               const std::vector<caller_reply>& replies)
{
    const run_record record = nodes.record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    CHECK_THAT(check_outcomes(replies, {"done", "not_run"}, record),
               Catch::Equals(violations{}));
}

} // namespace

// Guards against duplicate starts and lost completions when commits take effect
// but their answers are lost.
TEST_CASE("lost answers of the store cause no duplicate starts",
          "[store_fault]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    const unsigned seed = 7;
    INFO("seed " << seed);
    load traffic(calls, mixed_load(*nodes, "lost"));
    nodes->control_store(R"({"lose_answer_probability":0.2,"seed":7})");
    CHECK(wait_for_submissions(traffic, 100));
    nodes->control_store(R"({"lose_answer_probability":0})");
    check_run(*nodes, calls, traffic.wait_for_outcomes());
}

// Guards against urgent work that stops while the store is down or slow, and
// against work that runs although its record was refused.
TEST_CASE("urgent idempotent work continues without the store", "[store_fault]")
{
    const std::string fault =
        GENERATE(R"({"outage":true})", R"({"delay_ms":800})");
    INFO(fault);
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    load traffic(calls, mixed_load(*nodes, "down"));
    CHECK(wait_for_submissions(traffic, 30));
    nodes->control_store(fault);
    load_options urgent = mixed_load(*nodes, "urgent");
    urgent.batch_share = 0;
    urgent.non_idempotent_share = 0;
    load urgent_traffic(calls, urgent);
    CHECK(wait_for_submissions(urgent_traffic, 200));
    const std::vector<caller_reply> urgent_replies =
        urgent_traffic.wait_for_outcomes();
    nodes->control_store(R"({"outage":false,"delay_ms":0})");
    CHECK(wait_for_submissions(traffic, 30));
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_outcomes(urgent_replies, {"done"}, record),
               Catch::Equals(violations{}));
    check_run(*nodes, calls, traffic.wait_for_outcomes());
}

// Guards against completions that are lost with the host that held them during
// an outage, and against a restarted host that starts work again.
TEST_CASE("restarting an entry host in an outage duplicates no work",
          "[store_fault]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    load traffic(calls, mixed_load(*nodes, "swap"));
    CHECK(wait_for_submissions(traffic, 30));
    nodes->control_store(R"({"outage":true})");
    CHECK(wait_for_submissions(traffic, 30));
    nodes->host("a2").kill();
    CHECK(wait_for_submissions(traffic, 30));
    nodes->host("a2").start();
    nodes->control_store(R"({"outage":false})");
    nodes->wait_ready({"a2"});
    CHECK(wait_for_submissions(traffic, 30));
    check_run(*nodes, calls, traffic.wait_for_outcomes());
}
