#include "egretspindle/rack/start_intents.hpp"

#include "egretspindle/rack/rack_decision.hpp"
#include "egretspindle/rack/rack_handover.hpp"

#include <algorithm>
#include <utility>

namespace egretspindle
{

namespace
{

bool needs_intent(const placed_run& run)
{
    return run.terms && run.terms->is_long_running;
}

// Runs with unknown terms were started by an earlier owner.
bool may_be_long_running(const placed_run& run)
{
    return !run.terms || run.terms->is_long_running;
}

bool is_surely_confirmed(const rack_target& target, const placed_run& run)
{
    return run.is_confirmed &&
           target.unanswered_starts.count({run.task, run.run}) == 0;
}

// Adds the intents of runs on a target. Ends and unanswered starts do not say
// whether their run is long-running, so that an earlier record is consulted.
void add_target(const rack_target& target, const rack_state& rack,
                start_intents& intents)
{
    const auto is_recorded = [&rack](const run_id& id)
    {
        return rack.recorded_intents.count(id) > 0 ||
               (rack.inherited_intents &&
                rack.inherited_intents->count(id) > 0);
    };
    for (const auto& [id, run] : target.runs)
    {
        if (may_be_long_running(run))
        {
            intents[id] = {target.entry.id, is_surely_confirmed(target, run)};
        }
    }
    for (const auto& [id, run] : target.unlisted_ends)
    {
        if (may_be_long_running(run))
        {
            intents[id] = {target.entry.id, false};
        }
    }
    for (const auto& [number, end] : target.ends)
    {
        const run_id id{end.task, end.run};
        if (is_recorded(id))
        {
            intents[id] = {target.entry.id, false};
        }
    }
    for (const auto& [id, until] : target.unanswered_starts)
    {
        if (is_recorded(id))
        {
            intents[id] = {target.entry.id, false};
        }
    }
}

// Returns the intent of an earlier owner to start a run, or null if it has
// certainly not started it. Only for racks whose intents have been read.
const start_intent* find_inherited(const rack_state& rack,
                                   const queued_start& start)
{
    const auto it = rack.inherited_intents->find({start.task, start.run});
    return it == rack.inherited_intents->end() ? nullptr : &it->second;
}

bool has_intents_for(const rack_state& rack, const queued_start& start)
{
    return rack.inherited_intents && start.terms->is_long_running;
}

const rack_target* find_reached(const rack_state& rack,
                                const std::string& target)
{
    const auto it = rack.targets.find(target);
    return it != rack.targets.end() && it->second.is_reached ? &it->second
                                                             : nullptr;
}

// Returns the time after which a run of an earlier owner has certainly ended on
// a target that this owner has not reached.
time_point lease_end_of(const rack_state& rack, const start_intent& intent)
{
    const auto target = rack.targets.find(intent.target);
    const time_point end = target == rack.targets.end()
                               ? rack.unknown_until
                               : former_leases_end(rack, target->second);
    return intent.is_confirmed ? std::min(end, rack.confirmed_unknown_until)
                               : end;
}

} // namespace

start_intents collect_intents(const rack_state& rack)
{
    start_intents intents;
    if (rack.inherited_intents)
    {
        for (const auto& [id, intent] : *rack.inherited_intents)
        {
            const auto target = rack.targets.find(intent.target);
            if (target != rack.targets.end() && !has_known_runs(target->second))
            {
                intents.emplace(id, intent);
            }
        }
    }
    for (const auto& [id, target] : rack.targets)
    {
        add_target(target, rack, intents);
    }
    return intents;
}

bool has_unrecorded_confirmations(const rack_state& rack, milliseconds min_age,
                                  time_point now)
{
    for (const auto& [name, target] : rack.targets)
    {
        for (const auto& [id, run] : target.runs)
        {
            const auto it = rack.recorded_intents.find(id);
            if (it != rack.recorded_intents.end() && !it->second.is_confirmed &&
                is_surely_confirmed(target, run) &&
                now - run.confirmed_at >= min_age)
            {
                return true;
            }
        }
    }
    return false;
}

bool has_unrecorded_intents(const rack_state& rack)
{
    return std::any_of(rack.targets.begin(), rack.targets.end(),
                       [](const auto& target)
                       {
                           return std::any_of(target.second.runs.begin(),
                                              target.second.runs.end(),
                                              [](const auto& item)
                                              {
                                                  const placed_run& run =
                                                      item.second;
                                                  return needs_intent(run) &&
                                                         run.awaits_intent;
                                              });
                       });
}

std::vector<recorded_start> mark_intents_recorded(rack_state& rack,
                                                  start_intents intents)
{
    std::vector<recorded_start> starts;
    for (auto& [name, target] : rack.targets)
    {
        for (auto& [id, run] : target.runs)
        {
            const auto it = intents.find(id);
            if (run.awaits_intent && it != intents.end() &&
                it->second.target == name)
            {
                run.awaits_intent = false;
                starts.push_back({name, id});
            }
        }
    }
    rack.recorded_intents = std::move(intents);
    return starts;
}

bool is_run_known(const rack_state& rack, const queued_start& start,
                  time_point now)
{
    if (has_intents_for(rack, start))
    {
        const start_intent* intent = find_inherited(rack, start);
        if (intent == nullptr)
        {
            return true;
        }
        if (const rack_target* target = find_reached(rack, intent->target))
        {
            return !target->may_have_unread_ends;
        }
        const time_point expiry = lease_end_of(rack, *intent);
        if (now >= expiry && rack.verified_at >= expiry)
        {
            return true;
        }
    }
    return knows_all_runs(rack, now);
}

bool may_have_unseen_end(const rack_state& rack, const queued_start& start)
{
    if (has_intents_for(rack, start))
    {
        const start_intent* intent = find_inherited(rack, start);
        return intent != nullptr &&
               find_reached(rack, intent->target) == nullptr;
    }
    return rack.has_unseen_ends ||
           std::any_of(rack.targets.begin(), rack.targets.end(),
                       [](const auto& item) {
                           return item.second.is_inherited &&
                                  !item.second.is_reached;
                       });
}

} // namespace egretspindle
