#include "egretspindle/codec/json.hpp"
#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/load_message.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <random>
#include <string>

using namespace egretspindle;

namespace
{

const time_point now = time_point{} + milliseconds(1'000'000);
constexpr task_size capacity{32'000, 128'000, 0};
constexpr std::int64_t too_small = 5'000; // thousandths of a core
constexpr std::int64_t large_enough = 7'000;

step_terms make_terms(std::int64_t cpu_milli, bool is_long_running)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {cpu_milli, 1'000, 0};
    terms.is_long_running = is_long_running;
    return terms;
}

target_entry make_entry(const std::string& rack)
{
    target_entry entry;
    entry.id = rack + "-t";
    entry.rack = rack;
    entry.service = "svc";
    entry.capacity = capacity;
    return entry;
}

// Adds a rack without free processors.
void add_full_rack(fleet_load& fleet, const std::string& rack,
                   std::optional<std::int64_t> eventual_cpu)
{
    const target_entry entry = make_entry(rack);
    fleet.targets[entry.id] = entry;
    target_load_report report;
    report.id = entry.id;
    report.is_open = true;
    rack_view view;
    view.room.rack = rack;
    view.room.queued_cpu_milli = 6'000;
    view.room.eventual_cpu_milli = eventual_cpu;
    view.room.targets = {report};
    view.measured_at = now;
    fleet.racks[rack] = view;
}

void add_run(rack_target& target, const std::string& task,
             const step_terms& terms)
{
    placed_run run;
    run.task = task;
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_confirmed = true;
    target.runs[{task, 1}] = run;
}

rack_load_report report_of(const step_terms& long_running,
                           const step_terms& short_task)
{
    rack_state rack;
    rack.name = "r1";
    rack_target& target = rack.targets["r1-t"];
    target.entry = make_entry("r1");
    target.is_recorded = true;
    target.is_reached = true;
    add_run(target, "a.0.0.0", long_running);
    add_run(target, "b.0.0.0", short_task);
    return make_load_report(rack, interference_model{}, now);
}

} // namespace

// Guards against a long-running start queued in a rack that long-running tasks
// fill.
TEST_CASE("a long-running start waits in a rack that has room for it later",
          "[rack]")
{
    fleet_load fleet;
    for (const std::string rack : {"r1", "r2", "r3", "r4", "r5"})
    {
        add_full_rack(fleet, rack, rack == "r4" ? large_enough : too_small);
    }
    fleet.racks["r4"].room.queued_cpu_milli = 12'000; // not the shortest queue
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        step_terms terms = make_terms(6'000, true);
        CHECK(choose_racks(fleet, terms, 1, "", now, random).front() == "r4");
        terms.earlier_rack = "r4";
        CHECK(choose_racks(fleet, terms, 1, "", now, random).front() == "r4");
    }
}

