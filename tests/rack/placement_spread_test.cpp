#include "fleet_simulation.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace egretspindle;

namespace
{

constexpr std::int64_t cpu_milli = 4'000;
constexpr int serving_images = 18;
constexpr int backfill_images = 10;
// Mean number of tasks per rack in a report period above which the spread is
// checked. With 62 racks this is 1,240 tasks in a period; a burst of slightly
// more has been seen to give one rack 4 to 8 times its even share.
constexpr int min_tasks_per_rack = 20;

/// Load of a simulated fleet.
struct simulated_load
{
    std::string name;
    /// Processors that the tasks need at a time, as a share of all processors
    /// of the fleet; above 1, some have to queue.
    double share = 0.9;
    int tasks = 8;                      ///< tasks in a step
    milliseconds arrival_window{1'000}; ///< time over which the steps arrive
    milliseconds duration{60'000};      ///< of a task
    bool uses_idle_cpu = false;
    bool is_serving = false;
};

step_terms make_terms(const simulated_load& load, int number)
{
    step_terms terms;
    terms.service = "svc";
    terms.size = {cpu_milli, 100, 0};
    terms.uses_idle_cpu = load.uses_idle_cpu;
    terms.response_target_ms = load.is_serving ? 50 : 0;
    terms.image = load.is_serving
                      ? "s" + std::to_string(number % serving_images)
                      : "f" + std::to_string(number % backfill_images);
    return terms;
}

// Makes evenly spaced steps that together need `simulated_load::share` of the
// processors at a time while they arrive.
std::vector<simulated_step> make_steps(const simulation& sim,
                                       const simulated_load& load)
{
    const double rounds =
        std::max(1.0, static_cast<double>(load.arrival_window.count()) /
                          static_cast<double>(load.duration.count()));
    const double wanted =
        load.share * rounds * static_cast<double>(total_cpu(sim));
    const int count =
        static_cast<int>(wanted / static_cast<double>(load.tasks * cpu_milli));
    std::vector<simulated_step> steps;
    for (int n = 0; n < count; ++n)
    {
        simulated_step step;
        step.terms = make_terms(load, n);
        step.tasks = load.tasks;
        step.duration = load.duration;
        step.at = load.arrival_window * n / count;
        steps.push_back(step);
    }
    return steps;
}

simulation simulate(const simulated_load& load, unsigned seed, milliseconds end)
{
    simulation_limits limits;
    limits.seed = seed;
    simulation sim = make_simulation(limits);
    if (load.uses_idle_cpu)
    {
        add_serving_tasks(sim, 16'000);
    }
    run_simulation(sim, make_steps(sim, load), end);
    return sim;
}

std::string to_text(const simulated_load& load, const simulation& sim)
{
    const simulation_result& result = sim.result;
    return load.name + ", seed " + std::to_string(sim.limits.seed) +
           ": submitted " + std::to_string(result.submitted) + ", placed " +
           std::to_string(result.placed) + ", handed back " +
           std::to_string(result.handed_back) + ", orders " +
           std::to_string(result.orders) + ", largest share " +
           std::to_string(largest_share(sim, min_tasks_per_rack)) +
           ", waited 50% " +
           std::to_string(wait_quantile(result, 0.5).count()) + " ms, 95% " +
           std::to_string(wait_quantile(result, 0.95).count()) + " ms, 99% " +
           std::to_string(wait_quantile(result, 0.99).count()) + " ms, all " +
           std::to_string(wait_quantile(result, 1.0).count()) + " ms";
}

simulated_load burst(double share, int tasks)
{
    simulated_load load;
    load.name = "burst";
    load.share = share;
    load.tasks = tasks;
    return load;
}

simulated_load serving_burst(double share)
{
    simulated_load load = burst(share, 4);
    load.name = "burst of serving tasks";
    load.is_serving = true;
    return load;
}

simulated_load steady(double share)
{
    simulated_load load;
    load.name = "steady";
    load.share = share;
    load.tasks = 5;
    load.arrival_window = milliseconds(10'000);
    load.duration = milliseconds(2'000);
    return load;
}

simulated_load steady_backfill(double share)
{
    simulated_load load = steady(share);
    load.name = "steady backfill load";
    load.uses_idle_cpu = true;
    return load;
}

} // namespace

// All hosts see the same free capacity. If each uses all of it, one rack gets 7
// to 12 times its even share of a burst of serving tasks, and hands most of
// them back.
//
// Limit of 4: a host overcommits its share of the free capacity by a factor of
// 2, and the better of two random queues at most doubles the probability of a
// rack; random variation adds to both. Faulty choices gave one rack 4 to 8
// times its share.
TEST_CASE("no rack gets over 4 times its share of a burst of serving tasks",
          "[rack]")
{
    const unsigned seed = GENERATE(1u, 2u);
    const simulated_load load =
        GENERATE(serving_burst(0.6), serving_burst(0.9));
    const simulation sim = simulate(load, seed, milliseconds(3'000));
    INFO(to_text(load, sim));
    REQUIRE(largest_share(sim, min_tasks_per_rack) > 0);
    REQUIRE(largest_share(sim, min_tasks_per_rack) <= 4.0);
}

// The same for steps of tasks that are not serving tasks, with the limit of 4
// times the even share. Known to fail, see KNOWN-RED.txt.
TEST_CASE("no rack gets much more than its share of a burst of short steps",
          "[.][rack_placement_spread]")
{
    const unsigned seed = GENERATE(1u, 2u);
    const simulated_load load = GENERATE(burst(0.9, 8), burst(1.3, 5));
    const simulation sim = simulate(load, seed, milliseconds(3'000));
    INFO(to_text(load, sim));
    REQUIRE(largest_share(sim, min_tasks_per_rack) > 0);
    REQUIRE(largest_share(sim, min_tasks_per_rack) <= 4.0);
}

// If all hosts choose the same racks, 40 to 50% of a burst of serving tasks are
// handed back and 5% wait for more than 6 s, in a fleet that fits all of them.
//
// Limits: a wrong choice costs a start 0.7 s in the queue, a tick and two
// messages, 1.25 s in total; 2 s allow for less than two of these. A hand-back
// costs as much as a start, so 15% of them cost 15% more store writes and
// messages.
TEST_CASE("95% of starts are placed within 2 s in a partly free fleet",
          "[rack]")
{
    const unsigned seed = GENERATE(1u, 2u);
    const simulated_load load = GENERATE(
        burst(0.9, 1), burst(0.9, 8), serving_burst(0.6), serving_burst(0.9),
        steady(0.7), steady(0.95), steady_backfill(0.5));
    const simulation sim = simulate(load, seed, milliseconds(15'000));
    INFO(to_text(load, sim));
    REQUIRE(sim.result.placed == sim.result.submitted);
    REQUIRE(sim.result.handed_back * 100 <= sim.result.submitted * 15);
    REQUIRE(wait_quantile(sim.result, 0.95) <= milliseconds(2'000));
}

// In a full fleet every rack has a queue, and all see the same capacity when it
// becomes free. If each uses all of it, 20% of the starts are handed back, and
// their new racks are chosen by the same reports.
//
// Limit: waiting in another queue gains nothing while all racks are full, so a
// hand-back is only a cost; 5% are needed to balance the queues. Known to fail,
// see KNOWN-RED.txt.
TEST_CASE("starts stay in their queues while the fleet is full",
          "[.][rack_placement_spread]")
{
    const unsigned seed = GENERATE(1u, 2u);
    const simulated_load load = GENERATE(steady(1.2), steady_backfill(0.7));
    const simulation sim = simulate(load, seed, milliseconds(15'000));
    INFO(to_text(load, sim));
    REQUIRE(sim.result.handed_back * 100 <= sim.result.submitted * 5);
    REQUIRE(sim.result.placed * 100 >= sim.result.submitted * 95);
}
