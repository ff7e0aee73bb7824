#include "egretspindle/core/error.hpp"
#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "job_coordinator_impl.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <set>

namespace egretspindle
{

namespace
{

// Time between attempts of a write; doubles from the first to the second.
constexpr milliseconds min_backoff{50};
constexpr milliseconds max_backoff{800};
// Age of a change from which its write is logged. Urgent tasks take a second.
constexpr milliseconds late_write{1'000};
// Bytes that an entry of a transaction takes beside its value: the names of its
// fields, its table, its part and its key.
constexpr std::size_t max_entry_overhead = 300;

// Returns the size of a value in the body of a transaction.
constexpr std::size_t base64_size(std::size_t bytes)
{
    return (bytes + 2) / 3 * 4;
}

latency_summary& write_summary(const job_metrics& metrics,
                               const absl::StatusOr<transaction_result>& result)
{
    if (result.ok())
    {
        return result->is_committed ? metrics.write_committed
                                    : metrics.write_conflict;
    }
    return kind_of(result.status()) == error_kind::overloaded
               ? metrics.write_overloaded
               : metrics.write_failed;
}

// Returns whether a failed commit has certainly changed nothing. Relied on
// only for new jobs, whose writes are sent once; see
// `row_transaction::is_sent_once`.
bool is_certain_failure(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    return kind == error_kind::unavailable || kind == error_kind::overloaded;
}

// Returns whether a job depends on an ownership of a rack that has ended,
// according to the owner rows in the result of a failed write.
bool has_outdated_ownership(const job_entry& entry,
                            const transaction_result& result)
{
    return std::any_of(
        entry.required_ownerships.begin(), entry.required_ownerships.end(),
        [&result](const auto& item)
        {
            const auto row =
                std::find_if(result.current.begin(), result.current.end(),
                             [&item](const table_row& current) {
                                 return current.table == rack_fences_table &&
                                        current.part == item.first;
                             });
            return row == result.current.end() ||
                   row->version != item.second.token;
        });
}

} // namespace

// Counts a change of a job and queues its write. A job that a writer holds is
// queued again by `write_loop`.
void job_coordinator::impl::mark_changed(const entry_ptr& entry)
{
    ++entry->last_change;
    if (entry->closing_change == 0 && entry->value.outcome != job_outcome::open)
    {
        entry->closing_change = entry->last_change;
        entry->closed_at = steady_clock::now();
    }
    if (entry->unwritten_since == time_point{})
    {
        entry->unwritten_since = steady_clock::now();
    }
    if (!entry->is_in_write_queue && !entry->is_writing)
    {
        entry->is_in_write_queue = true;
        write_queue.push_back(entry);
        write_queue_changed.notify_one();
    }
}

// Waits until jobs are to be written and the store may be called. Returns false
// if the coordinator stops.
bool job_coordinator::impl::wait_for_turn(std::unique_lock<std::mutex>& lock)
{
    for (;;)
    {
        write_queue_changed.wait(
            lock, [this] { return is_stopping || !write_queue.empty(); });
        if (is_stopping || steady_clock::now() >= pace.next_at)
        {
            return !is_stopping;
        }
        write_queue_changed.wait_until(lock, time_point(pace.next_at),
                                       [this] { return is_stopping; });
    }
}

// Removes the jobs of the next transaction from the write queue and encodes
// their records: as many as the transaction can hold while the store is
// overloaded, otherwise at most `max_batch`; of one shard unless
// `may_span_parts`.
record_batch job_coordinator::impl::take_batch()
{
    record_batch batch;
    batch.transaction.kind = transaction_kind::records;
    std::deque<entry_ptr> skipped;
    std::set<std::string> condition_names;
    const std::size_t max_jobs =
        is_limited(pace) ? max_transaction_entries / 2 : limits.max_batch;
    std::size_t bytes = max_transaction_entries * max_entry_overhead;
    // A transaction has a condition and a write for each job, and a condition
    // for each shard and each rack.
    while (!write_queue.empty() && batch.jobs.size() < max_jobs &&
           2 * (batch.jobs.size() + 1) + condition_names.size() <=
               max_transaction_entries)
    {
        const entry_ptr entry = write_queue.front();
        const bool is_other_part = !limits.may_span_parts &&
                                   !batch.jobs.empty() &&
                                   entry->shard != batch.jobs.front()->shard;
        std::set<std::string> extended_names = condition_names;
        extended_names.insert("shard/" + entry->shard);
        for (const auto& [rack, owner] : entry->required_ownerships)
        {
            extended_names.insert(rack);
        }
        const bool has_too_many_entries =
            !batch.jobs.empty() &&
            2 * (batch.jobs.size() + 1) + extended_names.size() >
                max_transaction_entries;
        if (is_other_part || has_too_many_entries)
        {
            skipped.push_back(entry);
            write_queue.pop_front();
            continue;
        }
        std::string record = encode_job(entry->value, entry->encoded_spec);
        if (record.size() > max_record_bytes)
        {
            write_queue.pop_front();
            leave_out_large_job(entry, record.size());
            continue;
        }
        bytes += base64_size(record.size());
        if (!batch.jobs.empty() && bytes > max_transaction_bytes)
        {
            break;
        }
        condition_names = std::move(extended_names);
        write_queue.pop_front();
        add_job(entry, std::move(record), batch);
    }
    write_queue.insert(write_queue.begin(), skipped.begin(), skipped.end());
    if (!write_queue.empty())
    {
        write_queue_changed.notify_one();
    }
    add_fence_conditions(batch.jobs, batch.transaction);
    add_owner_conditions(batch.jobs, batch.transaction);
    return batch;
}

// Removes a job from the write queue whose record is larger than a row: the
// store refuses every transaction with it, and the other jobs of the batch
// would wait for ever. A new job is refused. Another one is written again with
// its next change, which may make the record smaller, for example its
// cancellation.
void job_coordinator::impl::leave_out_large_job(const entry_ptr& entry,
                                                std::size_t bytes)
{
    entry->is_in_write_queue = false;
    entry->is_too_large = true;
    entry->changed.notify_all();
    log_error("job record is too large for the store",
              {{"job", entry->value.id},
               {"bytes", bytes},
               {"max_bytes", max_record_bytes},
               {"new", entry->version == 0}});
    if (entry->version == 0 && !entry->has_unanswered_write)
    {
        refuse_job(entry);
    }
}

void job_coordinator::impl::add_job(const entry_ptr& entry, std::string record,
                                    record_batch& batch) const
{
    const std::string& id = entry->value.id;
    row_transaction& transaction = batch.transaction;
    transaction.conditions.push_back(
        {std::string(jobs_table), entry->shard, id, entry->version});
    table_row row;
    row.table = std::string(jobs_table);
    row.part = entry->shard;
    row.key = id;
    row.value = std::move(record);
    transaction.writes.push_back(std::move(row));
    transaction.spans_parts |=
        !batch.jobs.empty() && entry->shard != batch.jobs.front()->shard;
    // The reply for a new job depends on whether it was written, which the
    // result tells only for a write that is sent once.
    transaction.is_sent_once |= entry->version == 0;
    entry->is_in_write_queue = false;
    entry->is_too_large = false;
    entry->is_writing = true;
    entry->write_begun_at = steady_clock::now();
    batch.changes.push_back(entry->last_change);
    batch.jobs.push_back(entry);
}

void job_coordinator::impl::write_loop()
{
    std::unique_lock<std::mutex> lock(mutex);
    while (wait_for_turn(lock))
    {
        const record_batch batch = take_batch();
        if (batch.jobs.empty())
        {
            continue; // no job has a record that the store can take
        }
        note_call(pace, steady_clock::now(), draw_spread());
        lock.unlock();
        write_batch(batch);
        lock.lock();
        release_batch(batch);
    }
}

// Ends the work of a writer on a batch. Jobs with changes that are not durable
// are queued again: those that were not written before the others, which have
// changed later, and those that have changed since the write after them.
void job_coordinator::impl::release_batch(const record_batch& batch)
{
    for (std::size_t n = batch.jobs.size(); n > 0; --n)
    {
        const entry_ptr& entry = batch.jobs[n - 1];
        entry->is_writing = false;
        const bool is_known = find_job(entry->value.id) == entry;
        if (!is_known || entry->durable_change >= entry->last_change ||
            entry->is_in_write_queue)
        {
            continue;
        }
        entry->is_in_write_queue = true;
        if (entry->durable_change < batch.changes[n - 1])
        {
            write_queue.push_front(entry);
        }
        else
        {
            write_queue.push_back(entry);
        }
    }
}

// Writes the records of a batch. Repeats the write, with a jittered exponential
// delay, until its result is known or the batch is given up. A write that the
// store refuses for overload is not repeated: its jobs join the next one.
void job_coordinator::impl::write_batch(const record_batch& batch)
{
    for (milliseconds pause = min_backoff;;
         pause = std::min(pause * 2, max_backoff))
    {
        if (try_commit(batch) != write_outcome::failed ||
            refuse_new_jobs(batch.jobs) || is_obsolete(batch.jobs))
        {
            return;
        }
        std::unique_lock<std::mutex> lock(mutex);
        std::uniform_int_distribution<std::int64_t> jitter(pause.count() / 2,
                                                           pause.count());
        const time_point next_at = std::max(
            steady_clock::now() + milliseconds(jitter(random)), pace.next_at);
        if (write_queue_changed.wait_until(lock, next_at,
                                           [this] { return is_stopping; }))
        {
            return;
        }
        note_call(pace, steady_clock::now(), draw_spread());
    }
}

// Returns a random factor for an interval between calls.
double job_coordinator::impl::draw_spread()
{
    return std::uniform_real_distribution<double>(0.75, 1.25)(random);
}

// Adapts the rate of writes to an answer of the store.
void job_coordinator::impl::adapt_pace(
    const absl::StatusOr<transaction_result>& result, time_point begun_at)
{
    const time_point now = steady_clock::now();
    if (result.ok() && note_success(pace, limits.pace, now))
    {
        log_info("writes of job records are no longer limited",
                 {{"limited_ms", elapsed_ms(pace.limited_at, now)},
                  {"refused", pace.refused}});
    }
    if (!result.ok() && kind_of(result.status()) == error_kind::overloaded &&
        note_overload(pace, limits.pace, begun_at, now, draw_spread()))
    {
        log_warning("writes of job records are limited: store is overloaded",
                    {{"refused", pace.refused},
                     {"interval_ms", call_interval(pace).count()},
                     {"waiting_jobs", write_queue.size()}});
    }
}

// Adds the fence rows of the shards as conditions, so that the write fails if
// another host has taken over a shard and this host does not know it yet.
void job_coordinator::impl::add_fence_conditions(
    const std::vector<entry_ptr>& batch, row_transaction& transaction) const
{
    std::set<std::string> shard_names;
    for (const entry_ptr& entry : batch)
    {
        shard_names.insert(entry->shard);
    }
    for (const std::string& name : shard_names)
    {
        // The fence row exists, so version 0 makes the write fail for a shard
        // that this host has dropped.
        const auto it = shards.find(name);
        transaction.conditions.push_back(
            {std::string(jobs_table), name, std::string(shard_fence_key),
             it == shards.end() ? 0 : it->second.fence});
    }
}

// Gives up the shards whose fence row another host has replaced and returns
// their names. Sets `is_fenced` if any fence of the transaction was outdated.
std::vector<std::string>
job_coordinator::impl::give_up_fenced_shards(const row_transaction& transaction,
                                             const transaction_result& result,
                                             bool& is_fenced)
{
    std::vector<std::string> dropped;
    is_fenced = false;
    for (const row_condition& condition : transaction.conditions)
    {
        const bool is_valid =
            condition.key != shard_fence_key ||
            std::any_of(result.current.begin(), result.current.end(),
                        [&condition](const table_row& row)
                        {
                            return row.key == condition.key &&
                                   row.part == condition.part &&
                                   row.version == condition.version;
                        });
        is_fenced |= !is_valid;
        // An outdated fence in a write from an earlier ownership of the shard
        // does not affect the current one.
        const auto it = shards.find(condition.part);
        if (!is_valid && it != shards.end() &&
            it->second.fence == condition.version)
        {
            give_up_shard(condition.part);
            dropped.push_back(condition.part);
        }
    }
    return dropped;
}

// Adds the ownerships that the jobs depend on as conditions. An end that the
// owner of a rack inferred is valid only if it is still the owner when the end
// becomes durable, since a later owner may have started the run. Fence rows are
// in other parts than jobs, so this needs transactions over several parts.
// Without them, only the owners known to this host are checked; see
// `apply_report`.
void job_coordinator::impl::add_owner_conditions(
    const std::vector<entry_ptr>& batch, row_transaction& transaction) const
{
    if (!limits.may_span_parts)
    {
        return;
    }
    std::map<std::string, std::int64_t> tokens;
    for (const entry_ptr& entry : batch)
    {
        for (const auto& [rack, owner] : entry->required_ownerships)
        {
            // If the tokens differ, the lower one is outdated.
            const auto it = tokens.emplace(rack, owner.token).first;
            it->second = std::min(it->second, owner.token);
        }
    }
    for (const auto& [rack, token] : tokens)
    {
        transaction.conditions.push_back(require_rack_fence(rack, token));
        transaction.spans_parts = true;
    }
}

// Commits a batch once and applies its result.
write_outcome job_coordinator::impl::try_commit(const record_batch& batch)
{
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<transaction_result> result =
        store.commit(batch.transaction, limits.commit_timeout);
    const fractional_ms took = steady_clock::now() - sent_at;
    write_summary(metrics, result).observe(took.count());
    std::map<std::string, rack_orders> orders;
    std::vector<std::string> lost;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        adapt_pace(result, sent_at);
        if (!result.ok())
        {
            return apply_failure(batch, result.status(), took);
        }
        failing_since = time_point{};
        overloaded_since = time_point{};
        if (result->is_committed)
        {
            for (std::size_t n = 0; n < batch.jobs.size(); ++n)
            {
                apply_commit(batch.jobs[n], result->version, batch.changes[n]);
            }
        }
        else
        {
            bool is_fenced = false;
            lost = give_up_fenced_shards(batch.transaction, *result, is_fenced);
            if (!is_fenced)
            {
                apply_conflict(batch, *result);
            }
        }
        const time_point now = steady_clock::now();
        for (const entry_ptr& entry : batch.jobs)
        {
            if (find_job(entry->value.id) == entry)
            {
                collect_orders(*entry, orders, now);
            }
            entry->changed.notify_all();
        }
    }
    for (const std::string& shard : lost)
    {
        hooks.on_shard_lost(shard);
    }
    send_orders(orders);
    return write_outcome::decided;
}

// Applies a failed attempt. If the store has refused it for overload and no
// attempt is unanswered, refuses the new jobs that are older than
// `refuse_after`; the others may be written with later changes.
write_outcome job_coordinator::impl::apply_failure(const record_batch& batch,
                                                   const absl::Status& error,
                                                   fractional_ms took)
{
    const time_point now = steady_clock::now();
    const bool is_overloaded = kind_of(error) == error_kind::overloaded;
    last_failed_write_at = now;
    time_point& since = is_overloaded ? overloaded_since : failing_since;
    if (since == time_point{})
    {
        since = now;
    }
    if (is_overloaded)
    {
        failing_since = time_point{};
    }
    bool has_unanswered_write = !is_certain_failure(error);
    for (const entry_ptr& entry : batch.jobs)
    {
        entry->has_unanswered_write |= has_unanswered_write;
    }
    if (!is_overloaded)
    {
        log_warning("failed to write job records",
                    {{"first_job", batch.jobs.front()->value.id},
                     {"jobs", batch.jobs.size()},
                     {"uncertain", has_unanswered_write},
                     {"took_ms", std::llround(took.count())},
                     {"error", std::string(error.message())}});
        return write_outcome::failed;
    }
    has_unanswered_write = std::any_of(batch.jobs.begin(), batch.jobs.end(),
                                       [](const entry_ptr& entry)
                                       { return entry->has_unanswered_write; });
    if (has_unanswered_write)
    {
        return write_outcome::failed;
    }
    for (std::size_t n = 0; n < batch.jobs.size(); ++n)
    {
        const entry_ptr& entry = batch.jobs[n];
        if (is_overdue(*entry, now))
        {
            refuse_job(entry);
        }
        else if (!batch.transaction.is_sent_once)
        {
            entry->refused_record = batch.transaction.writes[n].value;
            entry->refused_change = batch.changes[n];
        }
    }
    return write_outcome::overloaded;
}

// Logs a write that made a change durable late, which delays the starts and the
// answers that depend on it.
void job_coordinator::impl::log_late_write(const job_entry& entry)
{
    const time_point now = steady_clock::now();
    const bool is_late = entry.unwritten_since != time_point{} &&
                         now - entry.unwritten_since >= late_write;
    if (!is_late)
    {
        return;
    }
    const std::optional<std::int64_t> suppressed =
        late_write_log_limit.try_acquire(now);
    if (suppressed)
    {
        log_info("job record was written late",
                 {{"job", entry.value.id},
                  {"waited_ms", elapsed_ms(entry.unwritten_since, now)},
                  {"write_ms", elapsed_ms(entry.write_begun_at, now)},
                  {"unwritten_jobs", write_queue.size()},
                  {"left_out", *suppressed}});
    }
}

// Records that the changes of a job up to number `change` are durable.
void job_coordinator::impl::apply_commit(const entry_ptr& entry,
                                         std::int64_t version,
                                         std::uint64_t change)
{
    log_late_write(*entry);
    entry->version = version;
    entry->durable_change = change;
    entry->has_unanswered_write = false;
    // Changes that followed are at most as old as the write.
    entry->unwritten_since =
        change == entry->last_change ? time_point{} : entry->write_begun_at;
    entry->refused_record.clear();
    for (auto it = entry->required_ownerships.begin();
         it != entry->required_ownerships.end();)
    {
        it = it->second.change <= change ? entry->required_ownerships.erase(it)
                                         : std::next(it);
    }
    if (change == entry->last_change || is_end_durable(*entry))
    {
        entry->visible_state = std::string(state_name(entry->value));
    }
    else if (entry->visible_state.empty())
    {
        // The other changes are not durable yet.
        entry->visible_state = "queued";
    }
}

// Applies a write that failed on the version of a job record or a rack owner. A
// record equal to the one written, or to one whose write was refused, comes
// from an earlier attempt. Any other changed job is replaced by the record in
// the store.
void job_coordinator::impl::apply_conflict(const record_batch& batch,
                                           const transaction_result& result)
{
    const row_transaction& transaction = batch.transaction;
    for (std::size_t n = 0; n < batch.jobs.size(); ++n)
    {
        const entry_ptr& entry = batch.jobs[n];
        const table_row& written = transaction.writes[n];
        const auto current = std::find_if(
            result.current.begin(), result.current.end(),
            [&written](const table_row& row)
            { return row.key == written.key && row.part == written.part; });
        const std::int64_t version =
            current == result.current.end() ? 0 : current->version;
        const bool is_expected = version == transaction.conditions[n].version;
        if (is_expected && !has_outdated_ownership(*entry, result))
        {
            continue; // another condition of the transaction failed
        }
        if (!is_expected && current != result.current.end() &&
            current->value == written.value)
        {
            apply_commit(entry, version, batch.changes[n]);
            continue;
        }
        if (!is_expected && current != result.current.end() &&
            !entry->refused_record.empty() &&
            current->value == entry->refused_record)
        {
            apply_commit(entry, version, entry->refused_change);
            continue;
        }
        log_info("job record was changed by another host",
                 {{"job", written.key},
                  {"expected_version", transaction.conditions[n].version},
                  {"version", version},
                  {"owner_changed", is_expected}});
        remove_job(entry);
        if (current != result.current.end())
        {
            insert_job(*current, written.part);
        }
    }
}

// Returns whether this host can refuse a job for certain. A write of a former
// owner of the shard can store the job up to `former_owner_write_delay` after
// the takeover.
bool job_coordinator::impl::may_refuse_for_certain(const std::string& shard,
                                                   time_point now) const
{
    const auto it = shards.find(shard);
    return it != shards.end() &&
           now - it->second.taken_at >= limits.former_owner_write_delay;
}

// Logs and counts a submission that this host does not store. Returns the
// reply: `refused`, or `uncertain` while `may_refuse_for_certain` does not
// hold.
job_reply job_coordinator::impl::refuse(const job_request& request,
                                        const std::string& shard,
                                        refusal_reason reason,
                                        std::int64_t retry_after_ms) const
{
    const time_point now = steady_clock::now();
    const bool is_certain = may_refuse_for_certain(shard, now);
    const auto it = shards.find(shard);
    log_info(
        "job refused",
        {{"job", request.id},
         {"queue", request.queue},
         {"reason", to_string(reason)},
         {"certain", is_certain},
         {"shard", shard},
         {"owned_ms",
          it == shards.end() ? 0 : elapsed_ms(it->second.taken_at, now)},
         {"writes_failing_ms", elapsed_ms(std::min(failing_from(), now), now)},
         {"retry_after_ms", retry_after_ms}});
    metrics.count_refusal(reason, is_certain);
    return {is_certain ? "refused" : "uncertain", "", retry_after_ms};
}

// Returns whether all jobs of a batch are new and no longer in memory because
// their shard was lost. Its new owner may refuse them once
// `former_owner_write_delay` has passed, so their write must not be repeated.
bool job_coordinator::impl::is_obsolete(const std::vector<entry_ptr>& batch)
{
    const std::lock_guard<std::mutex> lock(mutex);
    return std::all_of(batch.begin(), batch.end(),
                       [this](const entry_ptr& entry) {
                           return entry->version == 0 &&
                                  find_job(entry->value.id) != entry;
                       });
}

// Refuses the jobs of a batch if all of them are new, certainly not stored and
// older than `refuse_after`, so that their callers learn early that they will
// not run. Returns whether it did.
bool job_coordinator::impl::refuse_new_jobs(const std::vector<entry_ptr>& batch)
{
    const std::lock_guard<std::mutex> lock(mutex);
    const time_point now = steady_clock::now();
    const bool is_refused = std::all_of(batch.begin(), batch.end(),
                                        [&](const entry_ptr& entry)
                                        { return is_overdue(*entry, now); });
    if (is_refused)
    {
        for (const entry_ptr& entry : batch)
        {
            refuse_job(entry);
        }
    }
    return is_refused;
}

// Returns whether a job is new, certainly not stored and older than
// `refuse_after`.
bool job_coordinator::impl::is_overdue(const job_entry& entry,
                                       time_point now) const
{
    return entry.version == 0 && !entry.has_unanswered_write &&
           now - entry.created_at >= limits.refuse_after;
}

void job_coordinator::impl::refuse_job(const entry_ptr& entry)
{
    entry->is_refused = true;
    remove_job(entry);
}

void job_coordinator::impl::remove_job(const entry_ptr& entry)
{
    const auto it = jobs.find(entry->value.id);
    if (it != jobs.end() && it->second == entry)
    {
        jobs.erase(it);
    }
    entry->changed.notify_all();
}

// Returns whether new jobs are refused without a write; see
// `coordinator_limits::outage_after`.
bool job_coordinator::impl::is_store_failing(time_point now) const
{
    const bool is_down = failing_since != time_point{} &&
                         now - failing_since >= limits.outage_after;
    const bool is_refused =
        overloaded_since != time_point{} &&
        now - overloaded_since >= limits.overload_outage_after;
    return (is_down || is_refused) &&
           now - last_failed_write_at < limits.outage_expires_after;
}

// Returns the time since which no write has succeeded; time_point::max(): the
// last one has.
time_point job_coordinator::impl::failing_from() const
{
    time_point from = time_point::max();
    for (const time_point since : {failing_since, overloaded_since})
    {
        from = since == time_point{} ? from : std::min(from, since);
    }
    return from;
}

// Removes the records of jobs whose retention has expired: at most
// `max_removals` of one shard per call.
void job_coordinator::impl::remove_expired_records(time_point now)
{
    constexpr std::size_t max_removals = 50;
    row_transaction transaction;
    transaction.kind = transaction_kind::expiry;
    std::string shard;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        if (now < pace.next_at)
        {
            return;
        }
        for (const auto& [id, entry] : jobs)
        {
            const bool is_expired =
                entry->value.outcome != job_outcome::open &&
                entry->durable_change == entry->last_change &&
                !entry->is_writing && assigned_runs(entry->value).empty() &&
                unix_ms() - entry->value.ended_ms > limits.retention.count();
            if (is_expired && (shard.empty() || shard == entry->shard) &&
                transaction.removals.size() < max_removals)
            {
                shard = entry->shard;
                transaction.removals.push_back(
                    {std::string(jobs_table), shard, id, entry->version});
                transaction.conditions.push_back(transaction.removals.back());
            }
        }
        if (transaction.removals.empty())
        {
            return;
        }
        note_call(pace, now, draw_spread());
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, limits.commit_timeout);
    const std::lock_guard<std::mutex> lock(mutex);
    adapt_pace(result, sent_at);
    if (!result.ok() || !result->is_committed)
    {
        log_info("failed to remove expired job records",
                 {{"shard", shard}, {"jobs", transaction.removals.size()}});
        return;
    }
    for (const row_condition& row : transaction.removals)
    {
        jobs.erase(row.key);
    }
}

} // namespace egretspindle
