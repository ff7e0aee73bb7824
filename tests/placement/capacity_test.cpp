#include "egretspindle/placement/capacity.hpp"
#include "egretspindle/placement/choose_target.hpp"
#include "egretspindle/placement/observe.hpp"

#include "rack_fixture.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

void learn(policy_model& model, const std::string& kind, double cores,
           double memory_mb, int times, time_point now)
{
    const target_load target = make_rack(1).targets[0];
    const usage_sample sample{"k", 1, kind, cores, memory_mb, 0, 0};
    for (int n = 0; n < times; ++n)
    {
        observe_usage(model, target, absl::MakeConstSpan(&sample, 1), now);
        observe_end(model, target, {kind, false, true, 5000, false}, now);
    }
}

} // namespace

// Guards against starts that a lagging report does not show yet being
// forgotten, and against any dimension being left out.
TEST_CASE("decisions never exceed the capacity of a target", "[placement]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    INFO("seed " << seed);
    std::mt19937_64 rng(seed);
    std::uniform_real_distribution<> wrong(-1, 1);
    rack_load rack = make_rack(4);
    rack.targets[0].connections = 4;
    policy_model model;
    const policy_limits limits;
    int placed = 0;
    for (int n = 0; n < 300; ++n)
    {
        task_request request =
            make_request(std::to_string(n), "k" + std::to_string(rng() % 3),
                         "a", rng() % 2 == 0);
        request.size = {2 * std::pow(10, wrong(rng)),
                        8000 * std::pow(10, wrong(rng)),
                        static_cast<int>(rng() % 2)};
        const placement_decision decision =
            choose_target(rack, request, model, limits, start, rng);
        if (decision.kind != placement_kind::place ||
            !decision.evictions.empty())
        {
            continue;
        }
        ++placed;
        for (target_load& target : rack.targets)
        {
            if (target.name == decision.target)
            {
                task_load task =
                    make_task(request.key, request.kind, "a", request.urgent);
                task.reserve = decision.reservation;
                target.tasks.push_back(task);
            }
            resources reserved;
            for (const task_load& task : target.tasks)
            {
                reserved = reserved + task.reserve;
            }
            REQUIRE(fits(reserved, target.capacity));
            REQUIRE(static_cast<int>(target.tasks.size()) <= target.slots);
            REQUIRE(static_cast<int>(target.tasks.size()) < target.connections);
        }
    }
    CHECK(placed >= 8);
}

// Guards against tasks that a target rejects for want of a connection.
TEST_CASE("connections bound the tasks of a target", "[placement]")
{
    std::mt19937_64 rng(1);
    rack_load rack = make_rack(1);
    rack.targets[0].connections = 4;
    rack.targets[0].tasks = {make_task("1", "k", "a", true),
                             make_task("2", "k", "a", true)};
    const task_request request = make_request("x", "k", "a", true);
    const policy_limits limits;
    CHECK(choose_target(rack, request, {}, limits, start, rng).kind ==
          placement_kind::place);
    rack.targets[0].tasks.push_back(make_task("3", "k", "a", true));
    CHECK(choose_target(rack, request, {}, limits, start, rng).kind ==
          placement_kind::wait);
}

// Guards against a kind that declares a tenth of its need being packed before
// the first measurement.
TEST_CASE("an unmeasured kind reserves ten times what it declares",
          "[placement]")
{
    const resources reserve = reservation_for(
        {}, make_request("1", "new", "a", false), {32, 125000, 0});
    CHECK(reserve.cpu_cores >= 10);
    CHECK(reserve.memory_mb >= 10000);
}

// Guards against estimates that follow a peak late, or forget it at once.
TEST_CASE("an estimate rises at once and falls slowly", "[placement]")
{
    policy_model model;
    const resources capacity{32, 125000, 0};
    const task_request request = make_request("1", "k", "a", false);
    learn(model, "k", 2, 4000, 50, start);
    const double before = reservation_for(model, request, capacity).memory_mb;
    learn(model, "k", 2, 9000, 1, start);
    CHECK(reservation_for(model, request, capacity).memory_mb >= 9000);
    learn(model, "k", 2, 4000, 100, start + std::chrono::seconds(60));
    CHECK(reservation_for(model, request, capacity).memory_mb >= 8000);
    learn(model, "k", 2, 4000, 100, start + std::chrono::hours(3));
    CHECK(reservation_for(model, request, capacity).memory_mb <= 1.1 * before);
}

// Guards against a declared size ten times too large wasting the target once
// the kind is known.
TEST_CASE("a known kind bounds what a caller declares", "[placement]")
{
    policy_model model;
    learn(model, "k", 2, 4000, 50, start);
    task_request request = make_request("1", "k", "a", false);
    request.size = {20, 40000, 0};
    const resources reserve = reservation_for(model, request, {32, 125000, 0});
    CHECK(reserve.cpu_cores < 3);
    CHECK(reserve.memory_mb < 6000);
}

// Guards against a request that fits nowhere waiting for ever.
TEST_CASE("a request larger than every target is told so", "[placement]")
{
    std::mt19937_64 rng(1);
    task_request request = make_request("1", "k", "a", false);
    request.size.accelerators = 3;
    const placement_decision decision =
        choose_target(make_rack(2), request, {}, {}, start, rng);
    CHECK(decision.kind == placement_kind::reject);
    CHECK(decision.never_fits);
}

// Guards against work on targets that leave, are unreachable or quarantined.
TEST_CASE("only usable targets are chosen", "[placement]")
{
    std::mt19937_64 rng(1);
    rack_load rack = make_rack(5);
    rack.targets[0].leaving = true;
    rack.targets[1].reachable = false;
    rack.targets[2].health_state = target_health_state::quarantined;
    rack.targets[3].health_state = target_health_state::probing;
    for (int n = 0; n < 20; ++n)
    {
        const placement_decision decision = choose_target(
            rack, make_request("1", "k", "a", true), {}, {}, start, rng);
        REQUIRE(decision.target == "t4");
    }
}
