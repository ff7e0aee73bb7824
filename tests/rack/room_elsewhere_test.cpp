#include "egretspindle/rack/room_elsewhere.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const time_point start = time_point{} + milliseconds(1'000'000);
const pressure_model no_pressure;

// Racks "r0" and "r1" with one target each, as any host sees them.
fleet_load make_fleet(std::int64_t free_milli)
{
    fleet_load fleet;
    std::vector<rack_room> rooms;
    for (int n = 0; n < 2; ++n)
    {
        target_entry entry;
        entry.id = "t" + std::to_string(n);
        entry.rack = "r" + std::to_string(n);
        entry.service = "svc";
        entry.capacity = {32'000, 32'000, 0};
        fleet.targets[entry.id] = entry;
        target_room target;
        target.id = entry.id;
        target.room = {free_milli, 32'000, 0};
        target.is_open = true;
        rack_room room;
        room.rack = entry.rack;
        room.targets = {target};
        rooms.push_back(room);
    }
    note_rooms(fleet, rooms, start);
    return fleet;
}

step_terms make_terms()
{
    step_terms terms;
    terms.service = "svc";
    terms.size = {4'000, 100, 0};
    return terms;
}

// Offers are drawn at random; returns how many starts are taken in 400 draws.
int count_taken(const fleet_load& fleet, const step_terms& terms,
                const std::set<std::string>& own)
{
    std::minstd_rand random(1);
    int taken = 0;
    for (int n = 0; n < 400; ++n)
    {
        room_elsewhere offers = offer_room(fleet, own, start, random);
        while (take_offer(offers, no_pressure, terms, "r0"))
        {
            ++taken;
        }
    }
    return taken;
}

} // namespace

// Each host saw all room of all racks, so several gave the same room away.
TEST_CASE("hosts together count on the room of a rack about once", "[rack]")
{
    fleet_load fleet = make_fleet(8'000); // 2 tasks
    const int all = count_taken(fleet, make_terms(), {"r0"});
    REQUIRE(all > 0);
    REQUIRE(all <= 800);
    // One of five hosts with queues alike.
    fleet.racks["r0"].room.queued_cpu_milli = 4'000;
    for (int n = 0; n < 4; ++n)
    {
        rack_room other;
        other.rack = "other" + std::to_string(n);
        other.queued_cpu_milli = 4'000;
        fleet.racks[other.rack] = {other, start};
    }
    const int part = count_taken(fleet, make_terms(), {"r0"});
    REQUIRE(part > 0);
    REQUIRE(part * 3 < all);
}

TEST_CASE("room that the queue of a rack wants is not offered", "[rack]")
{
    fleet_load fleet = make_fleet(8'000);
    fleet.racks["r1"].room.queued_cpu_milli = 8'000;
    REQUIRE(count_taken(fleet, make_terms(), {"r0", "r1"}) == 0);
}

TEST_CASE("a rack's own room and outdated room are not offered", "[rack]")
{
    fleet_load fleet = make_fleet(8'000);
    REQUIRE(count_taken(fleet, make_terms(), {"r0"}) > 0);
    fleet.racks["r1"].reported_at = start - milliseconds(10'000);
    REQUIRE(count_taken(fleet, make_terms(), {"r0"}) == 0);
}

// A gang was sent to a rack that had room for one of its tasks.
TEST_CASE("a gang is offered room for all of its tasks or none", "[rack]")
{
    step_terms terms = make_terms();
    terms.is_gang = true;
    terms.gang_size = 3;
    REQUIRE(count_taken(make_fleet(8'000), terms, {"r0"}) == 0);
    REQUIRE(count_taken(make_fleet(12'000), terms, {"r0"}) > 0);
}
