#include "egretspindle/scheduler/rack_agent.hpp"

#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/gang_queue.hpp"
#include "egretspindle/rack/queue_summary.hpp"
#include "egretspindle/rack/start_intents.hpp"

#include "rack_agent_impl.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

/// Queue of a rack and the state of its ownership, for a log line.
struct queue_line
{
    std::string rack;
    std::int64_t token = 0;
    bool may_grant = false;       ///< may grant leases; else nothing is placed
    double baseline_headroom = 0; ///< see `interference_model`
    std::int64_t verified_age_ms = 0; ///< time since `rack_state::verified_at`
    queue_summary queue;
};

// Shortest time for which ends are listed that is logged. It is above the time
// that the record of an end takes while the store answers.
constexpr milliseconds logged_end_wait{3'000};

// Adds the summary of a queue to a sum, and keeps the longest wait.
void add_queue(queue_summary& sum, const queue_summary& item)
{
    sum.queued += item.queued;
    sum.long_running += item.long_running;
    sum.repeated += item.repeated;
    sum.oldest = std::max(sum.oldest, item.oldest);
    sum.closed += item.closed;
    sum.room += item.room;
    sum.memory += item.memory;
    sum.limit += item.limit;
    sum.held += item.held;
    sum.processors += item.processors;
    sum.reserved += item.reserved;
    sum.headroom += item.headroom;
    sum.placeable += item.placeable;
    merge_waits(sum.waits, item.waits);
}

} // namespace

rack_agent::rack_agent(target_port& targets, rack_agent_hooks hooks,
                       const rack_agent_limits& limits)
    : impl_(std::make_unique<impl>(targets, std::move(hooks), limits))
{
    if (impl_->hooks.read_intents)
    {
        impl_->intent_thread = std::thread([this] { impl_->intent_loop(); });
    }
    for (int n = 0; n < limits.stop_senders; ++n)
    {
        impl_->stop_threads.emplace_back([this] { impl_->stop_loop(); });
    }
}

rack_agent::~rack_agent()
{
    stop();
}

void rack_agent::stop()
{
    std::vector<channel_ptr> closed;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->is_stopping = true;
        for (const auto& [name, rack] : impl_->racks)
        {
            impl_->close_channels(name, closed);
        }
        closed.insert(closed.end(), impl_->closed_channels.begin(),
                      impl_->closed_channels.end());
        impl_->closed_channels.clear();
        impl_->racks.clear();
        impl_->intents_changed.notify_all();
        impl_->stops_changed.notify_all();
    }
    for (std::thread& item : impl_->stop_threads)
    {
        if (item.joinable())
        {
            item.join();
        }
    }
    impl_->join_threads(closed);
    if (impl_->intent_thread.joinable())
    {
        impl_->intent_thread.join();
    }
}

std::vector<std::string> rack_agent::concluding_racks() const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    std::vector<std::string> names;
    for (const auto& [name, rack] : impl_->racks)
    {
        if (is_concluding(rack, now))
        {
            names.push_back(name);
        }
    }
    return names;
}

void rack_agent::take_rack(const rack_takeover& takeover)
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        const rack_state* known = impl_->find_rack(takeover.rack);
        if (impl_->is_stopping ||
            (known != nullptr && known->token == takeover.token))
        {
            return;
        }
        impl_->close_channels(takeover.rack, impl_->closed_channels);
        const time_point now = steady_clock::now();
        rack_state rack;
        rack.name = takeover.rack;
        rack.recorded_targets = takeover.roster.size();
        rack.token = takeover.token;
        rack.former_token = takeover.former_token;
        rack.taken_over_at = now;
        rack.lightly_used = impl_->lightly_used;
        confirm_ownership(rack, takeover.confirmed_at, impl_->limits.lease);
        rack.unknown_until = takeover.former_stopped_at +
                             max_lease_duration(impl_->limits.lease);
        rack.confirmed_unknown_until =
            takeover.former_stopped_at + lease_duration(impl_->limits.lease);
        for (const auto& [id, address] : takeover.roster)
        {
            rack_target target;
            target.entry.id = id;
            target.entry.address = address;
            target.entry.rack = takeover.rack;
            target.is_listed = false;
            target.is_recorded = true;
            target.is_inherited = true;
            rack.targets.emplace(id, std::move(target));
        }
        rack_state& stored = impl_->racks[takeover.rack] = std::move(rack);
        impl_->sync_targets(stored);
        impl_->has_intent_work = true;
        impl_->intents_changed.notify_one();
        log_info(
            "rack taken over",
            {{"rack", takeover.rack},
             {"owner_version", takeover.token},
             {"unknown_for_ms",
              std::max<std::int64_t>(0, elapsed_ms(now, stored.unknown_until))},
             {"targets", stored.targets.size()}});
    }
}

