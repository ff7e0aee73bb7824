#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace egretspindle;

namespace
{

const lease_limits limits;
const interference_model no_pressure;
const time_point start = time_point{} + milliseconds(1'000'000);

rack_state make_rack(int targets)
{
    rack_state rack;
    rack.name = "r1";
    rack.token = 7;
    rack.taken_over_at = start;
    rack.verified_at = start;
    rack.unknown_until = start + milliseconds(11'000);
    for (int n = 0; n < targets; ++n)
    {
        rack_target target;
        target.entry.id = "t" + std::to_string(n);
        target.entry.service = "svc";
        target.entry.rack = "r1";
        target.entry.capacity = {4'000, 4'000, 0};
        target.is_recorded = true;
        target.is_inherited = true;
        target.is_reached = true;
        target.started_ms = 1;
        rack.targets[target.entry.id] = target;
    }
    return rack;
}

step_terms make_terms(std::int64_t cpu_milli = 1'000)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.service = "svc";
    terms.size = {cpu_milli, 100, 0};
    return terms;
}

queued_start make_start(const std::string& task, const step_terms& terms,
                        std::int64_t run = 1)
{
    queued_start item;
    item.task = task;
    item.run = run;
    item.terms = std::make_shared<const step_terms>(terms);
    item.queued_at = start;
    return item;
}

poll_answer make_answer(std::vector<listed_run> runs,
                        std::vector<listed_end> ends = {},
                        std::int64_t started_ms = 1)
{
    poll_answer answer;
    answer.clock_ms = 5'000;
    answer.started_ms = started_ms;
    answer.runs = std::move(runs);
    answer.ends = std::move(ends);
    return answer;
}

} // namespace

TEST_CASE("no target is given more than its capacity", "[rack]")
{
    rack_state rack = make_rack(2);
    for (int n = 0; n < 12; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), make_terms()));
    }
    const std::vector<placement> placed =
        place_starts(rack, no_pressure, start, 0);
    REQUIRE(placed.size() == 8);
    REQUIRE(rack.queue.size() == 4);
    for (const auto& [id, target] : rack.targets)
    {
        REQUIRE(free_room(target).cpu_milli == 0);
    }
}

TEST_CASE("urgent starts go first, then those with the earlier objective",
          "[rack]")
{
    rack_state rack = make_rack(1);
    step_terms late = make_terms(4'000);
    late.priority = 2;
    step_terms urgent = make_terms(4'000);
    urgent.step = "job.0.1";
    urgent.objective_ms = 900;
    enqueue(rack, make_start("job.0.0.0", late));
    enqueue(rack, make_start("job.0.1.0", urgent));
    const std::vector<placement> placed =
        place_starts(rack, no_pressure, start, 0);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "job.0.1.0");
}

// Under a flood, first come first served makes every job late.
TEST_CASE("a start that is late already lets others go first", "[rack]")
{
    constexpr std::int64_t now_ms = 100'000;
    rack_state rack = make_rack(1);
    step_terms late = make_terms(4'000);
    late.objective_ms = now_ms + 100;
    late.latest_start_ms = now_ms - 5'000;
    step_terms timely = make_terms(4'000);
    timely.step = "job.0.1";
    timely.objective_ms = now_ms + 9'000;
    timely.latest_start_ms = now_ms + 4'000;
    enqueue(rack, make_start("job.0.0.0", late));
    enqueue(rack, make_start("job.0.1.0", timely));
    const std::vector<placement> placed =
        place_starts(rack, no_pressure, start, now_ms);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "job.0.1.0");
}

TEST_CASE("a step is spread as its caller asks", "[rack]")
{
    rack_state rack = make_rack(2);
    step_terms terms = make_terms(100);
    terms.max_per_target = 1;
    for (int n = 0; n < 3; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), terms));
    }
    REQUIRE(place_starts(rack, no_pressure, start, 0).size() == 2);
}

