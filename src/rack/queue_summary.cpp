#include "egretspindle/rack/queue_summary.hpp"

#include "target_check.hpp"

#include <algorithm>
#include <map>
#include <vector>

namespace egretspindle
{

namespace
{

struct measured_target
{
    const rack_target* target = nullptr;
    target_mix mix;
    task_size room;
};

std::vector<measured_target> measure_open(const rack_state& rack,
                                          const interference_model& model,
                                          time_point now)
{
    std::vector<measured_target> items;
    for (const auto& [id, target] : rack.targets)
    {
        if (accepts_starts(target, now))
        {
            items.push_back(
                {&target, mix_of(target, model), free_room(target)});
        }
    }
    return items;
}

start_obstacle closest(const std::vector<measured_target>& items,
                       const step_terms& terms, const interference_model& model)
{
    start_obstacle best = start_obstacle::closed;
    for (const measured_target& item : items)
    {
        best = std::max(best, find_obstacle(*item.target, item.mix, item.room,
                                            terms, model));
    }
    return best;
}

void count(queue_summary& summary, start_obstacle obstacle)
{
    switch (obstacle)
    {
    case start_obstacle::closed:
        ++summary.closed;
        break;
    case start_obstacle::room:
        ++summary.room;
        break;
    case start_obstacle::limit:
        ++summary.limit;
        break;
    case start_obstacle::processors:
        ++summary.processors;
        break;
    case start_obstacle::reserved:
        ++summary.reserved;
        break;
    case start_obstacle::headroom:
        ++summary.headroom;
        break;
    case start_obstacle::none:
        ++summary.placeable;
        break;
    }
}

} // namespace

queue_summary summarize_queue(const rack_state& rack,
                              const interference_model& model, time_point now)
{
    queue_summary summary;
    if (rack.queue.empty())
    {
        return summary;
    }
    const std::vector<measured_target> items = measure_open(rack, model, now);
    // Tasks of one step ask for the same.
    std::map<const step_terms*, start_obstacle> known;
    for (const queued_start& start : rack.queue)
    {
        ++summary.queued;
        summary.long_running += start.terms->is_long_running ? 1 : 0;
        summary.oldest = std::max(
            summary.oldest,
            std::chrono::duration_cast<milliseconds>(now - start.queued_at));
        if (start.is_repeated)
        {
            ++summary.repeated;
            continue;
        }
        const step_terms* terms = start.terms.get();
        auto it = known.find(terms);
        if (it == known.end())
        {
            it = known.emplace(terms, closest(items, *terms, model)).first;
        }
        count(summary, it->second);
    }
    return summary;
}

} // namespace egretspindle
