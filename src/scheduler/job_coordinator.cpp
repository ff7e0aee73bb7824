#include "egretspindle/scheduler/job_coordinator.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "job_entry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <thread>

namespace egretspindle
{

namespace
{

using entry_ptr = std::shared_ptr<job_entry>;

constexpr milliseconds first_backoff{50};
constexpr milliseconds longest_backoff{800};
constexpr milliseconds load_retry{200};
// Backlog of a retry: long enough for an outage of seconds to pass, short
// enough for an objective of a few seconds.
constexpr std::int64_t refused_retry_ms = 1'000;

bool is_certain_failure(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    return kind == error_kind::unavailable || kind == error_kind::overloaded;
}

enum class shard_phase
{
    loading,
    ready,
};

} // namespace

struct job_coordinator::impl
{
    impl(table_store& rows, job_coordinator_hooks callbacks,
         const coordinator_limits& bounds)
        : store(rows), hooks(std::move(callbacks)), limits(bounds)
    {
    }

    void load(const std::string& shard);
    void load_loop();
    bool read_shard(const std::string& shard, std::vector<table_row>& rows);
    void insert(const table_row& row, const std::string& shard);
    entry_ptr find(const std::string& id);
    entry_ptr fetch(const std::string& id, bool& is_reachable);
    bool wait_ready(std::unique_lock<std::mutex>& lock,
                    const std::string& shard, time_point deadline);

    void mark(const entry_ptr& entry);
    void assign_due(const entry_ptr& entry);
    void assign_step(const entry_ptr& entry, const due_step& due);
    [[nodiscard]] step_terms terms_of(const job& value, std::size_t occurrence,
                                      std::size_t step) const;

    void write_loop();
    std::vector<entry_ptr> take_batch();
    void write(const std::vector<entry_ptr>& batch);
    bool attempt(const std::vector<entry_ptr>& batch,
                 const row_transaction& transaction,
                 const std::vector<std::uint64_t>& changes);
    void apply_conflict(const std::vector<entry_ptr>& batch,
                        const row_transaction& transaction,
                        const std::vector<std::uint64_t>& changes,
                        const transaction_result& result);
    void apply_written(const entry_ptr& entry, std::int64_t version,
                       std::uint64_t change);
    bool refuse_new(const std::vector<entry_ptr>& batch);
    void forget(const entry_ptr& entry);
    [[nodiscard]] bool is_outage(time_point now) const;

    void collect_orders(job_entry& entry,
                        std::map<std::string, rack_orders>& orders,
                        time_point now);
    void add_start(job_entry& entry, const assigned_run& run, sent_run& sent,
                   std::map<std::string, rack_orders>& orders, time_point now);
    void send_all(const std::map<std::string, rack_orders>& orders);
    std::optional<report_verdict> find_reported(const run_report& report,
                                                const task_key& key,
                                                entry_ptr& found);
    report_verdict apply_sighting(const run_report& report, const task_key& key,
                                  job_entry& entry, bool is_current);
    void apply_end(const run_report& report, const task_key& key,
                   const entry_ptr& entry);
    report_verdict apply(const run_report& report, entry_ptr& touched,
                         std::uint64_t& change);
    std::int64_t max_attempts(const job& value) const;
    void remove_expired(time_point now);

