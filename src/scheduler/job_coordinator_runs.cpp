#include "egretspindle/jobs/gang.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "job_coordinator_impl.hpp"
#include "job_terms.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

// Minimum time between log lines about one job. The assignment of a step
// without a rack is tried in each tick, four times a second.
constexpr milliseconds no_rack_log_period{30'000};

// Formats each name with the number of times that it is listed, such as
// `r1-1=4,r2-3=2`.
std::string format_counts(const std::vector<std::string>& names)
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

// Time for which a step avoids a rack that handed back one of its tasks. Such a
// rack may report free capacity and still not suit the task, for example when
// its free targets already run a task of the step. Within this period a task
// can try several other racks, and the rack that handed it back has reported
// its capacity again.
constexpr milliseconds rack_avoidance_period{5'000};

// Users expect a job with a task that can run to have one at work within 3 s
// while its service is half empty. After `overdue_after` without any, the owner
// of the rack is told so, again every `overdue_period`: it may have another
// owner by then, or have lost the start.
constexpr milliseconds overdue_after{1'000};
constexpr milliseconds overdue_period{1'000};

// Absences of long-running tasks from this duration on have a log line. Users
// expect such a task to be at work again within 6 s of its last run.
constexpr milliseconds logged_absence{3'000};

// Returns the number of assigned tasks by rack.
std::map<std::string, std::int64_t>
count_by_rack(const std::vector<job_task>& tasks)
{
    std::map<std::string, std::int64_t> counts;
    for (const job_task& task : tasks)
    {
        if (task.phase == job_task_phase::assigned)
        {
            ++counts[task.rack];
        }
    }
    return counts;
}

// Returns the racks that handed back a task of a step within
// `rack_avoidance_period`, and removes older entries of all steps.
std::set<std::string> racks_that_handed_back(job_entry& entry,
                                             const std::string& step,
                                             time_point now)
{
    std::set<std::string> racks;
    for (auto it = entry.handed_back_at.begin();
         it != entry.handed_back_at.end();)
    {
        if (now - it->second > rack_avoidance_period)
        {
            it = entry.handed_back_at.erase(it);
            continue;
        }
        if (it->first.first == step)
        {
            racks.insert(it->first.second);
        }
        ++it;
    }
    return racks;
}

} // namespace

bool has_long_running_step(const job& value) noexcept
{
    return std::any_of(value.spec.steps.begin(), value.spec.steps.end(),
                       [](const step_spec& step)
                       { return step.is_long_running; });
}

std::int64_t due_ms(const job& value) noexcept
{
    return std::max(value.accepted_ms, value.spec.start_at_ms);
}

// Returns the attempts of a task by the terms of its job, at least 1; no value
// if they are not known.
std::optional<std::int64_t>
job_coordinator::impl::max_attempts(const job& value) const
{
    const queue_terms terms = terms_in_effect(value, *hooks.config());
    if (terms.service.empty())
    {
        return std::nullopt;
    }
    return std::max<std::int64_t>(1, terms.max_attempts);
}

// Returns the terms under which racks run the tasks of a step. `service` is
// empty if the terms of the job are not known.
step_terms job_coordinator::impl::terms_of(const job& value,
                                           std::size_t occurrence,
                                           std::size_t step) const
{
    const step_spec& spec = value.spec.steps[step];
    const queue_terms queue = terms_in_effect(value, *hooks.config());
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
    const std::int64_t total_ms = total_chain_ms(value);
    terms.service = queue.service;
    terms.priority = queue.priority;
    terms.objective_ms = value.accepted_ms +
                         static_cast<std::int64_t>(
                             queue.stretch * static_cast<double>(total_ms)) +
                         queue.target_duration_ms;
    terms.latest_start_ms = terms.objective_ms - chain_ms;
    return terms;
}

// Returns whether the configuration of this host has removed the queue of a
// submission since the version that it was received under. Without any terms,
// the receiver has applied such a configuration too, or does not send terms:
// the job could not be started.
bool job_coordinator::impl::is_queue_removed(const job_request& request) const
{
    const std::shared_ptr<const fleet_config> config = hooks.config();
    return (request.terms.service.empty() ||
            config->version > request.terms.config_version) &&
           find_queue_named(*config, request.queue) == nullptr;
}

// Creates the job for a submission, with the terms of its queue.
job job_coordinator::impl::make_new_job(const job_request& request) const
{
    job value = make_job(request.id, request.queue, request.spec, unix_ms());
    value.terms = request.terms;
    update_terms(value, *hooks.config());
    return value;
}

// Updates the terms of a job to the configuration, and queues a write of them
// if the job could not be completed as accepted without it.
void job_coordinator::impl::adopt_terms(const entry_ptr& entry,
                                        const fleet_config& config)
{
    if (update_terms(entry->value, config))
    {
        mark_changed(entry);
    }
}

// Returns the first step of a new job for which the fleet has no capacity. Only
// long-running steps are checked: other tasks end and release their capacity to
// waiting ones.
std::optional<std::size_t>
job_coordinator::impl::step_without_capacity(const job_request& request) const
{
    if (!hooks.has_room_for_long_running)
    {
        return std::nullopt;
    }
    const job value = make_new_job(request);
    for (std::size_t n = 0; n < request.spec.steps.size(); ++n)
    {
        const step_spec& step = request.spec.steps[n];
        if (step.is_long_running &&
            !hooks.has_room_for_long_running(
                terms_of(value, 0, n), static_cast<std::size_t>(step.count)))
        {
            return n;
        }
    }
    return std::nullopt;
}

void job_coordinator::impl::log_no_capacity(const job_request& request,
                                            std::size_t step,
                                            std::int64_t retry_after_ms) const
{
    const job value = make_new_job(request);
    const step_terms terms = terms_of(value, 0, step);
    const service_load_summary summary =
        hooks.summarize_service_load
            ? hooks.summarize_service_load(terms.service)
            : service_load_summary{};
    log_info("job refused",
             {{"job", request.id},
              {"queue", request.queue},
              {"reason", to_string(refusal_reason::no_room)},
              {"certain", true},
              {"step", step},
              {"service", terms.service},
              {"wanted_milli",
               terms.size.cpu_milli * request.spec.steps[step].count},
              {"free_milli", summary.free_milli},
              {"usable_milli", summary.usable_milli},
              {"reported_milli", summary.reported_milli},
              {"capacity_milli", summary.capacity_milli},
              {"report_age_ms", summary.oldest_report_ms},
              {"old_reports", summary.old_reports},
              {"retry_after_ms", retry_after_ms}});
}

void job_coordinator::impl::log_assignment(
    const step_terms& terms, const due_step& due,
    const std::vector<std::string>& racks) const
{
    const rack_load_summary summary = hooks.summarize_rack_loads
                                          ? hooks.summarize_rack_loads(racks)
                                          : rack_load_summary{};
    log_info("assigned step to racks",
             {{"step", terms.step},
              {"tasks", due.tasks.size()},
              {"racks", format_counts(racks)},
              {"earlier_rack", terms.earlier_rack},
              {"image", terms.image.str()},
              {"lasting", terms.is_long_running},
              {"report_age_ms", summary.oldest_report_ms},
              {"unreported", summary.unreported},
              {"rack_queued", summary.queued},
              {"rack_free_milli", summary.free_cpu_milli}});
}

// Counts a step that is not assigned to a rack and logs the reason, once per
// `no_rack_log_period`. Otherwise the job would appear in no log line after its
// acceptance.
void job_coordinator::impl::log_no_rack(job_entry& entry,
                                        const step_terms& terms,
                                        const due_step& due,
                                        const std::string& reason)
{
    ++steps_without_rack;
    const time_point now = steady_clock::now();
    const bool is_recent = entry.no_rack_logged_at != time_point{} &&
                           now - entry.no_rack_logged_at < no_rack_log_period;
    if (is_recent)
    {
        return;
    }
    entry.no_rack_logged_at = now;
    log_warning("no rack for step",
                {{"step", terms.step},
                 {"tasks", due.tasks.size()},
                 {"reason", reason},
                 {"queue", entry.value.queue},
                 {"service", terms.service},
                 {"image", terms.image.str()},
                 {"lasting", terms.is_long_running},
                 {"required_label", terms.required_label},
                 {"cpu_milli", terms.size.cpu_milli},
                 {"memory_mb", terms.size.memory_mb},
                 {"accelerators", terms.size.accelerators},
                 {"config_version", hooks.config()->version},
                 {"due_for_ms", unix_ms() - due_ms(entry.value)}});
}

// Records the waiting time of a job if this is its first start. Jobs read from
// the store are left out: a former owner may have known of their start without
// recording it.
void job_coordinator::impl::observe_first_start(const job_entry& entry) const
{
    if (!entry.value.has_started && entry.is_accepted_here)
    {
        series_of(metrics.first_start, has_long_running_step(entry.value))
            .observe(static_cast<double>(
                std::max<std::int64_t>(0, unix_ms() - due_ms(entry.value))));
    }
}

// Records how long a task was not at work, through all racks that it waited in.
// After a takeover of its shard, only the time since then is known.
void job_coordinator::impl::observe_absence(const job_entry& entry,
                                            const run_report& report,
                                            const task_key& key) const
{
    const auto since = entry.waiting_since.find(report.task);
    if (since == entry.waiting_since.end())
    {
        return;
    }
    const bool is_long_running =
        entry.value.spec.steps[key.step].is_long_running;
    const std::int64_t away_ms = elapsed_ms(since->second, steady_clock::now());
    series_of(metrics.away, is_long_running)
        .observe(static_cast<double>(away_ms));
    if (is_long_running && away_ms >= logged_absence.count())
    {
        log_info("task was not at work", {{"task", report.task},
                                          {"run", report.run},
                                          {"away_ms", away_ms},
                                          {"target", report.target},
                                          {"rack", report.rack}});
    }
}

// Assigns runs of the tasks of a due step to racks. Tasks without a rack wait
// for the next tick.
void job_coordinator::impl::assign_step(const entry_ptr& entry,
                                        const due_step& due)
{
    const step_spec& spec = entry->value.spec.steps[due.step];
    step_terms terms = terms_of(entry->value, due.occurrence, due.step);
    if (terms.service.empty())
    {
        // No configuration has been read, or the queue was removed and the
        // record of the job was written by a version without terms.
        log_no_rack(*entry, terms, due, "terms of the queue are not known");
        return;
    }
    const std::vector<job_task>& tasks =
        entry->value.occurrences[due.occurrence].steps[due.step];
    terms.earlier_rack = tasks[due.tasks.front()].rack;
    terms.tasks_in_rack = count_by_rack(tasks);
    terms.avoided_racks =
        racks_that_handed_back(*entry, terms.step, steady_clock::now());
    // Tasks of a gang that depends on one rack are slower when it is split, so
    // it waits for a rack that can hold it whenever there is one.
    terms.prefers_split_gang =
        spec.is_gang && !spec.is_rack_local && !terms.avoided_racks.empty();
    const std::vector<std::string> racks =
        hooks.choose_racks(terms, due.tasks.size(), spec.data_rack);
    const bool has_rack = spec.is_gang ? !racks.front().empty()
                                       : std::any_of(racks.begin(), racks.end(),
                                                     [](const std::string& rack)
                                                     { return !rack.empty(); });
    if (!has_rack)
    {
        // No target can take the step now; the next tick tries again.
        log_no_rack(*entry, terms, due, "no target can take the step");
        return;
    }
    log_assignment(terms, due, racks);
    std::int64_t gang_run = 0;
    if (spec.is_gang)
    {
        gang_run = assign_gang(entry->value, due, racks);
    }
    mark_changed(entry);
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
        sent.change = entry->last_change;
        const std::string task = to_string(key);
        entry->sent[task] = sent;
        entry->waiting_since.emplace(task, steady_clock::now());
    }
}

// Assigns the waiting tasks of a job, unless one of them has used up its
// attempts while the terms of the job were not known.
void job_coordinator::impl::assign_due_steps(const entry_ptr& entry)
{
    const std::vector<due_step> due_now = due_steps(entry->value);
    if (due_now.empty())
    {
        return;
    }
    const std::optional<std::int64_t> limit = max_attempts(entry->value);
    if (limit && apply_attempt_limit(entry->value, *limit, unix_ms()))
    {
        log_info("job failed: attempts were used up before its terms were "
                 "known",
                 {{"job", entry->value.id},
                  {"queue", entry->value.queue},
                  {"max_attempts", *limit}});
        mark_changed(entry);
        return;
    }
    for (const due_step& due : due_now)
    {
        assign_step(entry, due);
    }
}

// Returns the orders for a rack. The token is read when the first order is
// added, so that later checks of these orders use information that is at least
// as recent.
rack_orders&
job_coordinator::impl::orders_for(std::map<std::string, rack_orders>& orders,
                                  const std::string& rack, time_point now) const
{
    rack_orders& found = orders[rack];
    if (found.rack.empty())
    {
        found.rack = rack;
        found.collected_at = {now};
        found.token = hooks.rack_token(rack);
    }
    return found;
}

// Returns whether the ownership of the shard and the rack is known to be recent
// enough to send a start. A start that was read from the store is sent only to
// an owner that the rack had after this host took over the shard, not to an
// earlier one that does not know that it was replaced. A former owner of the
// shard may therefore treat a start that it could not deliver as not sent, as
// long as a read showed it as owner after the rack's owner got its token.
bool job_coordinator::impl::may_send_start(const job_entry& entry,
                                           const sent_run& sent,
                                           const rack_orders& orders) const
{
    if (!hooks.is_shard_confirmed)
    {
        return true;
    }
    if (sent.is_from_store)
    {
        const auto shard = shards.find(entry.shard);
        return shard != shards.end() &&
               hooks.is_shard_confirmed(entry.shard, shard->second.token) &&
               hooks.rack_token(orders.rack) == orders.token;
    }
    return sent.possible_deliveries > 0 ||
           hooks.is_shard_confirmed(entry.shard, orders.token);
}

// Adds the start of a run to the orders for its rack, unless it must wait for
// the configuration or for `may_send_start`.
void job_coordinator::impl::add_start(
    job_entry& entry, const assigned_run& run, sent_run& sent,
    std::map<std::string, rack_orders>& orders, time_point now)
{
    step_terms terms = terms_of(entry.value, run.key.occurrence, run.key.step);
    if (terms.is_gang)
    {
        const std::int64_t whole = terms.gang_size;
        terms.gang_size = tasks_in_same_rack(entry.value, run.key);
        terms.is_part_of_gang = terms.gang_size < whole;
    }
    if (terms.service.empty())
    {
        return; // the terms of the job are not known yet
    }
    rack_orders& rack = orders_for(orders, run.rack, now);
    if (!may_send_start(entry, sent, rack))
    {
        return; // wait until a read of the owners confirms the shard
    }
    if (rack.starts.empty() || rack.starts.back().terms.step != terms.step)
    {
        rack.starts.push_back({terms, {}});
    }
    const job_task* task = find_task(entry.value, run.key);
    step_run item;
    item.index = static_cast<std::int64_t>(run.key.index);
    item.run = run.run;
    item.checkpoint = task->checkpoint;
    item.is_repeated = sent.is_from_store || sent.possible_deliveries > 0;
    const time_point since =
        entry.waiting_since.emplace(to_string(run.key), now).first->second;
    item.waited_ms = std::max<std::int64_t>(0, elapsed_ms(since, now));
    rack.starts.back().runs.push_back(std::move(item));
    sent.sent_at = now;
    ++sent.possible_deliveries;
}

// Returns whether an order may be sent, or sent again if it was sent at
// `sent_at`. A second copy of one that is still being delivered would make the
// others for the host wait longer.
bool job_coordinator::impl::may_send_again(const std::string& rack,
                                           time_point sent_at,
                                           time_point now) const
{
    return sent_at == time_point{} ||
           (now - sent_at >= limits.resend_period &&
            (!hooks.is_in_delivery || !hooks.is_in_delivery(rack, sent_at)));
}

// Returns the task that the owner of its rack has to be asked about: the one
// that has waited longest, if nothing of the job is at work, else the
// long-running one that has, as each of these has to be at work; empty if there
// is none.
std::string job_coordinator::impl::find_overdue_start(const job_entry& entry,
                                                      time_point now)
{
    const bool has_recent = entry.overdue_sent_at != time_point{} &&
                            now - entry.overdue_sent_at < overdue_period;
    if (entry.value.outcome != job_outcome::open || has_recent)
    {
        return {};
    }
    std::string oldest;
    std::string oldest_long_running;
    time_point oldest_since = now - overdue_after;
    time_point oldest_long_running_since = oldest_since;
    bool is_any_at_work = false;
    for (const auto& [task, sent] : entry.sent)
    {
        is_any_at_work |= sent.is_at_work;
        const auto since = entry.waiting_since.find(task);
        if (sent.is_at_work || since == entry.waiting_since.end())
        {
            continue;
        }
        if (since->second < oldest_since)
        {
            oldest = task;
            oldest_since = since->second;
        }
        const std::optional<task_key> key = parse_task_key(task);
        if (key && entry.value.spec.steps[key->step].is_long_running &&
            since->second < oldest_long_running_since)
        {
            oldest_long_running = task;
            oldest_long_running_since = since->second;
        }
    }
    return is_any_at_work ? oldest_long_running : oldest;
}

// Logs the first stops of a closed job, and records for how long they waited
// for a durable record.
//
// \param racks   rack of each stop
// \param unsent  number of runs whose stops still wait
void job_coordinator::impl::observe_first_stops(
    const job_entry& entry, const std::vector<std::string>& racks,
    std::size_t unsent, time_point now) const
{
    // `now` may have been read before the job was closed.
    const std::int64_t waited =
        std::max<std::int64_t>(0, elapsed_ms(entry.closed_at, now));
    metrics.first_stops.observe(static_cast<double>(waited));
    log_info("sending stops of closed job",
             {{"job", entry.value.id},
              {"outcome", to_string(entry.value.outcome)},
              {"stops", racks.size()},
              {"unsent", unsent},
              {"racks", format_counts(racks)},
              {"waited_ms", waited}});
}

// Adds the starts and stops of a job whose changes are durable and which the
// current owner of the rack has not confirmed, and a start that is overdue.
void job_coordinator::impl::collect_orders(
    job_entry& entry, std::map<std::string, rack_orders>& orders,
    time_point now)
{
    const std::string overdue = find_overdue_start(entry, now);
    const std::vector<assigned_run> runs = assigned_runs(entry.value);
    const std::set<std::string> without_gang = runs_without_gang(entry.value);
    std::vector<std::string> stop_racks; // of each stop
    for (const assigned_run& run : runs)
    {
        const std::string task = to_string(run.key);
        sent_run& sent = entry.sent[task];
        if (entry.value.outcome == job_outcome::open &&
            without_gang.count(task) > 0)
        {
            // The run ends in any case, so its stop waits for no record.
            if (sent.change <= entry.durable_change &&
                may_send_again(run.rack, sent.stop_sent_at, now))
            {
                orders_for(orders, run.rack, now)
                    .stops.push_back({task, run.run});
                sent.stop_sent_at = now;
            }
            continue;
        }
        const bool is_stop = entry.value.outcome != job_outcome::open;
        const time_point last = is_stop ? sent.stop_sent_at : sent.sent_at;
        // The end of a job that was read from the store is durable before this
        // host has written the job.
        const bool is_durable = is_stop ? is_end_durable(entry)
                                        : sent.change <= entry.durable_change;
        if (!is_durable || !may_send_again(run.rack, last, now))
        {
            continue;
        }
        if (is_stop)
        {
            rack_orders& rack = orders_for(orders, run.rack, now);
            rack.stops.push_back({to_string(run.key), run.run});
            sent.stop_sent_at = now;
            stop_racks.push_back(run.rack);
            continue;
        }
        if (sent.confirmed_token == 0 ||
            sent.confirmed_token < hooks.rack_token(run.rack))
        {
            add_start(entry, run, sent, orders, now);
        }
        else if (task == overdue)
        {
            orders_for(orders, run.rack, now)
                .overdue.push_back({task, run.run});
            entry.overdue_sent_at = now;
        }
    }
    if (!stop_racks.empty() && !entry.has_sent_stops)
    {
        entry.has_sent_stops = true;
        observe_first_stops(entry, stop_racks, runs.size() - stop_racks.size(),
                            now);
    }
}

void job_coordinator::impl::send_orders(
    const std::map<std::string, rack_orders>& orders)
{
    for (const auto& [rack, item] : orders)
    {
        if (!item.starts.empty() || !item.stops.empty() ||
            !item.overdue.empty())
        {
            hooks.send(item);
        }
    }
}

// Finds the job of a report. Returns a verdict if the report cannot be applied.
std::optional<report_verdict>
job_coordinator::impl::find_reported_job(const run_report& report,
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
        found = find_job(key.job);
    }
    bool is_reachable = true;
    if (!found)
    {
        found = fetch_job(key.job, limits.read_timeout, is_reachable);
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

// Applies the report `started` or `seen` of a run. `is_current` says that it is
// the assigned run of its task.
report_verdict
job_coordinator::impl::apply_active_report(const run_report& report,
                                           const task_key& key,
                                           job_entry& entry, bool is_current)
{
    if (!is_current || entry.value.outcome != job_outcome::open)
    {
        log_info("run is at work but not assigned",
                 {{"task", report.task},
                  {"run", report.run},
                  {"report", report.what},
                  {"target", report.target},
                  {"rack", report.rack},
                  {"owner_version", report.token},
                  {"job_outcome", to_string(entry.value.outcome)}});
        return {is_current || report.what == "seen" ? "stop" : "recorded", {}};
    }
    observe_first_start(entry);
    observe_absence(entry, report, key);
    entry.value.has_started = true;
    entry.waiting_since.erase(report.task);
    if (entry.visible_state == "queued")
    {
        entry.visible_state = "running";
    }
    sent_run& sent = entry.sent[report.task];
    sent.is_at_work = true;
    sent.confirmed_token = std::max(sent.confirmed_token, report.token);
    if (report.what == "started")
    {
        return {"recorded", {}};
    }
    return {"wanted", terms_of(entry.value, key.occurrence, key.step)};
}

// Returns whether this host knows all rack owners that an earlier owner of the
// shard may have sent the start of an assigned run to.
bool job_coordinator::impl::knows_rack_owners(const job_entry& entry,
                                              const std::string& task) const
{
    const auto sent = entry.sent.find(task);
    if (!hooks.is_shard_confirmed || sent == entry.sent.end() ||
        !sent->second.is_from_store)
    {
        return true;
    }
    const auto shard = shards.find(entry.shard);
    return shard != shards.end() &&
           hooks.is_shard_confirmed(entry.shard, shard->second.token);
}

// Applies the report `ended` of the assigned run of a task, and assigns the
// steps that are due after it.
void job_coordinator::impl::apply_end_report(const run_report& report,
                                             const task_key& key,
                                             const entry_ptr& entry)
{
    const run_end how = parse_run_end(report.how);
    if (how != run_end::not_started)
    {
        observe_first_start(*entry);
        entry->value.has_started = true;
    }
    else
    {
        const std::string step =
            fmt::format("{}.{}.{}", key.job, key.occurrence, key.step);
        entry->handed_back_at[{step, report.rack}] = steady_clock::now();
    }
    metrics.count_end(how);
    const std::optional<std::int64_t> limit = max_attempts(entry->value);
    end_run(entry->value, key, report.run, how, report.checkpoint, limit,
            unix_ms());
    entry->sent.erase(report.task);
    if (how == run_end::done)
    {
        entry->waiting_since.erase(report.task);
    }
    else
    {
        const time_point since =
            steady_clock::now() -
            milliseconds(std::max<std::int64_t>(0, report.silent_ms));
        const auto it = entry->waiting_since.emplace(report.task, since).first;
        it->second = std::min(it->second, since);
    }
    log_info("run ended", {{"task", report.task},
                           {"run", report.run},
                           {"how", report.how},
                           {"target", report.target},
                           {"rack", report.rack},
                           {"owner_version", report.token},
                           {"listed", report.number},
                           {"max_attempts", limit.value_or(0)},
                           {"job_outcome", to_string(entry->value.outcome)}});
    mark_changed(entry);
    assign_due_steps(entry);
}

// Logs a listed end of a run that was closed without it. If its `how` is
// `done`, the task may run twice.
void job_coordinator::impl::log_outdated_end(const run_report& report,
                                             const job_task& task) const
{
    log_info("target lists the end of a run that was closed without it",
             {{"task", report.task},
              {"run", report.run},
              {"how", report.how},
              {"target", report.target},
              {"rack", report.rack},
              {"owner_version", report.token},
              {"listed", report.number},
              {"latest_run", task.run},
              {"phase", std::string(1, static_cast<char>(task.phase))}});
}

// Applies one report. Sets `entry` to its job, if found, and `change` to the
// change that must be durable before the verdict is sent; 0: none.
report_verdict job_coordinator::impl::apply_report(const run_report& report,
                                                   entry_ptr& entry,
                                                   std::uint64_t& change)
{
    const std::optional<task_key> key = parse_task_key(report.task);
    if (!key)
    {
        log_error("report has a malformed task name", {{"task", report.task}});
        return {report.what == "seen" ? "stop" : "recorded", {}};
    }
    const std::optional<report_verdict> verdict =
        find_reported_job(report, *key, entry);
    if (verdict)
    {
        return *verdict;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    const job_task* task = find_task(entry->value, *key);
    const bool is_finished = entry->value.spec.steps.empty();
    const bool is_later =
        task == nullptr ? !is_finished : task->run < report.run;
    if (is_later)
    {
        // Another host has assigned a later run, so this copy of the job is
        // outdated. The repeated report reads it again.
        if (!entry->is_writing && !entry->has_unanswered_write)
        {
            remove_job(entry);
        }
        return {"retry", {}};
    }
    const bool is_current = task != nullptr && task->run == report.run &&
                            task->phase == job_task_phase::assigned;
    if (report.what != "ended")
    {
        return apply_active_report(report, *key, *entry, is_current);
    }
    if (is_current && !knows_rack_owners(*entry, report.task))
    {
        return {"retry", {}};
    }
    // A later owner of the rack may have started the run again. It lists an end
    // that the target has not forgotten by a restart.
    const std::int64_t rack_token = hooks.rack_token(report.rack);
    if (is_current && report.token < rack_token)
    {
        log_info("ignored report of former rack owner",
                 {{"task", report.task},
                  {"run", report.run},
                  {"how", report.how},
                  {"rack", report.rack},
                  {"listed", report.number},
                  {"owner_version", report.token},
                  {"newer_version", rack_token}});
        return {"ignored", {}};
    }
    const bool is_repeated =
        task != nullptr && task->run == report.run &&
        (task->phase == job_task_phase::done || report.how != "done");
    if (!is_current && task != nullptr && report.number > 0 && !is_repeated)
    {
        log_outdated_end(report, *task);
    }
    if (is_current)
    {
        apply_end_report(report, *key, entry);
        if (report.number == 0)
        {
            required_ownership& owner = entry->required_ownerships[report.rack];
            owner.token = owner.token == 0
                              ? report.token
                              : std::min(owner.token, report.token);
            owner.change = entry->last_change;
        }
    }
    change = entry->last_change;
    return {"recorded", {}};
}

} // namespace egretspindle
