// Final replies and their recording in the store.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle
{

namespace
{

constexpr milliseconds object_retry_delay{500};
constexpr milliseconds commit_retry_delay{100};

store_write open_row_removal(const std::string& data_center,
                             const std::string& key)
{
    store_write write;
    write.key = open_key(data_center, shard_of(key), key);
    write.remove = true;
    return write;
}

} // namespace

absl::StatusOr<commit_result>
coordinator::commit_record(const request_entry_ptr& entry,
                           const request_record& record, milliseconds timeout,
                           time_point retry_until)
{
    store_transaction transaction;
    transaction.tx_id = make_transaction_id(options_.host_name);
    std::int64_t version = 0;
    bool must_write_open_row = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        version = entry->version;
        // The row of an open batch request names its coordinator, so that a
        // scan need not read the records of live coordinators.
        must_write_open_row =
            !entry->spec.urgent &&
            (version == 0 || record.coordinator != entry->record.coordinator);
    }
    transaction.checks.push_back({record_key(entry->key), version});
    transaction.writes.push_back(
        {record_key(entry->key), to_json(record), false});
    if (must_write_open_row)
    {
        transaction.writes.push_back(
            {open_key(record.data_center, shard_of(entry->key), entry->key),
             options_.host_name, false});
    }
    absl::StatusOr<commit_result> result = store_.commit(transaction, timeout);
    while (!result.ok() && steady_clock::now() < retry_until &&
           kind_of(result.status()) == error_kind::deadline_exceeded)
    {
        // The store returns the first result when a transaction id is repeated.
        std::this_thread::sleep_for(commit_retry_delay);
        result = store_.commit(transaction, timeout);
    }
    if (!result.ok())
    {
        store_health_.failed(steady_clock::now());
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->is_record_uncertain |=
            kind_of(result.status()) == error_kind::deadline_exceeded;
        return result;
    }
    store_health_.succeeded();
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->is_record_uncertain = false;
    if (result->committed)
    {
        entry->version = result->version;
        entry->record = record;
    }
    return result;
}

// Sets the final reply and records it.
void coordinator::finish(const request_entry_ptr& entry,
                         const request_reply& reply)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (is_final(entry->reply.result))
        {
            return;
        }
        entry->reply = reply;
        entry->reply.key = entry->key;
        entry->ended = steady_clock::now();
        entry->is_busy = false;
        entry->changed.notify_all();
    }
    record_completion(entry);
}

// Returns an error to the callers and drops the entry.
void coordinator::fail_with_error(const request_entry_ptr& entry,
                                  const absl::Status& error)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->error = error;
        entry->reply.result = outcome::not_run;
        entry->is_busy = false;
        entry->changed.notify_all();
    }
    table_.erase(entry);
}

// Replies `unknown` and drops the entry: another host coordinates the request.
void coordinator::drop_superseded(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->reply.result = outcome::unknown;
        entry->reply.reason = "another host is in charge of the request; send "
                              "the same id again";
        entry->is_busy = false;
        entry->changed.notify_all();
    }
    table_.erase(entry);
}

// Looks up the version of the row after a write whose response was lost.
void coordinator::resolve_uncertain_write(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (!entry->is_record_uncertain)
        {
            return;
        }
    }
    const absl::StatusOr<store_row> row =
        store_.read(record_key(entry->key), options_.claim_timeout);
    if (!row.ok() || row->version == 0)
    {
        return;
    }
    const absl::StatusOr<request_record> record =
        from_json<request_record>(row->value);
    const std::lock_guard<std::mutex> lock(entry->mutex);
    if (record.ok() && record->coordinator == options_.host_name &&
        record->digest == entry->record.digest)
    {
        entry->version = row->version;
        entry->is_record_uncertain = false;
    }
}

// Replies `not_run` and removes the entry and the record of the request.
void coordinator::finish_not_run(const request_entry_ptr& entry,
                                 std::string_view reason,
                                 std::int64_t retry_after_ms)
{
    // Must precede the reply, since a caller that has it may send the request
    // again, which writes the row.
    resolve_uncertain_write(entry);
    std::int64_t version = 0;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (is_final(entry->reply.result))
        {
            return;
        }
        entry->reply.result = outcome::not_run;
        entry->reply.reason = reason;
        entry->reply.retry_after_ms = retry_after_ms;
        entry->is_busy = false;
        version = entry->version;
        entry->changed.notify_all();
    }
    // The caller may send the same id again, with a corrected request.
    table_.erase(entry);
    if (version > 0)
    {
        completion item;
        item.checks.push_back({record_key(entry->key), version});
        item.writes.push_back({record_key(entry->key), "", true});
        item.writes.push_back(
            open_row_removal(options_.data_center, entry->key));
        item.on_result = [](const commit_result&) {
        };
        completion_log_.add(std::move(item));
    }
}