    table_store& store;
    job_coordinator_hooks hooks;
    coordinator_limits limits;
    mutable std::mutex mutex;
    std::condition_variable changed;   ///< records, shards
    std::condition_variable has_dirty; ///< queue of the writers
    std::map<std::string, shard_phase> shards;
    std::map<std::string, entry_ptr> jobs;
    std::deque<entry_ptr> dirty;
    std::vector<std::thread> threads;
    std::deque<std::string> to_load; ///< shards
    std::condition_variable has_loads;
    time_point last_failure;  ///< of a write
    time_point failing_since; ///< no write has succeeded since; none: {}
    bool is_stopping = false;
};

// --- shards ----------------------------------------------------------------

bool job_coordinator::impl::read_shard(const std::string& shard,
                                       std::vector<table_row>& rows)
{
    row_range range;
    range.table = std::string(jobs_table);
    range.part = shard;
    for (;;)
    {
        absl::StatusOr<table_page> page =
            store.read(range, milliseconds(1'500));
        if (!page.ok())
        {
            log_warning("shard was not read",
                        {{"shard", shard},
                         {"error", std::string(page.status().message())}});
            return false;
        }
        rows.insert(rows.end(), page->rows.begin(), page->rows.end());
        if (!page->has_more || page->rows.empty())
        {
            return true;
        }
        range.from = page->rows.back().key + '\0';
    }
}

void job_coordinator::impl::insert(const table_row& row,
                                   const std::string& shard)
{
    absl::StatusOr<job> value = decode_job(row.key, row.value);
    if (!value.ok())
    {
        log_error("record was not read",
                  {{"job", row.key},
                   {"error", std::string(value.status().message())}});
        return;
    }
    entry_ptr entry = std::make_shared<job_entry>();
    entry->value = *std::move(value);
    entry->shard = shard;
    entry->encoded_spec = encode_spec(entry->value.spec);
    entry->version = row.version;
    entry->durable = entry->changes;
    entry->shown = std::string(shown_state(entry->value));
    entry->created_at = steady_clock::now();
    for (const assigned_run& run : assigned_runs(entry->value))
    {
        sent_run sent;
        sent.run = run.run;
        sent.is_inherited = true;
        entry->sent[to_string(run.key)] = sent;
    }
    jobs[row.key] = entry;
    add_due_occurrences(entry->value, unix_ms());
    const bool is_at_rest =
        entry->value.outcome != job_outcome::open && entry->sent.empty();
    if (!is_at_rest)
    {
        // The write makes later writes of the former owner fail, so that its
        // conclusions and those of this host cannot mix.
        mark(entry);
        for (auto& [task, sent] : entry->sent)
        {
            sent.change = entry->changes;
        }
    }
    assign_due(entry);
}

void job_coordinator::impl::load(const std::string& shard)
{
    std::vector<table_row> rows;
    const bool is_read = read_shard(shard, rows);
    std::unique_lock<std::mutex> lock(mutex);
    const auto it = shards.find(shard);
    if (it == shards.end() || it->second == shard_phase::ready)
    {
        return;
    }
    if (!is_read)
    {
        to_load.push_back(shard);
        has_loads.wait_for(lock, load_retry, [this] { return is_stopping; });
        return;
    }
    for (const table_row& row : rows)
    {
        if (jobs.count(row.key) == 0)
        {
            insert(row, shard);
        }
    }
    it->second = shard_phase::ready;
    changed.notify_all();
    log_info("shard taken over", {{"shard", shard}, {"jobs", rows.size()}});
}

void job_coordinator::impl::load_loop()
{
    for (;;)
    {
        std::string shard;
        {
            std::unique_lock<std::mutex> lock(mutex);
            has_loads.wait(lock,
                           [this] { return is_stopping || !to_load.empty(); });
            if (is_stopping)
            {
                return;
            }
            shard = std::move(to_load.front());
            to_load.pop_front();
        }
        load(shard);
    }
}

bool job_coordinator::impl::wait_ready(std::unique_lock<std::mutex>& lock,
                                       const std::string& shard,
                                       time_point deadline)
{
    const auto is_decided = [&]
    {
        const auto it = shards.find(shard);
        return is_stopping || it == shards.end() ||
               it->second == shard_phase::ready;
    };
    changed.wait_until(lock, deadline, is_decided);
    const auto it = shards.find(shard);
    return it != shards.end() && it->second == shard_phase::ready;
}

entry_ptr job_coordinator::impl::find(const std::string& id)
{
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : it->second;
}

// Reads the row of a job that is not in memory. Called without the lock.
entry_ptr job_coordinator::impl::fetch(const std::string& id,
                                       bool& is_reachable)
{
    row_range range;
    range.table = std::string(jobs_table);
    range.part = shard_of(id);
    range.from = id;
    range.limit = 1;
    const absl::StatusOr<table_page> page =
        store.read(range, limits.commit_timeout);
    is_reachable = page.ok();
    if (!page.ok())
    {
        log_warning(
            "job was not read",
            {{"job", id}, {"error", std::string(page.status().message())}});
        return nullptr;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (entry_ptr entry = find(id))
    {
        return entry;
    }
    if (page->rows.empty() || page->rows.front().key != id)
    {
        return nullptr;
    }
    insert(page->rows.front(), range.part);
    return find(id);
}

// --- assignment ------------------------------------------------------------

void job_coordinator::impl::mark(const entry_ptr& entry)
{
    ++entry->changes;
    if (!entry->is_queued && !entry->is_writing)
    {
        entry->is_queued = true;
        dirty.push_back(entry);
        has_dirty.notify_one();
    }
}

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

void job_coordinator::impl::assign_step(const entry_ptr& entry,
                                        const due_step& due)
{
    const step_spec& spec = entry->value.spec.steps[due.step];
    const step_terms terms = terms_of(entry->value, due.occurrence, due.step);
    if (terms.service.empty())
    {
        return; // its queue was removed; it waits for one of that name
    }
    const std::vector<std::string> racks =
        hooks.choose_racks(terms, due.tasks.size(), spec.data_rack);
    const bool has_rack = !racks.front().empty();
    if (spec.is_gang && !has_rack)
    {
        return;
    }
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

// --- records ---------------------------------------------------------------

std::vector<entry_ptr> job_coordinator::impl::take_batch()
{
    std::vector<entry_ptr> batch;
    std::deque<entry_ptr> others;
    while (!dirty.empty() && batch.size() < limits.max_batch)
    {
        entry_ptr entry = std::move(dirty.front());
        dirty.pop_front();
        const bool is_other_part = !limits.may_span_parts && !batch.empty() &&
                                   entry->shard != batch.front()->shard;
        if (is_other_part)
        {
            others.push_back(std::move(entry));
            continue;
        }
        entry->is_queued = false;
        entry->is_writing = true;
        batch.push_back(std::move(entry));
    }
    dirty.insert(dirty.begin(), others.begin(), others.end());
    if (!dirty.empty())
    {
        has_dirty.notify_one();
    }
    return batch;
}

void job_coordinator::impl::write_loop()
{
    std::unique_lock<std::mutex> lock(mutex);
    for (;;)
    {
        has_dirty.wait(lock, [this] { return is_stopping || !dirty.empty(); });
        if (is_stopping)
        {
            return;
        }
        const std::vector<entry_ptr> batch = take_batch();
        lock.unlock();
        write(batch);
        lock.lock();
        for (const entry_ptr& entry : batch)
        {
            entry->is_writing = false;
            const bool is_known = find(entry->value.id) == entry;
            if (is_known && entry->durable < entry->changes &&
                !entry->is_queued)
            {
                entry->is_queued = true;
                dirty.push_back(entry);
            }
        }
    }
}

void job_coordinator::impl::write(const std::vector<entry_ptr>& batch)
{
    row_transaction transaction;
    std::vector<std::uint64_t> changes;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const entry_ptr& entry : batch)
        {
            const std::string& id = entry->value.id;
            transaction.conditions.push_back(
                {std::string(jobs_table), entry->shard, id, entry->version});
            table_row row;
            row.table = std::string(jobs_table);
            row.part = entry->shard;
            row.key = id;
            row.value = encode_job(entry->value, entry->encoded_spec);
            transaction.writes.push_back(std::move(row));
            changes.push_back(entry->changes);
            transaction.spans_parts |= entry->shard != batch.front()->shard;
        }
    }
    std::minstd_rand random{std::random_device{}()};
    for (milliseconds pause = first_backoff;;
         pause = std::min(pause * 2, longest_backoff))
    {
        if (attempt(batch, transaction, changes) || refuse_new(batch))
        {
            return;
        }
        std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2,
                                                           pause.count());
        std::unique_lock<std::mutex> lock(mutex);
        const auto has_stopped = [this]
        {
            return is_stopping;
        };
        if (has_dirty.wait_for(lock, milliseconds(jitter(random)), has_stopped))
        {
            return;
        }
    }
}

// Returns whether the outcome of the transaction is known.
bool job_coordinator::impl::attempt(const std::vector<entry_ptr>& batch,
                                    const row_transaction& transaction,
                                    const std::vector<std::uint64_t>& changes)
{
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, limits.commit_timeout);
    std::map<std::string, rack_orders> orders;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (!result.ok())
        {
            last_failure = steady_clock::now();
            if (failing_since == time_point{})
            {
                failing_since = steady_clock::now();
            }
            const bool is_uncertain = !is_certain_failure(result.status());
            for (const entry_ptr& entry : batch)
            {
                entry->is_uncertain |= is_uncertain;
            }
            log_warning("records were not written",
                        {{"first_job", batch.front()->value.id},
                         {"jobs", batch.size()},
                         {"error", std::string(result.status().message())}});
            return false;
        }
        failing_since = time_point{};
        if (result->is_committed)
        {
            for (std::size_t n = 0; n < batch.size(); ++n)
            {
                apply_written(batch[n], result->version, changes[n]);
            }
        }
        else
        {
            apply_conflict(batch, transaction, changes, *result);
        }
        const time_point now = steady_clock::now();
        for (const entry_ptr& entry : batch)
        {
            if (find(entry->value.id) == entry)
            {
                collect_orders(*entry, orders, now);
            }
        }
        changed.notify_all();
    }
    send_all(orders);
    return true;
}

