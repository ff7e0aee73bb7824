// Urgent idempotent requests. Their records are claims that name no target, so
// an attempt may run on any target of the data centre.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

// Urgent attempts that a coordinator makes before it gives up or raises their
// numbers; the next coordinator fences them and continues above.
constexpr int attempts_per_coordinator = 16;
// Attempt numbers above this are not raised again, which bounds repeated
// renumbering.
constexpr int max_attempt_number = 1000;
constexpr milliseconds retry_delay{50};
// Longest time that one call waits for the end of the attempt that it starts.
constexpr milliseconds max_place_wait{10'000};

// Returns whether an error means that the rack owner has started nothing.
bool is_definite_refusal(error_kind kind)
{
    return kind == error_kind::unavailable || kind == error_kind::stale_epoch ||
           kind == error_kind::overloaded || kind == error_kind::not_found ||
           kind == error_kind::unauthorized;
}

std::int64_t remaining_ms(const request_entry& entry)
{
    if (entry.deadline == time_point::max())
    {
        return max_place_wait.count();
    }
    return std::max<std::int64_t>(
        0, elapsed_ms(steady_clock::now(), entry.deadline));
}

bool is_cancelled(const request_entry& entry)
{
    const std::lock_guard<std::mutex> lock(entry.mutex);
    return entry.cancel_requested;
}

bool is_recorded(const request_entry& entry)
{
    const std::lock_guard<std::mutex> lock(entry.mutex);
    return entry.version > 0;
}

} // namespace

void coordinator::run_urgent(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(queue_mutex_);
        observe_request(retry_budget_, entry->spec.team);
    }
    if (claim(entry))
    {
        place_urgent(entry);
    }
}

// Records that this host coordinates the request. Returns whether the request
// is to be placed now, with or without that record.
bool coordinator::claim(const request_entry_ptr& entry)
{
    request_record record;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        record = entry->record;
    }
    record.state = record_state::claimed;
    record.coordinator = options_.host_name;
    record.data_center = options_.data_center;
    record.attempt = 1;
    if (!store_health_.should_call(steady_clock::now()))
    {
        return confirm_no_attempts(entry);
    }
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.claim_timeout);
    if (!result.ok())
    {
        return confirm_no_attempts(entry);
    }
    if (!result->committed)
    {
        if (result->conflicts.empty())
        {
            return confirm_no_attempts(entry);
        }
        resume_from_row(entry, result->conflicts.front());
        return false;
    }
    return true;
}

// Returns whether a request without a record can be placed, since no other
// coordinator has an attempt of it.
bool coordinator::confirm_no_attempts(const request_entry_ptr& entry)
{
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->record.state = record_state::claimed;
        entry->record.attempt = 1;
    }
    if (hooks_.is_membership_stable())
    {
        return true;
    }
    // Another coordinator may have started the request before the membership
    // changed.
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->next_attempt = attempts_per_coordinator + 1;
    }
    return !find_and_follow_attempts(entry, attempts_per_coordinator);
}

// Applies the reports on attempts that were found. Returns whether one of them
// completed the request or may still run.
bool coordinator::follow_found_attempts(const request_entry_ptr& entry,
                                        absl::Span<const task_report> reports)
{
    for (const task_report& report : reports)
    {
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            entry->record.attempt = report.task.attempt;
            entry->record.boot_id = report.task.boot_id;
        }
        next_step step = apply_report(entry, report);
        if (step == next_step::running)
        {
            step = follow_attempt(entry, entry->deadline);
        }
        if (step != next_step::retry)
        {
            return true;
        }
    }
    return false;
}

// Searches all racks for attempts of the request and fences attempts up to
// `fence_attempt`. Returns whether one of them completed the request or may
// still run.
bool coordinator::find_and_follow_attempts(const request_entry_ptr& entry,
                                           int fence_attempt)
{
    while (true)
    {
        const absl::StatusOr<std::vector<task_report>> reports =
            router_.find({entry->key, fence_attempt});
        if (reports.ok())
        {
            return follow_found_attempts(entry, *reports);
        }
        if (remaining_ms(*entry) == 0)
        {
            schedule_poll(entry);
            return true;
        }
        std::this_thread::sleep_for(retry_delay);
    }
}

void coordinator::place_urgent(const request_entry_ptr& entry)
{
    urgent_refusal refusal;
    for (int n = 0; n < attempts_per_coordinator; ++n)
    {
        int attempt = 0;
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            if (entry->cancel_requested)
            {
                break;
            }
            attempt = entry->next_attempt++;
        }
        if (!place_attempt(entry, attempt, refusal))
        {
            return;
        }
        if (remaining_ms(*entry) == 0)
        {
            break;
        }
        if (!may_retry(entry->spec.team))
        {
            refusal.reason = "the retry budget of the team is used up; send "
                             "it again later";
            break;
        }
    }
    finish_unplaced(entry, refusal);
}

bool coordinator::may_retry(const std::string& team)
{
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    return consume_retry_token(retry_budget_, team);
}

