#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/interference.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);

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

// Makes a model in which "heavy" harms "serving" and "light" does not, as
// learned by another host.
interference_model learned_model()
{
    interference_model model;
    update_peer_interference(
        model, "h2", 1,
        {{"serving", "heavy", 0.2, 5'000}, {"serving", "light", 0.01, 5'000}});
    merge_interference(model);
    return model;
}

/// Target with one serving task under a varying load of users, and backfill
/// tasks that start and stop.
struct varying_target
{
    rack_target target;
    double phase = 0;

    varying_target()
    {
        target.runs[{"s", 1}] = make_run("s", "serving", true);
    }

    // Simulates a report of the target `at_ms` milliseconds after the start of
    // the test.
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
        set_backfill("heavy", heavy_cores);
        set_backfill("light", light_cores);
        observe_target(target, model, start_time + milliseconds(at_ms));
    }

    void set_backfill(const std::string& image, double cores)
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

// User load varies by more than most backfill tasks add. A model based on
// averages attributes the variation to the tasks that happen to run at the
// time. Harmless tasks then count as harmful and queue while processors are
// idle, which delays up to half of the batch work of a day.
TEST_CASE("harmful and harmless pairs are separated under a varying load",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        interference_model model;
        varying_target serving;
        serving.phase = seed;
        std::bernoulli_distribution is_running(0.5);
        double heavy = 0;
        double light = 0;
        for (std::int64_t n = 0; n < 200; ++n)
        {
            if (n % 4 == 0)
            {
                heavy = is_running(random) ? 4.0 : 0.0;
            }
            if (n % 4 == 2)
            {
                light = is_running(random) ? 8.0 : 0.0;
            }
            serving.report(model, n * 400, heavy, light, random);
            merge_interference(model);
        }
        REQUIRE(expected_headroom_drop(model, "serving", "heavy", 1.0) > 0.07);
        REQUIRE(expected_headroom_drop(model, "serving", "light", 1.0) < 0.035);
    }
}

TEST_CASE("the model includes pairs that another host has learned", "[rack]")
{
    interference_model model;
    const double assumed = expected_headroom_drop(model, "s", "f", 1.0);
    update_peer_interference(model, "h2", 1, {{"s", "f", 0.5, 1'000'000}});
    merge_interference(model);
    REQUIRE(expected_headroom_drop(model, "s", "f", 2.0) ==
            Approx(1.0).epsilon(0.01));
    REQUIRE(expected_headroom_drop(model, "s", "other", 1.0) ==
            Approx(assumed));
}

TEST_CASE("a harmful task is not placed beside a loaded serving task", "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.entry.capacity = {32'000, 32'000, 0};
    target.runs[{"s", 1}] = make_run("s", "serving", true, 30);
    observe_target(target, model, start_time);
    const colocation_summary colocation = summarize_colocation(target, model);
    const task_size room{28'000, 30'000, 0};
    const step_terms heavy = *make_run("f", "heavy", false).terms;
    const step_terms light = *make_run("g", "light", false).terms;
    REQUIRE_FALSE(can_take_backfill(colocation, heavy, room, model));
    REQUIRE(can_take_backfill(colocation, light, room, model));
    REQUIRE(rate_backfill_target(colocation, light, room, model) >
            rate_backfill_target(colocation, heavy, room, model));
}

// Starts that no report includes yet have to count, or a burst of them would
// together push a serving task past its response-time target.
TEST_CASE("backfill tasks that have just been placed take headroom", "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.entry.capacity = {32'000, 32'000, 0};
    target.runs[{"s", 1}] = make_run("s", "serving", true, 18);
    observe_target(target, model, start_time);
    const step_terms heavy = *make_run("f", "heavy", false).terms;
    const task_size room{28'000, 30'000, 0};
    REQUIRE(can_take_backfill(summarize_colocation(target, model), heavy, room,
                              model));
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    target.runs[{"f", 1}].is_confirmed = false;
    target.runs[{"g", 1}] = make_run("g", "heavy", false);
    target.runs[{"g", 1}].is_confirmed = false;
    REQUIRE_FALSE(can_take_backfill(summarize_colocation(target, model), heavy,
                                    room, model));
}