void job_coordinator::impl::apply_written(const entry_ptr& entry,
                                          std::int64_t version,
                                          std::uint64_t change)
{
    entry->version = version;
    entry->durable = change;
    entry->is_uncertain = false;
    if (change == entry->changes)
    {
        entry->shown = std::string(shown_state(entry->value));
    }
    else if (entry->shown.empty())
    {
        entry->shown = "queued"; // later changes are not durable yet
    }
}

void job_coordinator::impl::apply_conflict(
    const std::vector<entry_ptr>& batch, const row_transaction& transaction,
    const std::vector<std::uint64_t>& changes, const transaction_result& result)
{
    for (std::size_t n = 0; n < batch.size(); ++n)
    {
        const table_row& written = transaction.writes[n];
        const auto current = std::find_if(
            result.current.begin(), result.current.end(),
            [&written](const table_row& row)
            { return row.key == written.key && row.part == written.part; });
        const std::int64_t version =
            current == result.current.end() ? 0 : current->version;
        if (version == transaction.conditions[n].version)
        {
            continue; // another row of the transaction failed
        }
        if (current != result.current.end() && current->value == written.value)
        {
            apply_written(batch[n], version, changes[n]);
            continue;
        }
        log_info("record was changed by another host",
                 {{"job", written.key},
                  {"expected_version", transaction.conditions[n].version},
                  {"version", version}});
        forget(batch[n]);
        if (current != result.current.end())
        {
            insert(*current, written.part);
        }
    }
}

