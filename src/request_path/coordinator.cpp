#include "egretspindle/request_path/coordinator.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr milliseconds flush_check_period{2};

} // namespace

coordinator::coordinator(coordinator_options options, coordinator_hooks hooks,
                         store_client& store, rack_router& router)
    : options_(std::move(options)), hooks_(std::move(hooks)), store_(store),
      router_(router), completion_log_(store, options_.host_name),
      workers_(options_.max_workers)
{
}

coordinator::~coordinator()
{
    stop();
}

void coordinator::start()
{
    completion_log_.start();
    dispatch_thread_ = std::thread([this] { dispatch_loop(); });
    poll_thread_ = std::thread([this] { poll_loop(); });
}

void coordinator::stop()
{
    {
        const std::lock_guard<std::mutex> lock(queue_mutex_);
        is_stopping_ = true;
        queue_changed_.notify_all();
    }
    if (dispatch_thread_.joinable())
    {
        dispatch_thread_.join();
    }
    if (poll_thread_.joinable())
    {
        poll_thread_.join();
    }
    workers_.stop();
    completion_log_.stop();
}

absl::StatusOr<request_reply> coordinator::submit(const request_spec& spec,
                                                  milliseconds wait)
{
    const time_point limit = steady_clock::now() + wait;
    const request_entry_ptr new_entry = make_entry(spec, steady_clock::now());
    const auto [entry, is_new] = table_.insert(new_entry);
    if (!is_new)
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        // A request that was recorded without its spec has no digest and
        // matches any request with the same id.
        if (!entry->record.digest.empty() &&
            entry->record.digest != new_entry->record.digest)
        {
            return make_error(error_kind::conflict,
                              fmt::format("id '{}' was used for a different "
                                          "request; choose another id",
                                          spec.id));
        }
    }
    else if (!spec.urgent)
    {
        begin(entry);
    }
    else
    {
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            entry->is_busy = true;
        }
        // A caller that waits until the deadline runs the request on its own
        // thread.
        if (wait.count() >= spec.deadline_ms)
        {
            begin(entry);
        }
        else
        {
            workers_.run([this, entry = entry] { begin(entry); });
        }
    }
    return wait_for_reply(entry, limit);
}

