#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "job_coordinator_impl.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

// Names with the number of times that each occurs, such as `r1-1=4,r2-3=2`.
std::string counted_names(const std::vector<std::string>& names)
{
    std::map<std::string, int> counts;
    for (const std::string& name : names)
    {
        ++counts[name];
    }
    std::string text;
    for (const auto& [name, count] : counts)
    {
        text += fmt::format("{}{}={}", text.empty() ? "" : ",", name, count);
    }
    return text;
}

} // namespace

std::int64_t job_coordinator::impl::max_attempts(const job& value) const
{
    const std::shared_ptr<const fleet_config> config = hooks.config();
    const queue_config* queue = find_queue_named(*config, value.queue);
    return queue == nullptr ? 1
                            : std::max<std::int64_t>(1, queue->max_attempts);
}

step_terms job_coordinator::impl::terms_of(const job& value,
                                           std::size_t occurrence,
                                           std::size_t step) const
{
    const step_spec& spec = value.spec.steps[step];
    const std::shared_ptr<const fleet_config> config = hooks.config();
    const queue_config* queue = find_queue_named(*config, value.queue);
    step_terms terms;
    terms.step = fmt::format("{}.{}.{}", value.id, occurrence, step);
    terms.text = value.spec.text;
    terms.size = {spec.cpu_milli, spec.memory_mb, spec.accelerators};
    terms.required_label = spec.required_label;
    terms.max_per_target = spec.max_per_target;
    terms.is_gang = spec.is_gang;
    terms.gang_size = spec.is_gang ? spec.count : 0;
    terms.is_long_running = spec.is_long_running;
    terms.is_checkpointing = spec.is_checkpointing;
    terms.response_target_ms = spec.response_target_ms;
    terms.image = spec.image;
    terms.uses_idle_cpu = spec.uses_idle_cpu;
    terms.max_absent = spec.max_absent;
    const std::int64_t chain_ms = remaining_chain_ms(value);
    const std::int64_t whole_ms = whole_chain_ms(value);
    const double stretch = queue == nullptr ? 1.0 : queue->stretch;
    terms.rank_ms =
        value.accepted_ms +
        static_cast<std::int64_t>(stretch * static_cast<double>(whole_ms));
    if (queue != nullptr)
    {
        terms.service = queue->service;
        terms.priority = queue->priority;
        terms.rank_ms += queue->target_duration_ms;
    }
    terms.latest_start_ms = terms.rank_ms - chain_ms;
    return terms;
}

// Returns whether a new job fits the fleet. Only tasks that last are refused:
// all others end, and leave their room to what waits.
bool job_coordinator::impl::has_room(const job_call& call) const
{
    if (!hooks.has_room_to_last)
    {
        return true;
    }
    const job value = make_job(call.id, call.queue, call.spec, unix_ms());
    for (std::size_t n = 0; n < call.spec.steps.size(); ++n)
    {
        const step_spec& step = call.spec.steps[n];
        if (step.is_long_running &&
            !hooks.has_room_to_last(terms_of(value, 0, n),
                                    static_cast<std::size_t>(step.count)))
        {
            return false;
        }
    }
    return true;
}

void job_coordinator::impl::assign_step(const entry_ptr& entry,
                                        const due_step& due)
{
    const step_spec& spec = entry->value.spec.steps[due.step];
    step_terms terms = terms_of(entry->value, due.occurrence, due.step);
    if (terms.service.empty())
    {
        return; // its queue was removed; it waits for one of that name
    }
    // A rack that handed a task back may look free and still not suit it, such
    // as when each target has a task of the step already.
    terms.earlier_rack = entry->value.occurrences[due.occurrence]
                             .steps[due.step][due.tasks.front()]
                             .rack;
    const std::vector<std::string> racks =
        hooks.choose_racks(terms, due.tasks.size(), spec.data_rack);
    const bool has_rack = spec.is_gang ? !racks.front().empty()
                                       : std::any_of(racks.begin(), racks.end(),
                                                     [](const std::string& rack)
                                                     { return !rack.empty(); });
    if (!has_rack)
    {
        return; // no target can take it now; the next tick asks again
    }
    log_info("racks chosen", {{"step", terms.step},
                              {"tasks", due.tasks.size()},
                              {"racks", counted_names(racks)},
                              {"earlier_rack", terms.earlier_rack},
                              {"image", terms.image}});
    std::int64_t gang_run = 0;
    if (spec.is_gang)
    {
        gang_run = assign_gang(entry->value, due, racks.front());
    }
    mark(entry);
    for (std::size_t n = 0; n < due.tasks.size(); ++n)
    {
        const task_key key{entry->value.id, due.occurrence, due.step,
                           due.tasks[n]};
        if (!spec.is_gang && racks[n].empty())
        {
            continue;
        }
        sent_run sent;
        sent.run =
            spec.is_gang ? gang_run : assign_run(entry->value, key, racks[n]);
        sent.change = entry->changes;
        entry->sent[to_string(key)] = sent;
    }
}

