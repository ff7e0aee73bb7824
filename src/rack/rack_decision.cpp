#include "egretspindle/rack/rack_decision.hpp"

#include "egretspindle/rack/place_reservation.hpp"
#include "egretspindle/rack/rack_handover.hpp"
#include "egretspindle/rack/start_intents.hpp"

#include "target_check.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace egretspindle
{

namespace
{

// A target without an answer for this long is out of reach: longer than it
// takes to answer a poll, see `rack_agent_limits::poll_timeout`.
constexpr milliseconds silent_after{2'500};
// Time in which the end of a run that the owner infers is recorded. The report
// is repeated if the store does not take the record at once.
constexpr milliseconds inferred_report_time{2'000};

// A list may have been made before a start arrived at the target. A run that
// was confirmed less than this before the poll is not expected in it.
constexpr milliseconds list_delay{1'000};
// A target that refuses a start gets no further ones for this long; the time
// doubles with each consecutive refusal, at most `max_doublings` times.
constexpr milliseconds first_avoid_time{300};
constexpr int max_doublings = 4;
// An overdue start that a rack of a lightly used service has not placed within
// this time goes to another rack, whether that seems to have room or not.
constexpr milliseconds max_overdue_wait{2'000};
// Ends are remembered for one to two of these periods. Starts are repeated
// within seconds.
constexpr milliseconds ends_retention{60'000};

run_event ended(const placed_run& run, const std::string& target, run_end how,
                end_cause cause)
{
    run_event event;
    event.what = run_event::kind::ended;
    event.task = run.task;
    event.run = run.run;
    event.how = how;
    event.cause = cause;
    event.checkpoint = run.checkpoint;
    event.target = target;
    return event;
}

run_event not_started(const queued_start& start, end_cause cause)
{
    run_event event;
    event.what = run_event::kind::ended;
    event.task = start.task;
    event.run = start.run;
    event.how = run_end::not_started;
    event.cause = cause;
    event.checkpoint = start.checkpoint;
    return event;
}

void end_all_runs(rack_target& target, end_cause cause, time_point now,
                  std::vector<run_event>& events)
{
    const milliseconds silent =
        target.clock_at == time_point{}
            ? milliseconds(0)
            : std::chrono::duration_cast<milliseconds>(now - target.clock_at);
    target.runs.merge(target.unlisted_ends);
    for (const auto& [id, run] : target.runs)
    {
        if (!run.is_ended)
        {
            events.push_back(ended(run, target.entry.id, run_end::lost, cause));
            events.back().silent = silent;
        }
    }
    target.runs.clear();
    target.unlisted_ends.clear();
    target.ends.clear();
    target.acknowledged = 0;
    target.acks.confirmed = 0;
}

void avoid(rack_target& target, time_point now)
{
    const int doublings = std::min(target.faults, max_doublings);
    target.avoid_until =
        std::max(target.avoid_until, now + first_avoid_time * (1 << doublings));
    ++target.faults;
}

void observe_end_list(rack_target& target, const poll_answer& answer,
                      time_point now)
{
    target.listed_ends = answer.ends.size();
    target.max_listed_ends = answer.max_ends;
    const std::int64_t oldest =
        answer.ends.empty() ? 0 : answer.ends.front().number;
    if (oldest != target.oldest_end)
    {
        target.oldest_end = oldest;
        target.oldest_end_since = now;
    }
}

void apply_ends(rack_state& rack, rack_target& target,
                const poll_answer& answer, std::vector<run_event>& events)
{
    for (const listed_end& end : answer.ends)
    {
        if (end.number <= target.acknowledged ||
            target.ends.count(end.number) > 0)
        {
            continue;
        }
        const run_id id{end.task, end.run};
        target.ends[end.number] = {end.task, end.run, false};
        time_point stop_asked_at;
        const auto run = target.runs.find(id);
        if (run != target.runs.end())
        {
            stop_asked_at = run->second.stop_asked_at;
            target.runs.erase(run);
        }
        rack.stops.erase(id);
        rack.queue.erase(std::remove_if(rack.queue.begin(), rack.queue.end(),
                                        [&id](const queued_start& item) {
                                            return item.task == id.first &&
                                                   item.run == id.second;
                                        }),
                         rack.queue.end());
        run_event event;
        event.what = run_event::kind::ended;
        event.task = end.task;
        event.run = end.run;
        event.how = parse_run_end(end.how);
        event.checkpoint = end.checkpoint;
        event.target = target.entry.id;
        event.number = end.number;
        event.stop_asked_at = stop_asked_at;
        events.push_back(std::move(event));
    }
}

// Returns whether a run has ended on a target, which still lists the end or has
// yet to list it.
bool has_unacknowledged_end(const rack_target& target, const run_id& id)
{
    return target.unlisted_ends.count(id) > 0 ||
           std::any_of(target.ends.begin(), target.ends.end(),
                       [&id](const auto& item) {
                           return item.second.task == id.first &&
                                  item.second.run == id.second;
                       });
}

void apply_runs(rack_state& rack, rack_target& target,
                const poll_answer& answer, std::vector<run_event>& events,
                time_point now)
{
    for (const listed_run& listed : answer.runs)
    {
        const run_id id{listed.task, listed.run};
        if (has_unacknowledged_end(target, id))
        {
            continue;
        }
        const auto queued =
            std::find_if(rack.queue.begin(), rack.queue.end(),
                         [&id](const queued_start& it) {
                             return it.task == id.first && it.run == id.second;
                         });
        auto it = target.runs.find(id);
        if (it == target.runs.end())
        {
            placed_run run;
            run.task = listed.task;
            run.run = listed.run;
            run.ordered_at = now;
            run.may_be_slowed = true;
            if (queued != rack.queue.end())
            {
                run.terms = queued->terms;
            }
            it = target.runs.emplace(id, std::move(run)).first;
        }
        if (queued != rack.queue.end())
        {
            rack.queue.erase(queued);
        }
        placed_run& run = it->second;
        if (rack.stops.erase(id) > 0)
        {
            run.is_stopping = true;
            run.stop_asked_at = now;
        }
        if (!run.is_confirmed)
        {
            run.is_confirmed = true;
            run.confirmed_at = now;
        }
        run.load = listed.load;
        if (!listed.checkpoint.empty())
        {
            run.checkpoint = listed.checkpoint;
        }
        if (!run.is_reported)
        {
            run.is_reported = true;
            run_event event;
            event.what =
                run.terms ? run_event::kind::started : run_event::kind::seen;
            event.task = run.task;
            event.run = run.run;
            event.checkpoint = run.checkpoint;
            event.target = target.entry.id;
            events.push_back(std::move(event));
        }
    }
}

// Ends confirmed runs that a later answer lists neither as running nor as
// ended: they are lost, unless the answer may leave out their ends.
void end_unlisted_runs(rack_target& target, const poll_answer& answer,
                       std::vector<run_event>& events, time_point sent_at)
{
    const bool is_whole = has_all_ends(answer);
    std::set<run_id> listed;
    for (const listed_run& run : answer.runs)
    {
        listed.emplace(run.task, run.run);
    }
    for (auto it = target.runs.begin(); it != target.runs.end();)
    {
        const placed_run& run = it->second;
        const bool is_gone = run.is_confirmed && listed.count(it->first) == 0 &&
                             run.confirmed_at + list_delay < sent_at;
        const auto next = std::next(it);
        if (is_gone && !run.is_ended && !is_whole)
        {
            target.unlisted_ends.insert(target.runs.extract(it));
        }
        else if (is_gone)
        {
            if (!run.is_ended)
            {
                events.push_back(ended(run, target.entry.id, run_end::lost,
                                       end_cause::not_in_list));
            }
            target.runs.erase(it);
        }
        it = next;
    }
}

bool is_in_lists(const poll_answer& answer, const run_id& id)
{
    const auto is_same = [&id](const auto& row)
    {
        return row.task == id.first && row.run == id.second;
    };
    return std::any_of(answer.runs.begin(), answer.runs.end(), is_same) ||
           std::any_of(answer.ends.begin(), answer.ends.end(), is_same);
}

void drop_expired_starts(rack_target& target, time_point now)
{
    for (auto it = target.unanswered_starts.begin();
         it != target.unanswered_starts.end();)
    {
        it = it->second < now ? target.unanswered_starts.erase(it)
                              : std::next(it);
    }
}

// Prepares stops of starts that got no reply. A delayed copy may reach the new
// boot of the target, which knows neither the run nor an earlier stop of
// it. Once it has confirmed the stop, the run can be reported as lost.
void stop_unanswered_starts(const rack_target& target,
                            const poll_answer& answer,
                            std::map<run_id, placed_run>& kept)
{
    for (const auto& [id, until] : target.unanswered_starts)
    {
        if (is_in_lists(answer, id))
        {
            continue;
        }
        auto it = kept.find(id);
        if (it == kept.end())
        {
            placed_run run;
            run.task = id.first;
            run.run = id.second;
            run.terms = std::make_shared<const step_terms>();
            run.is_reported = true;
            run.is_ended = true;
            run.is_stopping = true;
            it = kept.emplace(id, std::move(run)).first;
        }
        // An unconfirmed start is still being sent, so it is not stopped.
        it->second.is_stopping |= it->second.is_confirmed;
        it->second.is_confirmed = false;
    }
}

// Ends the runs of the earlier boot of a target after a restart. Start orders
// do not name a boot: those still in transit take effect in the new one, which
// may also have confirmed some before its first list, and may leave out their
// ends there.
void apply_restart(rack_target& target, const poll_answer& answer,
                   time_point sent_at, time_point now,
                   std::vector<run_event>& events)
{
    std::map<run_id, placed_run> kept;
    for (auto it = target.runs.begin(); it != target.runs.end();)
    {
        const placed_run& run = it->second;
        const bool may_be_new = !has_all_ends(answer) || !run.is_confirmed ||
                                is_in_lists(answer, it->first) ||
                                run.confirmed_at + list_delay >= sent_at ||
                                target.unanswered_starts.count(it->first) > 0;
        const auto next = std::next(it);
        if (may_be_new)
        {
            kept.insert(target.runs.extract(it));
        }
        it = next;
    }
    stop_unanswered_starts(target, answer, kept);
    end_all_runs(target, end_cause::other_boot, now, events);
    target.runs = std::move(kept);
}

bool has_ended(const std::map<std::string, std::int64_t>& ended,
               const run_id& id)
{
    const auto it = ended.find(id.first);
    return it != ended.end() && id.second <= it->second;
}

// Returns whether a stop of a run, or of a later run of its task, waits until
// it is known where that run is.
bool has_pending_stop(const rack_state& rack, const run_id& id)
{
    const auto it = rack.stops.lower_bound(id);
    return it != rack.stops.end() && it->first == id.first;
}

std::vector<queued_start>::iterator find_queued(rack_state& rack,
                                                const run_id& id)
{
    return std::find_if(rack.queue.begin(), rack.queue.end(),
                        [&id](const queued_start& item) {
                            return item.task == id.first &&
                                   item.run == id.second;
                        });
}

/// Starts with the same requirements, and how many of them may be handed back.
struct hand_back_group
{
    const step_terms* terms = nullptr;
    room_kind room = room_kind::eventual;
    std::size_t quota = 0;
    std::size_t handed_back_count = 0;
};

bool has_same_requirements(const step_terms& lhs, const step_terms& rhs)
{
    if (lhs.is_gang || rhs.is_gang)
    {
        return lhs.step == rhs.step;
    }
    return lhs.image == rhs.image && lhs.service == rhs.service &&
           lhs.size.cpu_milli == rhs.size.cpu_milli &&
           lhs.size.memory_mb == rhs.size.memory_mb &&
           lhs.size.accelerators == rhs.size.accelerators &&
           lhs.required_label == rhs.required_label &&
           lhs.uses_idle_cpu == rhs.uses_idle_cpu;
}

// Returns the group of starts with the same requirements. Counts the places for
// a group only once, since this iterates over all targets of the fleet. A gang
// is handed back as a whole.
hand_back_group& find_group(std::vector<hand_back_group>& groups,
                            const step_terms& terms, room_kind room,
                            const place_counter& count_places)
{
    const auto known =
        std::find_if(groups.begin(), groups.end(),
                     [&terms, room](const hand_back_group& item) {
                         return item.room == room &&
                                has_same_requirements(*item.terms, terms);
                     });
    if (known != groups.end())
    {
        return *known;
    }
    std::size_t quota = count_places(terms, room);
    if (terms.is_gang && quota > 0)
    {
        quota = static_cast<std::size_t>(terms.gang_size);
    }
    groups.push_back({&terms, room, quota, 0});
    return groups.back();
}

// Returns whether another start of a group may be handed back. The groups share
// the capacity of other racks. Long-running tasks and gangs are counted
// separately: they come late in the queue, and others would use up the
// capacity.
bool may_hand_back(const hand_back_group& group, std::size_t all_handed_back)
{
    const bool has_own_quota =
        group.terms->is_long_running || group.terms->is_gang;
    return (has_own_quota ? group.handed_back_count : all_handed_back) <
           group.quota;
}

} // namespace

std::string_view to_string(end_cause value) noexcept
{
    switch (value)
    {
    case end_cause::other_boot:
        return "other_life";
    case end_cause::lease_expired:
        return "lease_expired";
    case end_cause::not_in_list:
        return "not_in_list";
    case end_cause::refused:
        return "refused";
    case end_cause::withdrawn:
        return "withdrawn";
    case end_cause::handed_back:
        return "handed_back";
    case end_cause::listed:
        break;
    }
    return "listed";
}

enqueue_result enqueue(rack_state& rack, queued_start start)
{
    const run_id id{start.task, start.run};
    if (has_ended(rack.ended, id) || has_ended(rack.ended_earlier, id) ||
        has_pending_stop(rack, id))
    {
        return enqueue_result::known;
    }
    for (auto& [name, target] : rack.targets)
    {
        const auto it = target.runs.find(id);
        if (it != target.runs.end())
        {
            if (!it->second.terms)
            {
                it->second.terms = start.terms;
            }
            return enqueue_result::known;
        }
        if (has_unacknowledged_end(target, id))
        {
            return enqueue_result::known;
        }
    }
    if (find_queued(rack, id) != rack.queue.end())
    {
        return enqueue_result::known;
    }
    rack.queue.push_back(std::move(start));
    return enqueue_result::queued;
}

bool mark_overdue(rack_state& rack, const run_id& id)
{
    const auto queued = find_queued(rack, id);
    if (queued != rack.queue.end())
    {
        queued->is_overdue = true;
        return true;
    }
    return has_ended(rack.ended, id) || has_ended(rack.ended_earlier, id) ||
           rack.stops.count(id) > 0 ||
           std::any_of(rack.targets.begin(), rack.targets.end(),
                       [&id](const auto& item)
                       {
                           return item.second.runs.count(id) > 0 ||
                                  has_unacknowledged_end(item.second, id);
                       });
}

std::vector<run_event> apply_poll(rack_state& rack, rack_target& target,
                                  const poll_answer& answer, time_point sent_at,
                                  time_point now)
{
    std::vector<run_event> events;
    drop_expired_starts(target, now);
    target.runs.merge(target.unlisted_ends);
    if (target.started_ms != 0 && answer.started_ms != target.started_ms)
    {
        apply_restart(target, answer, sent_at, now, events);
        target.may_have_unread_ends = true;
        target.oldest_end = 0;
        target.lease_until_ms = 0;
        // Orders with a lease for the earlier boot may still arrive.
        target.unknown_lease_at = now + max_order_delay;
    }
    if (!target.is_reached)
    {
        target.reached_at = now;
        target.may_have_unread_ends = true;
    }
    target.started_ms = answer.started_ms;
    target.last_poll = {sent_at, answer.clock_ms};
    target.is_reached = true;
    target.may_have_unread_ends &= !has_all_ends(answer);
    if (sent_at > target.listed_restart_at)
    {
        target.listed_restart_at = {};
    }
    observe_end_list(target, answer, now);
    apply_ends(rack, target, answer, events);
    apply_runs(rack, target, answer, events, now);
    end_unlisted_runs(target, answer, events, sent_at);
    remember_ends(rack, events);
    return events;
}

std::vector<run_event> apply_start(rack_state& rack, rack_target& target,
                                   const run_id& id, order_verdict verdict,
                                   time_point now)
{
    std::vector<run_event> events;
    const auto it = target.runs.find(id);
    if (it == target.runs.end())
    {
        return events;
    }
    placed_run& run = it->second;
    switch (verdict)
    {
    case order_verdict::taken:
        target.faults = 0;
        if (!run.is_confirmed)
        {
            run.is_confirmed = true;
            run.confirmed_at = now;
        }
        if (!run.is_reported)
        {
            run.is_reported = true;
            run_event event;
            event.task = run.task;
            event.run = run.run;
            event.target = target.entry.id;
            events.push_back(std::move(event));
        }
        break;
    case order_verdict::old_run:
        // An earlier copy of the start has run and ended, or a stop has ruled
        // the run out. The target's next list shows which.
        if (!run.is_confirmed)
        {
            run.is_confirmed = true;
            run.confirmed_at = now;
        }
        break;
    case order_verdict::no_room:
    case order_verdict::other_boot:
    case order_verdict::unhealthy:
    {
        queued_start again;
        again.task = run.task;
        again.run = run.run;
        again.checkpoint = run.checkpoint;
        again.terms = run.terms;
        again.queued_at = now;
        again.waiting_since = run.waiting_since;
        const bool is_stopping = run.is_stopping;
        target.runs.erase(it);
        avoid(target, now);
        if (is_stopping)
        {
            events.push_back(not_started(again, end_cause::refused));
        }
        else
        {
            rack.queue.push_back(std::move(again));
        }
        break;
    }
    case order_verdict::no_permission:
    case order_verdict::malformed:
        events.push_back(ended(run, target.entry.id, run_end::not_started,
                               end_cause::refused));
        target.runs.erase(it);
        break;
    case order_verdict::wrong_token:
    case order_verdict::too_late:
        break;
    }
    remember_ends(rack, events);
    return events;
}

std::vector<run_event>
withdraw_unsent_start(rack_state& rack, rack_target& target, const run_id& id)
{
    std::vector<run_event> events;
    const auto it = target.runs.find(id);
    if (it == target.runs.end())
    {
        return events;
    }
    queued_start start;
    start.task = it->second.task;
    start.run = it->second.run;
    start.checkpoint = it->second.checkpoint;
    events.push_back(not_started(start, end_cause::withdrawn));
    target.runs.erase(it);
    remember_ends(rack, events);
    return events;
}

void add_unanswered_start(rack_target& target, const run_id& id, time_point now)
{
    target.unanswered_starts[id] = now + max_order_delay;
}

std::vector<run_event>
end_runs_of_former_boot(rack_state& rack, rack_target& target, time_point now)
{
    std::vector<run_event> events;
    if (rack.is_fenced)
    {
        return events;
    }
    end_all_runs(target, end_cause::other_boot, now, events);
    target.is_reached = true;
    target.may_have_unread_ends = false;
    target.lease_until_ms = 0;
    target.expires_at = now;
    remember_ends(rack, events);
    return events;
}

std::vector<run_event> expire_leases(rack_state& rack, time_point now)
{
    std::vector<run_event> events;
    if (rack.is_fenced)
    {
        return events;
    }
    for (auto it = rack.targets.begin(); it != rack.targets.end();)
    {
        rack_target& target = it->second;
        const time_point expiry = target.is_reached
                                      ? target.expires_at
                                      : former_leases_end(rack, target);
        // A newer owner may have renewed the leases, so the ownership has to be
        // confirmed by a read that began after the expiry.
        const bool is_expired = now >= expiry && rack.verified_at >= expiry;
        if (is_expired &&
            !(target.runs.empty() && target.unlisted_ends.empty()))
        {
            end_all_runs(target, end_cause::lease_expired, now, events);
            rack.inferred_ends_at = now;
        }
        if (is_expired)
        {
            rack.has_unseen_ends |=
                target.is_inherited && !has_known_runs(target);
            target.may_have_unread_ends = false;
        }
        if (is_expired && !target.is_listed)
        {
            it = rack.targets.erase(it);
        }
        else
        {
            ++it;
        }
    }
    remember_ends(rack, events);
    return events;
}

std::vector<run_event> withdraw(rack_state& rack, const run_id& id,
                                std::string& target)
{
    std::vector<run_event> events;
    target.clear();
    for (auto& [name, item] : rack.targets)
    {
        const auto it = item.runs.find(id);
        if (it != item.runs.end())
        {
            it->second.is_stopping = true;
            target = name;
            return events;
        }
        if (has_unacknowledged_end(item, id))
        {
            return events;
        }
    }
    const auto queued =
        std::find_if(rack.queue.begin(), rack.queue.end(),
                     [&id](const queued_start& item) {
                         return item.task == id.first && item.run == id.second;
                     });
    const bool is_certain = queued != rack.queue.end() && !queued->is_repeated;
    if (is_certain)
    {
        events.push_back(not_started(*queued, end_cause::withdrawn));
    }
    else
    {
        rack.stops.insert(id);
    }
    if (queued != rack.queue.end())
    {
        rack.queue.erase(queued);
    }
    remember_ends(rack, events);
    return events;
}

std::vector<run_event> report_settled_stops(rack_state& rack, time_point now)
{
    std::vector<run_event> events;
    if (rack.stops.empty() || rack.is_fenced || !knows_all_runs(rack, now))
    {
        return events;
    }
    for (const run_id& id : rack.stops)
    {
        queued_start start;
        start.task = id.first;
        start.run = id.second;
        events.push_back(not_started(start, end_cause::withdrawn));
    }
    rack.stops.clear();
    remember_ends(rack, events);
    return events;
}

void acknowledge(rack_target& target, std::int64_t number, const run_id& id)
{
    const auto it = target.ends.find(number);
    if (it != target.ends.end() && it->second.task == id.first &&
        it->second.run == id.second)
    {
        it->second.is_recorded = true;
    }
    while (!target.ends.empty() && target.ends.begin()->second.is_recorded)
    {
        target.acknowledged = target.ends.begin()->first;
        target.ends.erase(target.ends.begin());
    }
}

bool knows_all_runs(const rack_state& rack, time_point now)
{
    const bool has_unlisted_ends = std::any_of(
        rack.targets.begin(), rack.targets.end(),
        [](const auto& item)
        {
            const rack_target& target = item.second;
            return target.is_inherited && target.may_have_unread_ends;
        });
    // The leases on such a target do not matter: a run may have ended earlier.
    if (has_unlisted_ends)
    {
        return false;
    }
    if (now >= rack.unknown_until && rack.verified_at >= rack.unknown_until)
    {
        return true;
    }
    return std::all_of(rack.targets.begin(), rack.targets.end(),
                       [&](const auto& item)
                       {
                           const time_point end =
                               former_leases_end(rack, item.second);
                           return item.second.is_reached ||
                                  !item.second.is_inherited ||
                                  (now >= end && rack.verified_at >= end);
                       });
}

bool is_concluding(const rack_state& rack, time_point now)
{
    const bool has_silent_runs = std::any_of(
        rack.targets.begin(), rack.targets.end(),
        [now](const auto& item)
        {
            const rack_target& target = item.second;
            return target.is_reached && now - target.clock_at >= silent_after &&
                   (!target.unlisted_ends.empty() ||
                    std::any_of(target.runs.begin(), target.runs.end(),
                                [](const auto& run)
                                { return !run.second.is_ended; }));
        });
    const bool has_reports = rack.inferred_ends_at != time_point{} &&
                             now - rack.inferred_ends_at < inferred_report_time;
    return has_silent_runs || has_reports || !knows_all_runs(rack, now);
}

std::vector<run_event> hand_back(rack_state& rack, milliseconds min_wait,
                                 const place_counter& count_places,
                                 time_point now)
{
    std::vector<run_event> events;
    if (rack.is_fenced || now - rack.hand_back_checked_at < min_wait)
    {
        return events;
    }
    std::vector<hand_back_group> groups;
    std::vector<queued_start> remaining;
    for (queued_start& start : rack.queue)
    {
        const room_kind room = has_reservation(rack, start)
                                   ? room_kind::free
                                   : room_kind::eventual;
        hand_back_group* const group =
            !start.is_repeated && now - start.queued_at > min_wait
                ? &find_group(groups, *start.terms, room, count_places)
                : nullptr;
        if (group != nullptr &&
            (may_hand_back(*group, events.size()) ||
             (start.is_overdue && room == room_kind::eventual &&
              now - start.queued_at > max_overdue_wait &&
              is_lightly_used(rack, start.terms->service))))
        {
            ++group->handed_back_count;
            events.push_back(not_started(start, end_cause::handed_back));
            events.back().waited =
                std::chrono::duration_cast<milliseconds>(now - start.queued_at);
            continue;
        }
        remaining.push_back(std::move(start));
    }
    rack.queue = std::move(remaining);
    if (!groups.empty())
    {
        rack.hand_back_checked_at = now;
    }
    remember_ends(rack, events);
    return events;
}

void forget_ends(rack_state& rack, time_point now)
{
    if (now - rack.ended_since > ends_retention)
    {
        rack.ended_earlier = std::move(rack.ended);
        rack.ended.clear();
        rack.ended_since = now;
    }
}

std::vector<run_event> resolve_repeated(rack_state& rack, const run_id& id,
                                        bool is_recorded)
{
    std::vector<run_event> events;
    const auto it =
        std::find_if(rack.queue.begin(), rack.queue.end(),
                     [&id](const queued_start& item) {
                         return item.task == id.first && item.run == id.second;
                     });
    if (it == rack.queue.end())
    {
        return events;
    }
    const bool has_unseen_ends = may_have_unseen_end(rack, *it);
    if (is_recorded && !has_unseen_ends)
    {
        it->is_repeated = false;
        return events;
    }
    if (is_recorded)
    {
        // The run may have started on a target that was not reached, which may
        // list its end later. The next run of the task has another number.
        run_event event = not_started(*it, end_cause::lease_expired);
        event.how = run_end::lost;
        events.push_back(std::move(event));
    }
    rack.queue.erase(it);
    remember_ends(rack, events);
    return events;
}

void remember_ends(rack_state& rack, const std::vector<run_event>& events)
{
    for (const run_event& event : events)
    {
        if (event.what == run_event::kind::ended)
        {
            std::int64_t& run = rack.ended[event.task];
            run = std::max(run, event.run);
        }
    }
}

} // namespace egretspindle