// Returns whether another attempt should be made.
bool coordinator::place_attempt(const request_entry_ptr& entry, int attempt,
                                urgent_refusal& refusal)
{
    bool has_remote = false;
    bool should_retry = true;
    while (should_retry)
    {
        bool has_local = false;
        refusal.owner_changing = false;
        for (const rack_candidate& candidate : router_.candidates(entry->spec))
        {
            if (candidate.data_center != options_.data_center)
            {
                has_remote = true;
                continue;
            }
            has_local = true;
            if (remaining_ms(*entry) == 0)
            {
                return true;
            }
            const next_step step =
                place_on_rack(entry, candidate, attempt, refusal);
            if (step != next_step::refused)
            {
                return step == next_step::retry;
            }
        }
        // During a planned stop of their owner, racks have no owner until the
        // next one takes over, which can still meet the deadline.
        should_retry = (refusal.owner_changing || !has_local) &&
                       !refusal.superseded &&
                       !(has_remote && is_recorded(*entry)) &&
                       remaining_ms(*entry) > 0 && !is_cancelled(*entry);
        if (should_retry)
        {
            std::this_thread::sleep_for(retry_delay);
        }
    }
    if (has_remote && is_recorded(*entry))
    {
        // A search for attempts covers this data centre only, so a start in
        // another one is recorded with its target first.
        run_recorded(entry);
    }
    else
    {
        finish_unplaced(entry, refusal);
    }
    return false;
}

coordinator::next_step
coordinator::place_on_rack(const request_entry_ptr& entry,
                           const rack_candidate& candidate, int attempt,
                           urgent_refusal& refusal)
{
    place_request request;
    request.spec = entry->spec;
    request.attempt = attempt;
    request.rack = candidate.rack;
    request.may_evict = candidate.may_evict;
    request.data_center = candidate.data_center;
    request.coordinator_data_center = options_.data_center;
    request.remaining_ms = remaining_ms(*entry);
    request.wait_ms =
        std::min<std::int64_t>(request.remaining_ms, max_place_wait.count());
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        request.excluded = targets_to_avoid(entry->record);
    }
    const absl::StatusOr<place_reply> reply = router_.place(request);
    log_route(request, reply);
    if (!reply.ok())
    {
        if (is_definite_refusal(kind_of(reply.status())))
        {
            refusal.reason = std::string(reply.status().message());
            refusal.owner_changing |=
                kind_of(reply.status()) != error_kind::overloaded;
            return next_step::refused;
        }
        // The rack owner may have started the attempt on any of its targets.
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            entry->may_have_run = true;
        }
        return find_and_follow_attempts(entry, attempt) ? next_step::ended
                                                        : next_step::retry;
    }
    if (!reply->placed && !reply->may_have_started)
    {
        refusal.reason = reply->reason;
        refusal.retry_after_ms = reply->retry_after_ms;
        refusal.superseded |= reply->superseded;
        refusal.owner_changing |= reply->owner_changing;
        return next_step::refused;
    }
    task_report report;
    report.task = reply->task;
    report.task.key = entry->key;
    report.task.attempt = attempt;
    report.task.boot_id = reply->boot_id;
    report.target = reply->target;
    report.rack = reply->rack;
    report.data_center = candidate.data_center;
    report.reachable = reply->placed;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->record.boot_id = reply->boot_id;
    }
    const next_step step = apply_report(entry, report);
    return step == next_step::running ? follow_attempt(entry, entry->deadline)
                                      : step;
}

// Moves the next attempt number above those that racks fence for the key. The
// fence may remain from an earlier request with the same id that was not run.
//
// Returns the number up to which earlier attempts are to be fenced, or 0 when
// the record does not confirm that this host coordinates the request.
int coordinator::renumber_attempts(const request_entry_ptr& entry)
{
    request_record record;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (entry->version == 0 ||
            entry->record.state != record_state::claimed ||
            entry->next_attempt > max_attempt_number)
        {
            return 0;
        }
        record = entry->record;
        // A coordinator that started without a record may have begun its
        // attempts at `attempts_per_coordinator` + 1; the fence must cover
        // these as well.
        record.attempt = std::max(record.attempt, entry->next_attempt) +
                         2 * attempts_per_coordinator;
    }
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.claim_timeout);
    if (!result.ok() || !result->committed)
    {
        return 0;
    }
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->next_attempt = record.attempt;
    return record.attempt - 1;
}

// Ends an urgent request that was cancelled or that no rack accepted; places it
// again, with higher attempt numbers, when racks still fence those of an
// earlier request with the same id.
void coordinator::finish_unplaced(const request_entry_ptr& entry,
                                  const urgent_refusal& refusal)
{
    request_reply reply;
    bool is_cancelled = false;
    bool may_have_run = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        reply = entry->reply;
        is_cancelled = entry->cancel_requested;
        may_have_run = entry->may_have_run;
    }
    if (is_cancelled)
    {
        reply.result = outcome::cancelled;
        reply.reason = "cancelled before it finished";
        finish(entry, reply);
    }
    else if (refusal.superseded)
    {
        const int fence_attempt = renumber_attempts(entry);
        if (fence_attempt == 0)
        {
            drop_superseded(entry);
        }
        else if (!find_and_follow_attempts(entry, fence_attempt))
        {
            place_urgent(entry);
        }
    }
    else if (may_have_run)
    {
        reply.result = outcome::failed;
        reply.reason = fmt::format("an attempt ended without a result; {}",
                                   refusal.reason);
        finish(entry, reply);
    }
    else
    {
        finish_not_run(entry, refusal.reason, refusal.retry_after_ms);
    }
}

} // namespace egretspindle
