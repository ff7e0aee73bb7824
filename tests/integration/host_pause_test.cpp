#include "egretspindle/core/clock.hpp"

#include "support/load.hpp"
#include "support/make_cluster.hpp"
#include "support/wait_until.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

// A lease, its margin, and the time to detect the pause and to take over.
constexpr std::chrono::seconds longer_than_lease{9};

} // namespace

// Guards against an owner that resumes after its lease expired and still
// commands targets that another host has taken over.
TEST_CASE("an entry host paused past its lease sends no valid orders",
          "[host_pause]")
{
    const std::unique_ptr<cluster> nodes = make_cluster().build();
    caller calls;
    load_options options;
    options.addresses = nodes->addresses();
    load traffic(calls, options);
    for (const std::string& name : nodes->host_names())
    {
        const time_point paused = steady_clock::now();
        const int before = traffic.submitted();
        nodes->host(name).pause();
        // The other hosts have to serve requests meanwhile.
        CHECK(wait_until(
            [&]
            {
                return steady_clock::now() - paused > longer_than_lease &&
                       traffic.submitted() > before + 20;
            }));
        nodes->host(name).resume();
        nodes->wait_ready({name});
    }
    const std::vector<caller_reply> replies = traffic.wait_for_outcomes();
    const run_record record = nodes->record(calls);
    CHECK_THAT(check_all(record), Catch::Equals(violations{}));
    CHECK_THAT(check_outcomes(replies, {"done", "not_run"}, record),
               Catch::Equals(violations{}));
}