// Many tasks use only two thirds of the processors that they declare. If the
// declared size counted, the rest would stay unused while tasks wait for it.
TEST_CASE("idle processors are computed from the reported use of tasks",
          "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    placed_run other = make_run("o", "", true, 2'500);
    step_terms terms = *other.terms;
    terms.response_target_ms = 0;
    other.terms = std::make_shared<const step_terms>(terms);
    target.runs[{"o", 1}] = other;
    target.runs[{"f", 1}] = make_run("f", "light", false, 2'000);
    const colocation_summary colocation = summarize_colocation(target, model);
    REQUIRE(idle_cpu(colocation, {0, 0, 0}) == 4'000 - 2'500 - 2'000);
    // Before the first report the declared size counts.
    target.runs[{"f", 1}].load = 0;
    REQUIRE(idle_cpu(summarize_colocation(target, model), {0, 0, 0}) ==
            4'000 - 2'500 - 4'000);
}

// Slowing all backfill tasks because of a few harmful ones would delay the
// others without need.
TEST_CASE("only harmful tasks are slowed, and sped up when headroom returns",
          "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, 50);
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    target.runs[{"g", 1}] = make_run("g", "light", false);
    observe_target(target, model, start_time);
    const std::vector<pace_change> slowed =
        decide_pace(target, model, start_time);
    REQUIRE(slowed.size() == 1);
    REQUIRE(slowed.front().task == "f");
    REQUIRE(slowed.front().percent < 90);
    REQUIRE(slowed.front().percent > 50);
    // Reported response times lag, so the next change waits for 0.7 s.
    REQUIRE(decide_pace(target, model, start_time + milliseconds(300)).empty());
    target.runs[{"s", 1}].load = 15;
    observe_target(target, model, start_time + milliseconds(800));
    const std::vector<pace_change> faster =
        decide_pace(target, model, start_time + milliseconds(800));
    REQUIRE(faster.size() == 1);
    REQUIRE(faster.front().percent == 100);
}

// The model may take a harmful task for harmless. If only harmful tasks were
// stopped, it would keep running beside a serving task that misses its
// response-time target.
TEST_CASE("a miss of 2 s stops harmless backfill tasks and evicts them later",
          "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, 60);
    target.runs[{"g", 1}] = make_run("g", "light", false);
    observe_target(target, model, start_time);
    REQUIRE(decide_pace(target, model, start_time).empty());
    REQUIRE(
        decide_pace(target, model, start_time + milliseconds(1'400)).empty());
    const time_point later = start_time + milliseconds(2'100);
    const std::vector<pace_change> stopped = decide_pace(target, model, later);
    REQUIRE(stopped.size() == 1);
    REQUIRE(stopped.front().percent == 0);
    REQUIRE(decide_evictions(target, later).empty());
    REQUIRE(decide_evictions(target, later + milliseconds(1'600)).size() == 1);
}

TEST_CASE("a miss of 1 s stops a harmful backfill task", "[rack]")
{
    interference_model model = learned_model();
    rack_target target;
    target.runs[{"s", 1}] = make_run("s", "serving", true, 60);
    target.runs[{"f", 1}] = make_run("f", "heavy", false);
    observe_target(target, model, start_time);
    REQUIRE(decide_pace(target, model, start_time).size() == 1);
    const std::vector<pace_change> stopped =
        decide_pace(target, model, start_time + milliseconds(1'100));
    REQUIRE(stopped.size() == 1);
    REQUIRE(stopped.front().percent == 0);
}

// A task without checkpoints loses its progress when it is evicted, so it is
// given 4 s instead of 1.5 s.
TEST_CASE("a slowed task without checkpoints is evicted after 4 s", "[rack]")
{
    rack_target target;
    placed_run run = make_run("f", "heavy", false);
    step_terms terms = *run.terms;
    terms.is_checkpointing = false;
    run.terms = std::make_shared<const step_terms>(terms);
    run.percent = 0;
    run.slowed_at = start_time;
    target.runs[{"f", 1}] = run;
    REQUIRE(decide_evictions(target, start_time + milliseconds(2'000)).empty());
    REQUIRE(decide_evictions(target, start_time + milliseconds(4'500)).size() ==
            1);
}

// Few targets suit an image that harms most serving images. Without a
// reservation, images that suit all targets fill these few, and starts of the
// first image queue for up to 25 s.
TEST_CASE("targets are reserved for waiting images that few targets suit",
          "[rack]")
{
    interference_model model;
    std::vector<pair_interference> learned;
    learned.push_back({"a", "picky", 0.2, 5'000});
    learned.push_back({"b", "picky", 0.01, 5'000});
    learned.push_back({"a", "easy", 0.01, 5'000});
    learned.push_back({"b", "easy", 0.01, 5'000});
    update_peer_interference(model, "h2", 1, learned);
    merge_interference(model);
    REQUIRE(harmed_share_of(model, "picky") > harmed_share_of(model, "easy"));
    rack_target easy_only;
    easy_only.runs[{"s", 1}] = make_run("s", "a", true, 20);
    rack_target suits_both;
    suits_both.runs[{"s", 1}] = make_run("s", "b", true, 20);
    const task_size room{8'000, 30'000, 0};
    const step_terms easy = *make_run("f", "easy", false).terms;
    const step_terms picky = *make_run("g", "picky", false).terms;
    REQUIRE(rate_backfill_target(summarize_colocation(easy_only, model), easy,
                                 room, model) >
            rate_backfill_target(summarize_colocation(suits_both, model), easy,
                                 room, model));
    REQUIRE(can_take_backfill(summarize_colocation(suits_both, model), easy,
                              room, model));
    model.reserved_shares = {{"picky", 1.0}};
    REQUIRE_FALSE(can_take_backfill(summarize_colocation(suits_both, model),
                                    easy, room, model));
    REQUIRE(can_take_backfill(summarize_colocation(suits_both, model), picky,
                              room, model));
    REQUIRE(can_take_backfill(summarize_colocation(easy_only, model), easy,
                              room, model));
}

// A single waiting start must not reserve all targets that suit its image. In a
// fleet of 490 targets some start always waits, and 9 of 10 queued starts would
// wait for targets that stay idle.
TEST_CASE("a few waiting starts reserve a few targets", "[rack]")
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
    view.measured_at = start_time;
    view.room.rack = "r1";
    view.room.waiting["picky"] = 5;
    std::vector<rack_target> suitable(targets);
    for (int n = 0; n < targets; ++n)
    {
        suitable[n].entry.id = "t" + std::to_string(n);
        suitable[n].runs[{"s", 1}] = make_run("s", "b", true, 20);
        target_load_report report;
        report.id = suitable[n].entry.id;
        report.spare_headroom["b"] = 1.0;
        view.room.targets.push_back(report);
    }
    fleet.racks["r1"] = view;
    const auto count_reserved = [&]
    {
        interference_model model = fleet.interference;
        model.reserved_shares = reserved_shares(fleet, start_time);
        const step_terms easy = *make_run("f", "easy", false).terms;
        return std::count_if(suitable.begin(), suitable.end(),
                             [&](const rack_target& target)
                             {
                                 return !can_take_backfill(
                                     summarize_colocation(target, model), easy,
                                     {8'000, 30'000, 0}, model);
                             });
    };
    const std::ptrdiff_t few = count_reserved();
    REQUIRE(few >= 1);
    REQUIRE(few <= 15);
    fleet.racks["r1"].room.waiting["picky"] = 2 * targets;
    REQUIRE(count_reserved() == targets);
}
