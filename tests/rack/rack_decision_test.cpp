#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace egretspindle;

namespace
{

const lease_limits limits;
const interference_model no_interference;
const time_point start_time = time_point{} + milliseconds(1'000'000);

rack_state make_rack(int targets)
{
    rack_state rack;
    rack.name = "r1";
    rack.token = 7;
    rack.taken_over_at = start_time;
    rack.verified_at = start_time;
    rack.unknown_until = start_time + milliseconds(11'000);
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
    item.queued_at = start_time;
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
        place_starts(rack, no_interference, start_time, 0);
    REQUIRE(placed.size() == 8);
    REQUIRE(rack.queue.size() == 4);
    for (const auto& [id, target] : rack.targets)
    {
        REQUIRE(free_capacity(target).cpu_milli == 0);
    }
}

TEST_CASE("starts are placed by priority before objective", "[rack]")
{
    rack_state rack = make_rack(1);
    step_terms less_urgent = make_terms(4'000);
    less_urgent.priority = 2;
    step_terms urgent = make_terms(4'000);
    urgent.step = "job.0.1";
    urgent.objective_ms = 900;
    enqueue(rack, make_start("job.0.0.0", less_urgent));
    enqueue(rack, make_start("job.0.1.0", urgent));
    const std::vector<placement> placed =
        place_starts(rack, no_interference, start_time, 0);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "job.0.1.0");
}

// Under overload, placing starts in the order of their objectives would make
// every job late.
TEST_CASE("starts that are already late come after others", "[rack]")
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
        place_starts(rack, no_interference, start_time, now_ms);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "job.0.1.0");
}

// Guards against restarts that wait behind every new job.
TEST_CASE(
    "a long-running task that lost its run comes before those of new jobs",
    "[rack]")
{
    rack_state rack = make_rack(1);
    constexpr std::int64_t now_ms = 100'000;
    step_terms restarted = make_terms(4'000);
    restarted.is_long_running = true;
    restarted.objective_ms = now_ms - 60'000;
    restarted.latest_start_ms = now_ms - 65'000;
    step_terms added = restarted;
    added.step = "added.0.0";
    added.objective_ms = now_ms + 5'000;
    added.latest_start_ms = now_ms + 4'000;
    enqueue(rack, make_start("added.0.0.0", added));
    enqueue(rack, make_start("job.0.0.0", restarted, 3));
    const std::vector<placement> placed =
        place_starts(rack, no_interference, start_time, now_ms);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "job.0.0.0");
}

TEST_CASE("no target gets more tasks of a step than its limit", "[rack]")
{
    rack_state rack = make_rack(2);
    step_terms terms = make_terms(100);
    terms.max_per_target = 1;
    for (int n = 0; n < 3; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), terms));
    }
    REQUIRE(place_starts(rack, no_interference, start_time, 0).size() == 2);
}

TEST_CASE("a gang is started as a whole or not at all", "[rack]")
{
    rack_state rack = make_rack(1);
    step_terms terms = make_terms(2'000);
    terms.is_gang = true;
    terms.gang_size = 3;
    for (int n = 0; n < 3; ++n)
    {
        enqueue(rack, make_start("job.0.0." + std::to_string(n), terms));
    }
    REQUIRE(place_starts(rack, no_interference, start_time, 0).empty());
    REQUIRE(free_capacity(rack.targets["t0"]).cpu_milli == 4'000);
    rack.targets["t0"].entry.capacity.cpu_milli = 6'000;
    REQUIRE(place_starts(rack, no_interference, start_time, 0).size() == 3);
}

TEST_CASE("a draining target gets no starts", "[rack]")
{
    rack_state rack = make_rack(1);
    rack.targets["t0"].entry.is_draining = true;
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    REQUIRE(place_starts(rack, no_interference, start_time, 0).empty());
}

// A repeated start must not run the task a second time.
TEST_CASE("a repeated start of a run that has ended is not queued", "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken,
                start_time);
    const std::vector<run_event> events = apply_poll(
        rack, target, make_answer({}, {{1, "job.0.0.0", 1, "done", ""}}),
        start_time, start_time);
    REQUIRE(events.size() == 1);
    acknowledge(target, 1, {"job.0.0.0", 1});
    REQUIRE(target.acknowledged == 1);
    REQUIRE(enqueue(rack, make_start("job.0.0.0", make_terms())) ==
            enqueue_result::known);
}

// An end from before a restart of the target may be recorded late, when an end
// of the new boot has the same number. Acknowledging that one too early
// would let the target drop it before it is recorded.
TEST_CASE("an end is acknowledged only when that end is recorded", "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    (void)apply_poll(rack, target,
                     make_answer({}, {{1, "job.0.0.0", 1, "done", ""}}),
                     start_time, start_time);
    (void)apply_poll(rack, target,
                     make_answer({}, {{1, "job.0.0.1", 1, "done", ""}}, 2),
                     start_time, start_time);
    acknowledge(target, 1, {"job.0.0.0", 1});
    REQUIRE(target.acknowledged == 0);
    acknowledge(target, 1, {"job.0.0.1", 1});
    REQUIRE(target.acknowledged == 1);
}