void job_coordinator::impl::assign_due(const entry_ptr& entry)
{
    for (const due_step& due : due_steps(entry->value))
    {
        assign_step(entry, due);
    }
}

// Returns the orders for a rack. The token is that of the time when the first
// order is added: what is checked later is at least as new.
rack_orders&
job_coordinator::impl::orders_for(std::map<std::string, rack_orders>& orders,
                                  const std::string& rack) const
{
    rack_orders& found = orders[rack];
    if (found.rack.empty())
    {
        found.rack = rack;
        found.token = hooks.rack_token(rack);
    }
    return found;
}

// Returns whether the owners are known well enough for a start. A start that
// was read from the store goes to the owner that the rack had after this host
// took the shard over, not to an earlier one that does not know that it was
// replaced. So a former owner of the shard may take a start that it could not
// deliver for a first one as long as it saw itself as owner after the rack's
// owner had got its token.
bool job_coordinator::impl::may_send(const job_entry& entry,
                                     const sent_run& sent,
                                     const rack_orders& orders) const
{
    if (!hooks.is_shard_confirmed)
    {
        return true;
    }
    if (sent.is_inherited)
    {
        const auto shard = shards.find(entry.shard);
        return shard != shards.end() &&
               hooks.is_shard_confirmed(entry.shard, shard->second.token) &&
               hooks.rack_token(orders.rack) == orders.token;
    }
    return !sent.was_undelivered || sent.deliveries > 0 ||
           hooks.is_shard_confirmed(entry.shard, orders.token);
}

void job_coordinator::impl::add_start(
    job_entry& entry, const assigned_run& run, sent_run& sent,
    std::map<std::string, rack_orders>& orders, time_point now)
{
    const step_terms terms =
        terms_of(entry.value, run.key.occurrence, run.key.step);
    if (terms.service.empty())
    {
        return; // the configuration is not known yet, or has no such queue
    }
    rack_orders& target = orders_for(orders, run.rack);
    if (!may_send(entry, sent, target))
    {
        return; // the next read of the owners shows whether the shard is lost
    }
    if (target.starts.empty() || target.starts.back().terms.step != terms.step)
    {
        target.starts.push_back({terms, {}});
    }
    const job_task* task = find_task(entry.value, run.key);
    step_run item;
    item.index = static_cast<std::int64_t>(run.key.index);
    item.run = run.run;
    item.checkpoint = task->checkpoint;
    item.is_repeated = sent.is_inherited || sent.deliveries > 0;
    target.starts.back().runs.push_back(std::move(item));
    sent.sent_at = now;
    ++sent.deliveries;
}

// Adds the orders of a job that are durable and not confirmed by the current
// owner of the rack.
void job_coordinator::impl::collect_orders(
    job_entry& entry, std::map<std::string, rack_orders>& orders,
    time_point now)
{
    for (const assigned_run& run : assigned_runs(entry.value))
    {
        sent_run& sent = entry.sent[to_string(run.key)];
        const bool is_stop = entry.value.outcome != job_outcome::open;
        const time_point last = is_stop ? sent.stop_sent_at : sent.sent_at;
        const bool is_recent =
            last != time_point{} && now - last < limits.resend_period;
        if (sent.change > entry.durable || is_recent)
        {
            continue;
        }
        if (is_stop)
        {
            if (entry.shown == "queued" || entry.shown == "running")
            {
                continue; // the end of the job is not durable yet
            }
            rack_orders& target = orders_for(orders, run.rack);
            target.stops.push_back({to_string(run.key), run.run});
            sent.stop_sent_at = now;
            continue;
        }
        if (sent.confirmed_token == 0 ||
            sent.confirmed_token != hooks.rack_token(run.rack))
        {
            add_start(entry, run, sent, orders, now);
        }
    }
}