void rack_agent::verify_rack(const std::string& rack, std::int64_t token,
                             const clock_reading& read_at)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    rack_state* known = impl_->find_rack(rack);
    if (known != nullptr && known->token == token)
    {
        confirm_ownership(*known, read_at, impl_->limits.lease);
    }
}

void rack_agent::extend_authority(boot_time_point checked_at)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (auto& [name, rack] : impl_->racks)
    {
        egretspindle::extend_authority(rack, checked_at, impl_->limits.lease);
    }
}

std::optional<rack_handover> rack_agent::drop_rack(const std::string& rack)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const rack_state* known = impl_->find_rack(rack);
    if (known == nullptr)
    {
        return std::nullopt;
    }
    // The leases of orders that are being sent are included.
    rack_handover handover = make_handover(*known, steady_clock::now());
    impl_->racks.erase(rack);
    impl_->close_channels(rack, impl_->closed_channels);
    log_info("rack lost", {{"rack", rack}, {"owner_version", handover.token}});
    return handover;
}

rack_handover_reply rack_agent::apply_handover(const rack_handover& handover)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    rack_state* rack = impl_->find_rack(handover.rack);
    if (rack == nullptr)
    {
        return {};
    }
    egretspindle::apply_handover(*rack, handover, impl_->limits.lease,
                                 steady_clock::now());
    log_info("former owner has released a rack",
             {{"rack", handover.rack},
              {"owner_version", rack->token},
              {"former_version", handover.token},
              {"expected_version", rack->former_token},
              {"targets", handover.targets.size()}});
    return {true};
}

void rack_agent::set_targets(const std::map<std::string, target_entry>& targets)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->entries = targets;
    for (auto& [name, rack] : impl_->racks)
    {
        impl_->sync_targets(rack);
        impl_->move_off_draining_targets(rack);
        impl_->place(rack);
    }
}

rack_orders_reply rack_agent::execute(const rack_orders& orders)
{
    std::vector<run_event> events;
    rack_orders_reply reply;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        rack_state* rack = impl_->find_rack(orders.rack);
        if (rack == nullptr || rack->is_fenced || rack->token != orders.token)
        {
            return reply;
        }
        reply.is_owner = true;
        reply.token = rack->token;
        const time_point now = steady_clock::now();
        for (const start_batch& batch : orders.starts)
        {
            std::size_t held = 0;
            const auto terms = std::make_shared<const step_terms>(batch.terms);
            for (const step_run& run : batch.runs)
            {
                queued_start start;
                start.task = fmt::format("{}.{}", batch.terms.step, run.index);
                start.run = run.run;
                start.checkpoint = run.checkpoint;
                start.terms = terms;
                start.queued_at = now;
                start.waiting_since =
                    now -
                    milliseconds(std::max<std::int64_t>(0, run.waited_ms));
                start.is_repeated = run.is_repeated;
                const bool is_queued =
                    enqueue(*rack, std::move(start)) == enqueue_result::queued;
                held += is_queued && run.is_repeated ? 1 : 0;
            }
            impl_->log_held_starts(*rack, batch, held);
        }
        const received_stops stops =
            impl_->apply_stops(*rack, orders.stops, now, events);
        for (const run_ref& overdue : orders.overdue)
        {
            if (!mark_overdue(*rack, {overdue.task, overdue.run}))
            {
                reply.missing.push_back(overdue);
            }
        }
        const std::vector<run_event> settled = report_settled_stops(*rack, now);
        events.insert(events.end(), settled.begin(), settled.end());
        impl_->metrics.count_stops(stops);
        impl_->log_stops(*rack, orders.stops, stops);
        impl_->place(*rack);
    }
    impl_->publish(orders.rack, reply.token, events);
    return reply;
}