// A new job whose record the store refuses for certain is given up, so that
// its caller can be told at once that it will not run.
bool job_coordinator::impl::refuse_new(const std::vector<entry_ptr>& batch)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const time_point now = steady_clock::now();
    const bool is_refused =
        std::all_of(batch.begin(), batch.end(),
                    [&](const entry_ptr& entry)
                    {
                        return entry->version == 0 && !entry->is_uncertain &&
                               now - entry->created_at >= limits.refuse_after;
                    });
    if (is_refused)
    {
        for (const entry_ptr& entry : batch)
        {
            entry->is_refused = true;
            forget(entry);
        }
        changed.notify_all();
    }
    return is_refused;
}

void job_coordinator::impl::forget(const entry_ptr& entry)
{
    const auto it = jobs.find(entry->value.id);
    if (it != jobs.end() && it->second == entry)
    {
        jobs.erase(it);
    }
}

bool job_coordinator::impl::is_outage(time_point now) const
{
    return failing_since != time_point{} &&
           now - failing_since >= limits.outage_after &&
           now - last_failure < limits.outage_memory;
}

// --- orders ----------------------------------------------------------------

void job_coordinator::impl::add_start(
    job_entry& entry, const assigned_run& run, sent_run& sent,
    std::map<std::string, rack_orders>& orders, time_point now)
{
    rack_orders& target = orders[run.rack];
    target.rack = run.rack;
    const step_terms terms =
        terms_of(entry.value, run.key.occurrence, run.key.step);
    if (target.starts.empty() || target.starts.back().terms.step != terms.step)
    {
        target.starts.push_back({terms, {}});
    }
    const job_task* task = find_task(entry.value, run.key);
    step_run item;
    item.index = static_cast<std::int64_t>(run.key.index);
    item.run = run.run;
    item.checkpoint = task->checkpoint;
    item.is_repeated = sent.is_inherited || sent.sent_at != time_point{};
    target.starts.back().runs.push_back(std::move(item));
    sent.sent_at = now;
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
            rack_orders& target = orders[run.rack];
            target.rack = run.rack;
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
        rack_orders message = item;
        message.token = hooks.rack_token(rack);
        hooks.send(std::move(message));
    }
}

// --- reports ---------------------------------------------------------------

