#include "egretspindle/rack/colocation_cache.hpp"
#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/queue_summary.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>

using namespace egretspindle;

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
const std::array<const char*, 3> serving_images{"draft", "split", "watch"};
const std::array<const char*, 4> backfill_images{"index", "convert", "check",
                                                 "plan"};

rack_state make_rack(int targets)
{
    rack_state rack;
    rack.name = "r1";
    for (int n = 0; n < targets; ++n)
    {
        rack_target target;
        target.entry.id = "t" + std::to_string(n);
        target.entry.service = "svc";
        target.entry.capacity = {16'000, 32'000, 0};
        target.is_recorded = true;
        target.is_reached = true;
        target.started_ms = 1;
        rack.targets[target.entry.id] = target;
    }
    return rack;
}

step_terms make_terms(const std::string& step, std::int64_t cpu_milli)
{
    step_terms terms;
    terms.step = step;
    terms.service = "svc";
    terms.size = {cpu_milli, 100, 0};
    return terms;
}

step_terms make_backfill(const std::string& step, const std::string& image)
{
    step_terms terms = make_terms(step, 4'000);
    terms.image = image;
    terms.uses_idle_cpu = true;
    return terms;
}

queued_start make_start(const std::string& task, const step_terms& terms)
{
    queued_start item;
    item.task = task;
    item.run = 1;
    item.terms = std::make_shared<const step_terms>(terms);
    item.queued_at = start_time;
    return item;
}

// Adds a serving task to a target, in the state after the first report of its
// response time.
void add_serving(rack_target& target, const std::string& image, double headroom)
{
    step_terms terms = make_terms("serving", 4'000);
    terms.image = image;
    terms.response_target_ms = 50;
    placed_run run;
    run.task = "s-" + image;
    run.run = 1;
    run.terms = std::make_shared<const step_terms>(terms);
    run.is_confirmed = true;
    run.headroom = headroom;
    run.own_headroom = headroom;
    target.runs[{run.task, run.run}] = run;
}

std::size_t place(rack_state& rack, const interference_model& model)
{
    return place_starts(rack, model, start_time, 0).size();
}

// Clears the cache, so that the next pass considers every target for every
// start.
void clear_cache(rack_state& rack)
{
    for (auto& [id, target] : rack.targets)
    {
        target.cached = {};
    }
    for (queued_start& item : rack.queue)
    {
        item.refused_at_change = 0;
    }
}

std::vector<std::string> names_of(const std::vector<placement>& placed)
{
    std::vector<std::string> names;
    names.reserve(placed.size());
    for (const placement& item : placed)
    {
        names.push_back(item.start.task + "@" + item.target);
    }
    return names;
}

std::vector<std::string> queued_in(const rack_state& rack)
{
    std::vector<std::string> names;
    names.reserve(rack.queue.size());
    for (const queued_start& item : rack.queue)
    {
        names.push_back(item.task);
    }
    return names;
}

/// Applies random changes to a rack and its model.
struct random_changes
{
    std::minstd_rand random;
    int starts = 0;

    // Returns a random number from 0 to `count` - 1.
    int pick(int count)
    {
        return std::uniform_int_distribution<int>(0, count - 1)(random);
    }

    double pick_between(double low, double high)
    {
        return std::uniform_real_distribution<double>(low, high)(random);
    }

    std::string serving()
    {
        return serving_images.at(static_cast<std::size_t>(pick(3)));
    }

    std::string backfill()
    {
        return backfill_images.at(static_cast<std::size_t>(pick(4)));
    }

    step_terms make_step()
    {
        const std::string step = "j" + std::to_string(starts) + ".0.0";
        step_terms terms = make_terms(step, 1'000 * (1 + pick(6)));
        if (pick(3) > 0)
        {
            terms = make_backfill(step, backfill());
        }
        else if (pick(2) == 0)
        {
            terms.image = serving();
            terms.response_target_ms = 50;
        }
        terms.priority = pick(3);
        terms.is_long_running = pick(4) == 0;
        terms.latest_start_ms = pick(2'000);
        terms.max_per_target = pick(3) == 0 ? 1 : 0;
        terms.required_label = pick(5) == 0 ? "ssd" : "";
        terms.is_gang = pick(5) == 0;
        terms.gang_size = terms.is_gang ? 2 + pick(3) : 0;
        return terms;
    }

    void add_step(rack_state& rack)
    {
        const step_terms terms = make_step();
        const std::int64_t count = terms.is_gang ? terms.gang_size : pick(8);
        const bool is_repeated = !terms.is_gang && pick(6) == 0;
        const auto shared = std::make_shared<const step_terms>(terms);
        for (std::int64_t n = 0; n < count; ++n)
        {
            queued_start item =
                make_start(terms.step + "." + std::to_string(n), terms);
            item.terms = shared;
            item.is_repeated = is_repeated;
            enqueue(rack, std::move(item));
        }
        ++starts;
    }

    void change_run(rack_target& target)
    {
        if (target.runs.empty())
        {
            return;
        }
        const auto it = std::next(target.runs.begin(),
                                  pick(static_cast<int>(target.runs.size())));
        placed_run& run = it->second;
        switch (pick(4))
        {
        case 0:
            target.runs.erase(it);
            break;
        case 1:
            run.is_confirmed = true;
            run.load = 1'000 * pick(5);
            break;
        case 2:
            run.percent = 25 * pick(5);
            break;
        default:
            run.own_headroom = pick_between(0.0, 4.0);
            run.headroom_trend = pick_between(-0.5, 0.5);
        }
    }

    void change_entry(rack_target& target, time_point now)
    {
        switch (pick(4))
        {
        case 0:
            target.entry.is_draining = !target.entry.is_draining;
            break;
        case 1:
            target.avoid_until = now + milliseconds(pick(500));
            break;
        case 2:
            target.entry.labels.assign(static_cast<std::size_t>(pick(2)),
                                       "ssd");
            break;
        default:
            target.entry.capacity.cpu_milli = 8'000 * (1 + pick(3));
        }
    }

    void change_model(interference_model& model)
    {
        switch (pick(4))
        {
        case 0:
            update_peer_interference(
                model, "h2", 1,
                {{serving(), backfill(), pick_between(0.0, 0.3), 900}});
            merge_interference(model);
            break;
        case 1:
            model.reserved_shares = {{backfill(), 0.5}};
            break;
        case 2:
            model.reserved_shares.clear();
            break;
        default:
            observe_headroom(model, pick_between(0.5, 3.0));
        }
    }

    void apply(rack_state& rack, interference_model& model, time_point now)
    {
        rack_target& target =
            std::next(rack.targets.begin(),
                      pick(static_cast<int>(rack.targets.size())))
                ->second;
        switch (pick(8))
        {
        case 0:
            change_model(model);
            break;
        case 1:
            change_entry(target, now);
            break;
        case 2:
            add_step(rack);
            break;
        case 3:
            if (!rack.queue.empty())
            {
                queued_start& item = rack.queue.at(static_cast<std::size_t>(
                    pick(static_cast<int>(rack.queue.size()))));
                item.is_repeated = false;
            }
            break;
        default:
            change_run(target);
        }
    }
};

// Makes a rack whose targets each have a serving task.
rack_state make_serving_rack(random_changes& changes)
{
    rack_state rack = make_rack(8);
    for (auto& [id, target] : rack.targets)
    {
        add_serving(target, changes.serving(), changes.pick_between(1.0, 4.0));
    }
    return rack;
}

} // namespace

// If the cache missed a change, a start would stay in the queue although it
// fits a target, or would be placed by an outdated summary.
TEST_CASE("cached summaries give the same placements as recomputed ones",
          "[rack]")
{
    std::size_t count = 0;
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        random_changes changes{std::minstd_rand(seed)};
        interference_model model;
        rack_state rack = make_serving_rack(changes);
        for (int n = 0; n < 200; ++n)
        {
            CAPTURE(n);
            const time_point now = start_time + milliseconds(20 * n);
            changes.apply(rack, model, now);
            rack_state recomputed = rack;
            clear_cache(recomputed);
            const std::vector<std::string> expected =
                names_of(place_starts(recomputed, model, now, 20 * n));
            REQUIRE(names_of(place_starts(rack, model, now, 20 * n)) ==
                    expected);
            REQUIRE(queued_in(rack) == queued_in(recomputed));
            count += expected.size();
        }
    }
    // Ensures that the rack is not always full or always empty.
    REQUIRE(count > 2'000);
}

// `summarize_queue` checks all targets anew, without the cache. Members of a
// gang are left out, since each may fit alone.
TEST_CASE("no start that fits a target stays queued", "[rack]")
{
    std::size_t queued = 0;
    for (unsigned seed = 1; seed <= 60; ++seed)
    {
        CAPTURE(seed);
        random_changes changes{std::minstd_rand(seed)};
        interference_model model;
        rack_state rack = make_serving_rack(changes);
        for (int n = 0; n < 200; ++n)
        {
            CAPTURE(n);
            const time_point now = start_time + milliseconds(20 * n);
            changes.apply(rack, model, now);
            static_cast<void>(place_starts(rack, model, now, 20 * n));
            rack_state singles = rack;
            singles.queue.erase(std::remove_if(singles.queue.begin(),
                                               singles.queue.end(),
                                               [](const queued_start& item)
                                               { return item.terms->is_gang; }),
                                singles.queue.end());
            REQUIRE(summarize_queue(singles, model, now).placeable == 0);
            queued += singles.queue.size();
        }
    }
    // Ensures that starts wait at all.
    REQUIRE(queued > 2'000);
}

TEST_CASE("a target is considered after a poll reply that lists the end of a "
          "run",
          "[rack]")
{
    const interference_model model;
    rack_state rack = make_rack(2);
    const step_terms terms = make_terms("j.0.0", 16'000);
    for (int n = 0; n < 4; ++n)
    {
        enqueue(rack, make_start("j.0.0." + std::to_string(n), terms));
    }
    REQUIRE(place(rack, model) == 2);
    REQUIRE(place(rack, model) == 0);
    rack_target& target = rack.targets.at("t1");
    poll_answer answer;
    answer.started_ms = 1;
    const run_id id = target.runs.begin()->first;
    listed_end end;
    end.number = 1;
    end.task = id.first;
    end.run = id.second;
    answer.ends.push_back(end);
    REQUIRE_FALSE(
        apply_poll(rack, target, answer, start_time, start_time).empty());
    const std::vector<placement> placed =
        place_starts(rack, model, start_time, 0);
    REQUIRE(placed.size() == 1);
    REQUIRE(placed.front().target == "t1");
    REQUIRE(rack.queue.size() == 1);
}

TEST_CASE("a change of the interference model recomputes the summaries",
          "[rack]")
{
    interference_model model;
    rack_state rack = make_rack(1);
    add_serving(rack.targets.at("t0"), "draft", 1.3);
    enqueue(rack, make_start("j.0.0.0", make_backfill("j.0.0", "index")));
    // Four cores of an unknown image are assumed to take 0.4 of headroom; only
    // 0.2 (1.3 less 1.1) is spare.
    REQUIRE(place(rack, model) == 0);
    SECTION("merged")
    {
        update_peer_interference(model, "h2", 1,
                                 {{"draft", "index", 0.01, 5'000}});
        REQUIRE(place(rack, model) == 0);
        merge_interference(model);
        REQUIRE(place(rack, model) == 1);
    }
    SECTION("learned by another model with as many merges")
    {
        merge_interference(model);
        REQUIRE(place(rack, model) == 0);
        interference_model other;
        update_peer_interference(other, "h2", 1,
                                 {{"draft", "index", 0.01, 5'000}});
        merge_interference(other);
        REQUIRE(place(rack, other) == 1);
    }
    SECTION("assumed headroom of a task without reports")
    {
        rack.targets.at("t0").runs.begin()->second.own_headroom = 0;
        model.baseline_headroom_p5 = 1.3;
        REQUIRE(place(rack, model) == 0);
        model.baseline_headroom_p5 = 3.0;
        REQUIRE(place(rack, model) == 1);
    }
}

TEST_CASE("a target is considered when its reservation for others ends",
          "[rack]")
{
    interference_model model;
    update_peer_interference(model, "h2", 1,
                             {{"draft", "index", 0.01, 5'000},
                              {"draft", "convert", 0.01, 5'000},
                              {"split", "convert", 0.3, 5'000}});
    merge_interference(model);
    model.reserved_shares = {{"convert", 1.0}};
    rack_state rack = make_rack(1);
    add_serving(rack.targets.at("t0"), "draft", 3.0);
    enqueue(rack, make_start("j.0.0.0", make_backfill("j.0.0", "index")));
    REQUIRE(place(rack, model) == 0);
    model.reserved_shares.clear();
    REQUIRE(place(rack, model) == 1);
}

// A target that refused a start gets none until `avoid_until`. At that time its
// free capacity has not changed, so the cache has to notice the time itself.
TEST_CASE("a target that accepts starts again is considered for queued starts",
          "[rack]")
{
    const interference_model model;
    rack_state rack = make_rack(2);
    rack_target& target = rack.targets.at("t0");
    enqueue(rack, make_start("j.0.0.0", make_terms("j.0.0", 16'000)));
    enqueue(rack, make_start("j.0.1.0", make_terms("j.0.1", 16'000)));
    target.avoid_until = start_time + milliseconds(100);
    REQUIRE(place_starts(rack, model, start_time, 0).size() == 1);
    REQUIRE(
        place_starts(rack, model, start_time + milliseconds(50), 0).empty());
    REQUIRE(
        place_starts(rack, model, start_time + milliseconds(100), 0).size() ==
        1);
}

// A gang reserves capacity for its first members before a later one does not
// fit; these reservations have to be undone.
TEST_CASE("a gang that does not fit leaves the capacity to others", "[rack]")
{
    const interference_model model;
    rack_state rack = make_rack(2);
    step_terms gang = make_terms("j.0.0", 16'000);
    gang.is_gang = true;
    gang.gang_size = 3;
    for (int n = 0; n < 3; ++n)
    {
        enqueue(rack, make_start("j.0.0." + std::to_string(n), gang));
    }
    REQUIRE(place(rack, model) == 0);
    step_terms later = make_terms("j.0.1", 16'000);
    later.priority = 1;
    enqueue(rack, make_start("j.0.1.0", later));
    enqueue(rack, make_start("j.0.1.1", later));
    REQUIRE(place(rack, model) == 2);
    REQUIRE(rack.queue.size() == 3);
}

// Recomputing the summaries of all targets after each poll reply would take up
// to half of the processor time of a small host.
TEST_CASE("only the summary of a changed target is recomputed", "[rack]")
{
    const interference_model model;
    rack_state rack = make_rack(3);
    for (auto& [id, target] : rack.targets)
    {
        add_serving(target, "draft", 3.0);
    }
    refresh_colocations(rack, model, start_time);
    const std::uint64_t before = rack.colocation_changes;
    const std::uint64_t last_change = rack.targets.at("t1").cached.last_change;
    refresh_colocations(rack, model, start_time);
    REQUIRE(rack.colocation_changes == before);
    rack.targets.at("t0").runs.begin()->second.own_headroom = 2.0;
    refresh_colocations(rack, model, start_time);
    REQUIRE(rack.colocation_changes == before + 1);
    REQUIRE(rack.targets.at("t0").cached.last_change == before + 1);
    REQUIRE(rack.targets.at("t1").cached.last_change == last_change);
}