void rack_agent::apply_verdicts(const std::vector<run_report>& reports,
                                const report_reply& reply)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (std::size_t n = 0; n < reports.size() && n < reply.verdicts.size();
         ++n)
    {
        const run_report& report = reports[n];
        const report_verdict& verdict = reply.verdicts[n];
        rack_state* rack = impl_->find_rack(report.rack);
        if (rack == nullptr)
        {
            continue;
        }
        const auto target = rack->targets.find(report.target);
        if (target == rack->targets.end())
        {
            continue;
        }
        const run_id id{report.task, report.run};
        if (report.number > 0 && verdict.verdict == "recorded")
        {
            acknowledge(target->second, report.number, id);
            const auto channel = impl_->channels.find(report.target);
            if (channel != impl_->channels.end())
            {
                channel->second->has_acks.notify_all();
            }
        }
        const auto run = target->second.runs.find(id);
        if (run == target->second.runs.end())
        {
            continue;
        }
        if (verdict.verdict == "stop")
        {
            run->second.is_stopping = true;
            pending_order order;
            order.what = pending_order::kind::stop;
            order.id = id;
            impl_->queue_order(report.target, order);
        }
        if (verdict.verdict == "wanted")
        {
            run->second.terms =
                std::make_shared<const step_terms>(verdict.terms);
            impl_->place(*rack);
        }
        if (verdict.verdict == "stop" && !run->second.terms)
        {
            // The size of the run is unknown. Zero is safe, since the run is
            // ending and targets refuse starts that do not fit.
            run->second.terms = std::make_shared<const step_terms>();
        }
    }
}

// Logs and counts the repeated starts of a batch that are held until the record
// of their job has been read.
//
// \param held  number of these starts
void rack_agent::impl::log_held_starts(const rack_state& rack,
                                       const start_batch& batch,
                                       std::size_t held) const
{
    if (held == 0)
    {
        return;
    }
    metrics.repeated_held.add(held);
    log_info("repeated starts are held until the job record is read",
             {{"step", batch.terms.step},
              {"starts", held},
              {"rack", rack.name},
              {"owner_version", rack.token},
              {"unknown_for_ms",
               std::max<std::int64_t>(
                   0, elapsed_ms(steady_clock::now(), rack.unknown_until))}});
}

// Passes stops on to targets or withdraws starts, and appends the ends that
// follow.
received_stops rack_agent::impl::apply_stops(rack_state& rack,
                                             const std::vector<run_ref>& stops,
                                             time_point now,
                                             std::vector<run_event>& events)
{
    received_stops received;
    for (const run_ref& stopped : stops)
    {
        const run_id id{stopped.task, stopped.run};
        std::string target;
        const std::vector<run_event> ended = withdraw(rack, id, target);
        events.insert(events.end(), ended.begin(), ended.end());
        if (!target.empty())
        {
            placed_run& run = rack.targets.at(target).runs.at(id);
            if (run.stop_asked_at == time_point{})
            {
                run.stop_asked_at = now;
            }
            pending_order order;
            order.what = pending_order::kind::stop;
            order.id = id;
            queue_order(target, order);
            ++received.placed;
        }
        else if (!ended.empty())
        {
            ++received.withdrawn;
        }
        else if (rack.stops.count(id) > 0)
        {
            ++received.unknown;
        }
        else
        {
            ++received.ended;
        }
    }
    return received;
}