TEST_CASE("a repeated start waits for the record of its job", "[rack]")
{
    rack_state rack = make_rack(1);
    queued_start item = make_start("job.0.0.0", make_terms());
    item.is_repeated = true;
    enqueue(rack, item);
    REQUIRE(place_starts(rack, no_interference, start_time, 0).empty());
    SECTION("the start is in the record")
    {
        REQUIRE(resolve_repeated(rack, {"job.0.0.0", 1}, true).empty());
        REQUIRE(place_starts(rack, no_interference, start_time, 0).size() == 1);
    }
    // The run may have ended on a target that is reached later. If it were
    // started again under the same number, that end would be taken for the end
    // of the repeated start, and the task would run a third time.
    SECTION("the start is in the record, but a target was not reached")
    {
        rack.targets.begin()->second.is_inherited = true;
        rack.targets.begin()->second.is_reached = false;
        const std::vector<run_event> events =
            resolve_repeated(rack, {"job.0.0.0", 1}, true);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
        REQUIRE(rack.queue.empty());
    }
    SECTION("the start is no longer in the record")
    {
        REQUIRE(resolve_repeated(rack, {"job.0.0.0", 1}, false).empty());
        REQUIRE(rack.queue.empty());
    }
}

// An owner that the store has refused must not report runs as lost: the new
// owner may have renewed their leases.
TEST_CASE("leases expire only under confirmed ownership", "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    update_clock(target, 5'000, limits, start_time);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    extend_lease(target, limits, start_time);
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken,
                start_time);
    REQUIRE(target.expires_at >= start_time + milliseconds(6'500));
    const time_point later = target.expires_at + milliseconds(2'000);
    REQUIRE(expire_leases(rack, later).empty());
    rack.verified_at = target.expires_at + milliseconds(1);
    SECTION("a fenced owner does not end the run")
    {
        rack.is_fenced = true;
        REQUIRE(expire_leases(rack, later).empty());
        REQUIRE(place_starts(rack, no_interference, later, 0).empty());
    }
    SECTION("a confirmed owner reports the run as lost")
    {
        const std::vector<run_event> events = expire_leases(rack, later);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
        // The task is away since its target has answered last.
        REQUIRE(events.front().silent == later - start_time);
    }
}

// The platform removes the entry of a target that is silent for some seconds.
// Guards against work that is started again although it goes on there.
TEST_CASE("a target that leaves the list keeps its runs while it answers",
          "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    update_clock(target, 5'000, limits, start_time);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    REQUIRE(place_starts(rack, no_interference, start_time, 0).size() == 1);
    REQUIRE(apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken,
                        start_time)
                .size() == 1);
    target.is_listed = false;
    time_point now = start_time;
    for (int n = 0; n < 20; ++n)
    {
        extend_lease(target, limits, now);
        now += milliseconds(3'000);
        rack.verified_at = now;
        REQUIRE(expire_leases(rack, now).empty());
        REQUIRE(rack.targets.count("t0") == 1);
        update_clock(target, 5'000 + elapsed_ms(start_time, now), limits, now);
        REQUIRE(apply_poll(rack, target,
                           make_answer({{"job.0.0.0", 1, "", 100, 0}}), now,
                           now)
                    .empty());
    }
    CHECK(target.runs.count({"job.0.0.0", 1}) == 1);
}

// The durable list of a rack names targets that have left since. Guards against
// their use after a restart of the owner.
TEST_CASE("a recorded target that is not listed gets no starts", "[rack]")
{
    rack_state rack = make_rack(1);
    rack.targets["t0"].is_listed = false;
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    CHECK(place_starts(rack, no_interference, start_time, 0).empty());
}

// A target's clock may be 2% slow, so a lease of 6 s lasts up to 6.12 s on the
// clock of the owner.
TEST_CASE("the expiry of a lease allows for a slow clock", "[rack]")
{
    rack_target target;
    update_clock(target, 100'000, limits, start_time);
    extend_lease(target, limits, start_time);
    REQUIRE(target.expires_at >=
            start_time + milliseconds(6'122) + limits.expiry_slack);
}

// If the longest lease (10 s) is taken for a normal one (6 s), a run is started
// again elsewhere while it is still running.
TEST_CASE("a restarted target may grant the longest lease to earlier orders",
          "[rack]")
{
    const milliseconds longest(10'000 * 100 / 98);
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    update_clock(target, 900'000, limits, start_time);
    extend_lease(target, limits, start_time);
    (void)apply_poll(rack, target, make_answer({}, {}, 2), start_time,
                     start_time);
    update_clock(target, 5'000, limits, start_time);
    // The last order for the earlier boot may be carried out 12 s later.
    const time_point latest = start_time + milliseconds(12'000) + longest;
    REQUIRE(target.expires_at >= latest);
    extend_lease(target, limits, start_time);
    REQUIRE(target.expires_at >= latest);
    // Later leases count as usual.
    const time_point later = start_time + milliseconds(20'000);
    update_clock(target, 25'000, limits, later);
    extend_lease(target, limits, later);
    REQUIRE(target.expires_at < later + milliseconds(7'000));
}

// The target may hold a lease of the earlier owner, and may become unreachable
// before it gets the first lease of this owner.
TEST_CASE("a newly reached target may hold the longest lease", "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    target.is_reached = false;
    target.started_ms = 0;
    (void)apply_poll(rack, target, make_answer({{"job.0.0.0", 1, "", 0, 0}}),
                     start_time, start_time);
    update_clock(target, 5'000, limits, start_time);
    rack.verified_at = start_time + milliseconds(10'000);
    REQUIRE(expire_leases(rack, rack.verified_at).empty());
    rack.verified_at = start_time + milliseconds(10'800);
    REQUIRE(expire_leases(rack, rack.verified_at).size() == 1);
}

// An earlier owner may have renewed leases of a target without knowing that the
// target had restarted, so that it granted the longest lease.
TEST_CASE("the maximum lease duration covers the longest lease on a slow clock",
          "[rack]")
{
    REQUIRE(max_lease_duration(limits) >=
            milliseconds(10'000 * 100 / 98) + limits.expiry_slack);
}

TEST_CASE("a restarted target has lost its runs but not starts in transit",
          "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    enqueue(rack, make_start("job.0.0.1", make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken,
                start_time);
    const time_point later = start_time + milliseconds(1'500);
    const std::vector<run_event> events =
        apply_poll(rack, target, make_answer({}, {}, 2), later, later);
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().task == "job.0.0.0");
    REQUIRE(events.front().how == run_end::lost);
    REQUIRE(target.runs.size() == 1);
}

// A start may reach a restarted target before the first poll. Its run must not
// be reported as lost while it runs there.
TEST_CASE("a run started after a restart is not lost with earlier runs",
          "[rack]")
{
    const run_id id{"job.0.0.0", 1};
    rack_state rack = make_rack(1);
    enqueue(rack, make_start(id.first, make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, id, order_verdict::taken, start_time);
    const time_point later = start_time + milliseconds(1'500);
    SECTION("the run is listed")
    {
        REQUIRE(apply_poll(rack, target,
                           make_answer({{id.first, 1, "", 100, 0}}, {}, 2),
                           later, later)
                    .empty());
        REQUIRE(target.runs.at(id).terms != nullptr);
    }
    SECTION("the run has ended")
    {
        const std::vector<run_event> events = apply_poll(
            rack, target, make_answer({}, {{1, id.first, 1, "done", ""}}, 2),
            later, later);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::done);
    }
    SECTION("the list was made before the start was confirmed")
    {
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), start_time,
                           start_time)
                    .empty());
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), later, later)
                    .size() == 1);
    }
}

// A copy of a start that got no reply may arrive up to 12 s later, after a
// restart of the target, and would run a task that was reported as lost or
// done.
TEST_CASE("a delayed copy of a start is ruled out after a restart", "[rack]")
{
    const run_id id{"job.0.0.0", 1};
    rack_state rack = make_rack(1);
    enqueue(rack, make_start(id.first, make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets["t0"];
    add_unanswered_start(target, id, start_time);
    apply_start(rack, target, id, order_verdict::taken, start_time);
    SECTION("the run had not ended")
    {
        const time_point later = start_time + milliseconds(GENERATE(0, 3'000));
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), later, later)
                    .empty());
        REQUIRE(target.runs.at(id).is_stopping);
        REQUIRE_FALSE(target.runs.at(id).is_confirmed);
        target.runs.at(id).is_confirmed = true; // the stop is confirmed
        target.runs.at(id).confirmed_at = later;
        const time_point last = later + milliseconds(1'500);
        const std::vector<run_event> events =
            apply_poll(rack, target, make_answer({}, {}, 2), last, last);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
    }
    SECTION("the run had ended")
    {
        const time_point later = start_time + milliseconds(3'000);
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
    SECTION("no copy can arrive any more")
    {
        const time_point last = start_time + milliseconds(12'001);
        REQUIRE(apply_poll(rack, target, make_answer({}, {}, 2), last, last)
                    .size() == 1);
        REQUIRE(target.runs.empty());
    }
}

TEST_CASE("a confirmed run that a later list lacks is lost", "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets["t0"];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken,
                start_time);
    // The list may be older than the start.
    REQUIRE(apply_poll(rack, target, make_answer({}), start_time, start_time)
                .empty());
    const time_point later = start_time + milliseconds(1'500);
    REQUIRE(apply_poll(rack, target, make_answer({}), later, later).size() ==
            1);
}

TEST_CASE("an unknown running task is reported once and blocks its target",
          "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    const poll_answer answer = make_answer({{"job.0.0.9", 4, "", 10, 0}});
    const std::vector<run_event> events =
        apply_poll(rack, target, answer, start_time, start_time);
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().what == run_event::kind::seen);
    REQUIRE(apply_poll(rack, target, answer, start_time, start_time).empty());
    REQUIRE_FALSE(accepts_starts(target, start_time));
}

// Guards against two runs of a task: the new boot may carry out a start whose
// run ends here with the leases of the former one.
TEST_CASE("a target whose restart is listed gets no starts before it answers",
          "[rack]")
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    REQUIRE(accepts_starts(target, start_time));
    target.listed_restart_at = start_time;
    CHECK_FALSE(accepts_starts(target, start_time + milliseconds(1)));
    const time_point later = start_time + milliseconds(2);
    REQUIRE(apply_poll(rack, target, make_answer({}), later, later).empty());
    CHECK(accepts_starts(target, later));
}

TEST_CASE("a stop of a run that may be on an unreached target is not answered",
          "[rack]")
{
    rack_state rack = make_rack(2);
    rack.targets["t1"].is_reached = false;
    std::string target;
    REQUIRE(withdraw(rack, {"job.0.0.0", 1}, target).empty());
    REQUIRE(target.empty());
    REQUIRE(report_settled_stops(rack, start_time).empty());
    // The run is listed by that target and has to be stopped.
    rack_target& late = rack.targets["t1"];
    apply_poll(rack, late, make_answer({{"job.0.0.0", 1, "", 0, 0}}),
               start_time, start_time);
    REQUIRE(late.runs.at({"job.0.0.0", 1}).is_stopping);
    CHECK(late.runs.at({"job.0.0.0", 1}).stop_asked_at == start_time);
    REQUIRE(rack.stops.empty());
}

TEST_CASE("a stop of a run that never started is answered when all runs are "
          "known",
          "[rack]")
{
    rack_state rack = make_rack(1);
    std::string target;
    REQUIRE(withdraw(rack, {"job.0.0.0", 1}, target).empty());
    REQUIRE(report_settled_stops(rack, start_time).size() == 1);
    REQUIRE(enqueue(rack, make_start("job.0.0.0", make_terms())) ==
            enqueue_result::known);
}

// Guards against tasks of cancelled jobs that start once the rack is known.
TEST_CASE("a start that arrives after its stop is not placed", "[rack]")
{
    rack_state rack = make_rack(2);
    rack.targets["t1"].is_reached = false;
    rack.targets["t1"].is_inherited = true;
    std::string target;
    REQUIRE(withdraw(rack, {"job.0.0.0", 2}, target).empty());
    queued_start start = make_start("job.0.0.0", make_terms());
    start.run = 2;
    CHECK(enqueue(rack, start) == enqueue_result::known);
    start.run = 1;
    CHECK(enqueue(rack, start) == enqueue_result::known);
    rack.targets["t1"].is_reached = true;
    CHECK(report_settled_stops(rack, start_time).size() == 1);
    CHECK(place_starts(rack, no_interference, start_time, 0).empty());
    start.run = 3;
    CHECK(enqueue(rack, start) == enqueue_result::queued);
}

TEST_CASE("a start that a target refuses goes to another target", "[rack]")
{
    rack_state rack = make_rack(2);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    const std::vector<placement> first =
        place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets[first.front().target];
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::unhealthy,
                start_time);
    const std::vector<placement> second =
        place_starts(rack, no_interference, start_time, 0);
    REQUIRE(second.size() == 1);
    REQUIRE(second.front().target != first.front().target);
}

// If the reply to a start is lost in a one-way network cut and the task runs
// and ends, the target answers the repeated start as old. The task must not be
// started again elsewhere.
TEST_CASE("the end of a run that a target calls old is taken from its list",
          "[rack]")
{
    rack_state rack = make_rack(1);
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_interference, start_time, 0);
    rack_target& target = rack.targets["t0"];
    REQUIRE(apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::old_run,
                        start_time)
                .empty());
    SECTION("the run is done")
    {
        const std::vector<run_event> events = apply_poll(
            rack, target, make_answer({}, {{1, "job.0.0.0", 1, "done", ""}}),
            start_time, start_time);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::done);
    }
    SECTION("a stop ruled the run out")
    {
        const time_point later = start_time + milliseconds(1'500);
        const std::vector<run_event> events =
            apply_poll(rack, target, make_answer({}), later, later);
        REQUIRE(events.size() == 1);
        REQUIRE(events.front().how == run_end::lost);
    }
}

TEST_CASE("waiting starts are handed back only as far as they fit elsewhere",
          "[rack]")
{
    rack_state rack = make_rack(1);
    for (int n = 0; n < 20; ++n)
    {
        enqueue(rack,
                make_start("job.0.0." + std::to_string(n), make_terms(4'000)));
    }
    int asked = 0;
    const auto three_places = [&asked](const step_terms&, room_kind)
    {
        ++asked;
        return std::size_t{3};
    };
    const milliseconds min_wait(700);
    REQUIRE(hand_back(rack, min_wait, three_places, start_time).empty());
    const time_point later = start_time + milliseconds(800);
    const auto no_places = [](const step_terms&, room_kind)
    {
        return std::size_t{0};
    };
    REQUIRE(hand_back(rack, min_wait, no_places, later).empty());
    // A check counts also if nothing fits: the reports change only after a
    // report period, so the next check waits for `min_wait`.
    const time_point next = later + min_wait;
    REQUIRE(hand_back(rack, min_wait, three_places, next).size() == 3);
    REQUIRE(rack.queue.size() == 17);
    // Counting the places iterates over all targets of the fleet.
    REQUIRE(asked == 1);
    // Load reports do not include the three starts yet.
    const time_point too_early = next + min_wait - milliseconds(1);
    REQUIRE(hand_back(rack, min_wait, three_places, too_early).empty());
    REQUIRE(hand_back(rack, min_wait, three_places, next + min_wait).size() ==
            3);
}

// Part of a gang cannot start elsewhere while the rest waits in this rack.
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
    const auto one_place = [](const step_terms&, room_kind)
    {
        return std::size_t{1};
    };
    const time_point later = start_time + milliseconds(800);
    REQUIRE(hand_back(rack, milliseconds(700), one_place, later).size() == 6);
}

// Targets that serve many images can take few backfill tasks, since most
// harm one of the images. Even on a quiet day this makes half of the batch work
// late.
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
    REQUIRE(place_starts(rack, no_interference, start_time, 0).size() == 6);
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

// Guards against waiting 10 s for the leases of a target that has already
// restarted at the same address, as after a loss of all hosts.
TEST_CASE("a restarted target at the same address ends its earlier runs",
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
    REQUIRE_FALSE(knows_all_runs(rack, start_time));
    const std::vector<run_event> events =
        end_runs_of_former_boot(rack, target, start_time);
    REQUIRE(events.size() == 1);
    REQUIRE(events.front().how == run_end::lost);
    REQUIRE(knows_all_runs(rack, start_time));
    REQUIRE(expire_leases(rack, start_time).empty());
    REQUIRE(rack.targets.count("t0") == 0);
}

TEST_CASE("a fenced owner ends no runs after a restart of a target", "[rack]")
{
    rack_state rack = make_rack(1);
    rack.is_fenced = true;
    rack_target& target = rack.targets["t0"];
    placed_run run;
    run.task = "job.0.0.0";
    run.run = 1;
    target.runs[{"job.0.0.0", 1}] = run;
    REQUIRE(end_runs_of_former_boot(rack, target, start_time).empty());
    REQUIRE(target.runs.size() == 1);
}

// The steady clock does not advance while a host is suspended. By that clock, a
// resumed host would grant leases after its racks had been taken over.
TEST_CASE("the right to grant leases ends during a suspension", "[rack]")
{
    rack_state rack;
    const lease_limits limits;
    const clock_reading read_at{start_time,
                                boot_time_point(std::chrono::seconds(50))};
    confirm_ownership(rack, read_at, limits);
    REQUIRE(may_grant(rack, read_at.boot));
    REQUIRE_FALSE(may_grant(rack, read_at.boot + limits.authority));
    confirm_ownership(rack, {start_time, read_at.boot + milliseconds(1'000)},
                      limits);
    REQUIRE(may_grant(rack, read_at.boot + limits.authority));
    rack.is_fenced = true;
    REQUIRE_FALSE(may_grant(rack, read_at.boot));
}

// Tasks must keep running in a store outage that lasts longer than a lease.
TEST_CASE("an owner may grant leases while no host reaches the store", "[rack]")
{
    rack_state rack;
    const lease_limits limits;
    boot_time_point now{std::chrono::seconds(50)};
    confirm_ownership(rack, {start_time, now}, limits);
    for (int n = 0; n < 60; ++n)
    {
        now += milliseconds(500);
        extend_authority(rack, now, limits);
        REQUIRE(may_grant(rack, now));
    }
    // After the right has ended, another host may have claimed the rack.
    now += limits.authority;
    extend_authority(rack, now, limits);
    REQUIRE_FALSE(may_grant(rack, now));
}

// A restarted target may reply to a start before its first poll. The lease is
// then recorded on the clock of the earlier boot, here an hour ahead.
TEST_CASE("no lease counts for longer than a target grants", "[rack]")
{
    rack_target target;
    const lease_limits limits;
    target.lease_until_ms = 3'600'000;
    update_clock(target, 2'000, limits, start_time);
    REQUIRE(target.expires_at <= start_time + max_lease_duration(limits));
}

// A busy host may have the latest answer of a target for seconds when it sends
// the next lease. Guards against runs that count as lost, and are started again
// elsewhere, while that lease lasts.
TEST_CASE("a lease counts from when it was sent, not from the latest answer",
          "[rack]")
{
    const milliseconds answer_age =
        GENERATE(milliseconds(1'500), milliseconds(6'500));
    lease_limits short_limits;
    short_limits.longest = short_limits.lease;
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];
    target.former_leases_end = start_time;
    update_clock(target, 5'000, short_limits, start_time);
    const time_point sent_at = start_time + answer_age;
    enqueue(rack, make_start("job.0.0.0", make_terms()));
    place_starts(rack, no_interference, sent_at, 0);
    extend_lease(target, short_limits, sent_at);
    apply_start(rack, target, {"job.0.0.0", 1}, order_verdict::taken, sent_at);
    const time_point end = sent_at + short_limits.lease;
    CHECK(target.expires_at >= end);
    CHECK(target.expires_at <= sent_at + max_lease_duration(short_limits));
    rack.verified_at = end;
    CHECK(expire_leases(rack, end).empty());
}

// Long-running tasks are last in the queue. If short ones used up the quota, a
// long-running one could stay in the queue for 26 s.
TEST_CASE("short tasks do not keep a long-running one from being handed back",
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
        [](const step_terms& terms, room_kind)
        { return static_cast<std::size_t>(terms.is_long_running ? 1 : 2); },
        start_time + milliseconds(800));
    REQUIRE(events.size() == 3);
    REQUIRE(events.back().task == "job.0.1.0");
}