void coordinator::begin(const request_entry_ptr& entry)
{
    if (hooks_.fits_some_target && !hooks_.fits_some_target(entry->spec.size))
    {
        request_reply reply = reply_of(*entry);
        reply.result = outcome::failed;
        reply.reason = "the request is larger than every target; ask for less";
        finish(entry, reply);
        return;
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

absl::StatusOr<request_reply>
coordinator::wait_for_reply(const request_entry_ptr& entry, time_point limit)
{
    const request_reply reply = wait_for_end(*entry, limit);
    const std::lock_guard<std::mutex> lock(entry->mutex);
    if (!entry->error.ok())
    {
        return entry->error;
    }
    return reply;
}

absl::StatusOr<request_reply> coordinator::wait(const key_query& query)
{
    const absl::StatusOr<request_entry_ptr> entry = load(query.key);
    if (!entry.ok())
    {
        return entry.status();
    }
    return wait_for_reply(*entry,
                          steady_clock::now() + milliseconds(query.wait_ms));
}

absl::StatusOr<request_entry_ptr> coordinator::load(const std::string& key)
{
    const request_entry_ptr known = table_.find(key);
    if (known)
    {
        return known;
    }
    const absl::StatusOr<loaded_record> loaded = read_record(key);
    if (!loaded.ok())
    {
        return loaded.status();
    }
    const request_entry_ptr new_entry = make_entry(
        key, loaded->record, loaded->row.version, steady_clock::now());
    new_entry->is_busy = loaded->record.state != record_state::ended;
    const auto [entry, is_new] = table_.insert(new_entry);
    if (is_new && loaded->record.state != record_state::ended)
    {
        workers_.run([this, entry = entry, row = loaded->row]
                     { resume_from_row(entry, row); });
    }
    return entry;
}

absl::StatusOr<coordinator::loaded_record>
coordinator::read_record(const std::string& key)
{
    absl::StatusOr<store_row> row =
        store_.read(record_key(key), options_.store_timeout);
    if (!row.ok())
    {
        store_health_.failed(steady_clock::now());
        return make_error(error_kind::unavailable,
                          "the store cannot be reached; ask again later");
    }
    if (row->version == 0)
    {
        return make_error(
            error_kind::not_found,
            fmt::format("no request '{}'; check its team and id", key));
    }
    absl::StatusOr<request_record> record =
        from_json<request_record>(row->value);
    if (!record.ok())
    {
        return record.status();
    }
    const absl::Status status = fetch_answer(*record);
    if (!status.ok())
    {
        return status;
    }
    return loaded_record{*std::move(row), *std::move(record)};
}

bool coordinator::has_other_coordinator(const request_record& record) const
{
    return record.coordinator != options_.host_name &&
           hooks_.is_alive(record.coordinator);
}

absl::StatusOr<request_reply> coordinator::cancel(const std::string& key)
{
    const absl::StatusOr<request_entry_ptr> entry = load(key);
    if (!entry.ok())
    {
        return entry.status();
    }
    {
        const std::lock_guard<std::mutex> lock((*entry)->mutex);
        if (is_final((*entry)->reply.result))
        {
            return (*entry)->reply;
        }
        (*entry)->cancel_requested = true;
        (*entry)->changed.notify_all();
    }
    cancel_running(*entry);
    return wait_for_reply(*entry, steady_clock::now() + options_.store_timeout);
}

void coordinator::cancel_running(const request_entry_ptr& entry)
{
    task_query query;
    bool is_queued = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        is_queued =
            !entry->is_busy && entry->record.state == record_state::accepted;
        query.key = entry->key;
        query.attempt = entry->reply.attempt;
        query.target = entry->reply.target;
        query.rack = entry->record.target_rack;
        query.data_center = entry->record.target_data_center;
        query.boot_id = entry->record.boot_id;
    }
    if (is_queued)
    {
        {
            const std::lock_guard<std::mutex> lock(queue_mutex_);
            egretspindle::cancel(queue_, entry->key);
        }
        request_reply reply = reply_of(*entry);
        reply.result = outcome::cancelled;
        reply.reason = "cancelled before it started";
        finish(entry, reply);
        return;
    }
    if (query.target.empty())
    {
        if (entry->spec.urgent && entry->spec.idempotent)
        {
            stop_found_attempts(entry->key);
        }
        return;
    }
    const absl::StatusOr<task_report> report = router_.stop(query);
    if (report.ok())
    {
        apply_report(entry, *report);
    }
}

// Stops attempts whose starts are still waiting for responses of the rack
// owners. The responses then tell the waiting worker that they were stopped.
void coordinator::stop_found_attempts(const std::string& key)
{
    const absl::StatusOr<std::vector<task_report>> reports =
        router_.find({key, 0});
    if (!reports.ok())
    {
        return;
    }
    for (const task_report& report : *reports)
    {
        task_query query;
        query.key = key;
        query.attempt = report.task.attempt;
        query.rack = report.rack;
        query.data_center = report.data_center;
        query.target = report.target;
        query.boot_id = report.task.boot_id;
        router_.stop(query).status().IgnoreError();
    }
}

bool coordinator::flush(milliseconds timeout)
{
    const auto is_unrecorded = [](const request_entry_ptr& entry)
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        return is_final(entry->reply.result) && !entry->is_reply_recorded;
    };
    const time_point limit = steady_clock::now() + timeout;
    // A reply becomes final before its completion is added to the log, so an
    // empty log does not suffice.
    while (completion_log_.flush(std::max(
        milliseconds(0), milliseconds(elapsed_ms(steady_clock::now(), limit)))))
    {
        const std::vector<request_entry_ptr> all = table_.entries();
        if (std::none_of(all.begin(), all.end(), is_unrecorded))
        {
            return true;
        }
        if (steady_clock::now() >= limit)
        {
            return false;
        }
        std::this_thread::sleep_for(flush_check_period);
    }
    return false;
}

std::vector<request_entry_ptr> coordinator::entries() const
{
    return table_.entries();
}

int coordinator::open_count() const
{
    const std::vector<request_entry_ptr> all = table_.entries();
    return static_cast<int>(
        std::count_if(all.begin(), all.end(),
                      [](const request_entry_ptr& entry)
                      { return !is_final(reply_of(*entry).result); }));
}

bool coordinator::has_busy_requests() const
{
    const std::vector<request_entry_ptr> all = table_.entries();
    return std::any_of(all.begin(), all.end(),
                       [](const request_entry_ptr& entry)
                       {
                           const std::lock_guard<std::mutex> lock(entry->mutex);
                           return entry->is_busy;
                       });
}

int coordinator::queued_count() const
{
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    return static_cast<int>(queue_size(queue_));
}

bool coordinator::is_store_healthy() const noexcept
{
    return store_health_.is_healthy();
}

} // namespace egretspindle
