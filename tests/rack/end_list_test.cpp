#include "egretspindle/rack/order_sequence.hpp"
#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/rack/start_intents.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
constexpr std::size_t list_limit = 3;
constexpr std::int64_t core = 1'000;

std::string task_name(int index)
{
    return "job.0.0." + std::to_string(index);
}

std::shared_ptr<const step_terms> make_terms()
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {core, 100, 0};
    return std::make_shared<const step_terms>(terms);
}

/// Rack with one target, on which the tasks 1 to `runs` run.
struct rack_with_runs
{
    explicit rack_with_runs(int runs)
    {
        rack.name = "r1";
        rack.token = 7;
        rack.verified_at = start_time;
        rack_target& item = rack.targets["t1"];
        item.entry.id = "t1";
        item.entry.service = "svc";
        item.entry.rack = "r1";
        item.entry.capacity = {8 * core, 8'000, 0};
        item.is_recorded = true;
        item.is_reached = true;
        item.started_ms = 1;
        for (int n = 1; n <= runs; ++n)
        {
            placed_run run;
            run.task = task_name(n);
            run.run = 1;
            run.terms = make_terms();
            run.is_confirmed = true;
            run.is_reported = true;
            run.confirmed_at = start_time;
            item.runs[{run.task, 1}] = run;
        }
    }

    rack_target& target()
    {
        return rack.targets.at("t1");
    }

    rack_state rack;
};

/// Answer that lists the ends with the numbers `first` to `last`, as many as
/// fit. The end with a number is that of the task with this index.
poll_answer list_ends(int first, int last)
{
    poll_answer answer;
    answer.clock_ms = 5'000;
    answer.started_ms = 1;
    answer.max_ends = list_limit;
    for (int n = first; n <= last && answer.ends.size() < list_limit; ++n)
    {
        answer.ends.push_back({n, task_name(n), 1, "done", ""});
    }
    return answer;
}

std::map<std::string, run_end> ends_in(const std::vector<run_event>& events)
{
    std::map<std::string, run_end> ends;
    for (const run_event& event : events)
    {
        if (event.what == run_event::kind::ended)
        {
            ends[event.task] = event.how;
        }
    }
    return ends;
}

constexpr milliseconds second{1'000};

} // namespace

// Guards against running a task again whose end is beyond the listed ones.
TEST_CASE("a run with an end beyond those listed is not lost", "[rack]")
{
    rack_with_runs world(5);
    rack_target& target = world.target();
    const time_point now = start_time + 5 * second;
    const auto listed = ends_in(
        apply_poll(world.rack, target, list_ends(1, 5), now, now + second));
    CHECK(listed ==
          std::map<std::string, run_end>{{task_name(1), run_end::done},
                                         {task_name(2), run_end::done},
                                         {task_name(3), run_end::done}});
    // They have ended, so that they use no capacity.
    CHECK(free_capacity(target).cpu_milli == 8 * core);

    const run_id beyond{task_name(4), 1};
    queued_start again;
    again.task = beyond.first;
    again.run = beyond.second;
    again.terms = make_terms();
    CHECK(enqueue(world.rack, again) == enqueue_result::known);
    CHECK(mark_overdue(world.rack, beyond));
    std::string stopped_on;
    CHECK(withdraw(world.rack, beyond, stopped_on).empty());
    CHECK(stopped_on.empty());
    CHECK(world.rack.stops.empty());

    for (int n = 1; n <= 3; ++n)
    {
        acknowledge(target, n, {task_name(n), 1});
    }
    const auto later = ends_in(
        apply_poll(world.rack, target, list_ends(4, 5), now + second, now));
    CHECK(later ==
          std::map<std::string, run_end>{{task_name(4), run_end::done},
                                         {task_name(5), run_end::done}});
}

// Guards against runs that are never concluded.
TEST_CASE("a run that a whole list does not name is lost", "[rack]")
{
    rack_with_runs world(5);
    rack_target& target = world.target();
    const time_point now = start_time + 5 * second;
    (void)apply_poll(world.rack, target, list_ends(1, 5), now, now);
    for (int n = 1; n <= 3; ++n)
    {
        acknowledge(target, n, {task_name(n), 1});
    }
    const auto later = ends_in(
        apply_poll(world.rack, target, list_ends(4, 4), now + second, now));
    CHECK(later ==
          std::map<std::string, run_end>{{task_name(4), run_end::done},
                                         {task_name(5), run_end::lost}});
}

// Guards against a new owner that starts a run again which has ended.
TEST_CASE("the intent of a run with an end beyond those listed is kept",
          "[rack]")
{
    rack_with_runs world(4);
    step_terms terms = *make_terms();
    terms.is_long_running = true;
    const run_id beyond{task_name(4), 1};
    world.target().runs.at(beyond).terms =
        std::make_shared<const step_terms>(terms);
    const time_point now = start_time + 5 * second;
    (void)apply_poll(world.rack, world.target(), list_ends(1, 4), now, now);
    const start_intents intents = collect_intents(world.rack);
    REQUIRE(intents.count(beyond) == 1);
    CHECK(intents.at(beyond).target == "t1");
}

// Guards against jobs that wait for an end which no target will list any more.
TEST_CASE("runs with ends beyond those listed are lost with their target",
          "[rack]")
{
    const std::map<std::string, run_end> lost{{task_name(4), run_end::lost},
                                              {task_name(5), run_end::lost}};
    rack_with_runs world(5);
    rack_target& target = world.target();
    const time_point now = start_time + 5 * second;
    (void)apply_poll(world.rack, target, list_ends(1, 5), now, now);

    SECTION("that restarts")
    {
        poll_answer restarted = list_ends(1, 0);
        restarted.started_ms = 2;
        CHECK(ends_in(apply_poll(world.rack, target, restarted, now + second,
                                 now + second)) == lost);
    }
    SECTION("whose address has another boot")
    {
        CHECK(ends_in(end_runs_of_former_boot(world.rack, target, now)) ==
              lost);
    }
    SECTION("whose leases expire")
    {
        target.expires_at = now + second;
        world.rack.verified_at = now + second;
        CHECK(ends_in(expire_leases(world.rack, now + second)) == lost);
    }
}
namespace
{

/// Rack with the target of `rack_with_runs` that this host has taken over. The
/// first answer of the target leaves out the end of task 4.
rack_with_runs take_over_with_cut_list(time_point now)
{
    rack_with_runs world(0);
    world.rack.unknown_until = now - second;
    world.rack.verified_at = now;
    world.target().is_inherited = true;
    world.target().is_reached = false;
    (void)apply_poll(world.rack, world.target(), list_ends(1, 4), now, now);
    return world;
}

// Acknowledges the listed ends, and lets the target list the last one.
std::vector<run_event> read_last_end(rack_with_runs& world, time_point now)
{
    for (int n = 1; n <= 3; ++n)
    {
        acknowledge(world.target(), n, {task_name(n), 1});
    }
    return apply_poll(world.rack, world.target(), list_ends(4, 4), now, now);
}

queued_start make_repeated_start(std::shared_ptr<const step_terms> terms)
{
    queued_start start;
    start.task = task_name(4);
    start.run = 1;
    start.terms = std::move(terms);
    start.is_repeated = true;
    start.queued_at = start_time;
    return start;
}

} // namespace

// Guards against running a task again whose end the former owner did not read.
TEST_CASE("a new owner holds repeated starts until all ends are listed",
          "[rack]")
{
    const time_point now = start_time + 20 * second;
    rack_with_runs world = take_over_with_cut_list(now);
    const queued_start repeated = make_repeated_start(make_terms());
    REQUIRE(enqueue(world.rack, repeated) == enqueue_result::queued);
    CHECK_FALSE(is_run_known(world.rack, repeated, now));
    CHECK(ends_in(read_last_end(world, now)) ==
          std::map<std::string, run_end>{{task_name(4), run_end::done}});
    CHECK(world.rack.queue.empty());
    CHECK(is_run_known(world.rack, repeated, now));
}

// Guards against telling the owner of a job that a run which has ended was
// never started.
TEST_CASE("a new owner settles no stop until all ends are listed", "[rack]")
{
    const time_point now = start_time + 20 * second;
    rack_with_runs world = take_over_with_cut_list(now);
    std::string target;
    CHECK(withdraw(world.rack, {task_name(4), 1}, target).empty());
    CHECK(report_settled_stops(world.rack, now).empty());
    CHECK(ends_in(read_last_end(world, now)) ==
          std::map<std::string, run_end>{{task_name(4), run_end::done}});
    CHECK(report_settled_stops(world.rack, now).empty());
}

// Guards against the same for long-running tasks, whose target is recorded.
TEST_CASE("an intent is kept until its target has listed all ends", "[rack]")
{
    const time_point now = start_time + 20 * second;
    rack_with_runs world = take_over_with_cut_list(now);
    step_terms terms = *make_terms();
    terms.is_long_running = true;
    const queued_start repeated =
        make_repeated_start(std::make_shared<const step_terms>(terms));
    const run_id id{repeated.task, repeated.run};
    world.rack.has_read_intents = true;
    world.rack.inherited_intents = start_intents{{id, {"t1", true}}};
    CHECK_FALSE(is_run_known(world.rack, repeated, now));
    CHECK(collect_intents(world.rack).count(id) == 1);
    (void)read_last_end(world, now);
    acknowledge(world.target(), 4, id);
    CHECK(is_run_known(world.rack, repeated, now));
    CHECK(collect_intents(world.rack).count(id) == 0);
}

// Guards against starts that wait for a target which does not come back.
TEST_CASE("a new owner does not wait for the ends of a target that is lost",
          "[rack]")
{
    const time_point now = start_time + 20 * second;
    rack_with_runs world = take_over_with_cut_list(now);
    const queued_start repeated = make_repeated_start(make_terms());
    world.target().expires_at = now + second;
    REQUIRE_FALSE(is_run_known(world.rack, repeated, now + 2 * second));
    world.rack.verified_at = now + second;
    (void)expire_leases(world.rack, now + 2 * second);
    CHECK(is_run_known(world.rack, repeated, now + 2 * second));
    // The run may have ended there, so that its number is not used again.
    CHECK(may_have_unseen_end(world.rack, repeated));
}

// Guards against running a task again that the new boot of a target has run.
TEST_CASE("a restart whose list is cut off ends no run", "[rack]")
{
    rack_with_runs world(5);
    rack_target& target = world.target();
    const time_point now = start_time + 5 * second;
    poll_answer restarted = list_ends(1, 5);
    restarted.started_ms = 2;
    const auto listed =
        ends_in(apply_poll(world.rack, target, restarted, now, now));
    CHECK(listed.size() == list_limit);
    CHECK(listed.count(task_name(4)) == 0);
    for (int n = 1; n <= 3; ++n)
    {
        acknowledge(target, n, {task_name(n), 1});
    }
    poll_answer rest = list_ends(4, 4);
    rest.started_ms = 2;
    CHECK(ends_in(apply_poll(world.rack, target, rest, now + second, now)) ==
          std::map<std::string, run_end>{{task_name(4), run_end::done},
                                         {task_name(5), run_end::lost}});
}

namespace
{

void enqueue_tasks(rack_state& rack, int first, int last, time_point now)
{
    for (int n = first; n <= last; ++n)
    {
        queued_start start;
        start.task = task_name(n);
        start.run = 1;
        start.terms = make_terms();
        start.queued_at = now;
        REQUIRE(enqueue(rack, start) == enqueue_result::queued);
    }
}

std::size_t count_placed(rack_state& rack, time_point now)
{
    return place_starts(rack, interference_model(), now, 0).size();
}

} // namespace

// Guards against runs whose results callers wait for while acknowledgements
// rest, since their ends do not fit into the list.
TEST_CASE("a target gets no start whose end it could not list", "[rack]")
{
    rack_with_runs world(2);
    rack_target& target = world.target();
    const time_point now = start_time + 5 * second;
    enqueue_tasks(world.rack, 3, 6, now);
    // One end is listed, and one run goes on.
    poll_answer answer = list_ends(1, 1);
    answer.runs = {{task_name(2), 1, "", 100, 0}};
    (void)apply_poll(world.rack, target, answer, now, now);
    CHECK(count_placed(world.rack, now) == 1);
    CHECK_FALSE(accepts_starts(target, now));
    CHECK(find_ack_blocker(target, now) == ack_blocker::record);

    acknowledge(target, 1, {task_name(1), 1});
    // The target lists the end until it gets the acknowledgement.
    CHECK(count_placed(world.rack, now) == 0);
    begin_start(world.rack, target, now);
    CHECK(find_ack_blocker(target, now) == ack_blocker::open_start);
    end_start(target, 5'001, lease_limits(), now);
    add_unanswered_start(target, {task_name(3), 1}, now);
    CHECK(find_ack_blocker(target, now) == ack_blocker::late_start);
    const time_point settled = now + max_order_delay + milliseconds(1);
    CHECK(find_ack_blocker(target, settled) == ack_blocker::none);
    CHECK(next_acknowledgement(target, settled) == 1);

    answer.ends.clear();
    (void)apply_poll(world.rack, target, answer, settled, settled);
    CHECK(find_ack_blocker(target, settled) == ack_blocker::none);
    CHECK(count_placed(world.rack, settled) == 1);
}

// Guards against starts that were refused while the list was full and are not
// tried again.
TEST_CASE("starts that a full list kept waiting are placed after it", "[rack]")
{
    rack_with_runs world(2);
    const time_point now = start_time + 5 * second;
    poll_answer answer = list_ends(1, 1);
    answer.runs = {{task_name(2), 1, "", 100, 0}};
    (void)apply_poll(world.rack, world.target(), answer, now, now);
    enqueue_tasks(world.rack, 3, 6, now);
    CHECK(count_placed(world.rack, now) == 1);
    answer.ends.clear();
    (void)apply_poll(world.rack, world.target(), answer, now + second, now);
    CHECK(count_placed(world.rack, now + second) == 1);
}

TEST_CASE("the time for which the oldest end has been listed is known",
          "[rack]")
{
    rack_with_runs world(3);
    rack_target& target = world.target();
    const time_point now = start_time + 5 * second;
    const auto poll_at = [&](time_point at, int first, int last)
    {
        (void)apply_poll(world.rack, target, list_ends(first, last), at, at);
    };
    poll_at(now, 1, 1);
    poll_at(now + second, 1, 2);
    CHECK(target.oldest_end == 1);
    CHECK(target.oldest_end_since == now);
    CHECK(target.listed_ends == 2);
    poll_at(now + 2 * second, 2, 3);
    CHECK(target.oldest_end == 2);
    CHECK(target.oldest_end_since == now + 2 * second);
    poll_at(now + 3 * second, 1, 0);
    CHECK(target.oldest_end == 0);
    CHECK(target.listed_ends == 0);
}
