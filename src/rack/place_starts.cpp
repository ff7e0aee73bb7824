#include "egretspindle/rack/colocation_cache.hpp"
#include "egretspindle/rack/interference.hpp"
#include "egretspindle/rack/place_reservation.hpp"
#include "egretspindle/rack/rack_decision.hpp"

#include "run_colocation.hpp"
#include "target_check.hpp"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <tuple>

namespace egretspindle
{

namespace
{

// Declared durations are estimates; a start that is late by less than this may
// still meet its objective.
constexpr std::int64_t late_tolerance_ms = 500;
// Larger than the processors of any target in thousandths of a core, so that it
// decides first.
constexpr std::int64_t serving_image_bonus = 1'000'000;
// Exceeds the rating by images, which is at most 3.
constexpr std::int64_t filled_room_rating = 4;
// Users expect a task to run within 3 s while less than half of its service is
// in use. The end of the former run, its record and the order take the rest.
constexpr milliseconds max_headroom_wait{1'000};
// Lowest speed of a backfill task that has waited for `max_headroom_wait`, in
// percent of full speed. `decide_pace` slows it further where that is needed.
constexpr std::int64_t lowest_start_percent = 10;

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
        latest = std::max(latest, item->cached.last_change);
    }
    return latest;
}

bool can_take(const rack_target& target, const step_terms& terms,
              const interference_model& model)
{
    return find_start_rejection(target, target.cached.colocation,
                                target.cached.room, terms,
                                model) == start_rejection::none;
}

// Rates a target for a serving task; higher is better. Targets that already
// serve its image come first, then those that serve none: the fewer images a
// target serves, the more backfill tasks can run there without harm.
std::int64_t rate_serving_images(const colocation_summary& colocation,
                                 const image_name& image)
{
    if (colocation.spare_headroom.count(image) > 0)
    {
        return colocation.spare_headroom.size() == 1 ? 3 : 2;
    }
    return colocation.spare_headroom.empty() ? 1 : 0;
}

// Rates a target for a task; higher is better.
std::int64_t score(const colocation_summary& colocation,
                   const step_terms& terms, const task_size& room,
                   const interference_model& model)
{
    if (terms.uses_idle_cpu)
    {
        return rate_backfill_target(colocation, terms, room, model);
    }
    if (terms.response_target_ms > 0)
    {
        // A long-running task that splits a large piece keeps short tasks out
        // of it for minutes.
        const std::int64_t rating =
            rate_serving_images(colocation, terms.image) +
            (terms.is_long_running && fills_room(terms, room)
                 ? filled_room_rating
                 : 0);
        return rating * serving_image_bonus - 4 * colocation.backfill_milli -
               room.cpu_milli;
    }
    return idle_cpu(colocation, room);
}

// Returns the best target among those that changed after change number
// `refused_at_change`; null if none can take the task.
rack_target* choose_target(const std::vector<rack_target*>& items,
                           const step_terms& terms,
                           const interference_model& model,
                           std::uint64_t refused_at_change)
{
    rack_target* best = nullptr;
    std::int64_t best_score = 0;
    for (rack_target* item : items)
    {
        const cached_colocation& cached = item->cached;
        if (cached.last_change <= refused_at_change ||
            !can_take(*item, terms, model))
        {
            continue;
        }
        const std::int64_t value =
            score(cached.colocation, terms, cached.room, model);
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
    run.waiting_since = start.waiting_since;
    run.ordered_at = now;
    target.runs[{start.task, start.run}] = std::move(run);
}

/// Order of the starts of a priority.
enum class start_group
{
    away,  ///< see `has_precedence`; the longest absence first
    brief, ///< short tasks, which release their capacity within a second
    others ///< other long-running tasks, those of older jobs first
};

start_group group_of(const queued_start& start, time_point now)
{
    if (!start.terms->is_long_running)
    {
        return start_group::brief;
    }
    return has_precedence(start, now) ? start_group::away : start_group::others;
}

// Returns the sort key of a start. Short starts that can still meet their
// objective come before those that are already late, which under overload would
// make all others late too.
auto rank_of(const queued_start& start, time_point now, std::int64_t now_ms)
{
    const step_terms& terms = *start.terms;
    const start_group group = group_of(start, now);
    const bool is_late = !terms.is_long_running &&
                         now_ms > terms.latest_start_ms + late_tolerance_ms;
    const time_point away_since =
        group == start_group::away ? waits_since(start) : time_point{};
    return std::make_tuple(terms.priority, group, is_late, away_since,
                           terms.objective_ms, std::string_view(terms.step));
}

/// Reservation of a gang member, which is undone when another member does not
/// fit.
struct reservation
{
    rack_target* target = nullptr;
    run_id id;
    cached_colocation before;
};

void undo_reservations(std::vector<reservation>& reserved)
{
    for (auto it = reserved.rbegin(); it != reserved.rend(); ++it)
    {
        it->target->runs.erase(it->id);
        it->target->cached = std::move(it->before);
    }
}

// Places all `count` members of a gang that begins at `first` in the queue, or
// a single start. Returns nothing if not all of them fit.
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
        // Any member of a gang may use the target that has changed, so all
        // targets are considered for each.
        rack_target* item =
            choose_target(items, *start.terms, model,
                          count == 1 ? start.refused_at_change : 0);
        if (item == nullptr)
        {
            undo_reservations(reserved);
            return {};
        }
        if (count > 1)
        {
            reserved.push_back({item, {start.task, start.run}, item->cached});
        }
        reserve(*item, start, now);
        refresh_colocation(rack, *item, model);
        placed.push_back({item->entry.id, start});
    }
    return placed;
}

