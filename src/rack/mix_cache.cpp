#include "egretspindle/rack/mix_cache.hpp"

#include "egretspindle/rack/interference.hpp"

#include "company.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

mixed_run describe(const placed_run& run, const interference_model& model)
{
    mixed_run item;
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

// Compares without copying the pointer to the terms.
bool is_same(const mixed_run& known, const placed_run& run,
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
    const cached_mix& cached = target.cached;
    return cached.basis == rack.basis.number &&
           is_same_size(cached.capacity, target.entry.capacity) &&
           cached.service == target.entry.service &&
           cached.labels == target.entry.labels &&
           std::equal(cached.runs.begin(), cached.runs.end(),
                      target.runs.begin(), target.runs.end(),
                      [&model](const mixed_run& known, const auto& item)
                      { return is_same(known, item.second, model); });
}

void refresh_basis(rack_state& rack, const interference_model& model)
{
    mix_basis& basis = rack.basis;
    if (basis.number == 0 || basis.version != model.version ||
        basis.reserved_shares != model.reserved_shares)
    {
        ++basis.number;
        basis.version = model.version;
        basis.reserved_shares = model.reserved_shares;
    }
}

} // namespace

void refresh_mix(rack_state& rack, rack_target& target,
                 const interference_model& model)
{
    if (is_current(rack, target, model))
    {
        return;
    }
    cached_mix& cached = target.cached;
    cached.mix = mix_of(target, model);
    cached.room = free_room(target);
    cached.changed_at = ++rack.mix_changes;
    cached.basis = rack.basis.number;
    cached.runs.clear();
    for (const auto& [id, run] : target.runs)
    {
        cached.runs.push_back(describe(run, model));
    }
    cached.capacity = target.entry.capacity;
    cached.service = target.entry.service;
    cached.labels = target.entry.labels;
}

void refresh_mixes(rack_state& rack, const interference_model& model,
                   time_point now)
{
    refresh_basis(rack, model);
    for (auto& [id, target] : rack.targets)
    {
        refresh_mix(rack, target, model);
        const bool is_open = accepts_starts(target, now);
        if (is_open && !target.cached.is_open)
        {
            target.cached.changed_at = ++rack.mix_changes;
        }
        target.cached.is_open = is_open;
    }
}

} // namespace egretspindle
