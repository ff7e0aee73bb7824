#include "egretspindle/rack/fleet_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace egretspindle;

namespace
{

const time_point now = time_point{} + milliseconds(1'000'000);
constexpr std::int64_t target_milli = 32'000;

// Makes a fleet of racks with the given numbers of empty targets, which hold
// one member of `make_gang` each.
fleet_load make_fleet(const std::vector<int>& targets)
{
    fleet_load fleet;
    for (std::size_t n = 0; n < targets.size(); ++n)
    {
        rack_view view;
        view.room.rack = "r" + std::to_string(n);
        view.measured_at = now;
        for (int i = 0; i < targets[n]; ++i)
        {
            target_entry entry;
            entry.id = view.room.rack + "-" + std::to_string(i);
            entry.service = "svc";
            entry.rack = view.room.rack;
            entry.labels = {"general"};
            entry.capacity = {target_milli, 128'000, 0};
            target_load_report report;
            report.id = entry.id;
            report.room = entry.capacity;
            report.is_open = true;
            fleet.targets[entry.id] = entry;
            view.room.targets.push_back(report);
        }
        fleet.racks[view.room.rack] = view;
    }
    return fleet;
}

step_terms make_gang(std::int64_t size)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {20'000, 60'000, 0};
    terms.is_gang = true;
    terms.gang_size = size;
    return terms;
}

// Returns the number of members in each rack.
std::map<std::string, int> choose(fleet_load& fleet, const step_terms& terms,
                                  unsigned seed = 1)
{
    std::minstd_rand random(seed);
    std::map<std::string, int> counts;
    for (const std::string& rack :
         choose_racks(fleet, terms, static_cast<std::size_t>(terms.gang_size),
                      "", now, random))
    {
        ++counts[rack];
    }
    return counts;
}

void occupy(fleet_load& fleet, const std::string& rack, std::size_t target)
{
    fleet.racks[rack].room.targets[target].room.cpu_milli = 0;
}

using counts = std::map<std::string, int>;

} // namespace

// Guards against gangs that are queued where they can never start: each rack
// has lost a target for good.
TEST_CASE("a gang that no rack can hold is split among racks", "[rack]")
{
    fleet_load fleet = make_fleet({7, 7, 7});
    const counts racks = choose(fleet, make_gang(8));
    REQUIRE(racks.size() == 2);
    CHECK(racks.begin()->second + racks.rbegin()->second == 8);
    CHECK(std::max(racks.begin()->second, racks.rbegin()->second) == 7);
}

// Guards against slower gangs, and parts that wait for each other, without
// need.
TEST_CASE("a gang that a rack can hold goes to one rack", "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        fleet_load fleet = make_fleet({8, 8, 8});
        occupy(fleet, "r0", 0);
        occupy(fleet, "r1", 0);
        occupy(fleet, "r2", 0);
        CHECK(choose(fleet, make_gang(8), seed).size() == 1);
    }
}

// Guards against parts that start while others have no room: their members
// would end as `alone`.
TEST_CASE("a gang that no rack can hold waits until there is room for all of "
          "it",
          "[rack]")
{
    fleet_load fleet = make_fleet({4, 4});
    occupy(fleet, "r0", 0);
    CHECK(choose(fleet, make_gang(8)) == counts{{"", 8}});
    CHECK(fleet.recent.empty());
    fleet.racks["r0"].room.targets[0].room.cpu_milli = target_milli;
    CHECK(choose(fleet, make_gang(8)) == counts{{"r0", 4}, {"r1", 4}});
    // The same room is not given to a second gang.
    CHECK(choose(fleet, make_gang(8)) == counts{{"", 8}});
}

// Guards against gangs that stand still beside free targets, since a task that
// lasts is on a target of each rack.
TEST_CASE("a gang that was handed back is split if no rack has room for it",
          "[rack]")
{
    fleet_load fleet = make_fleet({4, 4});
    occupy(fleet, "r0", 0);
    occupy(fleet, "r1", 0);
    fleet_load other_fleet = fleet;
    step_terms gang = make_gang(4);
    gang.earlier_rack = "r0";
    gang.avoided_racks = {"r0"};
    CHECK(choose(fleet, gang).size() == 1);
    gang.prefers_split_gang = true;
    CHECK(choose(other_fleet, gang) == counts{{"r0", 3}, {"r1", 1}});
}

// Guards against a split that ignores what the tasks need of a target.
TEST_CASE("the split of a gang keeps the label and the limit per target",
          "[rack]")
{
    fleet_load fleet = make_fleet({4, 4, 4});
    step_terms gang = make_gang(6);
    gang.size = {1'000, 1'000, 0};
    CHECK(choose(fleet, gang).size() == 1);
    gang.max_per_target = 1;
    const counts limited = choose(fleet, gang);
    REQUIRE(limited.size() == 2);
    CHECK(std::max(limited.begin()->second, limited.rbegin()->second) == 4);
    gang.required_label = "fast";
    for (const char* const target : {"r0-1", "r1-1", "r2-1"})
    {
        fleet.targets.at(target).labels = {"fast"};
    }
    CHECK(choose(fleet, gang) == counts{{"", 6}});
    gang.gang_size = 3;
    CHECK(choose(fleet, gang) == counts{{"r0", 1}, {"r1", 1}, {"r2", 1}});
}
