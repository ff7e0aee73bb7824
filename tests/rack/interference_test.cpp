#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/interference.hpp"

#include <catch2/catch.hpp>

#include <cmath>
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
    terms.is_checkpointing = !is_serving;
    terms.response_target_ms = is_serving ? 50 : 0;
    placed_run run;
    run.task = task;
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_confirmed = true;
    run.load = load;
    return run;
}

// Model with one harmful and one harmless image, as learned by another host.
interference_model learned_model()
{
    interference_model model;
    update_peer_interference(
        model, "h2", 1,
        {{"serving", "heavy", 0.2, 5'000}, {"serving", "light", 0.01, 5'000}});
    merge_interference(model);
    return model;
}

/// Target with one serving task whose users' load swings, and company that
/// comes and goes.
struct swinging_target
{
    rack_target target;
    double phase = 0;

    swinging_target()
    {
        target.runs[{"s", 1}] = make_run("s", "serving", true);
    }

    // Lets the target report `at_ms` after the start.
    void report(interference_model& model, std::int64_t at_ms,
                double heavy_cores, double light_cores,
                std::minstd_rand& random)
    {
        constexpr double period_ms = 14'000;
        constexpr double two_pi = 6.283185307;
        std::uniform_real_distribution<double> noise(0.97, 1.03);
        const double load =
            0.45 +
            0.225 * std::sin(phase +
                             two_pi * static_cast<double>(at_ms) / period_ms);
        const double headroom = std::max(
            0.2, 5.0 * (1.0 - load) - 0.15 * heavy_cores - 0.01 * light_cores);
        target.runs[{"s", 1}].load =
            std::lround(50.0 / headroom * noise(random));
        set_company("heavy", heavy_cores);
        set_company("light", light_cores);
        observe_target(target, model, start + milliseconds(at_ms));
    }

    void set_company(const std::string& image, double cores)
    {
        target.runs.erase({image, 1});
        if (cores > 0)
        {
            placed_run run = make_run(image, image, false);
            step_terms terms = *run.terms;
            terms.size.cpu_milli = std::lround(cores * 1'000);
            run.terms = std::make_shared<const step_terms>(terms);
            target.runs[{image, 1}] = run;
        }
    }
};

} // namespace

// The swing of the users' load is larger than most company adds. Averages put
// it down to company that happened to be there, so harmless tasks queued while
// processors were idle, and one day in three lost half of its batch work.
TEST_CASE("pairs of images are told apart while the users' load swings",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        interference_model model;
        swinging_target serving;
        serving.phase = seed;
        std::bernoulli_distribution is_there(0.5);
        double heavy = 0;
        double light = 0;
        for (std::int64_t n = 0; n < 200; ++n)
        {
            if (n % 4 == 0)
            {
                heavy = is_there(random) ? 4.0 : 0.0;
            }
            if (n % 4 == 2)
            {
                light = is_there(random) ? 8.0 : 0.0;
            }
            serving.report(model, n * 400, heavy, light, random);
            merge_interference(model);
        }
        REQUIRE(expected_drop(model, "serving", "heavy", 1.0) > 0.07);
        REQUIRE(expected_drop(model, "serving", "light", 1.0) < 0.035);
    }
}

TEST_CASE("what another host has learned counts", "[rack]")
{
    interference_model model;
    const double assumed = expected_drop(model, "s", "f", 1.0);
    update_peer_interference(model, "h2", 1, {{"s", "f", 0.5, 1'000'000}});
    merge_interference(model);
    REQUIRE(expected_drop(model, "s", "f", 2.0) == Approx(1.0).epsilon(0.01));
    REQUIRE(expected_drop(model, "s", "other", 1.0) == Approx(assumed));
}

TEST_CASE("a harmful task does not join a loaded serving task", "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.entry.capacity = {32'000, 32'000, 0};
    target.runs[{"s", 1}] = make_run("s", "serving", true, 30);
    observe_target(target, model, start);
    const target_mix mix = mix_of(target, model);
    const task_size room{28'000, 30'000, 0};
    const step_terms heavy = *make_run("f", "heavy", false).terms;
    const step_terms light = *make_run("g", "light", false).terms;
    REQUIRE_FALSE(finds_idle_cpu(mix, heavy, room, model));
    REQUIRE(finds_idle_cpu(mix, light, room, model));
    REQUIRE(rate_company(mix, light, room, model) >
            rate_company(mix, heavy, room, model));
}

