#include "target_check.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

bool holds_label(const target_entry& entry, const std::string& label)
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

} // namespace

start_obstacle find_obstacle(const rack_target& target, const target_mix& mix,
                             const task_size& room, const step_terms& terms,
                             const interference_model& model)
{
    const target_entry& entry = target.entry;
    if (entry.service != terms.service || !fits(reservation_of(terms), room) ||
        !holds_label(entry, terms.required_label))
    {
        return start_obstacle::room;
    }
    if (terms.max_per_target > 0 &&
        count_of_step(target, terms.step) >= terms.max_per_target)
    {
        return start_obstacle::limit;
    }
    if (!terms.uses_idle_cpu)
    {
        return start_obstacle::none;
    }
    switch (find_idle_obstacle(mix, terms, room, model))
    {
    case idle_obstacle::processors:
        return start_obstacle::processors;
    case idle_obstacle::reserved:
        return start_obstacle::reserved;
    case idle_obstacle::headroom:
        return start_obstacle::headroom;
    case idle_obstacle::none:
        break;
    }
    return start_obstacle::none;
}

} // namespace egretspindle