TEST_CASE("a gang starts whole or not at all", "[rack]")
{
    rack_state rack = make_rack(1);
    step_terms terms = make_terms(2'000);
    terms.is_gang = true;
    terms.gang_size = 3;
    for (int n = 0; n < 3; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), terms));
    }
    REQUIRE(place_starts(rack, no_pressure, start, 0).empty());
    REQUIRE(free_room(rack.targets["t0"]).cpu_milli == 4'000);
    rack.targets["t0"].entry.capacity.cpu_milli = 6'000;
    REQUIRE(place_starts(rack, no_pressure, start, 0).size() == 3);
}

TEST_CASE("a draining target gets no starts", "[rack]")
{
    rack_state rack = make_rack(1);
    rack.targets["t0"].entry.is_draining = true;
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    REQUIRE(place_starts(rack, no_pressure, start, 0).empty());
}

// A start that is sent again must not run a second time.
TEST_CASE("a repeated start of a run that ended here is known", "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken, start);
    const std::vector<run_event> events = apply_poll(
        rack, target, make_answer({}, {{1, "job.0.0.0", 1, "done", ""}}), start,
        start);
    REQUIRE(events.size() == 1);
    acknowledge(target, 1, {"job.0.0.0", 1});
    REQUIRE(target.acknowledged == 1);
    REQUIRE(enqueue(rack, make_start("job.0.0.0", make_terms())) ==
            enqueue_result::known);
}

// The record of an end of the former life arrived late, and an end of the new
// life with the same number was forgotten by the target before it was recorded.
TEST_CASE("an end is acknowledged only when that end is recorded", "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    (void)apply_poll(rack, target,
                     make_answer({}, {{1, "job.0.0.0", 1, "done", ""}}), start,
                     start);
    (void)apply_poll(rack, target,
                     make_answer({}, {{1, "job.0.0.1", 1, "done", ""}}, 2),
                     start, start);
    acknowledge(target, 1, {"job.0.0.0", 1});
    REQUIRE(target.acknowledged == 0);
    acknowledge(target, 1, {"job.0.0.1", 1});
    REQUIRE(target.acknowledged == 1);
}

TEST_CASE("a repeated start waits for the record", "[rack]")
{
    rack_state rack = make_rack(1);
    queued_start item = make_start("job.0.0.0", make_terms());
    item.is_repeated = true;
    enqueue(rack, item);
    REQUIRE(place_starts(rack, no_pressure, start, 0).empty());
    SECTION("the record assigns it")
    {
        REQUIRE(resolve_repeated(rack, {"job.0.0.0", 1}, true).empty());
        REQUIRE(place_starts(rack, no_pressure, start, 0).size() == 1);
    }
    // Found by the soak (seed 53): the end of the run on a target that came
    // back was taken for that of its repeated start, and a third one was made.
    SECTION("the record assigns it, and a former target was given up")
    {
        rack.targets.begin()->second.is_inherited = true;
        rack.targets.begin()->second.is_reached = false;
        const std::vector<run_event> events =
            resolve_repeated(rack, {"job.0.0.0", 1}, true);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
        REQUIRE(rack.queue.empty());
    }
    SECTION("the record has moved on")
    {
        REQUIRE(resolve_repeated(rack, {"job.0.0.0", 1}, false).empty());
        REQUIRE(rack.queue.empty());
    }
}

