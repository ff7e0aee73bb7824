#include "egretspindle/scheduler/job_coordinator.hpp"

#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "job_coordinator_impl.hpp"

#include <algorithm>
#include <array>

namespace egretspindle
{

namespace
{

// Advice to callers whose job was not stored: long enough for a short outage of
// the store to end, short enough for jobs with an objective of a few seconds.
constexpr std::int64_t refused_retry_ms = 1'000;
// Advice to callers of long-running jobs without capacity: other long-running
// tasks release some every few seconds, so a few attempts suffice.
constexpr std::int64_t no_capacity_retry_ms = 5'000;

} // namespace

job_coordinator::job_coordinator(table_store& store,
                                 job_coordinator_hooks hooks,
                                 const coordinator_limits& limits)
    : impl_(std::make_unique<impl>(store, std::move(hooks), limits))
{
    for (int n = 0; n < limits.writers; ++n)
    {
        impl_->threads.emplace_back([this] { impl_->write_loop(); });
    }
    impl_->threads.emplace_back([this] { impl_->load_loop(); });
}

job_coordinator::~job_coordinator()
{
    stop();
}

void job_coordinator::stop()
{
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->is_stopping = true;
        for (const auto& [id, entry] : impl_->jobs)
        {
            entry->changed.notify_all();
        }
        impl_->shards_changed.notify_all();
        impl_->write_queue_changed.notify_all();
        impl_->load_queue_changed.notify_all();
    }
    for (std::thread& item : impl_->threads)
    {
        if (item.joinable())
        {
            item.join();
        }
    }
}

void job_coordinator::take_shard(const std::string& shard, std::int64_t token)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->is_stopping ||
        !impl_->shards
             .emplace(shard, shard_state{shard_phase::loading,
                                         steady_clock::now(), token, 0})
             .second)
    {
        return;
    }
    impl_->load_queue.push_back(shard);
    impl_->load_queue_changed.notify_one();
}

void job_coordinator::drop_shard(const std::string& shard)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->remove_shard(shard))
    {
        log_info("dropped shard", {{"shard", shard}});
    }
}

job_reply job_coordinator::submit(const job_request& request)
{
    const time_point deadline =
        steady_clock::now() + milliseconds(request.budget_ms);
    const std::string shard = shard_of(request.id);
    std::unique_lock<std::mutex> lock(impl_->mutex);
    if (!impl_->wait_until_ready(lock, shard, deadline))
    {
        return {"not_owner", "", 0};
    }
    entry_ptr entry = impl_->find_job(request.id);
    if (!entry && impl_->is_store_failing(steady_clock::now()))
    {
        // This attempt stores nothing, so the caller can try another host at
        // once.
        return impl_->refuse(request, shard, refusal_reason::store_down,
                             refused_retry_ms);
    }
    if (!entry && impl_->is_queue_removed(request))
    {
        return impl_->refuse(request, shard, refusal_reason::no_queue,
                             refused_retry_ms);
    }
    if (!entry && impl_->may_refuse_for_certain(shard, steady_clock::now()))
    {
        const std::optional<std::size_t> step =
            impl_->step_without_capacity(request);
        if (step)
        {
            impl_->log_no_capacity(request, *step, no_capacity_retry_ms);
            impl_->metrics.count_refusal(refusal_reason::no_room, true);
            return {"refused", "", no_capacity_retry_ms};
        }
    }
    if (!entry)
    {
        entry = std::make_shared<job_entry>();
        entry->value = impl_->make_new_job(request);
        entry->shard = shard;
        entry->encoded_spec = encode_spec(request.spec);
        entry->created_at = steady_clock::now();
        entry->is_accepted_here = true;
        impl_->jobs[request.id] = entry;
        impl_->mark_changed(entry);
        impl_->assign_due_steps(entry);
    }
    const auto is_decided = [&]
    {
        const entry_ptr current = impl_->find_job(request.id);
        return impl_->is_stopping || !current ||
               !current->visible_state.empty();
    };
    entry->changed.wait_until(lock, deadline, is_decided);
    const entry_ptr current = impl_->find_job(request.id);
    if (current && !current->visible_state.empty())
    {
        impl_->metrics.accepted.add();
        return {"accepted", current->visible_state, 0};
    }
    if (entry->is_refused)
    {
        return impl_->refuse(request, shard, refusal_reason::not_recorded,
                             refused_retry_ms);
    }
    // A job that was removed for another reason, such as a lost shard, may have
    // a write in progress.
    impl_->metrics.unknown.add();
    return {"unknown", "", refused_retry_ms};
}

job_reply job_coordinator::query(const job_request& request)
{
    return query(request,
                 steady_clock::now() + milliseconds(request.budget_ms));
}

