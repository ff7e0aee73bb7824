// Requests of coordinators that are gone, and attempts without news.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

constexpr int scan_page = 256;
constexpr milliseconds forward_wait{5000};
constexpr milliseconds retry_delay{250};
constexpr milliseconds poll_tick{200};
// Above the attempt numbers that the earlier coordinator can have used.
constexpr int fence_distance = 16;

absl::Status not_recorded()
{
    return make_error(error_kind::unavailable,
                      "the end is not recorded yet; report it again");
}

} // namespace

void coordinator::adopt(const request_entry_ptr& entry, const store_row& row)
{
    if (row.version == 0)
    {
        begin_again(entry);
        return;
    }
    const absl::StatusOr<request_record> parsed =
        from_json<request_record>(row.value);
    if (!parsed.ok())
    {
        refuse(entry, parsed.status());
        return;
    }
    request_record record = *parsed;
    const absl::Status status = fetch_answer(record);
    if (!status.ok())
    {
        refuse(entry, status);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        const bool is_same = record.digest.empty() ||
                             entry->record.digest.empty() ||
                             record.digest == entry->record.digest;
        entry->version = row.version;
        if (is_same)
        {
            entry->record = record;
            entry->cancel_requested |= record.cancel_requested;
            if (record.state == record_state::ended)
            {
                entry->reply = record.reply;
                entry->is_durable = true;
                entry->is_busy = false;
                entry->ended = steady_clock::now();
                entry->changed.notify_all();
                return;
            }
        }
        else
        {
            entry->error = make_error(
                error_kind::conflict,
                fmt::format("id '{}' was used for a different request; choose "
                            "another id",
                            entry->spec.id));
        }
    }
    if (!entry->error.ok())
    {
        refuse(entry, entry->error);
        return;
    }
    if (is_elsewhere(record))
    {
        forward_until_end(entry, record.coordinator);
        return;
    }
    // The compare-and-set keeps the earlier coordinator from recording a
    // start or an end after this point.
    record.coordinator = options_.host_name;
    if (record.state == record_state::claimed)
    {
        record.attempt += fence_distance;
    }
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        // The number of a recorded start is taken; that of a claim is free.
        entry->next_attempt = record.state == record_state::claimed
                                  ? record.attempt
                                  : record.attempt + 1;
    }
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.store_timeout);
    if (result.ok() && !result->committed && !result->conflicts.empty())
    {
        adopt(entry, result->conflicts.front());
        return;
    }
    if (!result.ok())
    {
        // Still unresolved: the poll thread tries again.
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->reply.result = outcome::running;
        entry->record.coordinator.clear();
        entry->is_busy = false;
        entry->next_poll = steady_clock::now() + retry_delay;
        return;
    }
    resolve(entry);
}

// A record is removed only after `not_run`, so nothing of the request runs.
void coordinator::begin_again(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->version = 0;
        entry->record = make_entry(entry->spec, entry->received)->record;
        entry->next_attempt = 1;
    }
    if (!entry->spec.urgent)
    {
        accept_batch(entry);
    }
    else if (entry->spec.idempotent)
    {
        run_urgent(entry);
    }
    else
    {
        run_recorded(entry);
    }
}

void coordinator::forward_until_end(const request_entry_ptr& entry,
                                    const std::string& host)
{
    key_query query;
    query.key = entry->key;
    query.wait_ms = forward_wait.count();
    while (hooks_.is_alive(host))
    {
        const absl::StatusOr<request_reply> reply =
            hooks_.forward_wait(host, query);
        if (reply.ok() && is_final(reply->result))
        {
            {
                const std::lock_guard<std::mutex> lock(entry->mutex);
                entry->reply = *reply;
                entry->is_busy = false;
                entry->changed.notify_all();
            }
            table_.erase(entry);
            return;
        }
        const time_point limit = steady_clock::now() + retry_delay;
        std::unique_lock<std::mutex> lock(entry->mutex);
        if (reply.ok())
        {
            entry->reply = *reply;
        }
        else
        {
            entry->changed.wait_until(lock, limit);
        }
    }
    // The other coordinator is gone: look at the record again.
    const absl::StatusOr<store_row> row =
        store_.read(record_key(entry->key), options_.store_timeout);
    if (row.ok() && row->version > 0)
    {
        adopt(entry, *row);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->error = make_error(error_kind::unavailable,
                                  "the host in charge of the request is gone; "
                                  "send the same id again");
        entry->reply.result = outcome::unknown;
        entry->is_busy = false;
        entry->changed.notify_all();
    }
    table_.erase(entry);
}

void coordinator::resolve(const request_entry_ptr& entry)
{
    request_record record;
    int next_attempt = 0;
    bool has_target = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        record = entry->record;
        next_attempt = entry->next_attempt;
        if (record.state == record_state::starting)
        {
            entry->reply.attempt = record.attempt;
            entry->reply.target = record.target;
        }
        has_target = !entry->reply.target.empty();
    }
    if (record.coordinator.empty() && !record.state.empty())
    {
        take_over_again(entry);
        return;
    }
    if (record.state == record_state::claimed)
    {
        const bool is_settled =
            has_target ? follow(entry, entry->deadline) != next_step::retry
                       : find_attempts(entry, next_attempt - 1);
        if (!is_settled)
        {
            place_urgent(entry);
        }
        return;
    }
    if (record.state == record_state::starting)
    {
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            entry->reply.result = outcome::running;
        }
        // A batch attempt runs for long; its end is reported by the owner.
        const time_point limit = entry->spec.urgent
                                     ? entry->deadline
                                     : steady_clock::now() + forward_wait;
        if (follow(entry, limit) != next_step::retry)
        {
            return;
        }
    }
    start_again(entry);
}

