#include "egretspindle/rack/fleet_load.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace egretspindle;

namespace
{

const time_point now = time_point{} + milliseconds(1'000'000);

// Makes a fleet of free racks with two targets each.
fleet_load make_fleet(int racks)
{
    fleet_load fleet;
    for (int n = 0; n < racks; ++n)
    {
        rack_view view;
        view.room.rack = "r" + std::to_string(n);
        view.measured_at = now;
        for (int i = 0; i < 2; ++i)
        {
            target_entry entry;
            entry.id = view.room.rack + "-" + std::to_string(i);
            entry.service = "svc";
            entry.rack = view.room.rack;
            entry.capacity = {32'000, 128'000, 0};
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

step_terms make_terms(const std::string& image, bool is_serving)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.image = image;
    terms.size = {6'000, 1'000, 0};
    terms.response_target_ms = is_serving ? 50 : 0;
    terms.uses_idle_cpu = !is_serving;
    return terms;
}

// Marks the targets of the first racks as draining.
void drain_racks(fleet_load& fleet, std::size_t count)
{
    for (std::size_t n = 0; n < count; ++n)
    {
        const rack_view& view = fleet.racks["r" + std::to_string(n)];
        for (const target_load_report& report : view.room.targets)
        {
            fleet.targets.at(report.id).is_draining = true;
        }
    }
}

} // namespace

// Hosts place jobs concurrently without coordination. If each chose racks at
// random, most images would run on every target, and backfill tasks would find
// no target where they harm none.
TEST_CASE("all hosts choose the same rack for a serving image", "[rack]")
{
    std::set<std::string> chosen;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        std::minstd_rand random(seed);
        fleet_load fleet = make_fleet(9);
        const std::vector<std::string> racks =
            choose_racks(fleet, make_terms("a", true), 4, "", now, random);
        chosen.insert(racks.begin(), racks.end());
    }
    REQUIRE(chosen.size() == 1);
}

// The load reports include a placement only after `assignment_delay`. Until
// then it has to be subtracted from the headroom, or the same headroom is used
// twice.
TEST_CASE("recent placements of backfill tasks reduce the spare headroom",
          "[rack]")
{
    fleet_load fleet = make_fleet(1);
    for (target_load_report& report : fleet.racks["r0"].room.targets)
    {
        report.spare_headroom["s"] = 2.0;
    }
    update_peer_interference(fleet.interference, "h2", 1,
                             {{"s", "heavy", 0.2, 1'000'000}});
    merge_interference(fleet.interference);
    std::minstd_rand random(1);
    const step_terms heavy = make_terms("heavy", false);
    REQUIRE(choose_racks(fleet, heavy, 2, "", now, random) ==
            std::vector<std::string>{"r0", "r0"});
    // `hand_back_quota` counts the places for tasks that a rack returns to the
    // owners of their jobs. No headroom is left for a third task.
    REQUIRE(hand_back_quota(fleet, heavy, "none", now, random) == 0);
}

// If recent placements were not subtracted from the targets that they use, some
// targets would be overcommitted while others stay free.
TEST_CASE("recent placements reduce the free capacity of their targets",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        fleet_load fleet = make_fleet(3); // six targets of 32 cores
        step_terms terms = make_terms("a", false);
        terms.uses_idle_cpu = false;
        terms.size.cpu_milli = 16'000;
        std::map<std::string, int> placed;
        for (int n = 0; n < 12; ++n)
        {
            static_cast<void>(choose_racks(fleet, terms, 1, "", now, random));
            REQUIRE_FALSE(fleet.recent.back().target.empty());
            ++placed[fleet.recent.back().target];
        }
        REQUIRE(placed.size() == 6);
        for (const auto& [target, count] : placed)
        {
            REQUIRE(count == 2);
        }
        static_cast<void>(choose_racks(fleet, terms, 1, "", now, random));
        REQUIRE(fleet.recent.back().target.empty());
    }
}

