#include "egretspindle/rack/queue_summary.hpp"

#include "target_check.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace egretspindle
{

namespace
{

struct summarized_target
{
    const rack_target* target = nullptr;
    colocation_summary colocation;
    task_size room;
};

std::vector<summarized_target>
summarize_open_targets(const rack_state& rack, const interference_model& model,
                       time_point now)
{
    std::vector<summarized_target> items;
    for (const auto& [id, target] : rack.targets)
    {
        if (accepts_starts(target, now))
        {
            items.push_back({&target, summarize_colocation(target, model),
                             free_capacity(target)});
        }
    }
    return items;
}

start_rejection closest_rejection(const std::vector<summarized_target>& items,
                                  const step_terms& terms,
                                  const interference_model& model)
{
    start_rejection best = start_rejection::closed;
    for (const summarized_target& item : items)
    {
        best =
            std::max(best, find_start_rejection(*item.target, item.colocation,
                                                item.room, terms, model));
    }
    return best;
}

// Returns the tightest headroom at the target that is closest to taking a start
// which waits for headroom.
std::optional<headroom_check>
find_closest_headroom(const std::vector<summarized_target>& items,
                      const step_terms& terms, const interference_model& model)
{
    std::optional<headroom_check> closest;
    for (const summarized_target& item : items)
    {
        if (find_start_rejection(*item.target, item.colocation, item.room,
                                 terms, model) != start_rejection::headroom)
        {
            continue;
        }
        const std::optional<headroom_check> tightest =
            find_tightest_headroom(item.colocation, terms, model);
        if (!closest || surplus_of(*tightest) > surplus_of(*closest))
        {
            closest = tightest;
        }
    }
    return closest;
}

long_running_wait describe_wait(const std::vector<summarized_target>& items,
                                const queued_start& start, time_point now)
{
    long_running_wait wait;
    wait.task = start.task;
    wait.away = waited(start, now);
    wait.size = start.terms->size;
    for (const summarized_target& item : items)
    {
        if (item.target->entry.service != start.terms->service)
        {
            continue;
        }
        wait.largest_free_milli =
            std::max(wait.largest_free_milli, item.room.cpu_milli);
        wait.largest_eventual_milli =
            std::max(wait.largest_eventual_milli,
                     eventual_capacity(*item.target).cpu_milli);
        wait.reserved_targets += item.target->reservation ? 1 : 0;
    }
    return wait;
}

void count_rejection(queue_summary& summary, start_rejection rejection)
{
    switch (rejection)
    {
    case start_rejection::closed:
        ++summary.closed;
        break;
    case start_rejection::room:
        ++summary.room;
        break;
    case start_rejection::memory:
        ++summary.memory;
        break;
    case start_rejection::limit:
        ++summary.limit;
        break;
    case start_rejection::held:
        ++summary.held;
        break;
    case start_rejection::processors:
        ++summary.processors;
        break;
    case start_rejection::reserved:
        ++summary.reserved;
        break;
    case start_rejection::headroom:
        ++summary.headroom;
        break;
    case start_rejection::none:
        ++summary.placeable;
        break;
    }
}

wait_reason reason_of(start_rejection rejection)
{
    switch (rejection)
    {
    case start_rejection::closed:
        return wait_reason::closed;
    case start_rejection::room:
        return wait_reason::room;
    case start_rejection::memory:
        return wait_reason::memory;
    case start_rejection::limit:
        return wait_reason::limit;
    case start_rejection::held:
        return wait_reason::held;
    case start_rejection::processors:
        return wait_reason::processors;
    case start_rejection::reserved:
        return wait_reason::reserved;
    case start_rejection::headroom:
        return wait_reason::headroom;
    case start_rejection::none:
        break;
    }
    return wait_reason::none;
}

void add_wait(queue_summary& summary, const queued_start& start,
              wait_reason reason, time_point now)
{
    milliseconds& longest = summary.waits[static_cast<std::size_t>(reason)]
                                         [start.terms->is_long_running ? 1 : 0];
    longest = std::max(longest, waited(start, now));
}

} // namespace

void merge_waits(longest_waits& all, const longest_waits& other) noexcept
{
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        for (std::size_t m = 0; m < all[n].size(); ++m)
        {
            all[n][m] = std::max(all[n][m], other[n][m]);
        }
    }
}

queue_summary summarize_queue(const rack_state& rack,
                              const interference_model& model, time_point now)
{
    queue_summary summary;
    if (rack.queue.empty())
    {
        return summary;
    }
    const std::vector<summarized_target> items =
        summarize_open_targets(rack, model, now);
    // Tasks of a step have the same requirements.
    std::map<const step_terms*, start_rejection> known;
    const queued_start* waits_for_headroom = nullptr;
    const queued_start* longest_away = nullptr;
    for (const queued_start& start : rack.queue)
    {
        ++summary.queued;
        summary.long_running += start.terms->is_long_running ? 1 : 0;
        const milliseconds in_queue =
            std::chrono::duration_cast<milliseconds>(now - start.queued_at);
        summary.oldest = std::max(summary.oldest, in_queue);
        if (start.terms->is_long_running)
        {
            summary.oldest_long_running =
                std::max(summary.oldest_long_running, in_queue);
            if (longest_away == nullptr ||
                waited(start, now) > waited(*longest_away, now))
            {
                longest_away = &start;
            }
        }
        if (start.is_repeated)
        {
            ++summary.repeated;
            add_wait(summary, start, wait_reason::record, now);
            continue;
        }
        const step_terms* terms = start.terms.get();
        auto it = known.find(terms);
        if (it == known.end())
        {
            it = known.emplace(terms, closest_rejection(items, *terms, model))
                     .first;
        }
        count_rejection(summary, it->second);
        add_wait(summary, start, reason_of(it->second), now);
        if (it->second == start_rejection::headroom &&
            (waits_for_headroom == nullptr ||
             start.queued_at < waits_for_headroom->queued_at))
        {
            waits_for_headroom = &start;
        }
    }
    if (longest_away != nullptr)
    {
        summary.longest_away = describe_wait(items, *longest_away, now);
    }
    if (waits_for_headroom != nullptr)
    {
        summary.closest_headroom =
            find_closest_headroom(items, *waits_for_headroom->terms, model);
    }
    return summary;
}

} // namespace egretspindle