// Finds the job of a report; a verdict when the report cannot be applied.
std::optional<report_verdict>
job_coordinator::impl::find_reported(const run_report& report,
                                     const task_key& key, entry_ptr& found)
{
    const std::string shard = shard_of(key.job);
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = shards.find(shard);
        if (it == shards.end() || it->second != shard_phase::ready)
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
    }
    change = touched->changes;
    return {"recorded", {}};
}

// --- public interface ------------------------------------------------------

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
        impl_->changed.notify_all();
        impl_->has_dirty.notify_all();
        impl_->has_loads.notify_all();
    }
    for (std::thread& item : impl_->threads)
    {
        if (item.joinable())
        {
            item.join();
        }
    }
}

void job_coordinator::take_shard(const std::string& shard)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->is_stopping ||
        !impl_->shards.emplace(shard, shard_phase::loading).second)
    {
        return;
    }
    impl_->to_load.push_back(shard);
    impl_->has_loads.notify_one();
}

void job_coordinator::drop_shard(const std::string& shard)
{
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    if (impl_->shards.erase(shard) == 0)
    {
        return;
    }
    for (auto it = impl_->jobs.begin(); it != impl_->jobs.end();)
    {
        it = it->second->shard == shard ? impl_->jobs.erase(it) : std::next(it);
    }
    impl_->changed.notify_all();
    log_info("shard lost", {{"shard", shard}});
}

job_call_reply job_coordinator::submit(const job_call& call)
{
    const time_point deadline =
        steady_clock::now() + milliseconds(call.budget_ms);
    const std::string shard = shard_of(call.id);
    std::unique_lock<std::mutex> lock(impl_->mutex);
    if (!impl_->wait_ready(lock, shard, deadline))
    {
        return {"not_owner", "", 0};
    }
    entry_ptr entry = impl_->find(call.id);
    if (!entry && impl_->is_outage(steady_clock::now()))
    {
        // Nothing of this attempt is stored, so the answer is certain, and
        // the caller can turn to another host at once.
        return {"refused", "", refused_retry_ms};
    }
    if (!entry)
    {
        entry = std::make_shared<job_entry>();
        entry->value = make_job(call.id, call.queue, call.spec, unix_ms());
        entry->shard = shard;
        entry->encoded_spec = encode_spec(call.spec);
        entry->created_at = steady_clock::now();
        impl_->jobs[call.id] = entry;
        impl_->mark(entry);
        impl_->assign_due(entry);
    }
    const auto is_decided = [&]
    {
        const entry_ptr current = impl_->find(call.id);
        return impl_->is_stopping || !current || !current->shown.empty();
    };
    impl_->changed.wait_until(lock, deadline, is_decided);
    const entry_ptr current = impl_->find(call.id);
    if (current && !current->shown.empty())
    {
        return {"accepted", current->shown, 0};
    }
    // A job that was forgotten for another reason, such as a lost shard, may
    // have a write under way.
    return {entry->is_refused ? "refused" : "unknown", "", refused_retry_ms};
}

job_call_reply job_coordinator::query(const job_call& call)
{
    const time_point deadline =
        steady_clock::now() + milliseconds(call.budget_ms);
    entry_ptr entry;
    {
        std::unique_lock<std::mutex> lock(impl_->mutex);
        if (!impl_->wait_ready(lock, shard_of(call.id), deadline))
        {
            return {"not_owner", "", 0};
        }
        entry = impl_->find(call.id);
    }
    bool is_reachable = true;
    if (!entry)
    {
        entry = impl_->fetch(call.id, is_reachable);
    }
    std::unique_lock<std::mutex> lock(impl_->mutex);
    if (!entry)
    {
        return {is_reachable ? "absent" : "unknown", "", 0};
    }
    impl_->changed.wait_until(lock, deadline,
                              [&]
                              {
                                  return impl_->is_stopping ||
                                         !entry->shown.empty() ||
                                         impl_->find(call.id) != entry;
                              });
    return {entry->shown.empty() ? "unknown" : "known", entry->shown, 0};
}

