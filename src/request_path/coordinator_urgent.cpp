// Urgent idempotent requests: a claim that any target may serve.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

// A coordinator numbers its own attempts below this; the next coordinator
// starts above, after it has forbidden the earlier ones.
constexpr int attempts_per_coordinator = 16;
// Bounds the rounds of renumbering.
constexpr int max_attempt_number = 1000;
constexpr milliseconds retry_delay{50};
constexpr milliseconds max_place_wait{10'000};

// Errors that a rack owner reports before it starts anything.
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
        observe_request(retries_, entry->spec.team);
    }
    if (claim(entry))
    {
        place_urgent(entry);
    }
}

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
    if (!store_health_.should_try(steady_clock::now()))
    {
        return confirm_absent(entry);
    }
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.claim_timeout);
    if (!result.ok())
    {
        return confirm_absent(entry);
    }
    if (!result->committed)
    {
        if (result->conflicts.empty())
        {
            return confirm_absent(entry);
        }
        adopt(entry, result->conflicts.front());
        return false;
    }
    return true;
}

bool coordinator::confirm_absent(const request_entry_ptr& entry)
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
    // Another coordinator may have started it before the members changed.
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        entry->next_attempt = attempts_per_coordinator + 1;
    }
    return !find_attempts(entry, attempts_per_coordinator);
}

// Returns whether one of the attempts ended the request or may still run.
bool coordinator::apply_found(const request_entry_ptr& entry,
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
            step = follow(entry, entry->deadline);
        }
        if (step != next_step::retry)
        {
            return true;
        }
    }
    return false;
}

bool coordinator::find_attempts(const request_entry_ptr& entry,
                                int fence_attempt)
{
    while (true)
    {
        const absl::StatusOr<std::vector<task_report>> reports =
            router_.find({entry->key, fence_attempt});
        if (reports.ok())
        {
            return apply_found(entry, *reports);
        }
        if (remaining_ms(*entry) == 0)
        {
            leave_running(entry);
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
    end_urgent(entry, refusal);
}

bool coordinator::may_retry(const std::string& team)
{
    const std::lock_guard<std::mutex> lock(queue_mutex_);
    return consume_retry_token(retries_, team);
}

// Returns whether another attempt should be made.
bool coordinator::place_attempt(const request_entry_ptr& entry, int attempt,
                                urgent_refusal& refusal)
{
    bool has_remote = false;
    bool is_between_owners = true;
    while (is_between_owners)
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
            const next_step step = place_on(entry, candidate, attempt, refusal);
            if (step != next_step::refused)
            {
                return step == next_step::retry;
            }
        }
        // A planned stop leaves racks without an owner for a moment; their
        // next owner can still meet the deadline.
        is_between_owners = (refusal.owner_changing || !has_local) &&
                            !refusal.superseded &&
                            !(has_remote && is_recorded(*entry)) &&
                            remaining_ms(*entry) > 0 && !is_cancelled(*entry);
        if (is_between_owners)
        {
            std::this_thread::sleep_for(retry_delay);
        }
    }
    if (has_remote && is_recorded(*entry))
    {
        // A search for lost attempts covers this data centre only, so a start
        // elsewhere is recorded with its target first.
        run_recorded(entry);
    }
    else
    {
        end_urgent(entry, refusal);
    }
    return false;
}

coordinator::next_step coordinator::place_on(const request_entry_ptr& entry,
                                             const rack_candidate& candidate,
                                             int attempt,
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
        request.excluded = last_failed_target(entry->record);
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
        // The owner may have started it on any of its targets.
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            entry->may_have_run = true;
        }
        return find_attempts(entry, attempt) ? next_step::ended
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
    return step == next_step::running ? follow(entry, entry->deadline) : step;
}

// Continues above the attempts that are forbidden for the key. The prohibition
// may stem from an earlier request with the same id, which was not run.
//
// Returns the highest number below, or 0 when the record does not confirm that
// this host is in charge.
int coordinator::renumber(const request_entry_ptr& entry)
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
        // A coordinator that found no record numbers its attempts from one
        // step above the first; the search must cover these as well.
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

void coordinator::end_urgent(const request_entry_ptr& entry,
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
        const int fence_attempt = renumber(entry);
        if (fence_attempt == 0)
        {
            give_away(entry);
        }
        else if (!find_attempts(entry, fence_attempt))
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
        withdraw(entry, refusal.reason, refusal.retry_after_ms);
    }
}

} // namespace egretspindle