job_reply job_coordinator::query(const job_request& request,
                                 time_point read_until)
{
    const time_point deadline =
        steady_clock::now() + milliseconds(request.budget_ms);
    entry_ptr entry;
    {
        std::unique_lock<std::mutex> lock(impl_->mutex);
        if (!impl_->wait_until_ready(lock, shard_of(request.id), deadline))
        {
            return {"not_owner", "", 0};
        }
        entry = impl_->find_job(request.id);
    }
    bool is_reachable = true;
    if (!entry)
    {
        const milliseconds left(elapsed_ms(steady_clock::now(), read_until));
        entry = impl_->fetch_job(request.id,
                                 std::min(left, impl_->limits.read_timeout),
                                 is_reachable);
    }
    std::unique_lock<std::mutex> lock(impl_->mutex);
    if (!entry)
    {
        return {is_reachable ? "absent" : "unknown", "", 0};
    }
    entry->changed.wait_until(lock, deadline,
                              [&]
                              {
                                  return impl_->is_stopping ||
                                         !entry->visible_state.empty() ||
                                         impl_->find_job(request.id) != entry;
                              });
    return {entry->visible_state.empty() ? "unknown" : "known",
            entry->visible_state, 0};
}

job_reply job_coordinator::cancel(const job_request& request)
{
    const time_point deadline =
        steady_clock::now() + milliseconds(request.budget_ms);
    const job_reply state = query(request);
    if (state.verdict != "known")
    {
        return state;
    }
    std::unique_lock<std::mutex> lock(impl_->mutex);
    const entry_ptr entry = impl_->find_job(request.id);
    if (!entry)
    {
        return {"unknown", "", 0};
    }
    if (cancel_job(entry->value, unix_ms()))
    {
        log_info("job cancelled",
                 {{"job", request.id}, {"state", state.state}});
        impl_->mark_changed(entry);
    }
    entry->changed.wait_until(lock, deadline,
                              [&]
                              {
                                  return impl_->is_stopping ||
                                         is_end_durable(*entry) ||
                                         impl_->find_job(request.id) != entry;
                              });
    return {is_end_durable(*entry) ? "known" : "unknown", entry->visible_state,
            0};
}

report_reply job_coordinator::report(const report_batch& batch)
{
    report_reply reply;
    std::vector<entry_ptr> entries(batch.reports.size());
    std::vector<std::uint64_t> changes(batch.reports.size(), 0);
    for (std::size_t n = 0; n < batch.reports.size(); ++n)
    {
        reply.verdicts.push_back(
            impl_->apply_report(batch.reports[n], entries[n], changes[n]));
    }
    std::unique_lock<std::mutex> lock(impl_->mutex);
    const time_point deadline =
        steady_clock::now() + impl_->limits.max_report_wait;
    for (std::size_t n = 0; n < entries.size(); ++n)
    {
        if (changes[n] == 0 || reply.verdicts[n].verdict == "retry")
        {
            continue;
        }
        const entry_ptr& entry = entries[n];
        entry->changed.wait_until(
            lock, deadline,
            [&]
            {
                return impl_->is_stopping || entry->is_too_large ||
                       entry->durable_change >= changes[n] ||
                       impl_->find_job(entry->value.id) != entry;
            });
        if (entry->durable_change < changes[n])
        {
            reply.verdicts[n].verdict = "retry";
        }
    }
    return reply;
}

void job_coordinator::confirm(const rack_orders& orders,
                              const rack_orders_reply& reply)
{
    if (!reply.is_owner)
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (const start_batch& batch : orders.starts)
    {
        for (const step_run& run : batch.runs)
        {
            sent_run* sent = impl_->find_sent(
                fmt::format("{}.{}", batch.terms.step, run.index), run.run);
            if (sent != nullptr)
            {
                sent->confirmed_token = reply.token;
            }
        }
    }
    for (const run_ref& missing : reply.missing)
    {
        sent_run* sent = impl_->find_sent(missing.task, missing.run);
        if (sent != nullptr && !sent->is_at_work)
        {
            log_warning("owner of a rack does not have a start that it has "
                        "confirmed",
                        {{"task", missing.task},
                         {"run", missing.run},
                         {"rack", orders.rack},
                         {"owner_version", reply.token}});
            sent->confirmed_token = 0;
            sent->sent_at = {};
        }
    }
}

void job_coordinator::remove_outdated_starts(rack_orders& orders) const
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (start_batch& batch : orders.starts)
    {
        const auto is_outdated = [&](const step_run& run)
        {
            const std::optional<task_key> key = parse_task_key(
                fmt::format("{}.{}", batch.terms.step, run.index));
            const auto it =
                key ? impl_->jobs.find(key->job) : impl_->jobs.end();
            if (it == impl_->jobs.end() ||
                it->second->value.outcome != job_outcome::open)
            {
                return true;
            }
            const job_task* task = find_task(it->second->value, *key);
            return task == nullptr || task->run != run.run ||
                   task->phase != job_task_phase::assigned;
        };
        batch.runs.erase(
            std::remove_if(batch.runs.begin(), batch.runs.end(), is_outdated),
            batch.runs.end());
    }
    orders.starts.erase(std::remove_if(orders.starts.begin(),
                                       orders.starts.end(),
                                       [](const start_batch& batch)
                                       { return batch.runs.empty(); }),
                        orders.starts.end());
}

