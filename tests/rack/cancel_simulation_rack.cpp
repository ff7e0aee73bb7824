#include "egretspindle/rack/order_sequence.hpp"
#include "egretspindle/rack/rack_handover.hpp"

#include "cancel_simulation.hpp"

namespace egretspindle::cancel_simulation
{

void simulation::change_owner()
{
    const owner_ptr former = owner_;
    owner_ = std::make_shared<sim_owner>();
    rack_state& rack = owner_->rack;
    rack.name = "r1";
    rack.token = ++token_;
    rack.taken_over_at = now_;
    rack.verified_at = now_;
    owner_->granted_until = now_ + limits.authority;
    for (const sim_target& item : targets_)
    {
        rack_target& target = rack.targets[item.id];
        target.entry.id = item.id;
        target.entry.started_ms = item.started_ms;
        target.entry.service = "svc";
        target.entry.rack = "r1";
        target.entry.capacity = {int(slots) * 1'000, 10'000, 0};
        target.is_recorded = true;
        target.is_inherited = former != nullptr;
    }
    if (former)
    {
        rack.former_token = former->rack.token;
        rack.unknown_until = former->granted_until + max_lease_duration(limits);
        rack.confirmed_unknown_until =
            former->granted_until + lease_duration(limits);
        at(draw_ms(0, 3'000), [this, former] { drop(former); });
    }
    const owner_ptr owner = owner_;
    owners_[token_] = owner;
    at(draw_ms(50, 500),
       [this, owner]
       {
           owner->rack.has_read_intents = true;
           owner->rack.inherited_intents = intents_;
       });
    at(draw_ms(1, int(max_token_delay.count())), [this, token = token_]
       { known_token_ = std::max(known_token_, token); });
    for (const sim_target& item : targets_)
    {
        owner->channels[item.id];
        poll_target(owner, item.id);
    }
    tick(owner);
}

void simulation::drop(const owner_ptr& former)
{
    if (former->is_dropped)
    {
        return;
    }
    former->is_dropped = true;
    if (former->rack.token + 1 == owner_->rack.token && draw(0, 1) == 0)
    {
        const rack_handover handover = make_handover(former->rack, now_);
        at(draw_ms(1, 500), [this, handover, owner = owner_]
           { apply_handover(owner->rack, handover, limits, now_); });
    }
}

// As `rack_agent::impl::sync_targets`.
void simulation::list_restart(const std::string& id, std::int64_t boot)
{
    for (auto& [token, owner] : owners_)
    {
        rack_target& target = owner->rack.targets.at(id);
        if (owner->is_dropped || target.entry.started_ms >= boot)
        {
            continue;
        }
        target.entry.started_ms = boot;
        target.listed_restart_at = now_;
        if (may_run_in_later_boot(target))
        {
            allow_for_stale_order(target, limits, now_);
        }
    }
}

void simulation::fence(const owner_ptr& owner)
{
    owner->rack.is_fenced = true;
    at(draw_ms(0, 500), [this, owner] { drop(owner); });
}

bool simulation::may_grant_now(const owner_ptr& owner)
{
    if (owner == owner_ && now_ >= store_down_until_)
    {
        owner->granted_until = now_ + limits.authority;
        owner->rack.verified_at = now_;
    }
    return !owner->rack.is_fenced && now_ < owner->granted_until;
}

void simulation::tick(const owner_ptr& owner)
{
    if (owner->is_dropped)
    {
        return;
    }
    rack_state& rack = owner->rack;
    const bool may_grant = may_grant_now(owner);
    if (now_ >= store_down_until_)
    {
        look_up(owner);
    }
    report(owner, expire_leases(rack, now_));
    forget_ends(rack, now_);
    report(owner, report_settled_stops(rack, now_));
    if (may_grant)
    {
        place(owner);
    }
    report(owner, hand_back(
                      rack, ms(700),
                      [this](const step_terms&, room_kind)
                      { return std::size_t(draw(0, 2)); },
                      now_));
    write_intents(owner);
    at(tick_period, [this, owner] { tick(owner); });
}

void simulation::look_up(const owner_ptr& owner)
{
    for (const queued_start& start : owner->rack.queue)
    {
        if (!start.is_repeated || owner->rack.is_fenced ||
            !is_run_known(owner->rack, start, now_))
        {
            continue;
        }
        const run_id id{start.task, start.run};
        const sim_task& task = tasks_.at(id.first);
        const bool is_recorded = task.is_assigned && task.run == id.second &&
                                 now_ < task.cancelled_at;
        at(draw_ms(10, 200),
           [this, owner, id, is_recorded]
           {
               if (!owner->is_dropped && !owner->rack.is_fenced)
               {
                   report(owner,
                          resolve_repeated(owner->rack, id, is_recorded));
               }
           });
    }
}

void simulation::write_intents(const owner_ptr& owner)
{
    rack_state& rack = owner->rack;
    if (owner->is_writing || now_ < store_down_until_ ||
        !rack.has_read_intents ||
        !(has_unrecorded_intents(rack) ||
          has_unrecorded_confirmations(rack, ms(1'000), now_)))
    {
        return;
    }
    owner->is_writing = true;
    at(draw_ms(20, trouble(20) ? 2'000 : 100),
       [this, owner, intents = collect_intents(rack)]
       {
           owner->is_writing = false;
           if (owner != owner_)
           {
               return;
           }
           intents_ = intents;
           for (const recorded_start& it :
                mark_intents_recorded(owner->rack, intents))
           {
               queue_order(owner, it.target, {false, it.id});
           }
       });
}

void simulation::place(const owner_ptr& owner)
{
    for (const placement& it :
         place_starts(owner->rack, no_interference, now_, 0))
    {
        const run_id id{it.start.task, it.start.run};
        if (it.start.terms->is_long_running)
        {
            owner->rack.targets.at(it.target).runs.at(id).awaits_intent = true;
        }
        else
        {
            queue_order(owner, it.target, {false, id});
        }
    }
}

} // namespace egretspindle::cancel_simulation
