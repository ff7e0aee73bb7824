// Reports of rack owners, scans of open requests and polls without news.

#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

namespace egretspindle
{

namespace
{

constexpr int scan_page = 256;
constexpr milliseconds poll_tick{200};

absl::Status not_recorded()
{
    return make_error(error_kind::unavailable,
                      "the end is not recorded yet; report it again");
}

} // namespace

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

absl::Status coordinator::take_over_shard(int shard)
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
