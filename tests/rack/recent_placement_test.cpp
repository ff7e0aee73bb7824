#include "egretspindle/rack/fleet_load.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const time_point now = time_point{} + milliseconds(1'000'000);
const task_size target_size{32'000, 128'000, 0};

// Reports two racks with one empty target each.
void report_empty_racks(fleet_load& fleet, time_point at)
{
    for (const std::string rack : {"r0", "r1"})
    {
        target_entry entry;
        entry.id = rack + "-0";
        entry.service = "svc";
        entry.rack = rack;
        entry.capacity = target_size;
        fleet.targets[entry.id] = entry;
        target_load_report report;
        report.id = entry.id;
        report.room = target_size;
        report.is_open = true;
        rack_view view;
        view.room.rack = rack;
        view.room.targets = {report};
        view.measured_at = at;
        fleet.racks[rack] = view;
    }
}

// Makes a fleet whose processors this host has just filled with tasks.
fleet_load make_filled_fleet(step_terms& terms, std::minstd_rand& random)
{
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {16'000, 1'000, 0};
    fleet_load fleet;
    report_empty_racks(fleet, now);
    static_cast<void>(choose_racks(fleet, terms, 4, "", now, random));
    return fleet;
}

} // namespace

// Guards against starts that stay in the queue of a rack for good beside idle
// targets: a host that receives no jobs any more keeps its last placements, and
// took the racks for full.
TEST_CASE("placements that reports include do not keep starts from being "
          "handed back",
          "[rack]")
{
    std::minstd_rand random(1);
    step_terms terms;
    fleet_load fleet = make_filled_fleet(terms, random);
    REQUIRE(hand_back_quota(fleet, terms, "r1", now, random, room_kind::free) ==
            0);
    const time_point later = now + milliseconds(60'000);
    report_empty_racks(fleet, later);
    CHECK(hand_back_quota(fleet, terms, "r1", later, random, room_kind::free) >
          0);
}

// Guards against long-running jobs that a host refuses for good, since each
// refusal leaves its last placements as they are.
TEST_CASE("placements that reports include do not take room from long-running "
          "tasks",
          "[rack]")
{
    std::minstd_rand random(1);
    step_terms terms;
    fleet_load fleet = make_filled_fleet(terms, random);
    REQUIRE_FALSE(has_room_for_long_running(fleet, "svc", 16'000, now));
    const time_point later = now + milliseconds(60'000);
    report_empty_racks(fleet, later);
    CHECK(has_room_for_long_running(fleet, "svc", 16'000, later));
}

// Guards against tasks that are placed twice on the same room: reports that
// waited in the queue of their sender were measured before the latest
// placements but arrive after them.
TEST_CASE("reports that were measured before a placement do not include it",
          "[rack]")
{
    std::minstd_rand random(1);
    step_terms terms;
    fleet_load fleet = make_filled_fleet(terms, random);
    const time_point later = now + milliseconds(500);
    const bool is_included = GENERATE(false, true);
    const milliseconds age(is_included ? 10 : 500);
    std::vector<rack_load_report> reports;
    for (const auto& [name, view] : fleet.racks)
    {
        reports.push_back(view.room);
    }
    apply_load_reports(fleet, reports, later - age);
    const std::size_t quota =
        hand_back_quota(fleet, terms, "r1", later, random, room_kind::free);
    CHECK((quota > 0) == is_included);
}

// Guards against the last report of a former owner that arrives after the first
// one of the next owner.
TEST_CASE("a report does not replace one that was measured later", "[rack]")
{
    fleet_load fleet;
    std::vector<rack_load_report> reports(1);
    reports.front().rack = "r0";
    reports.front().queued = 1;
    apply_load_reports(fleet, reports, now);
    reports.front() = {};
    reports.front().rack = "r0";
    reports.front().queued = 2;
    apply_load_reports(fleet, reports, now - milliseconds(400));
    CHECK(fleet.racks["r0"].room.queued == 1);
    CHECK(fleet.racks["r0"].measured_at == now);
    reports.front() = {};
    reports.front().rack = "r0";
    reports.front().queued = 3;
    apply_load_reports(fleet, reports, now + milliseconds(400));
    CHECK(fleet.racks["r0"].room.queued == 3);
}