// Logs the stops of a message: which have been passed on to targets, and which
// wait until all targets of the rack have been reached.
void rack_agent::impl::log_stops(const rack_state& rack,
                                 const std::vector<run_ref>& stops,
                                 const received_stops& received)
{
    if (stops.empty())
    {
        return;
    }
    const std::optional<std::int64_t> suppressed =
        stops_log_limit.try_acquire();
    if (!suppressed)
    {
        return;
    }
    log_info("rack received stops",
             {{"rack", rack.name},
              {"owner_version", rack.token},
              {"first_task", stops.front().task},
              {"stops", stops.size()},
              {"placed", received.placed},
              {"withdrawn", received.withdrawn},
              {"unknown", received.unknown},
              {"ended", received.ended},
              {"kept", rack.stops.size()},
              {"unknown_for_ms",
               std::max<std::int64_t>(
                   0, elapsed_ms(steady_clock::now(), rack.unknown_until))},
              {"left_out", *suppressed}});
}

namespace
{

// Collects the repeated starts of runs that are known, by job. Jobs
// with long-running tasks come first, as these may be interrupted for the
// shortest time.
std::vector<job_lookup>
collect_lookups(const std::map<std::string, rack_state>& racks, time_point now)
{
    std::vector<job_lookup> lookups;
    std::map<std::string, std::size_t> indexes; // in `lookups`, by job
    for (const auto& [name, rack] : racks)
    {
        const bool is_all_known = knows_all_runs(rack, now);
        for (const queued_start& start : rack.queue)
        {
            if (!start.is_repeated || rack.is_fenced ||
                (!is_all_known && !is_run_known(rack, start, now)))
            {
                continue;
            }
            const std::string job = start.task.substr(0, start.task.find('.'));
            const auto [place, is_new] = indexes.emplace(job, lookups.size());
            if (is_new)
            {
                lookups.push_back({job, false, {}});
            }
            job_lookup& item = lookups[place->second];
            item.is_long_running |= start.terms->is_long_running;
            item.starts.push_back({name, rack.token, {start.task, start.run}});
        }
    }
    std::stable_partition(lookups.begin(), lookups.end(),
                          [](const job_lookup& item)
                          { return item.is_long_running; });
    return lookups;
}

} // namespace

// Resolves repeated starts of runs that are known to be on no target, by the
// records of their jobs. A former owner of the job may have sent them after the
// run had ended. One read resolves all starts of a job that were queued before
// it: after a restart of all hosts, reads for each start would take up to 30 s.
void rack_agent::impl::look_up_repeated_starts()
{
    std::vector<job_lookup> lookups;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        lookups = collect_lookups(racks, steady_clock::now());
    }
    std::stable_partition(lookups.begin(), lookups.end(),
                          [this](const job_lookup& item)
                          { return unread_jobs.count(item.job) == 0; });
    lookups.resize(std::min(lookups.size(), limits.max_lookups));
    for (const job_lookup& item : lookups)
    {
        const std::optional<run_racks> assigned =
            hooks.read_assignments(item.job);
        if (!assigned)
        {
            // The store does not answer, or the record cannot be decoded. The
            // next tick tries the other jobs first.
            unread_jobs.insert(item.job);
            return;
        }
        unread_jobs.erase(item.job);
        apply_lookup(item, *assigned);
    }
}

// Starts the runs that the record of their job still assigns to the rack, and
// drops the others.
void rack_agent::impl::apply_lookup(const job_lookup& lookup,
                                    const run_racks& assigned)
{
    std::map<std::pair<std::string, std::int64_t>, std::vector<run_event>>
        events; // by rack and token
    std::size_t recorded = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& [name, token, id] : lookup.starts)
        {
            const auto found = assigned.find(id);
            const bool is_recorded =
                found != assigned.end() && found->second == name;
            recorded += is_recorded ? 1 : 0;
            // The rack may have been lost and claimed again during the read.
            rack_state* rack = find_rack(name);
            if (rack != nullptr && rack->token == token && !rack->is_fenced)
            {
                const std::vector<run_event> resolved =
                    resolve_repeated(*rack, id, is_recorded);
                std::vector<run_event>& list = events[{name, token}];
                list.insert(list.end(), resolved.begin(), resolved.end());
                (is_recorded ? metrics.repeated_started
                             : metrics.repeated_dropped)
                    .add();
            }
        }
    }
    log_info("repeated starts were compared with the job record",
             {{"job", lookup.job},
              {"starts", lookup.starts.size()},
              {"recorded", recorded}});
    for (const auto& [rack, list] : events)
    {
        publish(rack.first, rack.second, list);
    }
}

