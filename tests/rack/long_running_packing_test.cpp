#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
constexpr task_size capacity{32'000, 128'000, 0};

step_terms make_long_running(const std::string& image)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.image = image;
    terms.size = {6'000, 1'000, 0};
    terms.response_target_ms = 50;
    terms.is_long_running = true;
    return terms;
}

target_entry make_entry(const std::string& id, const std::string& rack)
{
    target_entry entry;
    entry.id = id;
    entry.rack = rack;
    entry.service = "svc";
    entry.capacity = capacity;
    return entry;
}

void add_rack(fleet_load& fleet, const std::string& rack,
              std::int64_t free_milli)
{
    const std::string id = rack + "-t";
    fleet.targets[id] = make_entry(id, rack);
    target_load_report report;
    report.id = id;
    report.room = {free_milli, capacity.memory_mb, 0};
    report.is_open = true;
    rack_view view;
    view.room.rack = rack;
    view.room.targets = {report};
    view.measured_at = start_time;
    fleet.racks[rack] = view;
}

rack_target& add_target(rack_state& rack, const std::string& id)
{
    rack_target& target = rack.targets[id];
    target.entry = make_entry(id, rack.name);
    target.is_recorded = true;
    target.is_reached = true;
    return target;
}

void add_run(rack_target& target, const step_terms& terms)
{
    placed_run run;
    run.task = target.entry.id + "-run";
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_confirmed = true;
    target.runs[{run.task, run.run}] = run;
}

} // namespace

// Guards against large free pieces split among racks by image, so that short
// tasks fit nowhere.
TEST_CASE("a long-running task goes to a rack with a free piece of its size",
          "[rack]")
{
    for (int n = 0; n < 20; ++n)
    {
        const std::string image = "s" + std::to_string(n);
        CAPTURE(image);
        fleet_load fleet;
        add_rack(fleet, "r1", 32'000);
        add_rack(fleet, "r2", 6'400);
        add_rack(fleet, "r3", 12'000);
        std::minstd_rand random(1);
        const step_terms terms = make_long_running(image);
        CHECK(choose_racks(fleet, terms, 1, "", start_time, random).front() ==
              "r2");
    }
}

// Guards against a large free piece split for the sake of an image.
TEST_CASE("a long-running task takes a free piece of its size before a larger "
          "one beside its image",
          "[rack]")
{
    rack_state rack;
    rack.name = "r1";
    step_terms other = make_long_running("s2");
    other.size.cpu_milli = 25'600;
    add_run(add_target(rack, "t1"), make_long_running("s1"));
    add_run(add_target(rack, "t2"), other);
    queued_start item;
    item.task = "job.0.0.0";
    item.run = 1;
    item.terms = std::make_shared<const step_terms>(make_long_running("s1"));
    item.queued_at = start_time;
    enqueue(rack, item);
    const std::vector<placement> placed =
        place_starts(rack, interference_model{}, start_time, 0);
    REQUIRE(placed.size() == 1);
    CHECK(placed.front().target == "t2");
}