// Records a batch request as waiting again, with its latest checkpoint, before
// the target may drop the attempt that ended.
//
// \returns whether it was recorded; otherwise the request is polled again
bool coordinator::requeue(const request_entry_ptr& entry)
{
    request_record record;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        record = entry->record;
    }
    record.state = record_state::accepted;
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.store_timeout);
    if (result.ok() && result->committed)
    {
        enqueue(entry, milliseconds(0));
        return true;
    }
    if (result.ok() && !result->conflicts.empty())
    {
        adopt(entry, result->conflicts.front());
        return false;
    }
    leave_running(entry);
    return false;
}

void coordinator::start_again(const request_entry_ptr& entry)
{
    bool is_claimed = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        is_claimed = entry->record.state == record_state::claimed;
    }
    if (!entry->spec.urgent)
    {
        requeue(entry);
    }
    else if (is_claimed)
    {
        place_urgent(entry);
    }
    else
    {
        // A record that names a target lets the next coordinator look only
        // there, so each further start is recorded too.
        run_recorded(entry);
    }
}

void coordinator::take_over_again(const request_entry_ptr& entry)
{
    const absl::StatusOr<store_row> row =
        store_.read(record_key(entry->key), options_.store_timeout);
    if (row.ok() && row->version > 0)
    {
        adopt(entry, *row);
        return;
    }
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->is_busy = false;
    entry->next_poll = steady_clock::now() + retry_delay;
}

absl::Status coordinator::task_ended(const task_report& report)
{
    const std::string& key = report.task.key;
    const request_entry_ptr known = table_.find(key);
    if (!known)
    {
        const absl::StatusOr<loaded_record> loaded = read_record(key);
        if (loaded.ok() && loaded->record.state != record_state::ended &&
            is_elsewhere(loaded->record))
        {
            return hooks_.forward_ended(loaded->record.coordinator, report);
        }
    }
    absl::StatusOr<request_entry_ptr> entry = load(key);
    if (!entry.ok() && kind_of(entry.status()) == error_kind::not_found)
    {
        // An urgent request that was started while the store was down, and
        // whose coordinator is gone: its end is recorded without the spec.
        request_spec spec;
        const std::size_t slash = key.find('/');
        spec.team = key.substr(0, slash);
        spec.id = slash == std::string::npos ? "" : key.substr(slash + 1);
        spec.kind = report.task.kind;
        const request_entry_ptr made = make_entry(spec, steady_clock::now());
        made->key = key;
        made->record.digest.clear();
        entry = table_.insert(made).first;
    }
    if (!entry.ok())
    {
        return entry.status();
    }
    bool is_waiting = false;
    {
        const std::lock_guard<std::mutex> lock((*entry)->mutex);
        if (is_final((*entry)->reply.result) && (*entry)->is_durable)
        {
            return absl::OkStatus();
        }
        const bool is_queued_again =
            (*entry)->record.state == record_state::accepted &&
            !(*entry)->is_busy;
        if (report.task.attempt < (*entry)->record.attempt || is_queued_again)
        {
            return absl::OkStatus();
        }
        is_waiting = !(*entry)->is_busy && !is_final((*entry)->reply.result);
        if (is_waiting)
        {
            (*entry)->is_busy = true;
        }
        (*entry)->changed.notify_all();
    }
    if (!is_waiting)
    {
        return not_recorded();
    }
    const next_step step = apply_report(*entry, report);
    if (step == next_step::running)
    {
        leave_running(*entry);
    }
    if (step != next_step::retry)
    {
        return not_recorded();
    }
    if ((*entry)->spec.urgent)
    {
        workers_.run([this, entry = *entry] { start_again(entry); });
        return absl::OkStatus();
    }
    return requeue(*entry) ? absl::OkStatus() : not_recorded();
}

absl::Status coordinator::adopt_shard(int shard)
{
    std::string after;
    while (true)
    {
        const std::string prefix = open_prefix(options_.data_center, shard);
        const absl::StatusOr<std::vector<store_row>> rows =
            store_.scan(prefix, after, scan_page, options_.store_timeout);
        if (!rows.ok())
        {
            return rows.status();
        }
        for (const store_row& row : *rows)
        {
            after = row.key;
            const std::string key = row.key.substr(prefix.size());
            const bool is_elsewhere_alive =
                row.value != options_.host_name && hooks_.is_alive(row.value);
            if (!is_elsewhere_alive && !table_.find(key))
            {
                load(key).status().IgnoreError();
            }
        }
        if (rows->size() < scan_page)
        {
            return absl::OkStatus();
        }
    }
}

void coordinator::poll_running()
{
    time_point last_prune = steady_clock::now();
    while (true)
    {
        {
            std::unique_lock<std::mutex> lock(queue_mutex_);
            if (queue_changed_.wait_for(lock, poll_tick,
                                        [this] { return is_stopping_; }))
            {
                return;
            }
        }
        const time_point now = steady_clock::now();
        for (const request_entry_ptr& entry : table_.entries())
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            const bool is_due = entry->reply.result == outcome::running &&
                                !entry->is_busy && now >= entry->next_poll;
            if (is_due)
            {
                entry->is_busy = true;
                workers_.run([this, entry] { resolve(entry); });
            }
        }
        count_use();
        if (now - last_prune > options_.retention / 4)
        {
            table_.prune(now, options_.retention);
            last_prune = now;
        }
    }
}

} // namespace egretspindle