TEST_CASE("a share of the processors is kept free of long-running tasks",
          "[rack]")
{
    fleet_load fleet = make_fleet(2); // 128 cores, of which 8% are kept free
    REQUIRE(has_room_for_long_running(fleet, "svc", 100'000, now));
    REQUIRE_FALSE(has_room_for_long_running(fleet, "svc", 120'000, now));
    fleet.racks["r0"].room.targets[0].room.cpu_milli = 0;
    fleet.racks["r0"].room.targets[1].room.cpu_milli = 0;
    fleet.racks["r1"].room.targets[0].room.cpu_milli = 0;
    REQUIRE_FALSE(has_room_for_long_running(fleet, "svc", 24'000, now));
    // Outdated reports do not cause a refusal.
    REQUIRE(has_room_for_long_running(fleet, "svc", 24'000,
                                      now + milliseconds(10'000)));
}

// Guards against long-running tasks accepted for the processors of targets that
// are about to end.
TEST_CASE("draining targets have no room for more long-running tasks", "[rack]")
{
    fleet_load fleet = make_fleet(10); // 640 cores
    REQUIRE(has_room_for_long_running(fleet, "svc", 320'000, now));
    drain_racks(fleet, 5);
    CHECK_FALSE(has_room_for_long_running(fleet, "svc", 320'000, now));
    CHECK(has_room_for_long_running(fleet, "svc", 290'000, now));
    // Two racks of them are full of tasks that have to move.
    for (const std::string rack : {"r0", "r1"})
    {
        for (target_load_report& report : fleet.racks[rack].room.targets)
        {
            report.room.cpu_milli = 0;
        }
    }
    CHECK_FALSE(has_room_for_long_running(fleet, "svc", 290'000, now));
    CHECK(has_room_for_long_running(fleet, "svc", 166'000, now));
}

// Guards against a full service that counts as lightly used while targets drain
// that have nothing left to do.
TEST_CASE("free draining targets do not make a service lightly used", "[rack]")
{
    fleet_load fleet = make_fleet(10);
    REQUIRE(lightly_used_services(fleet, now).count("svc") == 1);
    for (std::size_t n = 6; n < 10; ++n)
    {
        for (target_load_report& report :
             fleet.racks["r" + std::to_string(n)].room.targets)
        {
            report.room.cpu_milli = 0;
        }
    }
    drain_racks(fleet, 6);
    CHECK(lightly_used_services(fleet, now).empty());
}

// Guards against free processors counted in pieces that are too small for the
// short tasks they are kept for.
TEST_CASE("what is kept free of long-running tasks is of use to short ones",
          "[rack]")
{
    std::minstd_rand random(1);
    fleet_load fleet = make_fleet(10); // 640 cores, of which 8% are 51.2
    for (auto& [name, view] : fleet.racks)
    {
        for (target_load_report& report : view.room.targets)
        {
            report.room.cpu_milli = 10'000;
        }
    }
    REQUIRE(has_room_for_long_running(fleet, "svc", 24'000, now));
    step_terms terms = make_terms("", false);
    terms.uses_idle_cpu = false;
    terms.size.cpu_milli = 11'000;
    static_cast<void>(choose_racks(fleet, terms, 1, "", now, random));
    fleet.recent.clear();
    const target_entry target = fleet.targets.begin()->second;
    target_entry other = target;
    other.service = "other";
    CHECK(usable_by_short_tasks(fleet, target, 10'000) == 0);
    CHECK(usable_by_short_tasks(fleet, target, 32'000) == 22'000);
    CHECK(usable_by_short_tasks(fleet, other, 10'000) == 10'000);
    CHECK_FALSE(has_room_for_long_running(fleet, "svc", 24'000, now));
    for (target_load_report& report : fleet.racks["r0"].room.targets)
    {
        report.room.cpu_milli = 32'000;
    }
    CHECK_FALSE(has_room_for_long_running(fleet, "svc", 24'000, now));
    for (target_load_report& report : fleet.racks["r1"].room.targets)
    {
        report.room.cpu_milli = 32'000;
    }
    CHECK(has_room_for_long_running(fleet, "svc", 24'000, now));
    // Backfill and long-running tasks do not count.
    terms.uses_idle_cpu = true;
    terms.size.cpu_milli = 1'000;
    static_cast<void>(choose_racks(fleet, terms, 1, "", now, random));
    terms.uses_idle_cpu = false;
    terms.is_long_running = true;
    static_cast<void>(choose_racks(fleet, terms, 1, "", now, random));
    CHECK(usable_by_short_tasks(fleet, target, 32'000) == 22'000);
}

// Guards against a refusal in a free fleet whose short tasks are too large for
// its targets.
TEST_CASE("short tasks larger than a target do not keep it free", "[rack]")
{
    fleet_load fleet = make_fleet(2);
    fleet.short_cpu_milli["svc"] = 40'000;
    CHECK(has_room_for_long_running(fleet, "svc", 100'000, now));
    CHECK_FALSE(has_room_for_long_running(fleet, "svc", 120'000, now));
}

// A rack that looks free may have a task of the step on each target already,
// and then hands further ones back. Without `earlier_rack` it would be chosen
// again for the image, and a long-running task would move back and forth.
TEST_CASE("a task that a rack handed back goes to another rack", "[rack]")
{
    std::minstd_rand random(1);
    fleet_load fleet = make_fleet(3);
    step_terms serving = make_terms("a", true);
    const std::string first =
        choose_racks(fleet, serving, 1, "", now, random).front();
    serving.earlier_rack = first;
    const std::string second =
        choose_racks(fleet, serving, 1, "", now, random).front();
    REQUIRE(second != first);
    REQUIRE_FALSE(second.empty());
}

// Hosts with the same reports must not all choose the rack with the shortest
// queue or, of racks with equally long queues, the first by name.
TEST_CASE("hosts with the same reports spread tasks over the queues", "[rack]")
{
    constexpr int racks = 62;
    constexpr int hosts = 32;
    constexpr int steps = 10;
    constexpr int tasks = 5;
    const unsigned seed = GENERATE(1u, 2u, 3u);
    std::minstd_rand queue_random(seed);
    std::uniform_int_distribution<std::int64_t> any_cpu_milli(0, 400'000);
    fleet_load reported = make_fleet(racks);
    reported.hosts = hosts;
    for (auto& [name, view] : reported.racks)
    {
        view.room.queued_cpu_milli = any_cpu_milli(queue_random);
        for (target_load_report& report : view.room.targets)
        {
            report.room = {0, 0, 0};
        }
    }
    std::map<std::string, int> assigned;
    for (unsigned host = 0; host < hosts; ++host)
    {
        // Generators with consecutive seeds produce similar first values, which
        // are skipped.
        std::minstd_rand random(seed * 1'000 + host);
        random.discard(10);
        fleet_load fleet = reported;
        for (int n = 0; n < steps; ++n)
        {
            for (const std::string& rack : choose_racks(
                     fleet, make_terms("a", false), tasks, "", now, random))
            {
                ++assigned[rack];
            }
        }
    }
    const auto most = std::max_element(assigned.begin(), assigned.end(),
                                       [](const auto& lhs, const auto& rhs)
                                       { return lhs.second < rhs.second; });
    INFO("seed " << seed << ", rack " << most->first);
    REQUIRE(assigned.count("") == 0);
    // Choosing the shorter of two random queues at most doubles the expected
    // share of a rack; another factor of two allows for random variation.
    REQUIRE(most->second * racks <= 4 * hosts * steps * tasks);
}

// The rack that has just handed a task back may have the shortest queue.
TEST_CASE("a task that was handed back waits in the queue of another rack",
          "[rack]")
{
    fleet_load fleet = make_fleet(3);
    for (auto& [name, view] : fleet.racks)
    {
        view.room.queued_cpu_milli = name == "r1" ? 0 : 100'000;
        for (target_load_report& report : view.room.targets)
        {
            report.room = {0, 0, 0};
        }
    }
    step_terms terms = make_terms("a", false);
    terms.earlier_rack = "r1";
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed);
        std::minstd_rand random(seed);
        const std::string rack =
            choose_racks(fleet, terms, 1, "", now, random).front();
        REQUIRE(rack != "r1");
        REQUIRE_FALSE(rack.empty());
    }
}

// A task must not wait forever when only the rack that handed it back can take
// it.
TEST_CASE("a task returns to the only rack that can take it", "[rack]")
{
    std::minstd_rand random(1);
    fleet_load fleet = make_fleet(1);
    step_terms terms = make_terms("a", false);
    terms.earlier_rack = "r0";
    REQUIRE(choose_racks(fleet, terms, 1, "", now, random).front() == "r0");
}

// Load reports do not say which targets already have a task of the step.
// Without the count by rack, long-running tasks would move back and forth
// between racks whose targets all have one.
TEST_CASE("a rack gets no more tasks of a step than its targets may take",
          "[rack]")
{
    for (const std::string image : {"a", "b", "c", "d", "e", "f"})
    {
        CAPTURE(image);
        std::minstd_rand random(1);
        fleet_load fleet = make_fleet(4);
        step_terms serving = make_terms(image, true);
        serving.max_per_target = 1;
        serving.tasks_in_rack = {{"r0", 2}, {"r1", 1}, {"r2", 2}};
        const std::vector<std::string> chosen =
            choose_racks(fleet, serving, 3, "", now, random);
        REQUIRE(std::count(chosen.begin(), chosen.end(), "r0") == 0);
        REQUIRE(std::count(chosen.begin(), chosen.end(), "r1") <= 1);
        REQUIRE(std::count(chosen.begin(), chosen.end(), "r2") == 0);
    }
}

TEST_CASE("racks listed in `avoided_racks` are not chosen", "[rack]")
{
    std::minstd_rand random(1);
    fleet_load fleet = make_fleet(3);
    step_terms serving = make_terms("a", true);
    serving.earlier_rack = "r0";
    serving.avoided_racks = {"r0", "r1"};
    REQUIRE(choose_racks(fleet, serving, 1, "", now, random) ==
            std::vector<std::string>{"r2"});
}

// The owners of all racks see the same free capacity in other racks. Together
// they must not hand back more starts than fit there.
TEST_CASE("racks hand back starts in proportion to their queues", "[rack]")
{
    fleet_load fleet = make_fleet(10); // 20 targets that fit 5 tasks each
    fleet.racks["r0"].room.queued_cpu_milli = 300'000;
    fleet.racks["r1"].room.queued_cpu_milli = 100'000;
    const step_terms terms = make_terms("a", false);
    std::size_t sum = 0;
    const unsigned seed = GENERATE(1u, 2u, 3u);
    INFO("seed " << seed);
    std::minstd_rand random(seed);
    for (const std::string rack : {"r0", "r1", "r2"})
    {
        sum += hand_back_quota(fleet, terms, rack, now, random);
    }
    REQUIRE(sum > 0);
    REQUIRE(sum <= 100);
    REQUIRE(hand_back_quota(fleet, terms, "r0", now, random) >
            hand_back_quota(fleet, terms, "r1", now, random));
}

// A rack's share of the free capacity follows from its part of all queues.
// Beside a long queue in another rack, that share rounds to no task at all, and
// a long-running task would stay in its queue.
TEST_CASE("a long-running task may be handed back beside a long other queue",
          "[rack]")
{
    fleet_load fleet = make_fleet(3);
    fleet.racks["r0"].room.queued_cpu_milli = 6'000;
    fleet.racks["r1"].room.queued_cpu_milli = 1'000'000'000;
    step_terms terms = make_terms("a", true);
    terms.is_long_running = true;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed);
        std::minstd_rand random(seed);
        REQUIRE(hand_back_quota(fleet, terms, "r0", now, random) == 1);
    }
}

// Starts must not be queued at racks that have reached the limit of tasks of
// the step per target, or that are in `avoided_racks`.
TEST_CASE("starts queued in a full fleet respect the limit per target",
          "[rack]")
{
    std::minstd_rand random(1);
    fleet_load fleet = make_fleet(5); // two targets each
    for (auto& [name, view] : fleet.racks)
    {
        for (target_load_report& report : view.room.targets)
        {
            report.room = {0, 0, 0};
        }
    }
    step_terms serving = make_terms("a", true);
    serving.max_per_target = 1;
    serving.tasks_in_rack = {{"r0", 2}, {"r1", 1}};
    serving.avoided_racks = {"r2"};
    const std::vector<std::string> chosen =
        choose_racks(fleet, serving, 8, "", now, random);
    REQUIRE(chosen.size() == 8);
    REQUIRE(std::count(chosen.begin(), chosen.end(), "r0") == 0);
    REQUIRE(std::count(chosen.begin(), chosen.end(), "r1") == 1);
    REQUIRE(std::count(chosen.begin(), chosen.end(), "r2") == 0);
    REQUIRE(std::count(chosen.begin(), chosen.end(), "r3") == 2);
    REQUIRE(std::count(chosen.begin(), chosen.end(), "r4") == 2);
    REQUIRE(std::count(chosen.begin(), chosen.end(), "") == 3);
}

// Guards against a long-running task that waits in the queue of a full rack
// while another one has room, since its host has used its share of that.
TEST_CASE("a long-running task that was handed back goes to the only rack with "
          "room beyond the share of its host",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        INFO("seed " << seed);
        std::minstd_rand random(seed);
        fleet_load fleet = make_fleet(9);
        fleet.hosts = 9;
        for (auto& [name, view] : fleet.racks)
        {
            for (target_load_report& report : view.room.targets)
            {
                report.room = {name == "r4" ? 20'000 : 0, 100'000, 0};
            }
        }
        step_terms serving = make_terms("a", true);
        serving.is_long_running = true;
        serving.earlier_rack = "r0";
        serving.max_per_target = 2;
        // 3 of 6 tasks of 6 cores are placed, and none fits the share any more.
        const std::vector<std::string> first =
            choose_racks(fleet, serving, 3, "", now, random);
        REQUIRE(std::count(first.begin(), first.end(), "r4") == 3);
        const std::vector<std::string> second =
            choose_racks(fleet, serving, 1, "", now, random);
        REQUIRE(second == std::vector<std::string>{"r4"});
        serving.tasks_in_rack = {{"r4", 4}};
        REQUIRE(choose_racks(fleet, serving, 1, "", now, random) !=
                std::vector<std::string>{"r4"});
    }
}

// Guards against a start that stays in a full rack although it fits into
// others: processors that backfill tasks use are free for it.
TEST_CASE("a start may be handed back to a rack full of backfill tasks",
          "[rack]")
{
    const bool is_long_running = GENERATE(true, false);
    CAPTURE(is_long_running);
    fleet_load fleet = make_fleet(2);
    fleet.racks["r0"].room.queued_cpu_milli = 6'000;
    for (target_load_report& report : fleet.racks["r0"].room.targets)
    {
        report.room.cpu_milli = 0;
    }
    for (target_load_report& report : fleet.racks["r1"].room.targets)
    {
        report.backfill_milli = report.room.cpu_milli;
    }
    step_terms terms = make_terms("a", true);
    terms.is_long_running = is_long_running;
    if (!is_long_running)
    {
        terms.response_target_ms = 0;
    }
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        CHECK(hand_back_quota(fleet, terms, "r0", now, random) >= 1);
    }
    const step_terms backfill = make_terms("b", false);
    std::minstd_rand random(1);
    CHECK(hand_back_quota(fleet, backfill, "r0", now, random) == 0);
}

// Guards against a queue drawn at random while a rack with backfill tasks has
// room: such a target takes a serving task at once.
TEST_CASE("serving tasks go to racks whose free processors backfill tasks use",
          "[rack]")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        std::minstd_rand random(seed);
        fleet_load fleet = make_fleet(5);
        for (auto& [name, view] : fleet.racks)
        {
            for (target_load_report& report : view.room.targets)
            {
                report.room.cpu_milli = name == "r3" ? 32'000 : 0;
                report.backfill_milli = report.room.cpu_milli;
            }
        }
        CHECK(choose_racks(fleet, make_terms("a", true), 4, "", now, random) ==
              std::vector<std::string>(4, "r3"));
    }
}