// Guards against a start without a rack while no host knows of room for it.
TEST_CASE("a long-running start waits somewhere if no rack has room later",
          "[rack]")
{
    fleet_load fleet;
    add_full_rack(fleet, "r1", too_small);
    std::minstd_rand random(1);
    const step_terms terms = make_terms(6'000, true);
    CHECK(choose_racks(fleet, terms, 1, "", now, random).front() == "r1");
    // A host of an earlier version does not report it.
    add_full_rack(fleet, "r2", std::nullopt);
    CHECK(choose_racks(fleet, terms, 1, "", now, random).front() == "r2");
}

// Guards against a long-running start kept for good by a rack that long-running
// tasks fill.
TEST_CASE("a rack hands a long-running start back to one with room later",
          "[rack]")
{
    const step_terms terms = make_terms(6'000, true);
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        fleet_load fleet;
        add_full_rack(fleet, "r1", too_small);
        add_full_rack(fleet, "r2", too_small);
        CHECK(hand_back_quota(fleet, terms, "r1", now, random) == 0);
        add_full_rack(fleet, "r3", std::nullopt);
        CHECK(hand_back_quota(fleet, terms, "r1", now, random) == 0);
        add_full_rack(fleet, "r4", large_enough);
        CHECK(hand_back_quota(fleet, terms, "r1", now, random) == 1);
        CHECK(hand_back_quota(fleet, terms, "r4", now, random) == 0);
        const step_terms other = make_terms(6'000, false);
        CHECK(hand_back_quota(fleet, other, "r1", now, random) == 0);
    }
}

// Guards against a report that counts the processors of short tasks as taken
// for good.
TEST_CASE("a load report has the room that is left when short tasks end",
          "[rack]")
{
    const rack_load_report report =
        report_of(make_terms(25'010, true), make_terms(6'000, false));
    REQUIRE(report.targets.size() == 1);
    CHECK(report.targets.front().room.cpu_milli == 990);
    CHECK(report.eventual_cpu_milli == 6'990);
}

// Guards against a long-running start kept by a rack whose targets are out of
// reach: their room counted, so no other rack was better.
TEST_CASE("a load report has no room for later on targets that take no starts",
          "[rack]")
{
    rack_state rack;
    rack.name = "r1";
    CHECK_FALSE(make_load_report(rack, interference_model{}, now)
                    .eventual_cpu_milli.has_value());
    for (const std::string id : {"t1", "t2"})
    {
        rack_target& target = rack.targets[id];
        target.entry = make_entry("r1");
        target.entry.id = id;
        target.is_recorded = true;
        target.is_reached = true;
    }
    add_run(rack.targets["t1"], "a.0.0.0", make_terms(25'000, true));
    CHECK(
        make_load_report(rack, interference_model{}, now).eventual_cpu_milli ==
        32'000);
    rack.targets["t2"].avoid_until = now + milliseconds(1);
    CHECK(
        make_load_report(rack, interference_model{}, now).eventual_cpu_milli ==
        7'000);
    rack.targets["t1"].avoid_until = now + milliseconds(1);
    const rack_load_report report =
        make_load_report(rack, interference_model{}, now);
    CHECK(report.eventual_cpu_milli == 0);
    const absl::StatusOr<load_message> seen = from_json<load_message>(
        to_json(load_report_messages("h", 1, {report}).front()));
    REQUIRE(seen.ok());
    CHECK(load_reports_of(*seen).front().eventual_cpu_milli == 0);
}

// Guards against starts that leave a rack one by one although several racks
// have room for them later.
TEST_CASE("long-running starts are handed back to all racks with room later",
          "[rack]")
{
    const step_terms terms = make_terms(6'000, true);
    fleet_load fleet;
    add_full_rack(fleet, "r1", too_small);
    for (const std::string rack : {"r2", "r3", "r4"})
    {
        add_full_rack(fleet, rack, large_enough);
    }
    add_full_rack(fleet, "r5", too_small);
    std::minstd_rand random(1);
    CHECK(hand_back_quota(fleet, terms, "r1", now, random) == 3);
    CHECK(hand_back_quota(fleet, terms, "r1", now, random, room_kind::free) ==
          0);
}

// Guards against messages of earlier versions read as those of full racks.
TEST_CASE("a load message without the room of later decodes", "[rack]")
{
    rack_load_report report =
        report_of(make_terms(25'010, true), make_terms(6'000, false));
    const load_message sent = load_report_messages("h", 1, {report}).front();
    const absl::StatusOr<load_message> seen =
        from_json<load_message>(to_json(sent));
    REQUIRE(seen.ok());
    REQUIRE(load_reports_of(*seen).size() == 1);
    // Rounded up, so that the largest task that fits is not refused.
    CHECK(load_reports_of(*seen).front().eventual_cpu_milli == 7'000);
    report.eventual_cpu_milli.reset();
    const std::string text =
        to_json(load_report_messages("h", 1, {report}).front());
    CHECK(text.find("\"e\"") == std::string::npos);
    const absl::StatusOr<load_message> old = from_json<load_message>(text);
    REQUIRE(old.ok());
    REQUIRE(load_reports_of(*old).size() == 1);
    CHECK_FALSE(load_reports_of(*old).front().eventual_cpu_milli.has_value());
}

// Guards against a task that is stopped on a draining target and then has no
// place to work.
TEST_CASE("the fleet has room for a long-running task if a rack reports it",
          "[rack]")
{
    fleet_load fleet;
    const step_terms terms = make_terms(6'000, true);
    CHECK_FALSE(has_eventual_room(fleet, terms, now));
    add_full_rack(fleet, "r1", too_small);
    add_full_rack(fleet, "r2", std::nullopt);
    CHECK_FALSE(has_eventual_room(fleet, terms, now));
    add_full_rack(fleet, "r3", large_enough);
    CHECK(has_eventual_room(fleet, terms, now));
    // Targets of another service cannot take the task.
    step_terms other = terms;
    other.service = "other";
    CHECK_FALSE(has_eventual_room(fleet, other, now));
}