void job_coordinator::impl::send_all(
    const std::map<std::string, rack_orders>& orders)
{
    for (const auto& [rack, item] : orders)
    {
        if (!item.starts.empty() || !item.stops.empty())
        {
            hooks.send(item);
        }
    }
}

// Finds the job of a report; a verdict when the report cannot be applied.
std::optional<report_verdict>
job_coordinator::impl::find_reported(const run_report& report,
                                     const task_key& key, entry_ptr& found)
{
    const std::string shard = shard_of(key.job);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = shards.find(shard);
        if (it == shards.end() || it->second.phase != shard_phase::ready)
        {
            return report_verdict{"retry", {}};
        }
        found = find(key.job);
    }
    bool is_reachable = true;
    if (!found)
    {
        found = fetch(key.job, is_reachable);
    }
    if (!is_reachable)
    {
        return report_verdict{"retry", {}};
    }
    if (!found)
    {
        return report_verdict{report.what == "seen" ? "stop" : "recorded", {}};
    }
    return std::nullopt;
}

report_verdict job_coordinator::impl::apply_sighting(const run_report& report,
                                                     const task_key& key,
                                                     job_entry& entry,
                                                     bool is_current)
{
    if (!is_current || entry.value.outcome != job_outcome::open)
    {
        return {is_current || report.what == "seen" ? "stop" : "recorded", {}};
    }
    entry.value.has_started = true;
    if (entry.shown == "queued")
    {
        entry.shown = "running";
    }
    entry.sent[report.task].confirmed_token = hooks.rack_token(report.rack);
    if (report.what == "started")
    {
        return {"recorded", {}};
    }
    return {"wanted", terms_of(entry.value, key.occurrence, key.step)};
}

void job_coordinator::impl::apply_end(const run_report& report,
                                      const task_key& key,
                                      const entry_ptr& entry)
{
    const run_end how = run_end_from(report.how);
    if (how != run_end::not_started)
    {
        entry->value.has_started = true;
    }
    end_run(entry->value, key, report.run, how, report.checkpoint,
            max_attempts(entry->value), unix_ms());
    entry->sent.erase(report.task);
    log_info("run ended", {{"task", report.task},
                           {"run", report.run},
                           {"how", report.how},
                           {"target", report.target},
                           {"rack", report.rack},
                           {"job_outcome", to_string(entry->value.outcome)}});
    mark(entry);
    assign_due(entry);
}

report_verdict job_coordinator::impl::apply(const run_report& report,
                                            entry_ptr& touched,
                                            std::uint64_t& change)
{
    const std::optional<task_key> key = parse_task_key(report.task);
    if (!key)
    {
        log_error("report names no task", {{"task", report.task}});
        return {report.what == "seen" ? "stop" : "recorded", {}};
    }
    const std::optional<report_verdict> verdict =
        find_reported(report, *key, touched);
    if (verdict)
    {
        return *verdict;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const job_task* task = find_task(touched->value, *key);
    const bool is_at_rest = touched->value.spec.steps.empty();
    const bool is_later =
        task == nullptr ? !is_at_rest : task->run < report.run;
    if (is_later)
    {
        // Another host has assigned a later run; the row tells which.
        if (!touched->is_writing && !touched->is_uncertain)
        {
            forget(touched);
        }
        return {"retry", {}};
    }
    const bool is_current = task != nullptr && task->run == report.run &&
                            task->phase == job_task_phase::assigned;
    if (report.what != "ended")
    {
        return apply_sighting(report, *key, *touched, is_current);
    }
    // What a target lists is certain. What the owner of a rack concludes counts
    // only while it is the owner, since a later one may have the run.
    if (report.number == 0 && report.token < hooks.rack_token(report.rack))
    {
        log_info("report of a former owner was ignored",
                 {{"task", report.task},
                  {"run", report.run},
                  {"how", report.how},
                  {"rack", report.rack}});
        return {"recorded", {}};
    }
    if (is_current)
    {
        apply_end(report, *key, touched);
        if (report.number == 0)
        {
            relied_owner& owner = touched->relied[report.rack];
            owner.token = owner.token == 0
                              ? report.token
                              : std::min(owner.token, report.token);
            owner.change = touched->changes;
        }
    }
    change = touched->changes;
    return {"recorded", {}};
}

} // namespace egretspindle
