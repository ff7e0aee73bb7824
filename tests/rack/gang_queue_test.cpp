#include "egretspindle/rack/gang_queue.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);

step_terms make_gang_terms(std::int64_t size)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {4'000, 100, 0};
    terms.is_gang = true;
    terms.gang_size = size;
    return terms;
}

rack_state make_rack(const step_terms& terms, int queued)
{
    rack_state rack;
    rack.name = "r1";
    rack.lightly_used = std::make_shared<const std::set<std::string>>();
    for (int n = 0; n < queued; ++n)
    {
        queued_start item;
        item.task = terms.step + "." + std::to_string(n);
        item.run = 1;
        item.terms = std::make_shared<const step_terms>(terms);
        item.queued_at = start_time;
        rack.queue.push_back(item);
    }
    return rack;
}

time_point after(int ms)
{
    return start_time + milliseconds(ms);
}

} // namespace

// Guards against members of a split gang that end as `alone`, since another
// rack keeps its part in the queue.
TEST_CASE("a part of a split gang is handed back before the others give up",
          "[rack]")
{
    step_terms terms = make_gang_terms(3);
    terms.is_part_of_gang = true;
    rack_state rack = make_rack(terms, 3);
    REQUIRE(hand_back_gangs(rack, after(900)).empty());
    const std::vector<run_event> events = hand_back_gangs(rack, after(1'000));
    REQUIRE(events.size() == 3);
    CHECK(events.front().how == run_end::not_started);
    CHECK(rack.queue.empty());
    CHECK(rack.ended.at("job.0.0.0") == 1);
}

// Guards against jobs that stand still for good: the members that are left in
// the queue are never placed without the others.
TEST_CASE("members of a gang whose others are gone are handed back", "[rack]")
{
    rack_state rack = make_rack(make_gang_terms(3), 2);
    REQUIRE(hand_back_gangs(rack, after(1'900)).empty());
    CHECK(hand_back_gangs(rack, after(2'000)).size() == 2);
    CHECK(rack.queue.empty());
}

// Guards against a gang that loses one member to another rack when its owner
// asks for it.
TEST_CASE("an overdue gang is handed back as a whole", "[rack]")
{
    rack_state rack = make_rack(make_gang_terms(3), 3);
    rack.queue[1].is_overdue = true;
    REQUIRE(hand_back_gangs(rack, after(60'000)).empty());
    rack.lightly_used = std::make_shared<const std::set<std::string>>(
        std::set<std::string>{"svc"});
    REQUIRE(hand_back_gangs(rack, after(1'900)).empty());
    CHECK(hand_back_gangs(rack, after(2'000)).size() == 3);
}

// Guards against a second run of a start that a former owner has carried out.
TEST_CASE("a gang with a start that may have been carried out stays queued",
          "[rack]")
{
    rack_state rack = make_rack(make_gang_terms(3), 2);
    rack.queue[0].is_repeated = true;
    CHECK(hand_back_gangs(rack, after(60'000)).empty());
    CHECK(rack.queue.size() == 2);
}

// Guards against gangs that are handed back while they only wait for room.
TEST_CASE("a complete gang in one rack waits for room", "[rack]")
{
    rack_state rack = make_rack(make_gang_terms(3), 3);
    CHECK(hand_back_gangs(rack, after(60'000)).empty());
    CHECK(rack.queue.size() == 3);
}
