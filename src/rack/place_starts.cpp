#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include "target_check.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace egretspindle
{

namespace
{

// Declared run times are rough; a start that is late by less than this may
// still meet its objective.
constexpr std::int64_t late_tolerance_ms = 500;
// Above the processors of any target.
constexpr std::int64_t target_cpu_bonus = 1'000'000;

/// Target that accepts starts, with what placing needs of its tasks.
struct open_target
{
    rack_target* target = nullptr;
    task_size room;
    target_mix mix;
};

void measure(open_target& item, const pressure_model& model)
{
    item.room = free_room(*item.target);
    item.mix = mix_of(*item.target, model);
}

std::vector<open_target>
find_open_targets(rack_state& rack, const pressure_model& model, time_point now)
{
    std::vector<open_target> items;
    for (auto& [id, target] : rack.targets)
    {
        if (accepts_starts(target, now))
        {
            items.emplace_back().target = &target;
            measure(items.back(), model);
        }
    }
    return items;
}

bool can_take(const open_target& item, const step_terms& terms,
              const pressure_model& model)
{
    return find_obstacle(*item.target, item.mix, item.room, terms, model) ==
           start_obstacle::none;
}

// Targets that serve the image already come first, then those that serve
// none: the fewer images a target serves, the more tasks can use its idle
// processors without disturbing any.
std::int64_t rate_serving_neighbours(const target_mix& mix,
                                     const std::string& image)
{
    if (mix.spare.count(image) > 0)
    {
        return mix.spare.size() == 1 ? 3 : 2;
    }
    return mix.spare.empty() ? 1 : 0;
}

// Higher is better.
std::int64_t score(const target_mix& mix, const step_terms& terms,
                   const task_size& room, const pressure_model& model)
{
    if (terms.uses_idle_cpu)
    {
        return rate_company(mix, terms, room, model);
    }
    if (terms.response_target_ms > 0)
    {
        return rate_serving_neighbours(mix, terms.image) * target_cpu_bonus -
               4 * mix.idle_users_milli - room.cpu_milli;
    }
    return idle_cpu(mix, room);
}

open_target* choose_target(std::vector<open_target>& items,
                           const step_terms& terms, const pressure_model& model)
{
    open_target* best = nullptr;
    std::int64_t best_score = 0;
    for (open_target& item : items)
    {
        if (!can_take(item, terms, model))
        {
            continue;
        }
        const std::int64_t value = score(item.mix, terms, item.room, model);
        if (best == nullptr || value > best_score)
        {
            best = &item;
            best_score = value;
        }
    }
    return best;
}

void reserve(rack_target& target, const queued_start& start, time_point now)
{
    placed_run run;
    run.task = start.task;
    run.run = start.run;
    run.terms = start.terms;
    run.checkpoint = start.checkpoint;
    run.ordered_at = now;
    target.runs[{start.task, start.run}] = std::move(run);
}

// Within a priority, tasks that end soon go before tasks that last: they give
// their room back within a second. Then come starts that can still meet their
// objective: under a flood, work that is late already would make all others
// late too.
auto rank_of(const queued_start& start, std::int64_t now_ms)
{
    const step_terms& terms = *start.terms;
    return std::make_tuple(terms.priority, terms.is_long_running,
                           now_ms > terms.latest_start_ms + late_tolerance_ms,
                           terms.rank_ms, std::string_view(terms.step));
}

// Finds room for all members of a gang that begins at `first` in the queue, or
// for a single start.
std::vector<placement> place_together(rack_state& rack,
                                      std::vector<open_target>& items,
                                      std::size_t first, std::size_t count,
                                      const pressure_model& model,
                                      time_point now)
{
    std::vector<placement> placed;
    for (std::size_t n = first; n < first + count; ++n)
    {
        const queued_start& start = rack.queue[n];
        open_target* item = choose_target(items, *start.terms, model);
        if (item == nullptr)
        {
            for (const placement& member : placed)
            {
                rack.targets[member.target].runs.erase(
                    {member.start.task, member.start.run});
            }
            items = find_open_targets(rack, model, now);
            return {};
        }
        reserve(*item->target, start, now);
        measure(*item, model);
        placed.push_back({item->target->entry.id, start});
    }
    return placed;
}

std::size_t gang_length(const rack_state& rack, std::size_t first)
{
    std::size_t n = first;
    while (n < rack.queue.size() &&
           rack.queue[n].terms->step == rack.queue[first].terms->step &&
           rack.queue[n].run == rack.queue[first].run)
    {
        ++n;
    }
    return n - first;
}

} // namespace

std::vector<placement> place_starts(rack_state& rack,
                                    const pressure_model& model, time_point now,
                                    std::int64_t now_ms)
{
    std::vector<placement> placed;
    if (rack.queue.empty() || rack.is_fenced)
    {
        return placed;
    }
    std::stable_sort(rack.queue.begin(), rack.queue.end(),
                     [now_ms](const queued_start& lhs, const queued_start& rhs)
                     { return rank_of(lhs, now_ms) < rank_of(rhs, now_ms); });
    std::vector<open_target> items = find_open_targets(rack, model, now);
    std::vector<queued_start> remaining;
    // Tasks of one step ask for the same, so one that fits nowhere stands for
    // all.
    const step_terms* refused = nullptr;
    for (std::size_t n = 0; n < rack.queue.size();)
    {
        const queued_start& start = rack.queue[n];
        const std::size_t count =
            start.terms->is_gang ? gang_length(rack, n) : 1;
        const bool is_complete =
            !start.terms->is_gang ||
            static_cast<std::int64_t>(count) == start.terms->gang_size;
        std::vector<placement> chosen;
        if (is_complete && !start.is_repeated && start.terms.get() != refused)
        {
            chosen = place_together(rack, items, n, count, model, now);
        }
        if (chosen.empty())
        {
            refused = start.is_repeated ? refused : start.terms.get();
            remaining.insert(
                remaining.end(),
                rack.queue.begin() + static_cast<std::ptrdiff_t>(n),
                rack.queue.begin() + static_cast<std::ptrdiff_t>(n + count));
        }
        placed.insert(placed.end(), chosen.begin(), chosen.end());
        n += count;
    }
    rack.queue = std::move(remaining);
    return placed;
}

} // namespace egretspindle
