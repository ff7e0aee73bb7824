#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <set>
#include <string>

using namespace egretspindle;

namespace
{

// From the users' rule LOST: with capacity for it twice over, and under half of
// the capacity of its service in use, a task runs within 3 s of its turn.
constexpr milliseconds max_wait{3'000};
constexpr milliseconds tick{250};
constexpr milliseconds min_wait{700}; // `rack_agent_limits::max_queue_wait`
constexpr double drop_per_core = 0.2; // a harmful pair
const time_point start_time = time_point{} + milliseconds(1'000'000);

target_entry make_entry(const std::string& rack, int n)
{
    target_entry entry;
    entry.id = rack + "-" + std::to_string(n);
    entry.service = "svc";
    entry.rack = rack;
    entry.capacity = {32'000, 125'000, 0};
    return entry;
}

// Makes a rack whose targets each run one serving task, on a quarter of their
// processors.
//
// \param headroom  of the serving tasks, without backfill tasks
rack_state make_rack(const std::string& name, int count, double headroom)
{
    step_terms terms;
    terms.step = "serving.0.0";
    terms.service = "svc";
    terms.size = {8'000, 4'000, 0};
    terms.image = "serving";
    terms.is_long_running = true;
    terms.response_target_ms = 50;
    const auto serving_terms = std::make_shared<const step_terms>(terms);
    rack_state rack;
    rack.name = name;
    for (int n = 0; n < count; ++n)
    {
        rack_target target;
        target.entry = make_entry(name, n);
        target.is_recorded = true;
        target.is_reached = true;
        target.started_ms = 1;
        placed_run serving;
        serving.task = "serving.0.0." + std::to_string(n);
        serving.run = 1;
        serving.terms = serving_terms;
        serving.is_confirmed = true;
        serving.own_headroom = headroom;
        target.runs[{serving.task, 1}] = serving;
        rack.targets[target.entry.id] = target;
    }
    return rack;
}

interference_model make_model()
{
    interference_model model;
    update_peer_interference(model, "h2", 1,
                             {{"serving", "heavy", drop_per_core, 1'000'000}});
    merge_interference(model);
    return model;
}

// Makes a rack whose targets have no memory for a start.
rack_state make_full_rack()
{
    rack_state rack = make_rack("r0", 2, 1.2);
    for (auto& [id, target] : rack.targets)
    {
        target.entry.capacity.memory_mb = 4'000;
    }
    return rack;
}

queued_start make_start()
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {3'000, 1'000, 0};
    terms.image = "heavy";
    terms.uses_idle_cpu = true;
    queued_start start;
    start.task = "job.0.0.0";
    start.run = 1;
    start.terms = std::make_shared<const step_terms>(terms);
    start.queued_at = start_time;
    return start;
}

// Adds the report of a rack with two targets to the fleet.
void add_report(fleet_load& fleet, const std::string& rack, double spare,
                std::int64_t queued_cpu_milli)
{
    rack_view view;
    view.room.rack = rack;
    view.room.queued_cpu_milli = queued_cpu_milli;
    for (int n = 0; n < 2; ++n)
    {
        const target_entry entry = make_entry(rack, n);
        target_load_report report;
        report.id = entry.id;
        report.room = {24'000, 121'000, 0};
        report.unused_milli = 4'400;
        report.spare_headroom["serving"] = spare;
        report.is_open = true;
        fleet.targets[entry.id] = entry;
        view.room.targets.push_back(report);
    }
    fleet.racks[rack] = view;
}

} // namespace

// Guards against a start that waits for a safety margin on nearly idle targets.
TEST_CASE("a harmful backfill start runs within 3 s on a nearly idle fleet",
          "[.][rack_backfill_wait]")
{
    // At full speed 0.6 of the headroom is lost, so 1.15 remains on any target.
    rack_state rack = make_rack("r0", 8, 1.75);
    const interference_model model = make_model();
    enqueue(rack, make_start());
    std::size_t placed = 0;
    for (milliseconds at{0}; at <= max_wait; at += tick)
    {
        placed += place_starts(rack, model, start_time + at, 0).size();
        const std::vector<run_event> returned = hand_back(
            rack, min_wait,
            [](const step_terms&, room_kind) { return std::size_t{0}; },
            start_time + at);
        REQUIRE(returned.empty());
    }
    CHECK(placed == 1);
}

