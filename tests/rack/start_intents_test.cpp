#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/rack/start_intents.hpp"

#include <catch2/catch.hpp>

using namespace egretspindle;

namespace
{

const time_point now = steady_clock::now();

std::shared_ptr<const step_terms> make_terms(bool is_long_running)
{
    step_terms terms;
    terms.step = "job.0.0";
    terms.is_long_running = is_long_running;
    return std::make_shared<const step_terms>(terms);
}

queued_start make_start(const std::string& task, bool is_long_running = true)
{
    queued_start start;
    start.task = task;
    start.run = 1;
    start.terms = make_terms(is_long_running);
    start.is_repeated = true;
    return start;
}

void add_target(rack_state& rack, const std::string& id, bool is_reached)
{
    rack_target& target = rack.targets[id];
    target.entry.id = id;
    target.is_inherited = true;
    target.is_reached = is_reached;
}

placed_run& add_run(rack_state& rack, const std::string& target,
                    const std::string& task, bool is_long_running)
{
    placed_run& run = rack.targets[target].runs[{task, 1}];
    run.task = task;
    run.run = 1;
    run.terms = make_terms(is_long_running);
    return run;
}

// Rack that was taken over, with a target that answers and one that does not.
rack_state make_rack()
{
    rack_state rack;
    rack.name = "r1";
    rack.unknown_until = now + milliseconds(14'700);
    add_target(rack, "t1", true);
    add_target(rack, "t2", false);
    return rack;
}

} // namespace

// Guards against a long-running task that is away for a whole takeover (14.7 s)
// although its start never reached a target.
TEST_CASE("a repeated start waits only for the target in its intent", "[rack]")
{
    rack_state rack = make_rack();
    REQUIRE_FALSE(is_run_known(rack, make_start("unsent"), now));
    rack.inherited_intents =
        start_intents{{{"at1", 1}, {"t1"}}, {{"at2", 1}, {"t2"}}};
    CHECK(is_run_known(rack, make_start("unsent"), now));
    CHECK(is_run_known(rack, make_start("at1"), now));
    CHECK_FALSE(is_run_known(rack, make_start("at2"), now));
    CHECK_FALSE(is_run_known(rack, make_start("short", false), now));
    CHECK_FALSE(may_have_unseen_end(rack, make_start("unsent")));
    CHECK_FALSE(may_have_unseen_end(rack, make_start("at1")));
    CHECK(may_have_unseen_end(rack, make_start("at2")));
    CHECK(may_have_unseen_end(rack, make_start("short", false)));
    rack.targets["t2"].is_reached = true;
    CHECK(is_run_known(rack, make_start("at2"), now));
}

// Guards against a second run beside one on a target that has been removed
// before it was reached.
TEST_CASE("a run on a removed target counts as lost", "[rack]")
{
    rack_state rack = make_rack();
    rack.inherited_intents = start_intents{{{"at2", 1}, {"t2"}}};
    rack.targets.erase("t2");
    rack.queue.push_back(make_start("at2"));
    const std::vector<run_event> events =
        resolve_repeated(rack, {"at2", 1}, true);
    REQUIRE(events.size() == 1);
    CHECK(events.front().how == run_end::lost);
    CHECK(rack.queue.empty());
}

// Guards against a record that a later owner cannot rely on: each run that may
// be on a target must be in it until its end is recorded.
TEST_CASE("a record has all long-running runs that may be on a target",
          "[rack]")
{
    rack_state rack = make_rack();
    rack.inherited_intents = start_intents{
        {{"gone", 1}, {"t1"}}, {{"unseen", 1}, {"t2"}}, {{"ended", 1}, {"t1"}}};
    add_run(rack, "t1", "placed", true);
    add_run(rack, "t1", "short", false);
    add_run(rack, "t1", "listed", true).terms = nullptr;
    rack.targets["t1"].ends[3] = {"ended", 1, false};
    rack.targets["t1"].ends[4] = {"short end", 1, false};
    const std::map<run_id, std::string> expected = {{{"placed", 1}, "t1"},
                                                    {{"listed", 1}, "t1"},
                                                    {{"ended", 1}, "t1"},
                                                    {{"unseen", 1}, "t2"}};
    std::map<run_id, std::string> found;
    for (const auto& [id, intent] : collect_intents(rack))
    {
        found[id] = intent.target;
    }
    CHECK(found == expected);
    rack.targets["t1"].ends.clear();
    CHECK(collect_intents(rack).count({"ended", 1}) == 0);
    rack.recorded_intents = {{{"late", 1}, {"t1"}}};
    rack.targets["t1"].unanswered_starts[{"late", 1}] = now;
    CHECK(collect_intents(rack).count({"late", 1}) == 1);
}

// Guards against a start that is sent although the record names another target
// for its run.
TEST_CASE("a start may be sent once its target is recorded", "[rack]")
{
    rack_state rack = make_rack();
    add_run(rack, "t1", "a", true).awaits_intent = true;
    REQUIRE(has_unrecorded_intents(rack));
    CHECK(mark_intents_recorded(rack, {{{"a", 1}, {"t2"}}}).empty());
    REQUIRE(has_unrecorded_intents(rack));
    const std::vector<recorded_start> starts =
        mark_intents_recorded(rack, {{{"a", 1}, {"t1"}}});
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().target == "t1");
    CHECK_FALSE(has_unrecorded_intents(rack));
}

// A confirmed run has at most the lease of a poll; one that is not confirmed
// may get the longest lease from a restarted target. Guards against a
// long-running task that is away for the longer time although its target is
// gone, and against a second run beside one whose lease is still valid.
TEST_CASE("a confirmed run on a silent target ends with its lease", "[rack]")
{
    rack_state rack = make_rack();
    rack.confirmed_unknown_until = now + milliseconds(6'600);
    rack.inherited_intents = start_intents{{{"confirmed", 1}, {"t2", true}},
                                           {{"sent", 1}, {"t2", false}}};
    const auto is_known = [&rack](const std::string& task, milliseconds after)
    {
        rack.verified_at = now + after;
        return is_run_known(rack, make_start(task), now + after);
    };
    CHECK_FALSE(is_known("confirmed", milliseconds(6'500)));
    CHECK(is_known("confirmed", milliseconds(6'600)));
    CHECK_FALSE(is_known("sent", milliseconds(14'600)));
    CHECK(is_known("sent", milliseconds(14'700)));
    // A newer owner may have renewed the lease.
    rack.verified_at = now;
    CHECK_FALSE(
        is_run_known(rack, make_start("confirmed"), now + milliseconds(6'600)));
    CHECK(may_have_unseen_end(rack, make_start("confirmed")));
}

// Guards against a confirmation that holds for only one of two copies of a
// start: the other may reach the target after its restart.
TEST_CASE("a start with an unanswered copy is not recorded as confirmed",
          "[rack]")
{
    rack_state rack = make_rack();
    placed_run& run = add_run(rack, "t1", "a", true);
    run.is_confirmed = true;
    run.confirmed_at = now;
    rack.recorded_intents = {{{"a", 1}, {"t1"}}};
    CHECK(collect_intents(rack).at({"a", 1}).is_confirmed);
    CHECK(has_unrecorded_confirmations(rack, milliseconds(0), now));
    CHECK_FALSE(has_unrecorded_confirmations(rack, milliseconds(1), now));
    rack.targets["t1"].unanswered_starts[{"a", 1}] = now;
    CHECK_FALSE(collect_intents(rack).at({"a", 1}).is_confirmed);
    CHECK_FALSE(has_unrecorded_confirmations(rack, milliseconds(0), now));
}