// Stores changed lists of the racks' targets durably. A target is listed from
// its first answer to a poll on: it gets no start before, and a takeover would
// wait for the leases of one that never answers.
void rack_agent::impl::record_rosters()
{
    struct change
    {
        std::string rack;
        std::int64_t token = 0;
        rack_roster roster;
    };
    std::vector<change> changes;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& [name, rack] : racks)
        {
            change item{name, rack.token, {}};
            bool is_changed = false;
            for (const auto& [id, target] : rack.targets)
            {
                if (target.is_reached || target.is_inherited)
                {
                    item.roster[id] = target.entry.address;
                    is_changed |= !target.is_recorded;
                }
            }
            if (!rack.is_fenced &&
                (is_changed || item.roster.size() != rack.recorded_targets))
            {
                changes.push_back(std::move(item));
            }
        }
    }
    for (const change& item : changes)
    {
        if (!hooks.record_roster(item.rack, item.token, item.roster))
        {
            return; // the next tick tries again
        }
        const std::lock_guard<std::mutex> lock(mutex);
        rack_state* rack = find_rack(item.rack);
        if (rack == nullptr || rack->token != item.token)
        {
            continue;
        }
        rack->recorded_targets = item.roster.size();
        for (const auto& [id, address] : item.roster)
        {
            const auto it = rack->targets.find(id);
            if (it != rack->targets.end())
            {
                it->second.is_recorded = it->second.entry.address == address;
            }
        }
    }
}

void rack_agent::tick()
{
    impl_->record_rosters();
    impl_->look_up_repeated_starts();
    std::map<std::string, std::vector<run_event>> events;
    std::map<std::string, std::int64_t> tokens;
    std::vector<channel_ptr> ended;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        const time_point now = steady_clock::now();
        if (merge_interference_if_due(impl_->model, now))
        {
            impl_->is_model_copied = false;
        }
        for (auto& [name, rack] : impl_->racks)
        {
            std::vector<run_event>& list = events[name];
            tokens[name] = rack.token;
            list = expire_leases(rack, now);
            forget_ends(rack, now);
            impl_->has_intent_work |= has_unrecorded_confirmations(
                rack, impl_->limits.confirmation_delay, now);
            const std::vector<run_event> settled =
                report_settled_stops(rack, now);
            list.insert(list.end(), settled.begin(), settled.end());
            impl_->sync_targets(rack);
            impl_->move_off_draining_targets(rack);
            impl_->place(rack);
            const std::vector<run_event> gangs = hand_back_gangs(rack, now);
            list.insert(list.end(), gangs.begin(), gangs.end());
            const std::vector<run_event> returned = hand_back(
                rack, impl_->limits.max_queue_wait,
                [&, &rack_name = name](const step_terms& terms, room_kind room)
                {
                    return impl_->hooks.hand_back_quota(terms, rack_name, room);
                },
                now);
            list.insert(list.end(), returned.begin(), returned.end());
        }
        ended = impl_->remove_finished();
        if (impl_->has_intent_work)
        {
            impl_->intents_changed.notify_one();
        }
    }
    for (const auto& [name, list] : events)
    {
        impl_->publish(name, tokens[name], list);
    }
    impl_->join_threads(ended);
}

std::vector<pair_interference>
rack_agent::select_due_pairs(pair_outbox& outbox) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    return egretspindle::select_due_pairs(outbox, impl_->model,
                                          steady_clock::now());
}

void rack_agent::update_peer_interference(
    const std::string& host, std::int64_t boot,
    const std::vector<pair_interference>& interference)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    egretspindle::update_peer_interference(impl_->model, host, boot,
                                           interference);
}

std::optional<interference_model> rack_agent::copy_changed_model()
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->is_model_copied)
    {
        return std::nullopt;
    }
    impl_->is_model_copied = true;
    return copy_merged_model(impl_->model);
}

void rack_agent::set_reserved_shares(std::map<std::string, double> shares)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->model.reserved_shares = std::move(shares);
}

