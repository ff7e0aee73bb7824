#include "target_check.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// A remainder of this size, as a share of the processors of the task, is of no
// use to most other tasks.
constexpr double max_unused_share = 0.15;

bool has_label(const target_entry& entry, const std::string& label)
{
    return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                      label) != entry.labels.end();
}

std::int64_t count_of_step(const rack_target& target, const std::string& step)
{
    return std::count_if(target.runs.begin(), target.runs.end(),
                         [&step](const auto& item) {
                             return item.second.terms &&
                                    item.second.terms->step == step;
                         });
}

// Returns whether a target is reserved for a start that a task would keep from
// its place. Tasks of one step have the same requirements, so any of them may
// use the reservation. A task with a better priority, and a long-running one
// that leaves enough room, may start.
bool is_held(const rack_target& target, const step_terms& terms)
{
    if (!target.reservation || target.reservation->terms->step == terms.step ||
        terms.priority < target.reservation->terms->priority)
    {
        return false;
    }
    if (!terms.is_long_running || terms.uses_idle_cpu)
    {
        return true;
    }
    task_size room = target.cached.eventual_room;
    subtract_from(room, reservation_of(terms));
    return !fits(reservation_of(*target.reservation->terms), room);
}

} // namespace

start_rejection find_start_rejection(const rack_target& target,
                                     const colocation_summary& colocation,
                                     const task_size& room,
                                     const step_terms& terms,
                                     const interference_model& model)
{
    if (!has_room_for_end(target))
    {
        return start_rejection::closed;
    }
    const target_entry& entry = target.entry;
    const task_size wanted = reservation_of(terms);
    if (entry.service != terms.service || wanted.cpu_milli > room.cpu_milli ||
        !has_label(entry, terms.required_label))
    {
        return start_rejection::room;
    }
    if (!fits(wanted, room))
    {
        return start_rejection::memory;
    }
    if (terms.max_per_target > 0 &&
        count_of_step(target, terms.step) >= terms.max_per_target)
    {
        return start_rejection::limit;
    }
    if (is_held(target, terms))
    {
        return start_rejection::held;
    }
    if (!terms.uses_idle_cpu)
    {
        return start_rejection::none;
    }
    switch (find_backfill_rejection(colocation, terms, room, model))
    {
    case backfill_rejection::processors:
        return start_rejection::processors;
    case backfill_rejection::reserved:
        return start_rejection::reserved;
    case backfill_rejection::headroom:
        return start_rejection::headroom;
    case backfill_rejection::none:
        break;
    }
    return start_rejection::none;
}

bool is_lightly_used(const rack_state& rack, const std::string& service)
{
    if (rack.lightly_used)
    {
        return rack.lightly_used->count(service) > 0;
    }
    std::int64_t capacity = 0;
    std::int64_t room = 0;
    for (const auto& [id, target] : rack.targets)
    {
        if (target.is_listed && target.entry.service == service)
        {
            capacity += target.entry.capacity.cpu_milli;
            room += free_capacity(target).cpu_milli;
        }
    }
    return room * 2 > capacity;
}

bool fills_room(const step_terms& terms, const task_size& room)
{
    const task_size wanted = reservation_of(terms);
    return fits(wanted, room) &&
           static_cast<double>(room.cpu_milli - wanted.cpu_milli) <=
               max_unused_share * static_cast<double>(wanted.cpu_milli);
}

} // namespace egretspindle
