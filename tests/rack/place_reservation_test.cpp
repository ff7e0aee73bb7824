#include "egretspindle/rack/colocation_cache.hpp"
#include "egretspindle/rack/place_reservation.hpp"
#include "egretspindle/rack/queue_summary.hpp"
#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/rack/rack_load_report.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
const interference_model no_interference;
constexpr milliseconds step_time{50};

rack_target make_target(const std::string& id)
{
    rack_target target;
    target.entry.id = id;
    target.entry.service = "svc";
    target.entry.capacity = {64'000, 250'000, 0};
    target.is_recorded = true;
    target.is_reached = true;
    return target;
}

rack_state make_rack(int targets)
{
    rack_state rack;
    rack.name = "r1";
    for (int n = 0; n < targets; ++n)
    {
        const std::string id = "t" + std::to_string(n);
        rack.targets[id] = make_target(id);
    }
    return rack;
}

step_terms make_terms(const std::string& step, std::int64_t cpu_milli)
{
    step_terms terms;
    terms.step = step;
    terms.service = "svc";
    terms.size = {cpu_milli, 1'000, 0};
    return terms;
}

step_terms make_long_running(const std::string& step, std::int64_t cpu_milli)
{
    step_terms terms = make_terms(step, cpu_milli);
    terms.is_long_running = true;
    return terms;
}

queued_start make_start(const std::string& task,
                        const std::shared_ptr<const step_terms>& terms,
                        time_point queued_at)
{
    queued_start item;
    item.task = task;
    item.run = 1;
    item.terms = terms;
    item.queued_at = queued_at;
    return item;
}

void add_run(rack_target& target, const std::string& task,
             const step_terms& terms)
{
    placed_run run;
    run.task = task;
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_confirmed = true;
    target.runs[{task, 1}] = run;
}

/// Rack whose queue always holds more short tasks than fit.
struct short_task_stream
{
    rack_state rack;
    time_point now = start_time;
    std::minstd_rand random;
    std::shared_ptr<const step_terms> terms =
        std::make_shared<const step_terms>(make_terms("short.0.0", 8'000));
    std::multimap<time_point, std::pair<std::string, run_id>> ends;
    int submitted = 0;
};

// Advances the time by a step, in which short tasks end and others are
// submitted.
//
// \returns the placed starts of other tasks
std::vector<placement> advance(short_task_stream& stream)
{
    constexpr int backlog = 16;
    std::uniform_int_distribution<int> any_ms(600, 1'800);
    stream.now += step_time;
    while (!stream.ends.empty() && stream.ends.begin()->first <= stream.now)
    {
        const auto& [target, id] = stream.ends.begin()->second;
        stream.rack.targets.at(target).runs.erase(id);
        stream.ends.erase(stream.ends.begin());
    }
    const auto waiting = std::count_if(
        stream.rack.queue.begin(), stream.rack.queue.end(),
        [](const queued_start& item) { return !item.terms->is_long_running; });
    for (auto n = waiting; n < backlog; ++n)
    {
        const std::string task =
            "short.0.0." + std::to_string(stream.submitted++);
        enqueue(stream.rack, make_start(task, stream.terms, stream.now));
    }
    std::vector<placement> others;
    for (const placement& item :
         place_starts(stream.rack, no_interference, stream.now, 0))
    {
        if (item.start.terms->is_long_running)
        {
            others.push_back(item);
            continue;
        }
        stream.ends.insert({stream.now + milliseconds(any_ms(stream.random)),
                            {item.target, {item.start.task, item.start.run}}});
    }
    return others;
}

std::size_t place(rack_state& rack, time_point now)
{
    return place_starts(rack, no_interference, now, 0).size();
}

// Queues a start that has waited for 2 s at `start_time`.
void add_waiting(rack_state& rack, const std::string& task,
                 const step_terms& terms)
{
    enqueue(rack, make_start(task, std::make_shared<const step_terms>(terms),
                             start_time - milliseconds(2'000)));
}

std::vector<std::string> reserved_targets(const rack_state& rack)
{
    std::vector<std::string> names;
    for (const auto& [id, target] : rack.targets)
    {
        if (target.reservation)
        {
            names.push_back(id);
        }
    }
    return names;
}

step_terms make_backfill(const std::string& step, std::int64_t memory_mb)
{
    step_terms terms = make_terms(step, 1'000);
    terms.size.memory_mb = memory_mb;
    terms.uses_idle_cpu = true;
    terms.image = "fill";
    terms.priority = 1;
    return terms;
}

// Makes a rack with a full target and a reservation for a long-running start
// that lacks 8 cores.
rack_state make_reserved_rack()
{
    rack_state rack = make_rack(1);
    add_run(rack.targets["t0"], "kept.0", make_long_running("kept", 32'000));
    for (int n = 0; n < 4; ++n)
    {
        add_run(rack.targets["t0"], "short." + std::to_string(n),
                make_terms("early", 8'000));
    }
    add_waiting(rack, "long.0.0.0", make_long_running("long.0.0", 16'000));
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t0"});
    return rack;
}

// Makes a rack with two targets full of short tasks, the first of which is
// reserved for a long-running start of 16 cores.
rack_state make_two_targets()
{
    rack_state rack = make_rack(2);
    add_run(rack.targets["t0"], "short.0", make_terms("early", 64'000));
    add_run(rack.targets["t1"], "short.1", make_terms("early", 64'000));
    add_waiting(rack, "long.0.0.0", make_long_running("long.0.0", 16'000));
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t0"});
    return rack;
}

/// Backfill tasks on a target where a long-running start lacks memory.
struct memory_case
{
    rack_state rack = make_rack(1);
    rack_target& target = rack.targets["t0"];

    // Reserves the target for a start that needs all memory but `spare_mb`.
    std::vector<run_id> evict(std::int64_t spare_mb,
                              std::int64_t cpu_milli = 16'000)
    {
        step_terms terms = make_long_running("long.0.0", cpu_milli);
        terms.size.memory_mb = target.entry.capacity.memory_mb - spare_mb;
        add_waiting(rack, "long.0.0.0", terms);
        static_cast<void>(place(rack, start_time));
        return decide_reservation_evictions(rack, target);
    }
};

} // namespace

// Bound stated by the users: 6 s after its last run, if there is capacity.
TEST_CASE("a long-running task gets its place back beside a stream of short "
          "tasks",
          "[rack]")
{
    const unsigned seed = GENERATE(1u, 2u, 3u, 4u, 5u);
    const std::int64_t cpu_milli = GENERATE(13'000, 20'000);
    CAPTURE(seed, cpu_milli);
    short_task_stream stream;
    stream.random.seed(seed);
    stream.rack = make_rack(4);
    for (auto& [id, target] : stream.rack.targets)
    {
        add_run(target, "kept." + id, make_long_running("kept", 24'000));
    }
    for (int n = 0; n < 40; ++n)
    {
        static_cast<void>(advance(stream));
    }
    const time_point lost_at = stream.now;
    const auto terms = std::make_shared<const step_terms>(
        make_long_running("long.0.0", cpu_milli));
    enqueue(stream.rack, make_start("long.0.0.0", terms, lost_at));
    bool is_placed = false;
    while (!is_placed && stream.now - lost_at < milliseconds(6'000))
    {
        is_placed = !advance(stream).empty();
    }
    REQUIRE(is_placed);
}

// Otherwise short and backfill tasks would take the processors that become free
// before there are enough of them.
TEST_CASE("a target that is reserved takes no short and no backfill starts",
          "[rack]")
{
    rack_state rack = make_reserved_rack();
    rack.targets["t0"].runs.erase({"short.0", 1});
    add_waiting(rack, "short.0.0.0", make_terms("short.0.0", 8'000));
    add_waiting(rack, "fill.0.0.0", make_backfill("fill.0.0", 100));
    step_terms service = make_backfill("service.0.0", 100);
    service.is_long_running = true;
    add_waiting(rack, "service.0.0.0", service);
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(summarize_queue(rack, no_interference, start_time).held == 3);
    rack.targets["t0"].runs.erase({"short.1", 1});
    const std::vector<placement> placed =
        place_starts(rack, no_interference, start_time, 0);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "long.0.0.0");
}

// An urgent start must not wait for a long-running one with a worse priority.
TEST_CASE("a reserved target takes starts with a better priority", "[rack]")
{
    const bool is_long_running = GENERATE(false, true);
    rack_state rack = make_rack(1);
    for (int n = 0; n < 8; ++n)
    {
        add_run(rack.targets["t0"], "short." + std::to_string(n),
                make_terms("early", 8'000));
    }
    step_terms waiting = make_long_running("long.0.0", 56'000);
    waiting.priority = 1;
    add_waiting(rack, "long.0.0.0", waiting);
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack).size() == 1);
    rack.targets["t0"].runs.erase({"short.0", 1});
    step_terms urgent = make_terms("urgent.0.0", 8'000);
    urgent.is_long_running = is_long_running;
    add_waiting(rack, "urgent.0.0.0", urgent);
    REQUIRE(place(rack, start_time + milliseconds(50)) == 1);
}

// The cache of refusals has to notice the end of a reservation.
TEST_CASE("refused starts are considered when a reservation ends", "[rack]")
{
    rack_state rack = make_reserved_rack();
    rack.targets["t0"].runs.erase({"short.0", 1});
    add_waiting(rack, "short.0.0.0", make_terms("short.0.0", 8'000));
    REQUIRE(place(rack, start_time) == 0);
    std::string target;
    static_cast<void>(withdraw(rack, {"long.0.0.0", 1}, target));
    REQUIRE(place(rack, start_time) == 1);
    REQUIRE(reserved_targets(rack).empty());
}

// A long-running task that leaves the reserved place free does no harm there;
// one that does not would take the place for good.
TEST_CASE("a reserved target takes long-running starts that leave the place",
          "[rack]")
{
    const bool leaves_place = GENERATE(true, false);
    rack_state rack = make_reserved_rack();
    rack.targets["t0"].runs.erase({"short.0", 1});
    rack.targets["t0"].runs.erase({"short.1", 1});
    rack.queue.front().queued_at = start_time;
    rack.targets["t0"].entry.capacity.cpu_milli = 60'000;
    add_waiting(rack, "other.0.0.0",
                make_long_running("other.0.0", leaves_place ? 12'000 : 13'000));
    rack.queue.front().queued_at = start_time - milliseconds(2'000);
    REQUIRE(place(rack, start_time) == (leaves_place ? 1 : 0));
}

// A reservation on a target that cannot take the task would only keep short
// tasks away.
TEST_CASE("only targets that can take the task are reserved", "[rack]")
{
    rack_state rack = make_rack(6);
    for (auto& [id, target] : rack.targets)
    {
        target.entry.labels = {"ssd"};
        for (int n = 0; n < 8; ++n)
        {
            add_run(target, "short." + std::to_string(n),
                    make_terms("early", 8'000));
        }
    }
    step_terms terms = make_long_running("long.0.0", 16'000);
    terms.required_label = "ssd";
    terms.max_per_target = 1;
    rack.targets["t0"].entry.labels.clear();
    rack.targets["t1"].entry.is_draining = true;
    rack.targets["t2"].avoid_until = start_time + milliseconds(300);
    add_run(rack.targets["t3"], "long.0.0.1", terms);
    rack.targets["t4"].entry.service = "other";
    add_waiting(rack, "long.0.0.0", terms);
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t5"});
}

TEST_CASE("the target that needs the smallest share of its short tasks to end "
          "is reserved",
          "[rack]")
{
    rack_state rack = make_rack(3);
    add_run(rack.targets["t0"], "kept", make_long_running("kept", 48'000));
    add_run(rack.targets["t0"], "short", make_terms("early", 16'000));
    add_run(rack.targets["t1"], "short", make_terms("early", 64'000));
    add_run(rack.targets["t2"], "kept", make_long_running("kept", 56'000));
    add_waiting(rack, "long.0.0.0", make_long_running("long.0.0", 16'000));
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t1"});
}

// Otherwise other hosts send starts there, which wait and are handed back.
TEST_CASE("a reserved target is not reported as open", "[rack]")
{
    rack_state rack = make_reserved_rack();
    rack.targets["t0"].runs.erase({"short.0", 1});
    const rack_load_report report =
        make_load_report(rack, no_interference, start_time);
    REQUIRE(report.targets.size() == 1);
    REQUIRE_FALSE(report.targets.front().is_open);
}

TEST_CASE("memory counts in the choice of the target to reserve", "[rack]")
{
    rack_state rack = make_rack(2);
    step_terms large = make_terms("early", 64'000);
    large.size.memory_mb = 200'000;
    add_run(rack.targets["t0"], "short.0", large);
    add_run(rack.targets["t1"], "short.1", make_terms("early", 64'000));
    step_terms terms = make_long_running("long.0.0", 16'000);
    terms.size.memory_mb = 200'000;
    add_waiting(rack, "long.0.0.0", terms);
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t1"});
}

// Backfill tasks that may be stopped give their memory back sooner than short
// tasks.
TEST_CASE("memory of backfill tasks counts as available for a reservation",
          "[rack]")
{
    rack_state rack = make_rack(2);
    step_terms large = make_terms("early", 1'000);
    large.size.memory_mb = 200'000;
    add_run(rack.targets["t0"], "short.0", large);
    add_run(rack.targets["t1"], "fill.0", make_backfill("fill", 200'000));
    step_terms terms = make_long_running("long.0.0", 16'000);
    terms.size.memory_mb = 200'000;
    add_waiting(rack, "long.0.0.0", terms);
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t1"});
}

// Too many reservations would leave no targets to short tasks.
TEST_CASE("at most two targets and half of a rack are reserved", "[rack]")
{
    const int targets = GENERATE(1, 2, 3, 8);
    rack_state rack = make_rack(targets);
    for (auto& [id, target] : rack.targets)
    {
        add_run(target, "short." + id, make_terms("early", 64'000));
    }
    for (int n = 0; n < 8; ++n)
    {
        const std::string step = "long" + std::to_string(n) + ".0.0";
        add_waiting(rack, step + ".0", make_long_running(step, 16'000));
    }
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack).size() == (targets < 4 ? 1 : 2));
    REQUIRE(place(rack, start_time + milliseconds(300)) == 0);
    REQUIRE(reserved_targets(rack).size() == (targets < 4 ? 1 : 2));
}

// Targets that take no starts are no room that short tasks could use instead.
TEST_CASE("the limit of reservations counts open targets only", "[rack]")
{
    rack_state rack = make_rack(4);
    for (auto& [id, target] : rack.targets)
    {
        add_run(target, "short." + id, make_terms("early", 64'000));
    }
    rack.targets["t2"].entry.is_draining = true;
    rack.targets["t3"].entry.is_draining = true;
    for (int n = 0; n < 2; ++n)
    {
        const std::string step = "long" + std::to_string(n) + ".0.0";
        add_waiting(rack, step + ".0", make_long_running(step, 16'000));
    }
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack).size() == 1);
}

// A start that is placed within a second does not need a reservation, and one
// that is looked up may have been started before.
TEST_CASE("only waiting long-running starts of single tasks get a reservation",
          "[rack]")
{
    rack_state rack = make_rack(1);
    add_run(rack.targets["t0"], "short.0", make_terms("early", 64'000));
    step_terms gang = make_long_running("gang.0.0", 16'000);
    gang.is_gang = true;
    gang.gang_size = 1;
    step_terms backfill = make_backfill("fill.0.0", 250'000);
    backfill.is_long_running = true;
    add_waiting(rack, "gang.0.0.0", gang);
    add_waiting(rack, "fill.0.0.0", backfill);
    add_waiting(rack, "short.0.0.0", make_terms("short.0.0", 8'000));
    add_waiting(rack, "again.0.0.0", make_long_running("again.0.0", 8'000));
    rack.queue.back().is_repeated = true;
    add_waiting(rack, "new.0.0.0", make_long_running("new.0.0", 8'000));
    rack.queue.back().queued_at = start_time - milliseconds(900);
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack).empty());
    REQUIRE(place(rack, start_time + milliseconds(300)) == 0);
    REQUIRE(reserved_targets(rack).size() == 1);
    REQUIRE(rack.targets["t0"].reservation->run == run_id{"new.0.0.0", 1});
}

// Guards against a wait that begins anew in each rack: a start that was handed
// back would be without a reservation for another second.
TEST_CASE("a start that has waited in other racks gets a reservation at once",
          "[rack]")
{
    rack_state rack = make_rack(1);
    add_run(rack.targets["t0"], "short.0", make_terms("early", 64'000));
    add_waiting(rack, "long.0.0.0", make_long_running("long.0.0", 16'000));
    queued_start& start = rack.queue.back();
    start.waiting_since = start_time - milliseconds(2'100);
    start.queued_at = start_time;
    REQUIRE(place(rack, start_time) == 0);
    REQUIRE(reserved_targets(rack).size() == 1);
}

// Guards against long-running tasks that stay away while short ones of the same
// priority take each place that becomes free.
TEST_CASE("a long-running task that is away goes before short ones", "[rack]")
{
    const bool is_away = GENERATE(true, false);
    CAPTURE(is_away);
    rack_state rack = make_rack(1);
    add_run(rack.targets["t0"], "kept.0", make_long_running("kept", 48'000));
    add_waiting(rack, "short.0.0.0", make_terms("short.0.0", 16'000));
    add_waiting(rack, "long.0.0.0", make_long_running("long.0.0", 16'000));
    rack.queue.back().queued_at = start_time;
    if (is_away)
    {
        rack.queue.back().waiting_since = start_time - milliseconds(2'100);
    }
    const std::vector<placement> placed =
        place_starts(rack, no_interference, start_time, 0);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task ==
            (is_away ? "long.0.0.0" : "short.0.0.0"));
}

// Guards against a task that others of its kind overtake again and again.
TEST_CASE("the long-running task that has been away longest goes first",
          "[rack]")
{
    rack_state rack = make_rack(1);
    add_run(rack.targets["t0"], "kept.0", make_long_running("kept", 48'000));
    for (int n = 0; n < 3; ++n)
    {
        step_terms terms =
            make_long_running("long" + std::to_string(n) + ".0.0", 16'000);
        terms.objective_ms = n; // an older job, which would go first otherwise
        add_waiting(rack, terms.step + ".0", terms);
        rack.queue.back().waiting_since =
            start_time - milliseconds(3'000 + 1'000 * n);
    }
    const std::vector<placement> placed =
        place_starts(rack, no_interference, start_time, 0);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().start.task == "long2.0.0.0");
}

// If the reserved target is lost or filled, another one has to be chosen.
TEST_CASE("a reservation moves when its target cannot take the task", "[rack]")
{
    rack_state rack = make_two_targets();
    rack.targets["t0"].entry.is_draining = true;
    REQUIRE(place(rack, start_time + milliseconds(300)) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t1"});
}

// A target whose short tasks run for long is given up for one that has room
// earlier by then.
TEST_CASE("a reservation is decided again after its lifetime", "[rack]")
{
    rack_state rack = make_two_targets();
    rack.targets["t1"].runs.clear();
    add_run(rack.targets["t1"], "short.2", make_terms("early", 50'000));
    REQUIRE(place(rack, start_time + milliseconds(4'900)) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t0"});
    REQUIRE(place(rack, start_time + milliseconds(5'200)) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t1"});
}

// Otherwise a short start takes the room that has been gathered until then.
TEST_CASE("room is kept when a reservation is decided again", "[rack]")
{
    rack_state rack = make_reserved_rack();
    rack.targets["t0"].runs.erase({"short.0", 1});
    add_waiting(rack, "short.0.0.0", make_terms("short.0.0", 8'000));
    for (int ms = 0; ms <= 6'000; ms += 30)
    {
        CAPTURE(ms);
        REQUIRE(place(rack, start_time + milliseconds(ms)) == 0);
    }
}

// A run whose terms are not known yet closes a target until they are.
TEST_CASE("a target that is closed for a moment keeps its reservation",
          "[rack]")
{
    rack_state rack = make_reserved_rack();
    rack.targets["t0"].runs.erase({"short.0", 1});
    add_waiting(rack, "short.0.0.0", make_terms("short.0.0", 8'000));
    placed_run unknown;
    unknown.task = "other.0.0.0";
    unknown.run = 1;
    rack.targets["t0"].runs[{"other.0.0.0", 1}] = unknown;
    REQUIRE(place(rack, start_time + milliseconds(50)) == 0);
    rack.targets["t0"].runs.erase({"other.0.0.0", 1});
    REQUIRE(place(rack, start_time + milliseconds(100)) == 0);
    REQUIRE(reserved_targets(rack) == std::vector<std::string>{"t0"});
}

// Guards against a start that leaves the room gathered for it for room that is
// not free yet either, and against one that stays beside a free place.
TEST_CASE("a start with a reservation is handed back only to free places",
          "[rack]")
{
    std::size_t free_places = 0;
    const auto count_places = [&](const step_terms& /*terms*/, room_kind room)
    {
        return room == room_kind::free ? free_places : std::size_t{10};
    };
    rack_state rack = make_reserved_rack();
    time_point now = start_time;
    for (; now <= start_time + milliseconds(8'000); now += step_time)
    {
        REQUIRE(place(rack, now) == 0);
        REQUIRE(hand_back(rack, milliseconds(700), count_places, now).empty());
    }
    free_places = 1;
    now += milliseconds(700);
    REQUIRE(hand_back(rack, milliseconds(700), count_places, now).size() == 1);
}

// A task that keeps its checkpoint loses the least work.
TEST_CASE("just enough backfill tasks are stopped for their memory", "[rack]")
{
    memory_case item;
    for (int n = 0; n < 4; ++n)
    {
        step_terms terms = make_backfill("fill", 40'000);
        terms.is_checkpointing = n == 2;
        add_run(item.target, "fill." + std::to_string(n), terms);
        item.target.runs.at({"fill." + std::to_string(n), 1}).ordered_at =
            start_time + milliseconds(n);
    }
    // The tasks hold 160,000 MB.
    const bool stops_two = GENERATE(false, true);
    const std::vector<run_id> evicted =
        item.evict(stops_two ? 100'000 : 130'000);
    REQUIRE(evicted.size() == (stops_two ? 2 : 1));
    REQUIRE(evicted.back() == run_id{"fill.2", 1});
    REQUIRE(evicted.front() == run_id{stops_two ? "fill.3" : "fill.2", 1});
    REQUIRE(item.target.runs.at({"fill.2", 1}).is_stopping);
    REQUIRE(decide_reservation_evictions(item.rack, item.target).empty());
}

// Only backfill tasks of a worse priority give way, and only for memory: short
// tasks end by themselves, and a stopped long-running task would be away in
// place of the other.
TEST_CASE("tasks that must not give way are not stopped", "[rack]")
{
    memory_case item;
    const int kind = GENERATE(0, 1, 2, 3, 4);
    CAPTURE(kind);
    step_terms terms = make_backfill("fill", 200'000);
    if (kind == 0)
    {
        terms.priority = 0;
    }
    terms.is_long_running = kind == 1;
    terms.uses_idle_cpu = kind != 2;
    if (kind == 1)
    {
        terms.size.memory_mb = 100'000;
        add_run(item.target, "other.0", make_backfill("other", 90'000));
    }
    add_run(item.target, "fill.0", terms);
    item.target.runs.at({"fill.0", 1}).is_confirmed = kind != 3;
    item.target.runs.at({"fill.0", 1}).ordered_at = start_time;
    if (kind == 4)
    {
        add_run(item.target, "short.0", make_terms("early", 60'000));
    }
    const std::vector<run_id> evicted = item.evict(100'000);
    REQUIRE(std::count(evicted.begin(), evicted.end(), run_id{"fill.0", 1}) ==
            0);
    REQUIRE(evicted.size() == (kind == 1 ? 1 : 0));
}

// A small task may be chosen before a large one whose memory suffices alone.
TEST_CASE("a task whose memory is not needed is not stopped", "[rack]")
{
    memory_case item;
    step_terms small = make_backfill("small", 10'000);
    small.is_checkpointing = true;
    add_run(item.target, "small.0", small);
    add_run(item.target, "large.0", make_backfill("large", 60'000));
    REQUIRE(item.evict(50'000) == std::vector<run_id>{{"large.0", 1}});
}

// The start may have left the queue since the target was reserved for it.
TEST_CASE("no task is stopped for a start that has left the queue", "[rack]")
{
    memory_case item;
    add_run(item.target, "fill.0", make_backfill("fill", 200'000));
    REQUIRE(item.evict(100'000).size() == 1);
    item.target.runs.at({"fill.0", 1}).is_stopping = false;
    item.rack.queue.clear();
    REQUIRE(decide_reservation_evictions(item.rack, item.target).empty());
}