void coordinator::record_completion(const request_entry_ptr& entry)
{
    bool is_large = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        is_large = entry->reply.answer.size() > options_.max_inline_answer;
    }
    if (is_large)
    {
        workers_.run([this, entry] { write_answer_object(entry); });
        return;
    }
    write_completion(entry, "");
}

// Writes a large answer to the object store before the record that refers to
// it. The target keeps the result until both are written.
void coordinator::write_answer_object(const request_entry_ptr& entry)
{
    std::string object;
    std::string answer;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        object = fmt::format("answer/{}/{}", entry->key, entry->reply.attempt);
        answer = entry->reply.answer;
    }
    if (store_.put_object(object, answer, options_.store_timeout).ok())
    {
        write_completion(entry, object);
        return;
    }
    std::this_thread::sleep_for(object_retry_delay);
    workers_.run([this, entry] { write_answer_object(entry); });
}

absl::Status coordinator::fetch_answer(request_record& record)
{
    if (record.answer_object.empty())
    {
        return absl::OkStatus();
    }
    absl::StatusOr<std::string> answer =
        store_.get_object(record.answer_object, options_.store_timeout);
    if (!answer.ok())
    {
        return make_error(error_kind::unavailable,
                          "the answer cannot be read from the object store; "
                          "ask again later");
    }
    record.reply.answer = *std::move(answer);
    return absl::OkStatus();
}

void coordinator::write_completion(const request_entry_ptr& entry,
                                   const std::string& answer_object)
{
    completion item;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        request_record record = entry->record;
        record.state = record_state::ended;
        record.reply = entry->reply;
        record.spec = request_spec{};
        record.answer_object = answer_object;
        if (!answer_object.empty())
        {
            record.reply.answer.clear();
        }
        item.checks.push_back({record_key(entry->key), entry->version});
        item.writes.push_back({record_key(entry->key), to_json(record), false});
        if (!entry->spec.urgent)
        {
            const std::string& data_center = record.data_center.empty()
                                                 ? options_.data_center
                                                 : record.data_center;
            item.writes.push_back(open_row_removal(data_center, entry->key));
        }
    }
    item.on_result = [this, entry](const commit_result& result)
    {
        on_completion_written(entry, result);
    };
    completion_log_.add(std::move(item));
}

void coordinator::on_completion_written(const request_entry_ptr& entry,
                                        const commit_result& result)
{
    task_query query;
    if (!result.committed)
    {
        const std::string row_key = record_key(entry->key);
        for (const store_row& row : result.conflicts)
        {
            const absl::StatusOr<request_record> record =
                from_json<request_record>(row.value);
            const bool is_same_row = row.key == row_key && record.ok();
            if (is_same_row && record->state == record_state::ended)
            {
                // Another coordinator, or an earlier write of this one whose
                // response was lost, has already recorded a final reply. The
                // recorded reply is authoritative.
                const std::lock_guard<std::mutex> lock(entry->mutex);
                if (record->answer_object.empty())
                {
                    entry->reply = record->reply;
                }
                entry->version = row.version;
                entry->is_reply_recorded = true;
                return;
            }
            if (is_same_row && has_other_coordinator(*record))
            {
                // The other coordinator has taken over and will record the
                // final reply.
                table_.erase(entry);
                return;
            }
            if (row.key == row_key)
            {
                const std::lock_guard<std::mutex> lock(entry->mutex);
                entry->version = row.version;
            }
        }
        record_completion(entry);
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->is_reply_recorded = true;
        entry->version = result.version;
        query.key = entry->key;
        query.attempt = entry->reply.attempt;
        query.target = entry->reply.target;
        query.rack = entry->record.target_rack;
        query.data_center = entry->record.target_data_center;
    }
    if (!query.target.empty())
    {
        workers_.run([this, query]
                     { router_.acknowledge(query).IgnoreError(); });
    }
}

} // namespace egretspindle
