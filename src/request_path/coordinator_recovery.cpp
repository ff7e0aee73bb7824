// Takeover of requests from dead coordinators.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

namespace egretspindle
{

namespace
{

// Longest single wait for another coordinator, and longest time that a worker
// follows a batch attempt after a takeover or for a poll.
constexpr milliseconds forward_wait{5000};
constexpr milliseconds retry_delay{250};
// Added to the recorded attempt number, from which the earlier coordinator
// counts up; equals `attempts_per_coordinator`.
constexpr int fence_distance = 16;

} // namespace

// Continues a request from its row in the store, which another coordinator may
// have written.
void coordinator::resume_from_row(const request_entry_ptr& entry,
                                  const store_row& row)
{
    if (row.version == 0)
    {
        restart_without_record(entry);
        return;
    }
    const absl::StatusOr<request_record> parsed =
        from_json<request_record>(row.value);
    if (!parsed.ok())
    {
        fail_with_error(entry, parsed.status());
        return;
    }
    request_record record = *parsed;
    const absl::Status status = fetch_answer(record);
    if (!status.ok())
    {
        fail_with_error(entry, status);
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
                entry->is_reply_recorded = true;
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
        fail_with_error(entry, entry->error);
        return;
    }
    if (has_other_coordinator(record))
    {
        forward_until_end(entry, record.coordinator);
        return;
    }
    take_over(entry, std::move(record));
}

void coordinator::take_over(const request_entry_ptr& entry,
                            request_record record)
{
    // The compare-and-set prevents the earlier coordinator from recording a
    // start or a final reply after this point.
    record.coordinator = options_.host_name;
    if (record.state == record_state::claimed)
    {
        record.attempt += fence_distance;
    }
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        // The number of a recorded start is taken; that of a claim is the first
        // one that this coordinator may use.
        entry->next_attempt = record.state == record_state::claimed
                                  ? record.attempt
                                  : record.attempt + 1;
    }
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.store_timeout);
    if (result.ok() && !result->committed && !result->conflicts.empty())
    {
        resume_from_row(entry, result->conflicts.front());
        return;
    }
    if (!result.ok())
    {
        // The takeover is not recorded; the poll thread retries it.
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->reply.result = outcome::running;
        entry->record.coordinator.clear();
        entry->is_busy = false;
        entry->next_poll = steady_clock::now() + retry_delay;
        return;
    }
    resume_request(entry);
}

// Starts a request whose record was removed. A record is removed only after the
// reply `not_run`, so no attempt of the request is running.
void coordinator::restart_without_record(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->version = 0;
        entry->record = make_entry(entry->spec, entry->received)->record;
        entry->next_attempt = 1;
    }
    begin(entry);
}

// Waits for the final reply from the host that coordinates the request, and
// continues the request itself when that host dies.
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
    // The other coordinator is dead; read the record again.
    const absl::StatusOr<store_row> row =
        store_.read(record_key(entry->key), options_.store_timeout);
    if (row.ok() && row->version > 0)
    {
        resume_from_row(entry, *row);
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

// Determines the state of the latest attempt and continues the request from
// there, after a takeover or for a poll.
void coordinator::resume_request(const request_entry_ptr& entry)
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
        retry_take_over(entry);
        return;
    }
    if (record.state == record_state::claimed)
    {
        const bool is_settled =
            has_target
                ? follow_attempt(entry, entry->deadline) != next_step::retry
                : find_and_follow_attempts(entry, next_attempt - 1);
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
        // A batch attempt may outlast `forward_wait`; the rack owner reports
        // its end.
        const time_point limit = entry->spec.urgent
                                     ? entry->deadline
                                     : steady_clock::now() + forward_wait;
        if (follow_attempt(entry, limit) != next_step::retry)
        {
            return;
        }
    }
    start_next_attempt(entry);
}

// Records a batch request as accepted again, with its latest checkpoint, before
// the target may drop the result of the ended attempt.
//
// Returns whether that was recorded. Otherwise the request is polled again, or
// continued from the record that another coordinator has written.
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
        resume_from_row(entry, result->conflicts.front());
        return false;
    }
    schedule_poll(entry);
    return false;
}

void coordinator::start_next_attempt(const request_entry_ptr& entry)
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
        // The record names a target, and the next coordinator looks for
        // attempts only there, so each further start is recorded too.
        run_recorded(entry);
    }
}

void coordinator::retry_take_over(const request_entry_ptr& entry)
{
    const absl::StatusOr<store_row> row =
        store_.read(record_key(entry->key), options_.store_timeout);
    if (row.ok() && row->version > 0)
    {
        resume_from_row(entry, *row);
        return;
    }
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->is_busy = false;
    entry->next_poll = steady_clock::now() + retry_delay;
}

} // namespace egretspindle
