#include "egretspindle/scheduler/load_summary.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

target_entry entry_of(const std::string& rack, const std::string& service)
{
    target_entry entry;
    entry.rack = rack;
    entry.service = service;
    entry.capacity = {4'000, 4'000, 0};
    return entry;
}

rack_view view_of(const std::string& rack, const std::string& target,
                  std::int64_t free_milli, std::int64_t queued,
                  time_point measured_at)
{
    rack_view view;
    view.room.rack = rack;
    view.room.queued = queued;
    target_load_report room;
    room.id = target;
    room.room.cpu_milli = free_milli;
    room.is_open = true;
    view.room.targets = {room};
    view.measured_at = measured_at;
    return view;
}

/// Two racks with a report on one target each; that of `r2` is an hour old. A
/// third target belongs to another service and is in no report.
fleet_load make_fleet(time_point now)
{
    fleet_load fleet;
    fleet.targets["t1"] = entry_of("r1", "svc");
    fleet.targets["t2"] = entry_of("r2", "svc");
    fleet.targets["t3"] = entry_of("r1", "other");
    fleet.racks["r1"] = view_of("r1", "t1", 1'500, 3, now - milliseconds(40));
    fleet.racks["r2"] =
        view_of("r2", "t2", 2'000, 5, now - std::chrono::hours(1));
    return fleet;
}

} // namespace

// Guards against a log line that shows a younger age than that of the oldest
// report that was used.
TEST_CASE("the summary of racks has the age of its oldest report",
          "[scheduler]")
{
    const time_point now = steady_clock::now();
    const fleet_load fleet = make_fleet(now);
    const rack_load_summary first_rack =
        summarize_rack_loads(fleet, {"r1", "r1", ""}, now);
    CHECK(first_rack.oldest_report_ms == 40);
    CHECK(first_rack.queued == 3);
    CHECK(first_rack.free_cpu_milli == 1'500);
    CHECK(first_rack.unreported == 0);
    const rack_load_summary all_racks =
        summarize_rack_loads(fleet, {"r1", "r2", "r9"}, now);
    CHECK(all_racks.oldest_report_ms == 3'600'000);
    CHECK(all_racks.queued == 8);
    CHECK(all_racks.unreported == 1);
}

// A refusal must be logged with the figures that it is decided by.
TEST_CASE("the summary of a service has the free capacity that "
          "has_room_for_long_running compares",
          "[scheduler]")
{
    const time_point now = steady_clock::now();
    fleet_load fleet = make_fleet(now);
    recent_placement placed;
    placed.rack = "r1";
    placed.size = {500, 100, 0};
    placed.at = now;
    fleet.recent = {placed};
    const service_load_summary summary =
        summarize_service_load(fleet, "svc", now);
    CHECK(summary.capacity_milli == 8'000);
    CHECK(summary.reported_milli == 4'000);
    CHECK(summary.free_milli == 1'000);
    CHECK(summary.oldest_report_ms == 40);
    CHECK(summary.old_reports == 1);
    // All reports are recent now, so the free capacity is known and decides.
    fleet.racks["r2"].measured_at = now;
    const service_load_summary with_all_reports =
        summarize_service_load(fleet, "svc", now);
    CHECK(with_all_reports.free_milli == 3'000);
    // 8% of the capacity is kept for short tasks.
    const std::int64_t kept = with_all_reports.capacity_milli * 8 / 100;
    CHECK(has_room_for_long_running(fleet, "svc",
                                    with_all_reports.free_milli - kept, now));
    CHECK_FALSE(has_room_for_long_running(
        fleet, "svc", with_all_reports.free_milli - kept + 1, now));
    // Draining targets have no capacity, and their tasks need room elsewhere.
    fleet_load draining = fleet;
    draining.targets.begin()->second.is_draining = true;
    const service_load_summary with_drain =
        summarize_service_load(draining, "svc", now);
    CHECK(with_drain.capacity_milli < with_all_reports.capacity_milli);
    CHECK(with_drain.usable_milli < with_drain.free_milli);
    const std::int64_t kept_with_drain = with_drain.capacity_milli * 8 / 100;
    CHECK_FALSE(has_room_for_long_running(
        draining, "svc", with_drain.usable_milli - kept_with_drain + 1, now));
    CHECK(has_room_for_long_running(
        draining, "svc", with_drain.usable_milli - kept_with_drain, now));
    // With short tasks of 0.9 cores 0.9 of 1.5 cores and 1.8 of 2 are usable.
    fleet.short_cpu_milli["svc"] = 900;
    const service_load_summary with_short_tasks =
        summarize_service_load(fleet, "svc", now);
    CHECK(with_short_tasks.free_milli == 3'000);
    CHECK(with_short_tasks.usable_milli == 2'200);
    CHECK(has_room_for_long_running(fleet, "svc",
                                    with_short_tasks.usable_milli - kept, now));
    CHECK_FALSE(has_room_for_long_running(
        fleet, "svc", with_short_tasks.usable_milli - kept + 1, now));
}