// Returns the state of the orders for the current run of a task, or null.
sent_run* job_coordinator::impl::find_sent(const std::string& task,
                                           std::int64_t run)
{
    const std::optional<task_key> key = parse_task_key(task);
    const entry_ptr entry = key ? find_job(key->job) : nullptr;
    if (!entry)
    {
        return nullptr;
    }
    const auto it = entry->sent.find(task);
    return it != entry->sent.end() && it->second.run == run ? &it->second
                                                            : nullptr;
}

void job_coordinator::mark_undelivered(const rack_orders& orders)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (const start_batch& batch : orders.starts)
    {
        for (const step_run& run : batch.runs)
        {
            sent_run* sent = impl_->find_sent(
                fmt::format("{}.{}", batch.terms.step, run.index), run.run);
            if (sent != nullptr && sent->possible_deliveries > 0)
            {
                --sent->possible_deliveries;
                sent->sent_at = {};
            }
        }
    }
    for (const run_ref& name : orders.stops)
    {
        sent_run* sent = impl_->find_sent(name.task, name.run);
        if (sent != nullptr)
        {
            sent->stop_sent_at = {};
        }
    }
}

void job_coordinator::tick()
{
    std::map<std::string, rack_orders> orders;
    const time_point now = steady_clock::now();
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        impl_->steps_without_rack = 0;
        const std::shared_ptr<const fleet_config> config =
            impl_->hooks.config();
        for (const auto& [id, entry] : impl_->jobs)
        {
            if (add_due_occurrences(entry->value, unix_ms()))
            {
                impl_->mark_changed(entry);
            }
            impl_->adopt_terms(entry, *config);
            impl_->assign_due_steps(entry);
            impl_->collect_orders(*entry, orders, now);
        }
        impl_->set_gauges();
    }
    impl_->send_orders(orders);
    impl_->remove_expired_records(now);
}

// Sets the gauges of `job_metrics`.
void job_coordinator::impl::set_gauges()
{
    std::int64_t open = 0;
    std::int64_t queued = 0;
    std::array<std::int64_t, 2> oldest{0, 0};
    std::array<std::int64_t, 2> longest_away{0, 0};
    const std::int64_t now_ms = unix_ms();
    const time_point now = steady_clock::now();
    for (const auto& [id, entry] : jobs)
    {
        const job& value = entry->value;
        open += value.outcome == job_outcome::open ? 1 : 0;
        queued += entry->visible_state == "queued" ? 1 : 0;
        // A former owner of the shard may have known of a start that it did not
        // record, so only jobs accepted here are known not to have started.
        if (value.outcome == job_outcome::open && !value.has_started &&
            entry->is_accepted_here)
        {
            std::int64_t& age = oldest[has_long_running_step(value) ? 1 : 0];
            age = std::max(age, now_ms - due_ms(value));
        }
        if (value.outcome == job_outcome::open && !entry->waiting_since.empty())
        {
            std::int64_t& away =
                longest_away[has_long_running_step(value) ? 1 : 0];
            for (const auto& [task, since] : entry->waiting_since)
            {
                away = std::max(away, elapsed_ms(since, now));
            }
        }
    }
    std::int64_t loading = 0;
    for (const auto& [name, shard] : shards)
    {
        loading += shard.phase == shard_phase::loading ? 1 : 0;
    }
    set_idle_gauges(now);
    metrics.open_jobs.set(static_cast<double>(open));
    metrics.queued_jobs.set(static_cast<double>(queued));
    for (std::size_t n = 0; n < oldest.size(); ++n)
    {
        metrics.oldest_unstarted[n]->set(static_cast<double>(oldest[n]));
        metrics.longest_away[n]->set(static_cast<double>(longest_away[n]));
    }
    metrics.steps_without_rack.set(static_cast<double>(steps_without_rack));
    metrics.write_interval.set(
        static_cast<double>(call_interval(pace).count()));
    metrics.unwritten_jobs.set(static_cast<double>(write_queue.size()));
    metrics.shards.set(static_cast<double>(shards.size()));
    metrics.loading_shards.set(static_cast<double>(loading));
}

write_backlog job_coordinator::unwritten() const
{
    write_backlog backlog;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    const time_point now = steady_clock::now();
    for (const auto& [id, entry] : impl_->jobs)
    {
        if (entry->unwritten_since != time_point{})
        {
            ++backlog.jobs;
            backlog.oldest =
                std::max(backlog.oldest,
                         milliseconds(elapsed_ms(entry->unwritten_since, now)));
        }
    }
    return backlog;
}

std::map<std::string, std::int64_t> job_coordinator::pending() const
{
    std::map<std::string, std::int64_t> counts;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (const auto& [id, entry] : impl_->jobs)
    {
        if (entry->visible_state == "queued")
        {
            ++counts[entry->value.queue];
        }
    }
    return counts;
}

} // namespace egretspindle
