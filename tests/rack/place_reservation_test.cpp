#include "egretspindle/rack/rack_decision.hpp"

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

} // namespace

// Bound stated by the users: 6 s after its last run, if there is capacity.
TEST_CASE("a long-running task gets its place back beside a stream of short "
          "tasks",
          "[.][rack_long_running_wait]")
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