void rack_agent::set_lightly_used(std::set<std::string> services)
{
    const auto shared =
        std::make_shared<const std::set<std::string>>(std::move(services));
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    impl_->lightly_used = shared;
    for (auto& [name, rack] : impl_->racks)
    {
        rack.lightly_used = shared;
    }
}

host_activity& rack_agent::activity() noexcept
{
    return impl_->activity;
}

std::vector<rack_load_report> rack_agent::measure() const
{
    std::vector<rack_load_report> reports;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    for (auto& [name, rack] : impl_->racks)
    {
        if (rack.is_fenced)
        {
            continue;
        }
        reports.push_back(make_load_report(rack, impl_->model, now));
    }
    return reports;
}

// Returns the numbers of racks and targets for the gauges.
rack_counts rack_agent::impl::count_racks(time_point now) const
{
    rack_counts counts;
    counts.racks = racks.size();
    for (const auto& [name, rack] : racks)
    {
        counts.fenced += rack.is_fenced ? 1 : 0;
        counts.unsettled += knows_all_runs(rack, now) ? 0 : 1;
        counts.targets += rack.targets.size();
        counts.kept_stops += rack.stops.size();
    }
    for (const auto& [id, channel] : channels)
    {
        counts.silent_targets += channel->has_contact ? 0 : 1;
    }
    return counts;
}

void rack_agent::log_queues() const
{
    std::vector<queue_line> queues;
    end_list_summary lists;
    room_summary room;
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        const time_point now = steady_clock::now();
        impl_->metrics.set_counts(impl_->count_racks(now));
        for (const auto& [name, rack] : impl_->racks)
        {
            add_end_lists(lists, rack, now);
            add_room(room, rack, now);
            if (!rack.queue.empty())
            {
                queues.push_back({name, rack.token,
                                  may_grant(rack, boot_clock::now()),
                                  impl_->model.baseline_headroom_p5,
                                  elapsed_ms(rack.verified_at, now),
                                  summarize_queue(rack, impl_->model, now)});
            }
        }
    }
    queue_summary sum;
    for (const queue_line& item : queues)
    {
        const queue_summary& queue = item.queue;
        add_queue(sum, queue);
        const headroom_check closest =
            queue.closest_headroom.value_or(headroom_check{});
        const long_running_wait longest =
            queue.longest_away.value_or(long_running_wait{});
        log_info("rack queue",
                 {{"rack", item.rack},
                  {"owner_version", item.token},
                  {"may_grant", item.may_grant},
                  {"verified_age_ms", item.verified_age_ms},
                  {"queued", queue.queued},
                  {"lasting", queue.long_running},
                  {"repeated", queue.repeated},
                  {"oldest_ms", queue.oldest.count()},
                  {"closed", queue.closed},
                  {"oldest_lasting_ms", queue.oldest_long_running.count()},
                  {"no_room", queue.room},
                  {"no_memory", queue.memory},
                  {"step_limit", queue.limit},
                  {"held", queue.held},
                  {"no_processors", queue.processors},
                  {"reserved", queue.reserved},
                  {"no_headroom", queue.headroom},
                  {"required_headroom", closest.required},
                  {"spare_headroom", closest.spare},
                  {"baseline_headroom", item.baseline_headroom},
                  {"placeable", queue.placeable},
                  {"lasting_task", longest.task},
                  {"away_ms", longest.away.count()},
                  {"cpu_milli", longest.size.cpu_milli},
                  {"largest_free_milli", longest.largest_free_milli},
                  {"largest_eventual_milli", longest.largest_eventual_milli},
                  {"reserved_targets", longest.reserved_targets}});
    }
    impl_->metrics.set_queues(sum);
    impl_->metrics.set_room(room);
    impl_->metrics.set_end_lists(lists);
    if (lists.oldest.waited >= logged_end_wait)
    {
        log_info("ends are not acknowledged",
                 {{"target", lists.oldest.target},
                  {"rack", lists.oldest.rack},
                  {"ends", lists.oldest.ends},
                  {"waited_ms", lists.oldest.waited.count()},
                  {"reason", to_string(lists.oldest.reason)},
                  {"longest_list", lists.longest},
                  {"full_lists", lists.full}});
    }
}

} // namespace egretspindle