// Every start that a report does not show yet has to count, or a burst of
// starts would take a serving task past its target together.
TEST_CASE("company that has just been placed counts", "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.entry.capacity = {32'000, 32'000, 0};
    target.runs[{"s", 1}] = make_run("s", "serving", true, 18);
    observe_target(target, model, start);
    const step_terms heavy = *make_run("f", "heavy", false).terms;
    const task_size room{28'000, 30'000, 0};
    REQUIRE(finds_idle_cpu(mix_of(target, model), heavy, room, model));
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    target.runs[{"f", 1}].is_confirmed = false;
    target.runs[{"g", 1}] = make_run("g", "heavy", false);
    target.runs[{"g", 1}].is_confirmed = false;
    REQUIRE_FALSE(finds_idle_cpu(mix_of(target, model), heavy, room, model));
}

// Many tasks use two thirds of what they declare; idle processors went unused
// while others waited for them.
TEST_CASE("idle processors are those that are not used", "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    placed_run other = make_run("o", "", true, 2'500);
    step_terms terms = *other.terms;
    terms.response_target_ms = 0;
    other.terms = std::make_shared<const step_terms>(terms);
    target.runs[{"o", 1}] = other;
    target.runs[{"f", 1}] = make_run("f", "light", false, 2'000);
    const target_mix mix = mix_of(target, model);
    REQUIRE(idle_cpu(mix, {0, 0, 0}) == 4'000 - 2'500 - 2'000);
    // Before the first report the declared size counts.
    target.runs[{"f", 1}].load = 0;
    REQUIRE(idle_cpu(mix_of(target, model), {0, 0, 0}) ==
            4'000 - 2'500 - 4'000);
}

// Slowing all company for a few harmful tasks cost the others their progress.
TEST_CASE("only harmful company is slowed, and works again afterwards",
          "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, 50);
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    target.runs[{"g", 1}] = make_run("g", "light", false);
    observe_target(target, model, start);
    const std::vector<pace_change> slowed = decide_pace(target, model, start);
    REQUIRE(slowed.size() == 1);
    REQUIRE(slowed.front().task == "f");
    REQUIRE(slowed.front().percent < 90);
    REQUIRE(slowed.front().percent > 50);
    // Response times lag, so the next change waits.
    REQUIRE(decide_pace(target, model, start + milliseconds(300)).empty());
    target.runs[{"s", 1}].load = 15;
    observe_target(target, model, start + milliseconds(800));
    const std::vector<pace_change> faster =
        decide_pace(target, model, start + milliseconds(800));
    REQUIRE(faster.size() == 1);
    REQUIRE(faster.front().percent == 100);
}

// The first day with pairs broke HARM: company that counted as harmless went
// on beside a task over its target for 4 s.
TEST_CASE("a long miss stops harmful company, then all, and evicts it later",
          "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, 60);
    target.runs[{"g", 1}] = make_run("g", "light", false);
    observe_target(target, model, start);
    REQUIRE(decide_pace(target, model, start).empty());
    REQUIRE(decide_pace(target, model, start + milliseconds(1'400)).empty());
    const time_point later = start + milliseconds(2'100);
    const std::vector<pace_change> stopped = decide_pace(target, model, later);
    REQUIRE(stopped.size() == 1);
    REQUIRE(stopped.front().percent == 0);
    REQUIRE(decide_evictions(target, later).empty());
    REQUIRE(decide_evictions(target, later + milliseconds(1'600)).size() == 1);
}

TEST_CASE("a harmful task stops while a serving task misses its target",
          "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, 60);
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    observe_target(target, model, start);
    REQUIRE(decide_pace(target, model, start).size() == 1);
    const std::vector<pace_change> stopped =
        decide_pace(target, model, start + milliseconds(1'100));
    REQUIRE(stopped.size() == 1);
    REQUIRE(stopped.front().percent == 0);
}

// A task that saves no progress would start over.
TEST_CASE("a slowed task without checkpoints is evicted later", "[rack]")
{
    rack_target target;
    placed_run run = make_run("f", "heavy", false);
    step_terms terms = *run.terms;
    terms.is_checkpointing = false;
    run.terms = std::make_shared<const step_terms>(terms);
    run.percent = 0;
    run.slowed_at = start;
    target.runs[{"f", 1}] = run;
    REQUIRE(decide_evictions(target, start + milliseconds(2'000)).empty());
    REQUIRE(decide_evictions(target, start + milliseconds(4'500)).size() == 1);
}

// An image that harms most serving images has few places to go. Images that
// could go anywhere filled these, and its starts queued for 25 s.
TEST_CASE("targets are kept for waiting images that few targets suit", "[rack]")
{
    interference_model model;
    std::vector<pair_interference> learned;
    learned.push_back({"a", "picky", 0.2, 5'000});
    learned.push_back({"b", "picky", 0.01, 5'000});
    learned.push_back({"a", "easy", 0.01, 5'000});
    learned.push_back({"b", "easy", 0.01, 5'000});
    update_peer_interference(model, "h2", 1, learned);
    merge_interference(model);
    REQUIRE(hardness_of(model, "picky") > hardness_of(model, "easy"));
    rack_target suits_easy;
    suits_easy.runs[{"s", 1}] = make_run("s", "a", true, 20);
    rack_target suits_both;
    suits_both.runs[{"s", 1}] = make_run("s", "b", true, 20);
    const task_size room{8'000, 30'000, 0};
    const step_terms easy = *make_run("f", "easy", false).terms;
    const step_terms picky = *make_run("g", "picky", false).terms;
    REQUIRE(rate_company(mix_of(suits_easy, model), easy, room, model) >
            rate_company(mix_of(suits_both, model), easy, room, model));
    REQUIRE(finds_idle_cpu(mix_of(suits_both, model), easy, room, model));
    model.reserved_shares = {{"picky", 1.0}};
    REQUIRE_FALSE(finds_idle_cpu(mix_of(suits_both, model), easy, room, model));
    REQUIRE(finds_idle_cpu(mix_of(suits_both, model), picky, room, model));
    REQUIRE(finds_idle_cpu(mix_of(suits_easy, model), easy, room, model));
}

// One start of a scarce image kept every target that suited it. On 490 targets
// some start always waits, and 9 of 10 queued starts waited for idle targets.
TEST_CASE("a few waiting starts keep a few targets", "[rack]")
{
    constexpr int targets = 490;
    fleet_load fleet;
    update_peer_interference(fleet.interference, "h2", 1,
                             {{"a", "picky", 0.2, 5'000},
                              {"b", "picky", 0.01, 5'000},
                              {"a", "easy", 0.01, 5'000},
                              {"b", "easy", 0.01, 5'000}});
    merge_interference(fleet.interference);
    rack_view view;
    view.reported_at = start;
    view.room.rack = "r1";
    view.room.waiting["picky"] = 5;
    std::vector<rack_target> suitable(targets);
    for (int n = 0; n < targets; ++n)
    {
        suitable[n].entry.id = "t" + std::to_string(n);
        suitable[n].runs[{"s", 1}] = make_run("s", "b", true, 20);
        target_load_report room;
        room.id = suitable[n].entry.id;
        room.spare_headroom["b"] = 1.0;
        view.room.targets.push_back(room);
    }
    fleet.racks["r1"] = view;
    const auto count_kept = [&]
    {
        interference_model model = fleet.interference;
        model.reserved_shares = reserved_shares(fleet, start);
        const step_terms easy = *make_run("f", "easy", false).terms;
        return std::count_if(suitable.begin(), suitable.end(),
                             [&](const rack_target& target)
                             {
                                 return !finds_idle_cpu(
                                     mix_of(target, model), easy,
                                     {8'000, 30'000, 0}, model);
                             });
    };
    const std::ptrdiff_t few = count_kept();
    REQUIRE(few >= 1);
    REQUIRE(few <= 15);
    fleet.racks["r1"].room.waiting["picky"] = 2 * targets;
    REQUIRE(count_kept() == targets);
}
