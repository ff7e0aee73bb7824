#include "egretspindle/rack/queue_summary.hpp"
#include "egretspindle/rack/room_summary.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const time_point now = time_point{} + milliseconds(1'000'000);

rack_state make_rack()
{
    rack_state rack;
    rack_target target;
    target.entry.id = "t1";
    target.entry.service = "svc";
    target.entry.capacity = {4'000, 4'000, 0};
    target.is_recorded = true;
    target.is_reached = true;
    rack.targets["t1"] = target;
    return rack;
}

step_terms make_terms(std::int64_t cpu_milli)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {cpu_milli, 100, 0};
    return terms;
}

void add(rack_state& rack, const step_terms& terms, bool is_repeated = false)
{
    queued_start item;
    item.task = "job.0.0.0";
    item.run = 1;
    item.terms = std::make_shared<const step_terms>(terms);
    item.queued_at = now - milliseconds(900);
    item.is_repeated = is_repeated;
    rack.queue.push_back(item);
}

} // namespace

// An operator has to see in the log whether a rack is full or its targets are
// reserved for other starts.
TEST_CASE("the summary of a queue counts starts by the reason of their wait",
          "[rack]")
{
    interference_model model;
    model.harmed_share["easy"] = 0.0;
    model.harmed_share["hard"] = 0.8;
    model.reserved_shares = {{"hard", 1.0}};
    rack_state rack = make_rack();
    step_terms backfill = make_terms(1'000);
    backfill.uses_idle_cpu = true;
    backfill.image = "easy";
    add(rack, make_terms(1'000));
    add(rack, make_terms(8'000));
    add(rack, backfill);
    backfill.size.cpu_milli = 8'000;
    add(rack, backfill);
    add(rack, make_terms(1'000), true);
    const queue_summary summary = summarize_queue(rack, model, now);
    REQUIRE(summary.queued == 5);
    REQUIRE(summary.oldest == milliseconds(900));
    REQUIRE(summary.placeable == 1);
    REQUIRE(summary.room == 1);
    REQUIRE(summary.reserved == 1);
    REQUIRE(summary.processors == 1);
    REQUIRE(summary.repeated == 1);
}

// Guards against a long wait that only shows with other starts of the queue, or
// that begins anew in each rack.
TEST_CASE("the summary of a queue has the longest wait for each reason",
          "[rack]")
{
    rack_state rack = make_rack();
    step_terms terms = make_terms(8'000);
    add(rack, terms);
    add(rack, terms);
    rack.queue.back().queued_at = now - milliseconds(5'000);
    add(rack, terms);
    terms.is_long_running = true;
    add(rack, terms);
    rack.queue.back().waiting_since = now - milliseconds(9'000);
    add(rack, make_terms(1'000), true);
    longest_waits waits =
        summarize_queue(rack, interference_model(), now).waits;
    const auto at = [&](wait_reason reason, std::size_t kind)
    {
        return waits[static_cast<std::size_t>(reason)][kind].count();
    };
    REQUIRE(at(wait_reason::room, 0) == 5'000);
    REQUIRE(at(wait_reason::room, 1) == 9'000);
    REQUIRE(at(wait_reason::record, 0) == 900);
    REQUIRE(at(wait_reason::memory, 0) == 0);
    longest_waits other{};
    other[static_cast<std::size_t>(wait_reason::room)][0] = milliseconds(6'000);
    merge_waits(waits, other);
    REQUIRE(at(wait_reason::room, 0) == 6'000);
    REQUIRE(at(wait_reason::room, 1) == 9'000);
}

// Guards against room that is counted on targets that take no starts, or in one
// piece although it is on several targets.
TEST_CASE("the room of a rack is that of its open targets", "[rack]")
{
    rack_state rack = make_rack();
    rack_target target = rack.targets["t1"];
    placed_run run;
    run.task = "job.0.0.0";
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(make_terms(3'000));
    target.runs[{run.task, run.run}] = run;
    rack.targets["t2"] = target;
    target.is_reached = false;
    rack.targets["t3"] = target;
    room_summary sum;
    add_room(sum, rack, now);
    REQUIRE(sum.total_milli == 8'000);
    REQUIRE(sum.free_milli == 5'000);
    REQUIRE(sum.largest_free_milli == 4'000);
}

// Without the reason, an operator cannot tell a full rack from one whose memory
// is held by tasks that were slowed down.
TEST_CASE("the summary of a queue tells memory from processors", "[rack]")
{
    rack_state rack = make_rack();
    step_terms terms = make_terms(1'000);
    terms.size.memory_mb = 5'000;
    terms.is_long_running = true;
    add(rack, terms);
    const queue_summary summary =
        summarize_queue(rack, interference_model(), now);
    REQUIRE(summary.memory == 1);
    REQUIRE(summary.room == 0);
    REQUIRE(summary.oldest_long_running == milliseconds(900));
}

// An operator has to see by how much the headroom falls short: a serving task
// near its target and a wrong prediction look the same otherwise.
TEST_CASE("the summary of a queue shows the headroom that a start waits for",
          "[rack]")
{
    rack_state rack = make_rack();
    step_terms serving = make_terms(500);
    serving.step = "serving.0.0";
    serving.image = "shop";
    serving.response_target_ms = 50;
    placed_run run;
    run.task = "serving.0.0.0";
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(serving);
    run.own_headroom = 1.2;
    rack.targets["t1"].runs[{run.task, run.run}] = run;
    step_terms backfill = make_terms(1'000);
    backfill.uses_idle_cpu = true;
    backfill.image = "batch";
    add(rack, backfill);
    const queue_summary summary =
        summarize_queue(rack, interference_model(), now);
    REQUIRE(summary.headroom == 1);
    REQUIRE(summary.closest_headroom);
    REQUIRE(summary.closest_headroom->spare == Approx(0.1));
    // 0.1 for one core of an unknown pair, and the margin of a harmful one.
    REQUIRE(summary.closest_headroom->required == Approx(0.5));
}

TEST_CASE("starts wait while no target accepts starts", "[rack]")
{
    rack_state rack = make_rack();
    rack.targets["t1"].entry.is_draining = true;
    add(rack, make_terms(1'000));
    REQUIRE(summarize_queue(rack, interference_model(), now).closed == 1);
}

// Without the room beside the whole absence, an operator cannot tell a full
// rack from one whose short tasks hold the room, and sees only the time since
// the last move.
TEST_CASE("the summary of a queue shows the long-running task away longest",
          "[rack]")
{
    rack_state rack = make_rack();
    step_terms short_task = make_terms(1'500);
    placed_run run;
    run.task = "other.0.0.0";
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(short_task);
    rack.targets["t1"].runs[{run.task, run.run}] = run;
    step_terms terms = make_terms(3'000);
    terms.is_long_running = true;
    add(rack, short_task);
    add(rack, terms);
    add(rack, terms);
    rack.queue.back().task = "job.0.0.1";
    rack.queue.back().waiting_since = now - milliseconds(5'000);
    const queue_summary summary =
        summarize_queue(rack, interference_model(), now);
    REQUIRE(summary.longest_away);
    REQUIRE(summary.longest_away->task == "job.0.0.1");
    REQUIRE(summary.longest_away->away == milliseconds(5'000));
    REQUIRE(summary.longest_away->size.cpu_milli == 3'000);
    REQUIRE(summary.longest_away->largest_free_milli == 2'500);
    REQUIRE(summary.longest_away->largest_eventual_milli == 4'000);
    REQUIRE(summary.longest_away->reserved_targets == 0);
}