// trouble-1 of the cooperative: the store turned an owner away, which then
// reported runs as lost that the new owner kept alive.
TEST_CASE("leases expire only under confirmed ownership", "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    update_clock(target, 5'000, limits, start);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_pressure, start, 0);
    extend_lease(target, limits, start);
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken, start);
    REQUIRE(target.expires_at >= start + milliseconds(6'500));
    const time_point later = target.expires_at + milliseconds(2'000);
    REQUIRE(expire_leases(rack, later).empty());
    rack.verified_at = target.expires_at + milliseconds(1);
    SECTION("a refused owner concludes nothing")
    {
        rack.is_fenced = true;
        REQUIRE(expire_leases(rack, later).empty());
        REQUIRE(place_starts(rack, no_pressure, later, 0).empty());
    }
    SECTION("the owner concludes that the run is gone")
    {
        const std::vector<run_event> events = expire_leases(rack, later);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
    }
}

// A target's clock may be 2% slow, so a lease of 6 s lasts up to 6.12 s here.
TEST_CASE("the expiry of a lease allows for a slow clock", "[rack]")
{
    rack_target target;
    update_clock(target, 100'000, limits, start);
    extend_lease(target, limits, start);
    REQUIRE(target.expires_at >=
            start + milliseconds(6'122) + limits.expiry_slack);
}

// A lease of 10 s was taken for one of 6 s, and a run started again elsewhere
// while it was at work.
TEST_CASE("a new life may grant the longest lease to orders for the former one",
          "[rack]")
{
    const milliseconds longest(10'000 * 100 / 98);
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    update_clock(target, 900'000, limits, start);
    extend_lease(target, limits, start);
    (void)apply_poll(rack, target, make_answer({}, {}, 2), start, start);
    update_clock(target, 5'000, limits, start);
    // The last order for the former life may be carried out 12 s later.
    const time_point latest = start + milliseconds(12'000) + longest;
    REQUIRE(target.expires_at >= latest);
    extend_lease(target, limits, start);
    REQUIRE(target.expires_at >= latest);
    // Later leases count as usual.
    const time_point later = start + milliseconds(20'000);
    update_clock(target, 25'000, limits, later);
    extend_lease(target, limits, later);
    REQUIRE(target.expires_at < later + milliseconds(7'000));
}

// The lease may be the former owner's, and the target may fall silent before
// it gets the first one of this owner.
TEST_CASE("a target that is reached first may hold the longest lease", "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    target.is_reached = false;
    target.started_ms = 0;
    (void)apply_poll(rack, target, make_answer({{"job.0.0.0", 1, "", 0, 0}}),
                     start, start);
    update_clock(target, 5'000, limits, start);
    rack.verified_at = start + milliseconds(10'000);
    REQUIRE(expire_leases(rack, rack.verified_at).empty());
    rack.verified_at = start + milliseconds(10'800);
    REQUIRE(expire_leases(rack, rack.verified_at).size() == 1);
}

// The former owner may have renewed leases of a target that had restarted
// without the owner knowing.
TEST_CASE("an unreached target may hold the longest lease", "[rack]")
{
    REQUIRE(max_lease_duration(limits) >=
            milliseconds(10'000 * 100 / 98) + limits.expiry_slack);
}

TEST_CASE("a restarted target has lost its runs but not the starts on their "
          "way",
          "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    enqueue(rack, make_start("job.0.0.1", make_terms()));
    place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken, start);
    const time_point later = start + milliseconds(1'500);
    const std::vector<run_event> events =
        apply_poll(rack, target, make_answer({}, {}, 2), later, later);
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().task == "job.0.0.0");
    REQUIRE(events.front().how == run_end::lost);
    REQUIRE(target.runs.size() == 1);
}

// A start may reach a restarted target before the first poll does. The run was
// reported as lost while it was at work there.
TEST_CASE("a run that was started in the new life is not lost with the former "
          "one",
          "[rack]")
{
    const run_id id{"job.0.0.0", 1};
    rack_state rack = make_rack(1);
    enqueue(rack, make_start(id.first, make_terms()));
    place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, id, order_verdict::taken, start);
    const time_point later = start + milliseconds(1'500);
    SECTION("it is listed")
    {
        REQUIRE(apply_poll(rack, target,
                           make_answer({{id.first, 1, "", 100, 0}}, {}, 2),
                           later, later)
                    .empty());
        REQUIRE(target.runs.at(id).terms != nullptr);
    }
    SECTION("it has ended")
    {
        const std::vector<run_event> events = apply_poll(
            rack, target, make_answer({}, {{1, id.first, 1, "done", ""}}, 2),
            later, later);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::done);
    }
    SECTION("the list was made before it was taken")
    {
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), start, start)
                    .empty());
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), later, later)
                    .size() == 1);
    }
}

// The copy started the run in the new life, up to 12 s later, after the run had
// been reported as lost or as done.
TEST_CASE("a late copy of a start is kept out of the next life", "[rack]")
{
    const run_id id{"job.0.0.0", 1};
    rack_state rack = make_rack(1);
    enqueue(rack, make_start(id.first, make_terms()));
    place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets["t0"];
    add_unanswered_start(target, id, start);
    apply_start(rack, target, id, order_verdict::taken, start);
    SECTION("it was at work")
    {
        const time_point later = start + milliseconds(GENERATE(0, 3'000));
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), later, later)
                    .empty());
        REQUIRE(target.runs.at(id).is_stopping);
        REQUIRE_FALSE(target.runs.at(id).is_confirmed);
        target.runs.at(id).is_confirmed = true; // by the stop
        target.runs.at(id).confirmed_at = later;
        const time_point last = later + milliseconds(1'500);
        const std::vector<run_event> events =
            apply_poll(rack, target, make_answer({}, {}, 2), last, last);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
    }
    SECTION("it had ended")
    {
        const time_point later = start + milliseconds(3'000);
        REQUIRE(apply_poll(rack, target,
                           make_answer({}, {{1, id.first, 1, "done", ""}}),
                           later, later)
                    .size() == 1);
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), later, later)
                    .empty());
        REQUIRE(target.runs.at(id).is_stopping);
        target.runs.at(id).is_confirmed = true;
        target.runs.at(id).confirmed_at = later;
        const time_point last = later + milliseconds(1'500);
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), last, last)
                    .empty());
        REQUIRE(target.runs.empty());
    }
    SECTION("no copy can be on its way any more")
    {
        const time_point last = start + milliseconds(12'001);
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), last, last)
                    .size() == 1);
        REQUIRE(target.runs.empty());
    }
}

TEST_CASE("a confirmed run that a later list lacks is gone", "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken, start);
    // The list may be older than the start.
    REQUIRE(apply_poll(rack, target, make_answer({}), start, start).empty());
    const time_point later = start + milliseconds(1'500);
    REQUIRE(apply_poll(rack, target, make_answer({}), later, later).size() ==
            1);
}

TEST_CASE("an unknown run at work is reported once and blocks its target",
          "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    const poll_answer answer = make_answer({{"job.0.0.9", 4, "", 10, 0}});
    const std::vector<run_event> events =
        apply_poll(rack, target, answer, start, start);
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().what == run_event::kind::seen);
    REQUIRE(apply_poll(rack, target, answer, start, start).empty());
    REQUIRE_FALSE(accepts_starts(target, start));
}

TEST_CASE("a stop of a run that may be on an unreached target is not answered",
          "[rack]")
{
    rack_state rack = make_rack(2);
    rack.targets["t1"].is_reached = false;
    std::string target;
    REQUIRE(withdraw(rack, {"job.0.0.0", 1}, target).empty());
    REQUIRE(target.empty());
    REQUIRE(report_settled_stops(rack, start).empty());
    // It turns up there and has to be stopped.
    rack_target& late = rack.targets["t1"];
    apply_poll(rack, late, make_answer({{"job.0.0.0", 1, "", 0, 0}}), start,
               start);
    REQUIRE(late.runs.at({"job.0.0.0", 1}).is_stopping);
    REQUIRE(rack.stops.empty());
}

TEST_CASE("a stop of a run that is nowhere is answered when all is known",
          "[rack]")
{
    rack_state rack = make_rack(1);
    std::string target;
    REQUIRE(withdraw(rack, {"job.0.0.0", 1}, target).empty());
    REQUIRE(report_settled_stops(rack, start).size() == 1);
    REQUIRE(enqueue(rack, make_start("job.0.0.0", make_terms())) ==
            enqueue_result::known);
}

TEST_CASE("a start that a target refuses goes elsewhere", "[rack]")
{
    rack_state rack = make_rack(2);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    const std::vector<placement> first =
        place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets[first.front().target];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::unhealthy,
                start);
    const std::vector<placement> second =
        place_starts(rack, no_pressure, start, 0);
    REQUIRE(second.size() == 1);
    REQUIRE(second.front().target != first.front().target);
}

// Archive, mix --seed 16056621355: the answer to a start was lost in a one-way
// cut, the task ran and ended, and the repeated start was answered as old. The
// task was started again elsewhere.
TEST_CASE("an old run may have run: its target's list tells", "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_pressure, start, 0);
    rack_target& target = rack.targets["t0"];
    REQUIRE(apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::old_run,
                        start)
                .empty());
    SECTION("it has ended as done")
    {
        const std::vector<run_event> events = apply_poll(
            rack, target, make_answer({}, {{1, "job.0.0.0", 1, "done", ""}}),
            start, start);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::done);
    }
    SECTION("it was kept from starting")
    {
        const time_point later = start + milliseconds(1'500);
        const std::vector<run_event> events =
            apply_poll(rack, target, make_answer({}), later, later);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
    }
}

TEST_CASE("only waiting starts that fit elsewhere are handed back, few at once",
          "[rack]")
{
    rack_state rack = make_rack(1);
    for (int n = 0; n < 20; ++n)
    {
        enqueue(rack,
                make_start("job.0.0." + std::to_string(n), make_terms(4'000)));
    }
    int asked = 0;
    const auto three_elsewhere = [&asked](const step_terms&)
    {
        ++asked;
        return std::size_t{3};
    };
    const milliseconds patience(700);
    REQUIRE(hand_back(rack, patience, three_elsewhere, start).empty());
    const time_point later = start + milliseconds(800);
    const auto nowhere = [](const step_terms&)
    {
        return std::size_t{0};
    };
    REQUIRE(hand_back(rack, patience, nowhere, later).empty());
    // The reports that it saw change only with the next period.
    const time_point next = later + patience;
    REQUIRE(hand_back(rack, patience, three_elsewhere, next).size() == 3);
    REQUIRE(rack.queue.size() == 17);
    // An answer takes a look at each target of the fleet.
    REQUIRE(asked == 1);
    // The reports do not show the three yet.
    const time_point too_early = next + patience - milliseconds(1);
    REQUIRE(hand_back(rack, patience, three_elsewhere, too_early).empty());
    REQUIRE(
        hand_back(rack, patience, three_elsewhere, next + patience).size() ==
        3);
}

// A part of a gang cannot start anywhere while the rest waits here.
TEST_CASE("a gang is handed back as a whole", "[rack]")
{
    rack_state rack = make_rack(1);
    step_terms terms = make_terms(4'000);
    terms.is_gang = true;
    terms.gang_size = 6;
    for (int n = 0; n < 6; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), terms));
    }
    const auto one_elsewhere = [](const step_terms&)
    {
        return std::size_t{1};
    };
    const time_point later = start + milliseconds(800);
    REQUIRE(hand_back(rack, milliseconds(700), one_elsewhere, later).size() ==
            6);
}

// Targets that serve many images leave hardly any room for tasks that disturb
// one of them; half of the batch work of a quiet day then came late.
TEST_CASE("serving tasks of one image share targets", "[rack]")
{
    rack_state rack = make_rack(3);
    step_terms serving = make_terms(1'000);
    serving.response_target_ms = 50;
    for (const std::string image : {"a", "b", "a", "b", "a", "b"})
    {
        serving.image = image;
        serving.step = "job-" + image + ".0.0";
        const std::string task =
            serving.step + "." + std::to_string(rack.queue.size());
        enqueue(rack, make_start(task, serving));
    }
    REQUIRE(place_starts(rack, no_pressure, start, 0).size() == 6);
    for (const auto& [id, target] : rack.targets)
    {
        std::set<std::string> images;
        for (const auto& [run_id, run] : target.runs)
        {
            images.insert(run.terms->image);
        }
        REQUIRE(images.size() <= 1);
    }
}

// After the loss of all hosts a new owner waited 10 s for the lease of a target
// whose address belonged to its next life already (LOST, mix seed 675697743824
// of the cooperative).
TEST_CASE("an address with another life ends the runs of the former one",
          "[rack]")
{
    rack_state rack = make_rack(2);
    rack_target& target = rack.targets["t0"];
    target.is_listed = false;
    target.is_reached = false;
    placed_run run;
    run.task = "job.0.0.0";
    run.run = 1;
    run.is_confirmed = true;
    target.runs[{"job.0.0.0", 1}] = run;
    REQUIRE_FALSE(knows_all_runs(rack, start));
    const std::vector<run_event> events =
        end_runs_of_former_boot(rack, target, start);
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().how == run_end::lost);
    REQUIRE(knows_all_runs(rack, start));
    REQUIRE(expire_leases(rack, start).empty());
    REQUIRE(rack.targets.count("t0") == 0);
}

TEST_CASE("a refused owner concludes nothing from another life", "[rack]")
{
    rack_state rack = make_rack(1);
    rack.is_fenced = true;
    rack_target& target = rack.targets["t0"];
    placed_run run;
    run.task = "job.0.0.0";
    run.run = 1;
    target.runs[{"job.0.0.0", 1}] = run;
    REQUIRE(end_runs_of_former_boot(rack, target, start).empty());
    REQUIRE(target.runs.size() == 1);
}

// The steady clock stands still while a host is suspended: it renewed leases
// after its racks had been taken over.
TEST_CASE("the right to grant leases ends during a suspension", "[rack]")
{
    rack_state rack;
    const lease_limits limits;
    const clock_reading read_at{start,
                                boot_time_point(std::chrono::seconds(50))};
    confirm_ownership(rack, read_at, limits);
    REQUIRE(may_grant(rack, read_at.boot));
    REQUIRE_FALSE(may_grant(rack, read_at.boot + limits.authority));
    confirm_ownership(rack, {start, read_at.boot + milliseconds(1'000)},
                      limits);
    REQUIRE(may_grant(rack, read_at.boot + limits.authority));
    rack.is_fenced = true;
    REQUIRE_FALSE(may_grant(rack, read_at.boot));
}

// Tasks were stopped in an outage of the store that lasted longer than a lease.
TEST_CASE("an owner keeps the right to grant leases during an outage for all",
          "[rack]")
{
    rack_state rack;
    const lease_limits limits;
    boot_time_point now{std::chrono::seconds(50)};
    confirm_ownership(rack, {start, now}, limits);
    for (int n = 0; n < 60; ++n)
    {
        now += milliseconds(500);
        extend_authority(rack, now, limits);
        REQUIRE(may_grant(rack, now));
    }
    // Once it has ended, another host may have claimed the rack.
    now += limits.authority;
    extend_authority(rack, now, limits);
    REQUIRE_FALSE(may_grant(rack, now));
}

// A start that a restarted target answered before the first poll of its new
// life left a lease that was counted on the former clock, an hour ahead.
TEST_CASE("no lease is counted for longer than a target grants", "[rack]")
{
    rack_target target;
    const lease_limits limits;
    target.lease_until_ms = 3'600'000;
    update_clock(target, 2'000, limits, start);
    REQUIRE(target.expires_at <= start + max_lease_duration(limits));
}

// Lasting tasks are last in the queue; short ones used up what might go, and
// one that lasts waited for 26 s.
TEST_CASE("a task that lasts goes back beside any number of short ones",
          "[rack]")
{
    rack_state rack = make_rack(0);
    for (int n = 0; n < 60; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), make_terms()));
    }
    step_terms long_running = make_terms(2'000);
    long_running.step = "job.0.1";
    long_running.is_long_running = true;
    enqueue(rack, make_start("job.0.1.0", long_running));
    const std::vector<run_event> events = hand_back(
        rack, milliseconds(700),
        [](const step_terms& terms)
        { return static_cast<std::size_t>(terms.is_long_running ? 1 : 2); },
        start + milliseconds(800));
    REQUIRE(events.size() == 3);
    REQUIRE(events.back().task == "job.0.1.0");
}