// Guards against a start that stays in its rack although another has room.
TEST_CASE("a short start is handed back within 3 s beside long other queues",
          "[.][rack_hand_back_wait]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        rack_state rack = make_full_rack();
        const interference_model model = make_model();
        enqueue(rack, make_start());
        fleet_load fleet;
        fleet.interference = copy_merged_model(model);
        add_report(fleet, "r0", 0.1, 3'000);
        // Room for 18 starts, beside queues of starts with other requirements.
        add_report(fleet, "r1", 5.0, 150'000);
        for (int n = 2; n < 11; ++n)
        {
            add_report(fleet, "r" + std::to_string(n), 0.1, 150'000);
        }
        std::size_t handed_back = 0;
        for (milliseconds at{0}; at <= max_wait; at += tick)
        {
            const time_point now = start_time + at;
            for (auto& [name, view] : fleet.racks)
            {
                view.measured_at = now;
            }
            REQUIRE(place_starts(rack, model, now, 0).empty());
            handed_back += hand_back(
                               rack, min_wait,
                               [&](const step_terms& terms, room_kind room) {
                                   return hand_back_quota(fleet, terms, "r0",
                                                          now, random, room);
                               },
                               now)
                               .size();
        }
        CHECK(handed_back == 1);
    }
}

// Guards against starts that overload a target because they have waited.
TEST_CASE("a slowed start keeps to the memory, the label, the limit and the "
          "processors of its target",
          "[rack]")
{
    rack_state rack = make_rack("r0", 1, 1.2);
    rack_target& target = rack.targets.at("r0-0");
    queued_start start = make_start();
    step_terms terms = *start.terms;
    SECTION("memory")
    {
        target.entry.capacity.memory_mb = 4'900;
    }
    SECTION("label")
    {
        terms.required_label = "ssd";
    }
    SECTION("limit of the step")
    {
        terms.max_per_target = 1;
        placed_run run;
        run.task = "job.0.0.1";
        run.run = 1;
        run.terms = std::make_shared<const step_terms>(terms);
        target.runs[{run.task, 1}] = run;
    }
    SECTION("processors")
    {
        terms.size.cpu_milli = 32'000;
    }
    start.terms = std::make_shared<const step_terms>(terms);
    enqueue(rack, start);
    REQUIRE(mark_overdue(rack, {start.task, start.run}));
    CHECK(place_starts(rack, make_model(), start_time + max_wait, 0).empty());
}

// Guards against jobs of which nothing runs while other starts that have waited
// use all of the targets.
TEST_CASE("the overdue start of a job with nothing at work is placed beside "
          "other slowed runs",
          "[rack]")
{
    rack_state rack = make_rack("r0", 1, 1.2);
    const interference_model model = make_model();
    for (int n = 0; n < 3; ++n)
    {
        queued_start start = make_start();
        start.task = "job.0.0." + std::to_string(n);
        enqueue(rack, start);
    }
    REQUIRE(place_starts(rack, model, start_time + max_wait, 0).size() == 1);
    REQUIRE(rack.queue.size() == 2);
    const run_id last{rack.queue.back().task, 1};
    REQUIRE(mark_overdue(rack, last));
    // The first one may still be at full speed.
    CHECK(place_starts(rack, model, start_time + max_wait, 0).empty());
    for (auto& [id, run] : rack.targets.at("r0-0").runs)
    {
        run.is_confirmed = true;
    }
    const std::vector<placement> placed =
        place_starts(rack, model, start_time + max_wait, 0);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().start.task == last.first);
    CHECK(rack.targets.at("r0-0").runs.at(last).percent < 100);
}

// Guards against slowed starts on a service without capacity to spare, where
// they lowered the speed of all.
TEST_CASE("starts wait for headroom while most of the service is in use",
          "[rack]")
{
    rack_state rack = make_rack("r0", 1, 1.2);
    rack.lightly_used = std::make_shared<const std::set<std::string>>();
    const interference_model model = make_model();
    enqueue(rack, make_start());
    REQUIRE(mark_overdue(rack, {"job.0.0.0", 1}));
    CHECK(place_starts(rack, model, start_time + max_wait, 0).empty());
    rack.lightly_used = std::make_shared<const std::set<std::string>>(
        std::set<std::string>{"svc"});
    CHECK(place_starts(rack, model, start_time + max_wait, 0).size() == 1);
}

TEST_CASE("the owner of a rack tells which overdue starts it does not have",
          "[rack]")
{
    rack_state rack = make_rack("r0", 1, 1.2);
    const run_id id{"job.0.0.0", 1};
    CHECK_FALSE(mark_overdue(rack, id));
    enqueue(rack, make_start());
    CHECK(mark_overdue(rack, id));
    CHECK(mark_overdue(rack, {"serving.0.0.0", 1}));
    // An end that was reported may still be on its way to the owner of the job.
    std::string target;
    REQUIRE(withdraw(rack, id, target).size() == 1);
    CHECK(mark_overdue(rack, id));
}

// Guards against a run that the former owner of the rack has slowed and that
// stays slowed, since starts and takeovers assume full speed.
TEST_CASE("a run that a target lists as slowed is sped up after a takeover",
          "[rack]")
{
    rack_state rack = make_rack("r0", 1, 5.0);
    rack_target& target = rack.targets.at("r0-0");
    const interference_model model = make_model();
    const queued_start start = make_start();
    poll_answer answer;
    answer.started_ms = 1;
    answer.runs.push_back({"serving.0.0.0", 1, "", 100, 10});
    answer.runs.push_back({start.task, start.run, "", 0, 0});
    REQUIRE_FALSE(
        apply_poll(rack, target, answer, start_time, start_time).empty());
    placed_run& run = target.runs.at({start.task, start.run});
    run.terms = start.terms; // from the owner of the job
    std::size_t changes = 0;
    for (milliseconds at{0}; at <= std::chrono::seconds(10); at += tick)
    {
        const time_point now = start_time + at;
        REQUIRE(apply_poll(rack, target, answer, now, now).empty());
        target.runs.at({"serving.0.0.0", 1}).headroom = 5.0;
        changes += decide_pace(target, model, now).size();
        changes += decide_evictions(target, now).size();
    }
    CHECK(changes > 0);
}

// Guards against a run that is never moved again because it was once started
// at reduced speed.
TEST_CASE("a slowed start that has reached full speed and is stopped by pacing "
          "is evicted",
          "[.][rack_slowed_start_eviction]")
{
    rack_state rack = make_rack("r0", 1, 1.2);
    const interference_model model = make_model();
    enqueue(rack, make_start());
    REQUIRE(place_starts(rack, model, start_time + max_wait, 0).size() == 1);
    rack_target& target = rack.targets.at("r0-0");
    placed_run& run = target.runs.at({"job.0.0.0", 1});
    REQUIRE(run.is_slowed_start);
    run.is_confirmed = true;
    placed_run& serving = target.runs.at({"serving.0.0.0", 1});
    std::size_t evicted = 0;
    for (milliseconds at{0}; at <= std::chrono::seconds(60); at += tick)
    {
        const time_point now = start_time + max_wait + at;
        // The load of the serving task is low at first, then too high even
        // without the backfill task.
        const bool is_low_load = at < std::chrono::seconds(5);
        serving.headroom = is_low_load ? 5.0 : 0.8;
        serving.load = is_low_load ? 10 : 62;
        static_cast<void>(decide_pace(target, model, now));
        if (at == std::chrono::seconds(4))
        {
            REQUIRE(run.percent == 100);
        }
        evicted += decide_evictions(target, now).size();
    }
    REQUIRE(run.percent == 0);
    CHECK(evicted == 1);
}

// Guards against an overdue start that waits for processors which backfill
// tasks of other jobs use. Backfill tasks do not count against the capacity of
// the service, so users expect the start within `max_wait`.
TEST_CASE("an overdue backfill start runs beside other backfill tasks that use "
          "all idle processors",
          "[rack]")
{
    rack_state rack = make_rack("r0", 2, 5.0);
    const interference_model model = make_model();
    for (auto& [id, target] : rack.targets)
    {
        // 27 of 28.4 cores that the serving task leaves idle.
        for (int n = 0; n < 9; ++n)
        {
            const queued_start other = make_start();
            placed_run run;
            run.task = id + ".0.0." + std::to_string(n);
            run.run = 1;
            step_terms terms = *other.terms;
            terms.step = id + ".0.0";
            terms.image = "harmless";
            run.terms = std::make_shared<const step_terms>(terms);
            run.is_confirmed = true;
            run.load = terms.size.cpu_milli;
            target.runs[{run.task, 1}] = run;
        }
    }
    queued_start start = make_start();
    enqueue(rack, start);
    std::size_t placed = 0;
    std::size_t moves = 0;
    for (milliseconds at{0}; at <= 4 * max_wait && placed == 0; at += tick)
    {
        const time_point now = start_time + at;
        static_cast<void>(mark_overdue(rack, {start.task, start.run}));
        placed += place_starts(rack, model, now, 0).size();
        const std::vector<run_event> returned = hand_back(
            rack, min_wait,
            [](const step_terms&, room_kind) { return std::size_t{0}; }, now);
        if (!returned.empty())
        {
            // The next rack is in the same state.
            ++moves;
            ++start.run;
            start.waiting_since = start_time;
            start.queued_at = now;
            enqueue(rack, start);
        }
    }
    CAPTURE(moves);
    CHECK(placed == 1);
}
