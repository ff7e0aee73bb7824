#include "egretspindle/request_path/request_entry.hpp"

namespace egretspindle
{

request_entry_ptr make_entry(const request_spec& spec, time_point now)
{
    request_entry_ptr entry = std::make_shared<request_entry>();
    entry->key = key_of(spec);
    entry->spec = spec;
    entry->received = now;
    entry->deadline = spec.deadline_ms > 0
                          ? now + milliseconds(spec.deadline_ms)
                          : time_point::max();
    entry->reply.key = entry->key;
    entry->reply.result = outcome::accepted;
    entry->record.digest = digest_of(spec);
    entry->record.spec = spec;
    entry->record.accepted_unix_ms = unix_ms();
    return entry;
}

request_entry_ptr make_entry(const std::string& key,
                             const request_record& record, std::int64_t version,
                             time_point now)
{
    request_entry_ptr entry = make_entry(record.spec, now);
    entry->key = key;
    entry->reply.key = key;
    entry->record = record;
    entry->version = version;
    entry->cancel_requested = record.cancel_requested;
    if (record.state == record_state::ended)
    {
        entry->reply = record.reply;
        entry->is_reply_recorded = true;
        entry->ended = now;
    }
    else if (record.attempt > 0)
    {
        entry->reply.result = outcome::running;
        entry->reply.attempt = record.attempt;
        entry->reply.target = record.target;
    }
    return entry;
}

request_reply reply_of(const request_entry& entry)
{
    const std::lock_guard<std::mutex> lock(entry.mutex);
    return entry.reply;
}

request_reply wait_for_end(request_entry& entry, time_point limit)
{
    std::unique_lock<std::mutex> lock(entry.mutex);
    entry.changed.wait_until(lock, limit,
                             [&] { return is_final(entry.reply.result); });
    return entry.reply;
}

} // namespace egretspindle
