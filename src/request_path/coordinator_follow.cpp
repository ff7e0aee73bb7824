// Reports on attempts, and the replies or retries that result from them.

#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr milliseconds max_query_wait{2000};
// Pause before the next query of a rack owner or target that did not respond.
constexpr milliseconds unreachable_delay{200};

// Counts the failure of an attempt once, also when it is reported again.
void count_failure(request_record& record, const task_report& report)
{
    if (report.task.attempt <= record.last_failed_attempt)
    {
        return;
    }
    record.last_failed_attempt = report.task.attempt;
    ++record.failed_attempts;
    std::vector<std::string>& targets = record.failed_targets;
    const bool is_known = std::find(targets.begin(), targets.end(),
                                    report.target) != targets.end();
    // A failure on a target that also fails other jobs is attributed to the
    // target.
    if (!report.target_suspect && !is_known)
    {
        targets.push_back(report.target);
    }
}

// Failed attempts are bounded in addition to distinct failed targets, since a
// fleet may have fewer than `max_failures` targets.
bool has_too_many_failures(const request_record& record, int max_failures)
{
    return static_cast<int>(record.failed_targets.size()) >= max_failures ||
           record.failed_attempts >= 2 * max_failures;
}

task_query query_of(const request_entry& entry)
{
    const std::lock_guard<std::mutex> lock(entry.mutex);
    task_query query;
    query.key = entry.key;
    query.attempt = entry.reply.attempt;
    query.target = entry.reply.target;
    query.rack = entry.record.target_rack;
    query.data_center = entry.record.target_data_center;
    query.boot_id = entry.record.boot_id;
    return query;
}

} // namespace

// Queries the state of the latest attempt until it has ended, at most until
// `limit`.
coordinator::next_step
coordinator::follow_attempt(const request_entry_ptr& entry, time_point limit)
{
    while (true)
    {
        task_query query = query_of(*entry);
        const std::int64_t remaining_ms =
            limit == time_point::max() ? max_query_wait.count()
                                       : elapsed_ms(steady_clock::now(), limit);
        query.wait_ms =
            std::clamp<std::int64_t>(remaining_ms, 0, max_query_wait.count());
        const absl::StatusOr<task_report> report = router_.task_state(query);
        next_step step = next_step::running;
        if (report.ok())
        {
            step = apply_report(entry, *report);
        }
        if (step != next_step::running)
        {
            return step;
        }
        if (steady_clock::now() >= limit)
        {
            schedule_poll(entry);
            return next_step::running;
        }
        std::unique_lock<std::mutex> lock(entry->mutex);
        if (is_final(entry->reply.result))
        {
            return next_step::ended;
        }
        if (!report.ok() || !report->reachable)
        {
            entry->changed.wait_for(lock, unreachable_delay);
        }
    }
}

// Releases a request whose attempt may still run, until a report or a poll.
void coordinator::schedule_poll(const request_entry_ptr& entry)
{
    const std::lock_guard<std::mutex> lock(entry->mutex);
    // The rack owner reports the end of an attempt that its target has
    // confirmed. Such an attempt needs polls only when the owner is lost
    // together with the target, so they are rare for batch requests.
    const bool is_confirmed = entry->reply.result == outcome::running;
    if (entry->reply.result == outcome::accepted)
    {
        // The start was refused or its response was lost, and the request is no
        // longer in the queue, so only polls can resume it.
        entry->reply.result = outcome::running;
    }
    entry->is_busy = false;
    entry->next_poll =
        steady_clock::now() + (is_confirmed && !entry->spec.urgent
                                   ? options_.confirmed_poll_interval
                                   : options_.poll_interval);
}

coordinator::next_step coordinator::apply_report(const request_entry_ptr& entry,
                                                 const task_report& report)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (is_final(entry->reply.result))
        {
            return next_step::ended;
        }
        if (report.task.attempt < entry->record.attempt)
        {
            // A later attempt has superseded this one.
            return next_step::running;
        }
        entry->reply.attempt = report.task.attempt;
        entry->record.attempt = report.task.attempt;
        if (!report.target.empty())
        {
            entry->reply.target = report.target;
            entry->record.target = report.target;
            entry->record.target_rack = report.rack;
            entry->record.target_data_center = report.data_center;
        }
        if (entry->record.boot_id.empty())
        {
            entry->record.boot_id = report.task.boot_id;
        }
        if (!report.task.checkpoint.empty())
        {
            entry->record.checkpoint = report.task.checkpoint;
        }
        if (report.task.state == "running")
        {
            entry->may_have_run = true;
            if (entry->reply.result != outcome::running)
            {
                entry->reply.result = outcome::running;
                entry->changed.notify_all();
            }
            return next_step::running;
        }
    }
    return apply_end(entry, report);
}

coordinator::next_step coordinator::apply_end(const request_entry_ptr& entry,
                                              const task_report& report)
{
    request_reply reply = reply_of(*entry);
    bool is_cancelled = false;
    int failures = 0;
    bool has_failed = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        is_cancelled = entry->cancel_requested;
        if (!report.never_started)
        {
            entry->may_have_run = true;
        }
        if (report.task.state == "finished" && !report.task.ok)
        {
            count_failure(entry->record, report);
        }
        has_failed =
            has_too_many_failures(entry->record, options_.max_failures);
        failures = entry->record.failed_attempts;
    }
    if (report.task.state == "finished" && report.task.ok)
    {
        reply.result = outcome::done;
        reply.answer = report.task.answer;
        reply.reason.clear();
        finish(entry, reply);
        return next_step::ended;
    }
    const bool has_ended = report.task.state == "finished" ||
                           report.task.state == "stopped" ||
                           report.certainly_ended;
    if (!has_ended)
    {
        return next_step::running;
    }
    if (is_cancelled)
    {
        reply.result = outcome::cancelled;
        reply.reason = "stopped on request";
        finish(entry, reply);
        return next_step::ended;
    }
    if (report.task.state == "finished" &&
        (!entry->spec.idempotent || has_failed))
    {
        reply.result = outcome::failed;
        reply.reason = fmt::format("the task failed {} times, last: {}",
                                   failures, report.task.error);
        finish(entry, reply);
        return next_step::ended;
    }
    if (!entry->spec.idempotent && !report.never_started)
    {
        reply.result = outcome::unknown;
        reply.reason = "the target was lost while the task may have run; "
                       "check its effect before sending a new request";
        finish(entry, reply);
        return next_step::ended;
    }
    return next_step::retry;
}

} // namespace egretspindle
