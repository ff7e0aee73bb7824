#include "egretspindle/codec/json.hpp"
#include "egretspindle/placement/choose_target.hpp"
#include "egretspindle/placement/observe.hpp"

#include "rack_fixture.hpp"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace egretspindle;
using namespace egretspindle::test;

namespace
{

/// Returns a model that learned from reports of a target where each `noisy`
/// task slows a `served` task by 0.5, but not vice versa. The reports have 20%
/// noise and are two seconds old.
policy_model learn_pair(std::mt19937_64& rng)
{
    policy_model model;
    std::uniform_real_distribution<> noise(0.8, 1.2);
    target_load target = make_rack(1).targets[0];
    time_point now = start;
    std::deque<double> counts(3, 0);
    for (int n = 0; n < 800; ++n)
    {
        if (n % 4 == 0)
        {
            target.tasks.clear();
            target.tasks.push_back(make_task("s", "served", "a", true));
            for (std::uint64_t i = rng() % 4; i > 0; --i)
            {
                target.tasks.push_back(make_task("n", "noisy", "b", false));
            }
        }
        // A report describes the state two seconds ago.
        counts.push_back(static_cast<double>(target.tasks.size()) - 1);
        counts.pop_front();
        const usage_sample samples[] = {
            {"s", 1, "served", 1, 1000, 0,
             noise(rng) / (1 + 0.5 * counts.front())},
            {"n", 1, "noisy", 1, 1000, 0, std::min(1.0, noise(rng))}};
        observe_usage(model, target,
                      absl::MakeConstSpan(samples, counts.front() > 0 ? 2 : 1),
                      now);
        now += std::chrono::milliseconds(1000);
    }
    return model;
}

double learned(const policy_model& model, const char* kind, const char* other)
{
    return slowdown_by(model, kind_index(model, kind), kind_index(model, other),
                       0.4, start + std::chrono::seconds(800));
}

} // namespace

// Guards against learning the slowdown of a pair in the wrong direction, or not
// at all, from noisy and delayed reports.
TEST_CASE("slowdown is learned per ordered pair", "[placement]")
{
    const std::uint64_t seed = GENERATE(1, 2, 3);
    INFO("seed " << seed);
    std::mt19937_64 rng(seed);
    const policy_model model = learn_pair(rng);
    CHECK(learned(model, "served", "noisy") > 0.3);
    CHECK(learned(model, "served", "noisy") < 0.7);
    CHECK(learned(model, "noisy", "served") < 0.2);
}

// Guards against attributing a delayed report to the tasks that run at its
// receipt.
TEST_CASE("slowdown is not attributed to tasks that started later",
          "[placement]")
{
    policy_model model;
    target_load target = make_rack(1).targets[0];
    std::deque<bool> noisy(3, false);
    time_point now = start;
    for (int n = 0; n < 400; ++n)
    {
        noisy.push_back(n / 4 % 2 == 0);
        noisy.pop_front();
        const char* other = noisy.back() ? "noisy" : "later";
        target.tasks = {make_task("s", "served", "a", true),
                        make_task("o", other, "b", false)};
        const usage_sample sample{
            "s", 1, "served", 1, 1000, 0, noisy.front() ? 0.5 : 1.0};
        observe_usage(model, target, absl::MakeConstSpan(&sample, 1), now);
        now += std::chrono::milliseconds(1000);
    }
    CHECK(learned(model, "served", "noisy") >
          2 * learned(model, "served", "later"));
}

// Guards against placing urgent work by load alone.
TEST_CASE("urgent work avoids a noisy neighbour on a less loaded target",
          "[placement]")
{
    std::mt19937_64 rng(1);
    const policy_model model = learn_pair(rng);
    rack_load rack = make_rack(2);
    rack.targets[0].tasks = {make_task("1", "noisy", "b", false)};
    for (int n = 0; n < 3; ++n)
    {
        rack.targets[1].tasks.push_back(make_task("q", "served", "a", true));
    }
    const placement_decision decision =
        choose_target(rack, make_request("2", "served", "a", true), model, {},
                      start + std::chrono::seconds(800), rng);
    CHECK(decision.target == "t1");
}

// Guards against spreading batch work that slows urgent work over all targets.
TEST_CASE("noisy batch work is placed on a target that has noisy work already",
          "[placement]")
{
    std::mt19937_64 rng(1);
    policy_model model = learn_pair(rng);
    const time_point now = start + std::chrono::seconds(800);
    observe_urgent_arrival(model, "served", now);
    rack_load rack = make_rack(2);
    rack.targets[0].tasks = {make_task("1", "noisy", "b", false),
                             make_task("2", "noisy", "b", false)};
    const placement_decision decision = choose_target(
        rack, make_request("3", "noisy", "b", false), model, {}, now, rng);
    CHECK(decision.target == "t0");
}

// Guards against a new owner that starts without the estimates of other hosts.
TEST_CASE("a summary transfers learned slowdowns to another host",
          "[placement]")
{
    std::mt19937_64 rng(1);
    const policy_model model = learn_pair(rng);
    const absl::StatusOr<model_summary> received =
        from_json<model_summary>(to_json(to_summary(model)));
    REQUIRE(received.ok());
    policy_model peer;
    merge_summary(peer, *received, start + std::chrono::seconds(800));
    CHECK(learned(peer, "served", "noisy") > 0.3);
}

// Guards against slowdowns that are no longer true but kept forever.
TEST_CASE("slowdowns without recent samples decay to the prior", "[placement]")
{
    std::mt19937_64 rng(1);
    const policy_model model = learn_pair(rng);
    CHECK(slowdown_by(model, kind_index(model, "served"),
                      kind_index(model, "noisy"), 0.4,
                      start + std::chrono::hours(24)) < 0.05);
}
