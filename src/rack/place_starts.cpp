#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/mix_cache.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include "target_check.hpp"

#include <algorithm>
#include <iterator>
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

std::vector<rack_target*> find_open_targets(rack_state& rack)
{
    std::vector<rack_target*> items;
    for (auto& [id, target] : rack.targets)
    {
        if (target.cached.is_open)
        {
            items.push_back(&target);
        }
    }
    return items;
}

std::uint64_t latest_change(const std::vector<rack_target*>& items)
{
    std::uint64_t latest = 0;
    for (const rack_target* item : items)
    {
        latest = std::max(latest, item->cached.changed_at);
    }
    return latest;
}

bool can_take(const rack_target& target, const step_terms& terms,
              const interference_model& model)
{
    return find_obstacle(target, target.cached.mix, target.cached.room, terms,
                         model) == start_obstacle::none;
}

// Targets that serve the image already come first, then those that serve
// none: the fewer images a target serves, the more tasks can use its idle
// processors without disturbing any.
std::int64_t rate_serving_neighbours(const target_mix& mix,
                                     const image_name& image)
{
    if (mix.spare_headroom.count(image) > 0)
    {
        return mix.spare_headroom.size() == 1 ? 3 : 2;
    }
    return mix.spare_headroom.empty() ? 1 : 0;
}

// Higher is better.
std::int64_t score(const target_mix& mix, const step_terms& terms,
                   const task_size& room, const interference_model& model)
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

// Chooses among the targets that have changed after the state
// `refused_at_change`.
rack_target* choose_target(const std::vector<rack_target*>& items,
                           const step_terms& terms,
                           const interference_model& model,
                           std::uint64_t refused_at_change)
{
    rack_target* best = nullptr;
    std::int64_t best_score = 0;
    for (rack_target* item : items)
    {
        const cached_mix& cached = item->cached;
        if (cached.changed_at <= refused_at_change ||
            !can_take(*item, terms, model))
        {
            continue;
        }
        const std::int64_t value = score(cached.mix, terms, cached.room, model);
        if (best == nullptr || value > best_score)
        {
            best = item;
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
                           terms.objective_ms, std::string_view(terms.step));
}

/// Room that a member of a gang has reserved, to be given back when another
/// member finds none.
struct reservation
{
    rack_target* target = nullptr;
    run_id id;
    cached_mix before;
};

void give_back(std::vector<reservation>& reserved)
{
    for (auto it = reserved.rbegin(); it != reserved.rend(); ++it)
    {
        it->target->runs.erase(it->id);
        it->target->cached = std::move(it->before);
    }
}

// Finds room for all members of a gang that begins at `first` in the queue, or
// for a single start.
std::vector<placement> place_together(rack_state& rack,
                                      const std::vector<rack_target*>& items,
                                      std::size_t first, std::size_t count,
                                      const interference_model& model,
                                      time_point now)
{
    std::vector<placement> placed;
    std::vector<reservation> reserved;
    for (std::size_t n = first; n < first + count; ++n)
    {
        const queued_start& start = rack.queue[n];
        // A change of one target can make room for any member of a gang.
        rack_target* item =
            choose_target(items, *start.terms, model,
                          count == 1 ? start.refused_at_change : 0);
        if (item == nullptr)
        {
            give_back(reserved);
            return {};
        }
        if (count > 1)
        {
            reserved.push_back({item, {start.task, start.run}, item->cached});
        }
        reserve(*item, start, now);
        refresh_mix(rack, *item, model);
        placed.push_back({item->entry.id, start});
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

// Returns the state since which some start of a group was refused, 0 when one
// has not been tried yet.
std::uint64_t refused_since(const rack_state& rack, std::size_t first,
                            std::size_t count)
{
    std::uint64_t since = rack.queue[first].refused_at_change;
    for (std::size_t n = first + 1; n < first + count; ++n)
    {
        since = std::min(since, rack.queue[n].refused_at_change);
    }
    return since;
}

void sort_queue(rack_state& rack, std::int64_t now_ms)
{
    const auto is_before =
        [now_ms](const queued_start& lhs, const queued_start& rhs)
    {
        return lhs.terms != rhs.terms &&
               rank_of(lhs, now_ms) < rank_of(rhs, now_ms);
    };
    if (!std::is_sorted(rack.queue.begin(), rack.queue.end(), is_before))
    {
        std::stable_sort(rack.queue.begin(), rack.queue.end(), is_before);
    }
}

// Moves starts that remain in the queue over those that have left it.
void keep(rack_state& rack, std::size_t first, std::size_t count,
          std::uint64_t refused_at_change, std::size_t& kept)
{
    for (std::size_t n = first; n < first + count; ++n)
    {
        rack.queue[n].refused_at_change = refused_at_change;
        if (kept != n)
        {
            rack.queue[kept] = std::move(rack.queue[n]);
        }
        ++kept;
    }
}

} // namespace

std::vector<placement> place_starts(rack_state& rack,
                                    const interference_model& model,
                                    time_point now, std::int64_t now_ms)
{
    std::vector<placement> placed;
    if (rack.queue.empty() || rack.is_fenced)
    {
        return placed;
    }
    sort_queue(rack, now_ms);
    refresh_mixes(rack, model, now);
    const std::vector<rack_target*> items = find_open_targets(rack);
    std::uint64_t latest = latest_change(items);
    // Tasks of one step ask for the same, so one that fits nowhere stands for
    // all.
    const step_terms* refused = nullptr;
    std::uint64_t refused_at_change = 0; // of that one
    std::size_t kept = 0;
    for (std::size_t n = 0; n < rack.queue.size();)
    {
        const queued_start& start = rack.queue[n];
        const std::size_t count =
            start.terms->is_gang ? gang_length(rack, n) : 1;
        const bool is_complete =
            !start.terms->is_gang ||
            static_cast<std::int64_t>(count) == start.terms->gang_size;
        const bool is_considered = is_complete && !start.is_repeated;
        std::uint64_t since = is_considered ? refused_since(rack, n, count) : 0;
        std::vector<placement> chosen;
        if (is_considered && start.terms.get() == refused)
        {
            since = refused_at_change;
        }
        else if (is_considered && latest > since)
        {
            chosen = place_together(rack, items, n, count, model, now);
            since = rack.mix_changes;
        }
        if (chosen.empty())
        {
            refused_at_change = start.is_repeated ? refused_at_change : since;
            refused = start.is_repeated ? refused : start.terms.get();
            keep(rack, n, count, since, kept);
        }
        else
        {
            latest = rack.mix_changes;
            placed.insert(placed.end(), std::make_move_iterator(chosen.begin()),
                          std::make_move_iterator(chosen.end()));
        }
        n += count;
    }
    rack.queue.erase(rack.queue.begin() + static_cast<std::ptrdiff_t>(kept),
                     rack.queue.end());
    return placed;
}

} // namespace egretspindle
