#include "egretspindle/jobs/job_record.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include "job_coordinator_impl.hpp"
#include "job_terms.hpp"

namespace egretspindle
{

namespace
{

constexpr milliseconds load_retry_delay{200};

} // namespace

// Replaces the fence row of a shard, so that all later writes of its former
// owners fail, including those made after they have read a job again. Returns
// whether it succeeded, and if so, the version of the row in `version`.
bool job_coordinator::impl::fence_shard(const std::string& shard,
                                        std::int64_t token,
                                        std::int64_t& version)
{
    row_range range;
    range.table = std::string(jobs_table);
    range.part = shard;
    range.from = std::string(shard_fence_key);
    range.limit = 1;
    const absl::StatusOr<table_page> page =
        store.read(range, limits.read_timeout);
    if (!page.ok())
    {
        return false;
    }
    const bool has_fence_row =
        !page->rows.empty() && page->rows.front().key == shard_fence_key;
    row_transaction transaction;
    transaction.kind = transaction_kind::fence;
    table_row row;
    row.table = range.table;
    row.part = shard;
    row.key = range.from;
    row.value = std::to_string(unix_ms());
    transaction.conditions.push_back(
        {row.table, row.part, row.key,
         has_fence_row ? page->rows.front().version : 0});
    transaction.writes.push_back(std::move(row));
    if (token > 0 && limits.may_span_parts)
    {
        transaction.conditions.push_back({std::string(cluster_table), "",
                                          std::string(shard_prefix) + shard,
                                          token});
        transaction.spans_parts = true;
    }
    const absl::StatusOr<transaction_result> result =
        store.commit(transaction, limits.commit_timeout);
    if (!result.ok() || !result->is_committed)
    {
        return false;
    }
    version = result->version;
    return true;
}

// Appends all rows of a shard to `rows`. Returns false if a page cannot be
// read.
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
            log_warning("failed to read shard",
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

// Adds a job that was read from the store, and queues a write of it unless it
// has ended and has no assigned runs.
void job_coordinator::impl::insert_job(const table_row& row,
                                       const std::string& shard)
{
    if (shards.count(shard) == 0)
    {
        return; // the shard was dropped while the row was read
    }
    absl::StatusOr<job> value = decode_job(row.key, row.value);
    if (!value.ok())
    {
        log_error("failed to decode job record",
                  {{"job", row.key},
                   {"error", std::string(value.status().message())}});
        return;
    }
    entry_ptr entry = std::make_shared<job_entry>();
    entry->value = *std::move(value);
    entry->shard = shard;
    entry->encoded_spec = encode_spec(entry->value.spec);
    entry->version = row.version;
    entry->durable_change = entry->last_change;
    entry->closing_change =
        entry->value.outcome == job_outcome::open ? 0 : entry->last_change;
    entry->visible_state = std::string(state_name(entry->value));
    entry->created_at = steady_clock::now();
    entry->closed_at = entry->created_at;
    for (const assigned_run& run : assigned_runs(entry->value))
    {
        sent_run sent;
        sent.run = run.run;
        sent.is_from_store = true;
        entry->sent[to_string(run.key)] = sent;
    }
    jobs[row.key] = entry;
    add_due_occurrences(entry->value, unix_ms());
    update_terms(entry->value, *hooks.config());
    const bool is_finished =
        entry->value.outcome != job_outcome::open && entry->sent.empty();
    if (!is_finished)
    {
        // The write changes the version of the record, so that later writes of
        // a former owner fail and cannot mix with changes of this host.
        mark_changed(entry);
        for (auto& [task, sent] : entry->sent)
        {
            sent.change = entry->last_change;
        }
    }
    assign_due_steps(entry);
}

// Loads a shard; on failure, queues it again and waits for `load_retry_delay`.
void job_coordinator::impl::load_shard(const std::string& shard)
{
    std::vector<table_row> rows;
    std::int64_t token = 0;
    std::int64_t fence = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto it = shards.find(shard);
        if (it == shards.end())
        {
            return;
        }
        token = it->second.token;
    }
    const bool is_read =
        fence_shard(shard, token, fence) && read_shard(shard, rows);
    std::unique_lock<std::mutex> lock(mutex);
    const auto it = shards.find(shard);
    if (it == shards.end() || it->second.phase == shard_phase::ready)
    {
        return;
    }
    if (!is_read)
    {
        load_queue.push_back(shard);
        load_queue_changed.wait_for(lock, load_retry_delay,
                                    [this] { return is_stopping; });
        return;
    }
    it->second.fence = fence;
    for (const table_row& row : rows)
    {
        if (row.key != shard_fence_key && jobs.count(row.key) == 0)
        {
            insert_job(row, shard);
        }
    }
    it->second.phase = shard_phase::ready;
    shards_changed.notify_all();
    log_info("took over shard", {{"shard", shard}, {"jobs", rows.size()}});
}

// Removes a shard from memory whose fence another host has replaced.
void job_coordinator::impl::give_up_shard(const std::string& shard)
{
    if (remove_shard(shard))
    {
        log_info("gave up shard owned by another host", {{"shard", shard}});
    }
}

// Removes a shard and its jobs from memory, and wakes all that wait for them.
// Returns whether this host had the shard.
bool job_coordinator::impl::remove_shard(const std::string& shard)
{
    if (shards.erase(shard) == 0)
    {
        return false;
    }
    for (auto it = jobs.begin(); it != jobs.end();)
    {
        if (it->second->shard != shard)
        {
            ++it;
            continue;
        }
        it->second->changed.notify_all();
        it = jobs.erase(it);
    }
    shards_changed.notify_all();
    return true;
}

void job_coordinator::impl::load_loop()
{
    for (;;)
    {
        std::string shard;
        {
            std::unique_lock<std::mutex> lock(mutex);
            load_queue_changed.wait(
                lock, [this] { return is_stopping || !load_queue.empty(); });
            if (is_stopping)
            {
                return;
            }
            shard = std::move(load_queue.front());
            load_queue.pop_front();
        }
        load_shard(shard);
    }
}

// Waits until a shard is loaded. Returns false if this host does not own it or
// the deadline passes first.
bool job_coordinator::impl::wait_until_ready(std::unique_lock<std::mutex>& lock,
                                             const std::string& shard,
                                             time_point deadline)
{
    const auto is_decided = [&]
    {
        const auto it = shards.find(shard);
        return is_stopping || it == shards.end() ||
               it->second.phase == shard_phase::ready;
    };
    shards_changed.wait_until(lock, deadline, is_decided);
    const auto it = shards.find(shard);
    return it != shards.end() && it->second.phase == shard_phase::ready;
}

// Returns a job in memory, or null.
entry_ptr job_coordinator::impl::find_job(const std::string& id)
{
    const auto it = jobs.find(id);
    return it == jobs.end() ? nullptr : it->second;
}

// Returns a job that was not in memory, read from the store; null if it has no
// record. Sets `is_reachable` to false if that is not certain: the store did
// not answer within the timeout, the record cannot be decoded, or this host no
// longer owns the shard.
entry_ptr job_coordinator::impl::fetch_job(const std::string& id,
                                           milliseconds timeout,
                                           bool& is_reachable)
{
    if (timeout.count() <= 0)
    {
        is_reachable = false;
        return nullptr;
    }
    row_range range;
    range.table = std::string(jobs_table);
    range.part = shard_of(id);
    range.from = id;
    range.limit = 1;
    const absl::StatusOr<table_page> page = store.read(range, timeout);
    is_reachable = page.ok();
    if (!page.ok())
    {
        log_warning(
            "failed to read job",
            {{"job", id}, {"error", std::string(page.status().message())}});
        return nullptr;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (entry_ptr entry = find_job(id))
    {
        return entry;
    }
    if (page->rows.empty() || page->rows.front().key != id)
    {
        return nullptr;
    }
    if (shards.count(range.part) == 0)
    {
        // Only the new owner of the shard may answer requests for the job.
        is_reachable = false;
        return nullptr;
    }
    insert_job(page->rows.front(), range.part);
    entry_ptr entry = find_job(id);
    is_reachable = entry != nullptr; // a malformed record is not an absent one
    return entry;
}

} // namespace egretspindle