// Returns the share of its full speed at which a backfill task leaves the
// serving tasks of a target the headroom that they need; 0 or less if any of
// them has none to spare.
double bearable_share(const colocation_summary& colocation,
                      const step_terms& terms, const interference_model& model)
{
    double share = 1.0;
    for (const auto& [image, spare] : colocation.spare_headroom)
    {
        const double drop =
            expected_headroom_drop(model, image, terms.image, cores_of(terms));
        if (drop > 0)
        {
            share = std::min(share, spare / drop);
        }
    }
    return share;
}

// Returns whether a target has a run that was started at reduced speed, or only
// whether it has one whose speed it does not know yet.
bool has_slowed_start(const rack_target& target, bool is_unconfirmed)
{
    return std::any_of(target.runs.begin(), target.runs.end(),
                       [is_unconfirmed](const auto& item)
                       {
                           const placed_run& run = item.second;
                           return run.is_slowed_start &&
                                  (!is_unconfirmed || !run.is_confirmed);
                       });
}

// Returns whether a target has enough idle processors for a backfill task but
// for those that other backfill tasks use.
bool fits_beside_serving_tasks(const rack_target& target,
                               const step_terms& terms)
{
    const cached_colocation& cached = target.cached;
    return idle_cpu(cached.colocation, cached.room) +
               cached.colocation.backfill_milli >=
           terms.size.cpu_milli;
}

// Returns whether a target can take a backfill start but for the headroom of
// its serving tasks, the starts of other images that it is reserved for, or, if
// nothing of the job is at work, idle processors that other backfill tasks use:
// these do not count against the capacity of the service.
bool lacks_only_headroom(const rack_target& target, const queued_start& start,
                         const interference_model& model)
{
    const start_rejection rejection =
        find_start_rejection(target, target.cached.colocation,
                             target.cached.room, *start.terms, model);
    return rejection == start_rejection::headroom ||
           rejection == start_rejection::reserved ||
           (rejection == start_rejection::processors && start.is_overdue &&
            fits_beside_serving_tasks(target, *start.terms));
}

// Places a backfill start that has waited for too long on the target whose
// serving tasks it harms least, at the speed that they bear. A target gets at
// most one such run at a time; starts of jobs with nothing at work wait only
// for its confirmation, since runs begin at full speed.
std::vector<placement> place_slowed(rack_state& rack,
                                    const std::vector<rack_target*>& items,
                                    const queued_start& start,
                                    const interference_model& model,
                                    time_point now)
{
    rack_target* best = nullptr;
    double best_share = 0;
    for (rack_target* item : items)
    {
        if (has_slowed_start(*item, start.is_overdue) ||
            !lacks_only_headroom(*item, start, model))
        {
            continue;
        }
        const double share =
            bearable_share(item->cached.colocation, *start.terms, model);
        if (best == nullptr || share > best_share)
        {
            best = item;
            best_share = share;
        }
    }
    if (best == nullptr)
    {
        return {};
    }
    reserve(*best, start, now);
    placed_run& run = best->runs.at({start.task, start.run});
    run.is_slowed_start = true;
    run.percent =
        std::clamp<std::int64_t>(static_cast<std::int64_t>(best_share * 100.0),
                                 lowest_start_percent, 100);
    run.slowed_at = now;
    refresh_colocation(rack, *best, model);
    return {{best->entry.id, start}};
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

// Returns the earliest change number at which a start of a group was refused; 0
// if one has not been tried yet.
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

void sort_queue(rack_state& rack, time_point now, std::int64_t now_ms)
{
    const auto is_before =
        [now, now_ms](const queued_start& lhs, const queued_start& rhs)
    {
        // The rank of a short start depends on its terms only.
        const bool is_same =
            lhs.terms == rhs.terms && !lhs.terms->is_long_running;
        return !is_same &&
               rank_of(lhs, now, now_ms) < rank_of(rhs, now, now_ms);
    };
    if (!std::is_sorted(rack.queue.begin(), rack.queue.end(), is_before))
    {
        std::stable_sort(rack.queue.begin(), rack.queue.end(), is_before);
    }
}

// Keeps starts in the queue by moving them to position `kept`, over those that
// have left it.
void keep_queued(rack_state& rack, std::size_t first, std::size_t count,
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
    sort_queue(rack, now, now_ms);
    refresh_colocations(rack, model, now);
    update_reservations(rack, model, now);
    const std::vector<rack_target*> items = find_open_targets(rack);
    std::uint64_t latest = latest_change(items);
    // Tasks of a step have the same requirements, so if one fits nowhere the
    // others are skipped.
    const step_terms* refused = nullptr;
    std::uint64_t refused_at_change = 0; // of the task that fits nowhere
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
            since = rack.colocation_changes;
        }
        if (chosen.empty() && is_considered && start.terms->uses_idle_cpu &&
            !start.terms->is_gang &&
            (start.is_overdue || waited(start, now) > max_headroom_wait) &&
            is_lightly_used(rack, start.terms->service))
        {
            chosen = place_slowed(rack, items, start, model, now);
        }
        if (chosen.empty())
        {
            refused_at_change = start.is_repeated ? refused_at_change : since;
            refused = start.is_repeated ? refused : start.terms.get();
            keep_queued(rack, n, count, since, kept);
        }
        else
        {
            latest = rack.colocation_changes;
            placed.insert(placed.end(), std::make_move_iterator(chosen.begin()),
                          std::make_move_iterator(chosen.end()));
        }
        n += count;
    }
    rack.queue.erase(rack.queue.begin() + static_cast<std::ptrdiff_t>(kept),
                     rack.queue.end());
    // A target whose list of ends is full now counts as changed once it can
    // take starts again, so that the queued ones are tried there.
    for (rack_target* item : items)
    {
        item->cached.is_open = has_room_for_end(*item);
    }
    return placed;
}

} // namespace egretspindle
