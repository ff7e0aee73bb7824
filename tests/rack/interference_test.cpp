#include "egretspindle/rack/interference.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace egretspindle;

namespace
{

const time_point start = time_point{} + milliseconds(1'000'000);

placed_run make_run(const std::string& task, const std::string& image,
                    bool is_serving, std::int64_t load = 0)
{
    step_terms terms;
    terms.image = image;
    terms.size = {4'000, 100, 0};
    terms.uses_idle_cpu = !is_serving;
    terms.response_target_ms = is_serving ? 50 : 0;
    placed_run run;
    run.task = task;
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_taken = true;
    run.load = load;
    return run;
}

rack_target make_target(std::int64_t response_ms)
{
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, response_ms);
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    return target;
}

// Response time / target of a serving task whose own load swings.
double simulate(const image_cores& company, double heavy_per_core,
                std::minstd_rand& random)
{
    std::normal_distribution<double> swing(0.45, 0.12);
    const auto it = company.find("heavy");
    return swing(random) +
           (it == company.end() ? 0.0 : heavy_per_core * it->second);
}

} // namespace

// With one estimate for each image, instead of each pair, a harmless pair was
// kept apart because another serving image suffered.
TEST_CASE("pairs of images are told apart", "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        pressure_model model;
        for (int n = 0; n < 150; ++n)
        {
            const image_cores company{{"heavy", 3.5}, {"light", 3.5}};
            observe_pressure(model, "sensitive", company,
                             simulate(company, 0.16, random));
            observe_pressure(model, "robust", company,
                             simulate(company, 0.0, random));
            const image_cores light{{"light", 3.5}};
            observe_pressure(model, "sensitive", light,
                             simulate(light, 0.16, random));
        }
        merge_pressures(model);
        REQUIRE(expected_pressure(model, {"sensitive"}, "heavy", 3.5) > 0.3);
        REQUIRE(expected_pressure(model, {"robust"}, "heavy", 3.5) < 0.2);
        REQUIRE(expected_pressure(model, {"sensitive"}, "light", 3.5) < 0.25);
        REQUIRE(are_known_pairs(model, {"sensitive"}, "heavy"));
    }
}

TEST_CASE("what another host has learned counts", "[rack]")
{
    pressure_model model;
    REQUIRE_FALSE(are_known_pairs(model, {"s"}, "f"));
    model.others["h2"] = {{"s", "f", 0.2, 50}};
    merge_pressures(model);
    REQUIRE(are_known_pairs(model, {"s"}, "f"));
    REQUIRE(expected_pressure(model, {"s"}, "f", 2.0) == Approx(0.4));
}

TEST_CASE("a harmful task does not join a loaded serving task", "[rack]")
{
    pressure_model model;
    model.others["h2"] = {{"serving", "heavy", 0.2, 50},
                          {"serving", "light", 0.0, 50}};
    merge_pressures(model);
    rack_target target;
    target.entry.capacity = {32'000, 32'000, 0};
    target.runs[{"s", 1}] = make_run("s", "serving", true, 30);
    const target_mix mix = mix_of(target, model);
    const task_size room{28'000, 30'000, 0};
    const step_terms heavy = *make_run("f", "heavy", false).terms;
    const step_terms light = *make_run("g", "light", false).terms;
    REQUIRE_FALSE(finds_idle_cpu(mix, heavy, room, model));
    REQUIRE(finds_idle_cpu(mix, light, room, model));
    REQUIRE(rate_company(mix, light, room, model) >
            rate_company(mix, heavy, room, model));
}

TEST_CASE("harmful company is slowed, and works again afterwards", "[rack]")
{
    pressure_model model;
    model.others["h2"] = {{"serving", "heavy", 0.2, 50}};
    merge_pressures(model);
    rack_target target = make_target(47);
    const std::vector<pace_change> slowed = decide_pace(target, model, start);
    REQUIRE(slowed.size() == 1);
    REQUIRE(slowed.front().percent == 50);
    // Response times lag, so the next change waits.
    REQUIRE(decide_pace(target, model, start + milliseconds(300)).empty());
    target.runs[{"s", 1}].load = 15;
    const std::vector<pace_change> faster =
        decide_pace(target, model, start + milliseconds(800));
    REQUIRE(faster.size() == 1);
    REQUIRE(faster.front().percent == 75);
}

// The first day with pairs broke HARM: company that counted as harmless went
// on beside a task over its target for 4 s.
TEST_CASE("a long miss stops all company, and evicts it later", "[rack]")
{
    pressure_model model;
    model.others["h2"] = {{"serving", "heavy", 0.0, 50}};
    merge_pressures(model);
    rack_target target = make_target(60);
    REQUIRE(decide_pace(target, model, start).empty());
    const time_point later = start + milliseconds(1'400);
    const std::vector<pace_change> stopped = decide_pace(target, model, later);
    REQUIRE(stopped.size() == 1);
    REQUIRE(stopped.front().percent == 0);
    REQUIRE(decide_evictions(target, later).empty());
    REQUIRE(decide_evictions(target, later + milliseconds(1'600)).size() == 1);
}
