#include "egretspindle/rack/colocation_cache.hpp"

#include "egretspindle/rack/interference.hpp"

#include "run_colocation.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

colocation_run_inputs describe(const placed_run& run,
                               const interference_model& model)
{
    colocation_run_inputs item;
    item.terms = run.terms;
    if (is_serving(run))
    {
        item.headroom = predicted_headroom(run, model);
    }
    else if (run.terms)
    {
        item.used_milli = used_milli(run);
        item.percent = is_backfill(run) ? run.percent : 0;
    }
    return item;
}

// Compares without copying the shared pointer to the terms.
bool is_same(const colocation_run_inputs& known, const placed_run& run,
             const interference_model& model)
{
    if (known.terms != run.terms)
    {
        return false;
    }
    if (is_serving(run))
    {
        return known.headroom == predicted_headroom(run, model);
    }
    return !run.terms || (known.used_milli == used_milli(run) &&
                          (!is_backfill(run) || known.percent == run.percent));
}

bool is_same_size(const task_size& lhs, const task_size& rhs)
{
    return lhs.cpu_milli == rhs.cpu_milli && lhs.memory_mb == rhs.memory_mb &&
           lhs.accelerators == rhs.accelerators;
}

bool is_current(const rack_state& rack, const rack_target& target,
                const interference_model& model)
{
    const cached_colocation& cached = target.cached;
    return cached.model_inputs == rack.model_inputs.number &&
           is_same_size(cached.capacity, target.entry.capacity) &&
           cached.service == target.entry.service &&
           cached.labels == target.entry.labels &&
           std::equal(
               cached.runs.begin(), cached.runs.end(), target.runs.begin(),
               target.runs.end(),
               [&model](const colocation_run_inputs& known, const auto& item)
               { return is_same(known, item.second, model); });
}

void refresh_model_inputs(rack_state& rack, const interference_model& model)
{
    colocation_model_inputs& model_inputs = rack.model_inputs;
    if (model_inputs.number == 0 || model_inputs.version != model.version ||
        model_inputs.reserved_shares != model.reserved_shares)
    {
        ++model_inputs.number;
        model_inputs.version = model.version;
        model_inputs.reserved_shares = model.reserved_shares;
    }
}

} // namespace

void refresh_colocation(rack_state& rack, rack_target& target,
                        const interference_model& model)
{
    if (is_current(rack, target, model))
    {
        return;
    }
    cached_colocation& cached = target.cached;
    cached.colocation = summarize_colocation(target, model);
    cached.room = free_capacity(target);
    cached.eventual_room = eventual_capacity(target);
    cached.last_change = ++rack.colocation_changes;
    cached.model_inputs = rack.model_inputs.number;
    cached.runs.clear();
    for (const auto& [id, run] : target.runs)
    {
        cached.runs.push_back(describe(run, model));
    }
    cached.capacity = target.entry.capacity;
    cached.service = target.entry.service;
    cached.labels = target.entry.labels;
}

void refresh_colocations(rack_state& rack, const interference_model& model,
                         time_point now)
{
    refresh_model_inputs(rack, model);
    for (auto& [id, target] : rack.targets)
    {
        refresh_colocation(rack, target, model);
        const bool is_open = accepts_starts(target, now);
        if (is_open && !target.cached.is_open)
        {
            target.cached.last_change = ++rack.colocation_changes;
        }
        target.cached.is_open = is_open;
    }
}

} // namespace egretspindle
