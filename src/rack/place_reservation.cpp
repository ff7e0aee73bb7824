#include "egretspindle/rack/place_reservation.hpp"

#include "run_colocation.hpp"
#include "target_check.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace egretspindle
{

namespace
{

// Users expect a long-running task to be at work again within 6 s of its last
// run. Most short tasks end within 2 s, so that the start is placed in time.
constexpr milliseconds min_wait_to_reserve{1'000};
// Absence from which a long-running task goes before short ones. Leaves 4 s of
// the 6 s for short tasks to end.
constexpr milliseconds max_absence_behind_short{2'000};
// After this time another target may have room earlier.
constexpr milliseconds reservation_lifetime{5'000};
// Short tasks keep at least half of the targets of a rack with more than one.
constexpr std::size_t max_reservations = 2;
// Interval of the search for targets; place_starts is called for each reply of
// a target.
constexpr milliseconds search_interval{200};

bool needs_room_of_its_own(const step_terms& terms)
{
    return terms.is_long_running && !terms.is_gang && !terms.uses_idle_cpu;
}

bool may_reserve(const queued_start& start, time_point now)
{
    return needs_room_of_its_own(*start.terms) && !start.is_repeated &&
           (now - start.queued_at > min_wait_to_reserve ||
            has_precedence(start, now));
}

bool is_evictable(const placed_run& run, const step_terms& waiting)
{
    return is_backfill(run) && !run.terms->is_long_running &&
           run.terms->priority > waiting.priority && run.is_confirmed &&
           !run.is_ended;
}

std::int64_t evictable_memory(const rack_target& target,
                              const step_terms& waiting)
{
    std::int64_t sum = 0;
    for (const auto& [id, run] : target.runs)
    {
        sum += is_evictable(run, waiting) ? run.terms->size.memory_mb : 0;
    }
    return sum;
}

// Returns the share of `released` that has to become free so that `wanted` fits
// into `room`.
double missing_share(std::int64_t wanted, std::int64_t room,
                     std::int64_t released)
{
    return wanted <= room ? 0.0
                          : static_cast<double>(wanted - room) /
                                static_cast<double>(released);
}

// Returns which share of the processors, memory or accelerators of its short
// and backfill tasks a target has to release before it has room for a task, of
// the resource with the largest share. Stands for the time that this takes.
double share_to_release(const rack_target& target, const step_terms& terms)
{
    const task_size wanted = reservation_of(terms);
    const task_size& room = target.cached.room;
    const task_size& eventual = target.cached.eventual_room;
    const std::int64_t memory_mb =
        room.memory_mb + (wanted.memory_mb > room.memory_mb
                              ? evictable_memory(target, terms)
                              : 0);
    return std::max({missing_share(wanted.cpu_milli, room.cpu_milli,
                                   eventual.cpu_milli - room.cpu_milli),
                     missing_share(wanted.memory_mb, memory_mb,
                                   eventual.memory_mb - room.memory_mb),
                     missing_share(wanted.accelerators, room.accelerators,
                                   eventual.accelerators - room.accelerators)});
}

bool fits_later(const rack_target& target, const step_terms& terms,
                const interference_model& model)
{
    return find_start_rejection(target, target.cached.colocation,
                                target.cached.eventual_room, terms,
                                model) == start_rejection::none;
}

bool can_take_later(const rack_target& target, const step_terms& terms,
                    const interference_model& model)
{
    return target.cached.is_open && fits_later(target, terms, model);
}

rack_target* choose_target(rack_state& rack, const step_terms& terms,
                           const interference_model& model)
{
    rack_target* best = nullptr;
    double best_share = 0;
    for (auto& [id, target] : rack.targets)
    {
        if (target.reservation || !can_take_later(target, terms, model))
        {
            continue;
        }
        const double share = share_to_release(target, terms);
        if (best == nullptr || share < best_share)
        {
            best = &target;
            best_share = share;
        }
    }
    return best;
}

const queued_start* find_start(const rack_state& rack, const run_id& id)
{
    const auto it =
        std::find_if(rack.queue.begin(), rack.queue.end(),
                     [&id](const queued_start& item) {
                         return item.task == id.first && item.run == id.second;
                     });
    return it == rack.queue.end() ? nullptr : &*it;
}

// A target that accepts no starts for a moment, such as after a refusal, keeps
// its reservation.
bool is_valid(const rack_state& rack, const rack_target& target,
              const interference_model& model, time_point now)
{
    const target_reservation& item = *target.reservation;
    const queued_start* start = find_start(rack, item.run);
    return start != nullptr && may_reserve(*start, now) &&
           now - item.made_at <= reservation_lifetime && target.is_listed &&
           !target.entry.is_draining && fits_later(target, *item.terms, model);
}

std::size_t count_reservations(const rack_state& rack)
{
    return static_cast<std::size_t>(std::count_if(
        rack.targets.begin(), rack.targets.end(),
        [](const auto& item) { return item.second.reservation.has_value(); }));
}

// Drops invalid reservations. Returns whether there were any.
bool drop_reservations(rack_state& rack, const interference_model& model,
                       time_point now)
{
    bool has_dropped = false;
    for (auto& [id, target] : rack.targets)
    {
        if (!target.reservation || is_valid(rack, target, model, now))
        {
            continue;
        }
        has_dropped = true;
        target.reservation.reset();
        // Starts that were refused because of the reservation may fit now.
        target.cached.last_change = ++rack.colocation_changes;
    }
    return has_dropped;
}

std::size_t max_reservations_of(const rack_state& rack)
{
    const auto open = static_cast<std::size_t>(std::count_if(
        rack.targets.begin(), rack.targets.end(),
        [](const auto& item) { return item.second.cached.is_open; }));
    return std::min(max_reservations, std::max<std::size_t>(1, open / 2));
}

} // namespace

bool has_precedence(const queued_start& start, time_point now) noexcept
{
    return needs_room_of_its_own(*start.terms) &&
           waited(start, now) > max_absence_behind_short;
}

bool has_reservation(const rack_state& rack, const queued_start& start)
{
    const run_id id{start.task, start.run};
    return std::any_of(rack.targets.begin(), rack.targets.end(),
                       [&id](const auto& item) {
                           return item.second.reservation &&
                                  item.second.reservation->run == id;
                       });
}

void update_reservations(rack_state& rack, const interference_model& model,
                         time_point now)
{
    // Without a search at once, other starts would take the room that a dropped
    // reservation has gathered.
    const bool has_dropped = drop_reservations(rack, model, now);
    if (!has_dropped && now - rack.reservations_searched_at < search_interval)
    {
        return;
    }
    rack.reservations_searched_at = now;
    std::size_t count = count_reservations(rack);
    const std::size_t max_count = max_reservations_of(rack);
    std::set<const step_terms*> refused;
    for (const queued_start& start : rack.queue)
    {
        if (count >= max_count)
        {
            return;
        }
        const run_id id{start.task, start.run};
        if (!may_reserve(start, now) || refused.count(start.terms.get()) > 0 ||
            has_reservation(rack, start))
        {
            continue;
        }
        rack_target* target = choose_target(rack, *start.terms, model);
        if (target == nullptr)
        {
            refused.insert(start.terms.get());
            continue;
        }
        target->reservation = target_reservation{id, start.terms, now};
        ++count;
    }
}

std::vector<run_id> decide_reservation_evictions(const rack_state& rack,
                                                 rack_target& target)
{
    std::vector<run_id> evicted;
    if (!target.reservation ||
        find_start(rack, target.reservation->run) == nullptr)
    {
        return evicted;
    }
    const step_terms& terms = *target.reservation->terms;
    const task_size wanted = reservation_of(terms);
    const task_size room = free_capacity(target);
    std::int64_t missing_mb = wanted.memory_mb - room.memory_mb;
    if (missing_mb <= 0 || wanted.cpu_milli > room.cpu_milli ||
        wanted.accelerators > room.accelerators)
    {
        return evicted;
    }
    std::vector<placed_run*> runs;
    for (auto& [id, run] : target.runs)
    {
        if (run.is_stopping && run.terms)
        {
            missing_mb -= run.terms->size.memory_mb; // about to become free
        }
        else if (is_evictable(run, terms))
        {
            runs.push_back(&run);
        }
    }
    // The latest tasks without checkpoints lose the least work.
    std::stable_sort(runs.begin(), runs.end(),
                     [](const placed_run* lhs, const placed_run* rhs)
                     {
                         return std::make_tuple(!lhs->terms->is_checkpointing,
                                                rhs->ordered_at) <
                                std::make_tuple(!rhs->terms->is_checkpointing,
                                                lhs->ordered_at);
                     });
    std::vector<placed_run*> chosen;
    std::int64_t released_mb = 0;
    for (placed_run* run : runs)
    {
        if (released_mb >= missing_mb)
        {
            break;
        }
        chosen.push_back(run);
        released_mb += run->terms->size.memory_mb;
    }
    if (released_mb < missing_mb)
    {
        return evicted; // stops would not make room
    }
    // The last choices may have made earlier, smaller ones unnecessary.
    for (auto it = chosen.rbegin(); it != chosen.rend(); ++it)
    {
        placed_run& run = **it;
        const std::int64_t without = released_mb - run.terms->size.memory_mb;
        if (without >= missing_mb)
        {
            released_mb = without;
            continue;
        }
        run.is_stopping = true;
        evicted.emplace_back(run.task, run.run);
    }
    return evicted;
}

} // namespace egretspindle
