#include "egretspindle/rack/draining_target.hpp"

#include <catch2/catch.hpp>

#include <limits>
#include <memory>
#include <string>

using namespace egretspindle;

namespace
{

step_terms make_terms(bool is_long_running)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.size = {1'000, 100, 0};
    terms.is_long_running = is_long_running;
    return terms;
}

const time_point now = time_point{} + milliseconds(1'000'000);

// Returns a target that is about to end.
rack_target make_draining_target()
{
    rack_target target;
    target.entry.id = "t1";
    target.entry.is_draining = true;
    target.ends_at = now;
    return target;
}

placed_run& add_run(rack_target& target, const std::string& task,
                    const step_terms& terms)
{
    placed_run run;
    run.task = task;
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_confirmed = true;
    return target.runs[{task, 1}] = run;
}

bool has_room(const step_terms& /*terms*/)
{
    return true;
}

bool has_no_room(const step_terms& /*terms*/)
{
    return false;
}

} // namespace

// Guards against long-running tasks that work until their target ends, and then
// wait for its leases to expire.
TEST_CASE("long-running runs leave a draining target", "[rack]")
{
    rack_target target = make_draining_target();
    const placed_run& run = add_run(target, "a.0.0.0", make_terms(true));
    const std::vector<run_id> moved = decide_moves(target, has_room, now);
    CHECK(moved == std::vector<run_id>{{"a.0.0.0", 1}});
    CHECK(run.is_stopping);
    // The stop is ordered once.
    CHECK(decide_moves(target, has_room, now).empty());
}

TEST_CASE("other runs stay on a draining target", "[rack]")
{
    rack_target target = make_draining_target();
    SECTION("a short task")
    {
        add_run(target, "a.0.0.0", make_terms(false));
    }
    SECTION("a member of a gang")
    {
        step_terms terms = make_terms(true);
        terms.is_gang = true;
        add_run(target, "a.0.0.0", terms);
    }
    SECTION("a run of which the target has not confirmed the start")
    {
        add_run(target, "a.0.0.0", make_terms(true)).is_confirmed = false;
    }
    SECTION("a run of an earlier owner whose requirements are not known yet")
    {
        add_run(target, "a.0.0.0", make_terms(true)).terms = nullptr;
    }
    CHECK(decide_moves(target, has_room, now).empty());
}

TEST_CASE("long-running runs stay on a target that does not drain", "[rack]")
{
    rack_target target = make_draining_target();
    target.entry.is_draining = false;
    add_run(target, "a.0.0.0", make_terms(true));
    CHECK(decide_moves(target, has_room, now).empty());
}

// Guards against stops of tasks that then have no place to work.
TEST_CASE("a long-running run stays on a draining target until there is room "
          "elsewhere",
          "[rack]")
{
    rack_target target = make_draining_target();
    const placed_run& run = add_run(target, "a.0.0.0", make_terms(true));
    CHECK(decide_moves(target, has_no_room, now).empty());
    CHECK_FALSE(run.is_stopping);
    CHECK(decide_moves(target, has_room, now).size() == 1);
}

// Guards against moves that take the room of other tasks seconds before it is
// needed.
TEST_CASE(
    "long-running runs stay on a draining target until 3 s before its end",
    "[rack]")
{
    rack_target target;
    target_entry entry;
    entry.id = "t1";
    set_entry(target, entry, now);
    add_run(target, "a.0.0.0", make_terms(true));
    entry.is_draining = true;
    entry.remaining_ms = 7'000;
    set_entry(target, entry, now);
    // The same entry again does not postpone the end.
    set_entry(target, entry, now + milliseconds(2'000));
    CHECK(decide_moves(target, has_room, now + milliseconds(3'900)).empty());
    SECTION("as first listed")
    {
        CHECK(
            decide_moves(target, has_room, now + milliseconds(4'000)).size() ==
            1);
    }
    SECTION("as listed later")
    {
        entry.remaining_ms = 5'500;
        set_entry(target, entry, now + milliseconds(2'000));
        CHECK(
            decide_moves(target, has_room, now + milliseconds(4'400)).empty());
        CHECK(
            decide_moves(target, has_room, now + milliseconds(4'500)).size() ==
            1);
    }
}

// Guards against an odd entry of the list that makes the time overflow.
TEST_CASE("the listed time until a target ends is limited", "[rack]")
{
    rack_target target;
    target_entry entry;
    entry.is_draining = true;
    entry.remaining_ms = std::numeric_limits<std::int64_t>::max();
    set_entry(target, entry, now);
    CHECK(target.ends_at == now + std::chrono::hours(1));
    entry.remaining_ms = std::numeric_limits<std::int64_t>::min();
    set_entry(target, entry, now);
    CHECK(target.ends_at == now);
}