job_call_reply job_coordinator::cancel(const job_call& call)
{
    const time_point deadline =
        steady_clock::now() + milliseconds(call.budget_ms);
    const job_call_reply state = query(call);
    if (state.verdict != "known")
    {
        return state;
    }
    std::unique_lock<std::mutex> lock(impl_->mutex);
    const entry_ptr entry = impl_->find(call.id);
    if (!entry)
    {
        return {"unknown", "", 0};
    }
    if (cancel_job(entry->value, unix_ms()))
    {
        log_info("job cancelled", {{"job", call.id}, {"state", state.state}});
        impl_->mark(entry);
    }
    const std::uint64_t change = entry->changes;
    impl_->changed.wait_until(lock, deadline,
                              [&]
                              {
                                  return impl_->is_stopping ||
                                         entry->durable >= change ||
                                         impl_->find(call.id) != entry;
                              });
    return {entry->durable >= change ? "known" : "unknown", entry->shown, 0};
}

report_reply job_coordinator::report(const report_batch& batch)
{
    report_reply reply;
    std::vector<entry_ptr> touched(batch.reports.size());
    std::vector<std::uint64_t> changes(batch.reports.size(), 0);
    for (std::size_t n = 0; n < batch.reports.size(); ++n)
    {
        reply.verdicts.push_back(
            impl_->apply(batch.reports[n], touched[n], changes[n]));
    }
    std::unique_lock<std::mutex> lock(impl_->mutex);
    const time_point deadline = steady_clock::now() + impl_->limits.report_wait;
    for (std::size_t n = 0; n < touched.size(); ++n)
    {
        if (changes[n] == 0 || reply.verdicts[n].verdict == "retry")
        {
            continue;
        }
        const entry_ptr& entry = touched[n];
        impl_->changed.wait_until(lock, deadline,
                                  [&]
                                  {
                                      return impl_->is_stopping ||
                                             entry->durable >= changes[n] ||
                                             impl_->find(entry->value.id) !=
                                                 entry;
                                  });
        if (entry->durable < changes[n])
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
            const std::string task =
                fmt::format("{}.{}", batch.terms.step, run.index);
            const std::optional<task_key> key = parse_task_key(task);
            const entry_ptr entry = key ? impl_->find(key->job) : nullptr;
            if (!entry)
            {
                continue;
            }
            const auto it = entry->sent.find(task);
            if (it != entry->sent.end() && it->second.run == run.run)
            {
                it->second.confirmed_token = reply.token;
            }
        }
    }
}

void job_coordinator::tick()
{
    std::map<std::string, rack_orders> orders;
    const time_point now = steady_clock::now();
    {
        const std::lock_guard<std::mutex> lock(impl_->mutex);
        for (const auto& [id, entry] : impl_->jobs)
        {
            if (add_due_occurrences(entry->value, unix_ms()))
            {
                impl_->mark(entry);
            }
            impl_->assign_due(entry);
            impl_->collect_orders(*entry, orders, now);
        }
    }
    impl_->send_all(orders);
    impl_->remove_expired(now);
}

// Removes the records of jobs that ended long ago, a bounded number at a time.
void job_coordinator::impl::remove_expired(time_point /*now*/)
{
    constexpr std::size_t most_removals = 50;
    row_transaction transaction;
    std::string shard;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& [id, entry] : jobs)
        {
            const bool is_expired =
                entry->value.outcome != job_outcome::open &&
                entry->durable == entry->changes && !entry->is_writing &&
                assigned_runs(entry->value).empty() &&
                unix_ms() - entry->value.ended_ms > limits.retention.count();
            if (is_expired && (shard.empty() || shard == entry->shard) &&
                transaction.removals.size() < most_removals)
            {
                shard = entry->shard;
                transaction.removals.push_back(
                    {std::string(jobs_table), shard, id, entry->version});
                transaction.conditions.push_back(transaction.removals.back());
            }
        }
    }
    if (transaction.removals.empty())
    {
        return;
    }
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, limits.commit_timeout);
    if (!result.ok() || !result->is_committed)
    {
        log_info("expired records were not removed",
                 {{"shard", shard}, {"jobs", transaction.removals.size()}});
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    for (const row_condition& row : transaction.removals)
    {
        jobs.erase(row.key);
    }
}

std::map<std::string, std::int64_t> job_coordinator::pending() const
{
    std::map<std::string, std::int64_t> counts;
    const std::lock_guard<std::mutex> lock(impl_->mutex);
    for (const auto& [id, entry] : impl_->jobs)
    {
        if (entry->shown == "queued")
        {
            ++counts[entry->value.queue];
        }
    }
    return counts;
}

} // namespace egretspindle
