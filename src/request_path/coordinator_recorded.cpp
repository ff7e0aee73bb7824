// Starts that are recorded with their target before they are sent: those of
// non-idempotent requests, of batch requests and in other data centres.

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/request_path/coordinator.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr milliseconds retry_delay{50};

} // namespace

void coordinator::run_recorded(const request_entry_ptr& entry)
{
    while (start_recorded(entry))
    {
        if (follow_attempt(entry, entry->deadline) != next_step::retry)
        {
            return;
        }
    }
}

// Reserves capacity, records the start and sends it. Returns whether the start
// is recorded; the attempt may then run.
bool coordinator::start_recorded(const request_entry_ptr& entry)
{
    const auto is_cancelled = [&entry]
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        return entry->cancel_requested;
    };
    int attempt = 0;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        if (is_final(entry->reply.result))
        {
            return false;
        }
        attempt = std::max(entry->record.attempt + 1, entry->next_attempt);
        entry->next_attempt = attempt + 1;
    }
    const absl::StatusOr<place_reply> place = reserve(entry, attempt);
    if (!place.ok())
    {
        handle_failed_start(entry, std::string(place.status().message()), 1000);
        return false;
    }
    if (!place->placed)
    {
        handle_failed_start(entry, place->reason, place->retry_after_ms);
        return false;
    }
    if (is_cancelled())
    {
        handle_failed_start(entry, "cancelled", 0);
        return false;
    }
    if (!record_start(entry, attempt, *place))
    {
        return false;
    }
    if (is_cancelled())
    {
        // The cancellation came before the record and had no target to stop.
        cancel_running(entry);
        return true;
    }
    place_request request;
    request.spec = entry->spec;
    request.attempt = attempt;
    request.rack = place->rack;
    request.coordinator_data_center = options_.data_center;
    request.target = place->target;
    request.boot_id = place->boot_id;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        request.data_center = entry->record.target_data_center;
        request.checkpoint = entry->record.checkpoint;
    }
    const absl::StatusOr<place_reply> started = router_.place(request);
    log_route(request, started);
    if (started.ok() && started->placed)
    {
        task_report report;
        report.task = started->task;
        report.target = started->target;
        report.rack = started->rack;
        report.data_center = request.data_center;
        apply_report(entry, report);
    }
    // Otherwise the caller queries the state of the attempt or schedules a
    // poll.
    return true;
}

absl::StatusOr<place_reply> coordinator::reserve(const request_entry_ptr& entry,
                                                 int attempt)
{
    while (true)
    {
        bool is_owner_changing = false;
        absl::StatusOr<place_reply> reply =
            try_reserve(entry, attempt, is_owner_changing);
        const bool is_placed = reply.ok() && reply->placed;
        const bool has_time =
            steady_clock::now() + retry_delay < entry->deadline;
        if (is_placed || !is_owner_changing || !entry->spec.urgent || !has_time)
        {
            return reply;
        }
        {
            const std::lock_guard<std::mutex> lock(entry->mutex);
            if (entry->cancel_requested)
            {
                return reply;
            }
        }
        // During a planned stop of their owner, racks have no owner until the
        // next one takes over, which can still meet the deadline.
        std::this_thread::sleep_for(retry_delay);
    }
}

// Asks each candidate rack once for a reservation. Sets `is_owner_changing`
// when no rack owner has refused, so that the next owners may still accept.
absl::StatusOr<place_reply>
coordinator::try_reserve(const request_entry_ptr& entry, int attempt,
                         bool& is_owner_changing)
{
    absl::StatusOr<place_reply> last = place_reply{};
    last->reason = "no rack has room; send it again later";
    last->retry_after_ms = 1000;
    is_owner_changing = true;
    bool has_refusal = false;
    std::vector<std::string> failed_targets;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        failed_targets = targets_to_avoid(entry->record);
    }
    for (const rack_candidate& candidate : router_.candidates(entry->spec))
    {
        place_request request;
        request.spec = entry->spec;
        request.attempt = attempt;
        request.rack = candidate.rack;
        request.may_evict = candidate.may_evict;
        request.data_center = candidate.data_center;
        request.coordinator_data_center = options_.data_center;
        request.reserve_only = true;
        request.excluded = failed_targets;
        request.remaining_ms =
            entry->deadline == time_point::max()
                ? 0
                : std::max<std::int64_t>(
                      1, elapsed_ms(steady_clock::now(), entry->deadline));
        absl::StatusOr<place_reply> reply = router_.place(request);
        log_route(request, reply);
        if (reply.ok() && reply->placed)
        {
            reply->data_center = candidate.data_center;
            return reply;
        }
        // A reservation whose response was lost expires at the rack owner.
        has_refusal |= reply.ok() && !reply->owner_changing;
        last = std::move(reply);
    }
    is_owner_changing = !has_refusal;
    return last;
}

bool coordinator::record_start(const request_entry_ptr& entry, int attempt,
                               const place_reply& place)
{
    request_record record;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        record = entry->record;
    }
    record.state = record_state::starting;
    record.coordinator = options_.host_name;
    record.data_center = options_.data_center;
    record.attempt = attempt;
    record.target = place.target;
    record.target_rack = place.rack;
    record.target_data_center = place.data_center;
    record.boot_id = place.boot_id;
    const absl::StatusOr<commit_result> result =
        commit_record(entry, record, options_.store_timeout);
    if (!result.ok())
    {
        handle_failed_start(
            entry, "the start could not be recorded; send it again later",
            2000);
        return false;
    }
    if (!result->committed)
    {
        if (result->conflicts.empty())
        {
            handle_failed_start(entry, "the record changed; send it again",
                                100);
            return false;
        }
        resume_from_row(entry, result->conflicts.front());
        return false;
    }
    const std::lock_guard<std::mutex> lock(entry->mutex);
    entry->reply.attempt = attempt;
    entry->reply.target = place.target;
    return true;
}

// Ends a request whose start failed before it was sent; queues it again when it
// is a batch request.
void coordinator::handle_failed_start(const request_entry_ptr& entry,
                                      std::string_view reason,
                                      std::int64_t retry_after_ms)
{
    bool is_cancelled = false;
    bool may_have_run = false;
    {
        const std::lock_guard<std::mutex> lock(entry->mutex);
        is_cancelled = entry->cancel_requested;
        may_have_run = entry->may_have_run;
    }
    if (is_cancelled)
    {
        request_reply reply = reply_of(*entry);
        reply.result = outcome::cancelled;
        reply.reason = "cancelled before it started";
        finish(entry, reply);
        return;
    }
    if (!entry->spec.urgent)
    {
        enqueue(entry, milliseconds(std::clamp<std::int64_t>(
                           retry_after_ms, retry_delay.count(), 2000)));
        return;
    }
    if (may_have_run)
    {
        request_reply reply = reply_of(*entry);
        reply.result = outcome::unknown;
        reply.reason =
            fmt::format("an earlier attempt may have run; {}", reason);
        finish(entry, reply);
        return;
    }
    finish_not_run(entry, reason, retry_after_ms);
}

} // namespace egretspindle
