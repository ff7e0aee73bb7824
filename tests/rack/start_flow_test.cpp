#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace egretspindle;

namespace
{

/// Load of a simulated fleet.
struct simulated_load
{
    double share = 0.9;         ///< of the processors, at any time if tasks end
    int tasks = 8;              ///< of a step
    milliseconds length{1'000}; ///< in which steps arrive
    milliseconds duration{60'000}; ///< of a task
    bool uses_idle_cpu = false;
};

constexpr std::int64_t cpu_milli = 4'000;

simulation_limits small_site()
{
    simulation_limits limits;
    limits.hosts = 9;
    limits.racks = 9;
    limits.targets = 66;
    return limits;
}

std::vector<simulated_step> make_steps(const simulation& sim,
                                       const simulated_load& load)
{
    const double rounds = std::max(
        1.0, static_cast<double>(load.length.count()) / load.duration.count());
    const double wanted = load.share * rounds * total_cpu(sim);
    const int count = static_cast<int>(wanted / (load.tasks * cpu_milli));
    std::vector<simulated_step> steps;
    for (int n = 0; n < count; ++n)
    {
        simulated_step step;
        step.terms.service = "svc";
        step.terms.size = {cpu_milli, 100, 0};
        step.terms.uses_idle_cpu = load.uses_idle_cpu;
        step.terms.image = "f" + std::to_string(n % 10);
        step.tasks = load.tasks;
        step.duration = load.duration;
        step.at = load.length * n / count;
        steps.push_back(step);
    }
    return steps;
}

simulation_result run(const simulation_limits& limits,
                      const simulated_load& load, milliseconds end)
{
    simulation sim = make_simulation(limits);
    if (load.uses_idle_cpu)
    {
        add_serving_tasks(sim, 16'000);
    }
    run_simulation(sim, make_steps(sim, load), end);
    return sim.result;
}

std::string to_text(const simulation_result& result)
{
    return "submitted " + std::to_string(result.submitted) + ", placed " +
           std::to_string(result.placed) + ", handed back " +
           std::to_string(result.handed_back) + ", orders " +
           std::to_string(result.orders) + ", waited 95% " +
           std::to_string(wait_quantile(result, 0.95).count()) + " ms, 99% " +
           std::to_string(wait_quantile(result, 0.99).count()) + " ms, all " +
           std::to_string(wait_quantile(result, 1.0).count()) + " ms";
}

} // namespace

// Choosers gave whole steps to racks that others chose at the same time. With
// steps of 8 and 20 tasks on 43 hosts, 7.5 to 14% of the starts were handed
// back, and 3 to 18% had found no place within 10 s.
//
// Bound: placements of others are not known for about 0.9 s, in which all of
// the burst arrives. 3,520 tasks fall on 62 racks in parts of 3, so a rack gets
// 57 with a standard deviation of 13, where 64 fit. On average 2.4 are too many
// (4.2%); each of them moves once, and not all find a place at once.
TEST_CASE("a burst that nearly fills the fleet wanders little", "[rack]")
{
    const int tasks = GENERATE(1, 8, 20);
    const unsigned seed = GENERATE(1u, 2u);
    simulation_limits limits;
    SECTION("43 hosts with 490 targets") {}
    SECTION("9 hosts with 66 targets")
    {
        limits = small_site();
    }
    limits.seed = seed;
    simulated_load load;
    load.tasks = tasks;
    const simulation_result result = run(limits, load, milliseconds(10'000));
    INFO(tasks << " tasks a step, seed " << seed << ": " << to_text(result));
    REQUIRE(result.handed_back * 100 <= result.submitted * 8);
    REQUIRE(result.placed == result.submitted);
    REQUIRE(wait_quantile(result, 0.95) <= milliseconds(2'500));
}

// On 43 hosts 2.7% were handed back when whole steps went to a rack. With parts
// of 3, a rack has room for what the other hosts send in 0.9 s.
TEST_CASE("starts do not wander while there is room", "[rack]")
{
    simulated_load load;
    load.tasks = 10;
    load.length = milliseconds(10'000);
    load.duration = milliseconds(2'000);
    simulation_limits limits;
    SECTION("43 hosts, processors of their own")
    {
        load.share = 0.7;
    }
    SECTION("43 hosts, idle processors")
    {
        load.share = 0.3;
        load.uses_idle_cpu = true;
    }
    SECTION("9 hosts, processors of their own")
    {
        load.share = 0.7;
        limits = small_site();
    }
    SECTION("9 hosts, idle processors")
    {
        load.share = 0.3;
        load.uses_idle_cpu = true;
        limits = small_site();
    }
    const simulation_result result = run(limits, load, milliseconds(12'000));
    INFO(to_text(result));
    REQUIRE(result.handed_back * 100 <= result.submitted);
    REQUIRE(result.placed == result.submitted);
    REQUIRE(wait_quantile(result, 0.99) <= milliseconds(1'000));
}

// Every rack has a queue then, and all see the places that become free. When
// each counted on all of them, 14% were handed back on 43 hosts and 8% on 9. A
// quarter of that is offered now.
TEST_CASE("starts stay in their queues in a full fleet", "[rack]")
{
    simulated_load load;
    load.share = 1.0;
    load.tasks = 10;
    load.length = milliseconds(15'000);
    load.duration = milliseconds(2'000);
    simulation_limits limits;
    SECTION("43 hosts with 490 targets") {}
    SECTION("9 hosts with 66 targets")
    {
        limits = small_site();
    }
    const simulation_result result = run(limits, load, milliseconds(15'000));
    INFO(to_text(result));
    REQUIRE(result.handed_back * 100 <= result.submitted * 4);
    REQUIRE(result.placed * 100 >= result.submitted * 88);
}
