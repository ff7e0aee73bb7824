#include "egretspindle/ownership/ownership_result.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/error.hpp"
#include "egretspindle/ownership/ownership_decision.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

void update_store_status(ownership_state& state, const absl::Status& status,
                         time_point now)
{
    if (status.ok())
    {
        state.store_failing_since.reset();
    }
    else if (!state.store_failing_since)
    {
        state.store_failing_since = now;
    }
}

// The result of a call made before a pause may be out of date.
bool spans_pause(const ownership_state& state, const ownership_action& action,
                 time_point now)
{
    return action.generation != state.generation ||
           now - state.last_decision > state.options.resume_gap;
}

// Delays reacquiring the rack. Two hosts that do not see each other would
// otherwise take it from each other at every reread of its row.
void record_loss(const ownership_state& state, rack_record& record,
                 const std::string& host, time_point now)
{
    if (record.owned)
    {
        record.acquired_by = host;
        record.reacquire_after = now + state.options.handover_delay;
    }
}

// Keeps the most recent renewal of each target, and updates ages to `now`.
void merge_renewals(owned_rack& owned,
                    const std::vector<target_renewal>& renewals, time_point now)
{
    for (target_renewal& renewal : owned.previous_renewals)
    {
        renewal.age_ms += elapsed_ms(owned.released_at, now);
    }
    for (const target_renewal& renewal : renewals)
    {
        const auto it = std::find_if(owned.previous_renewals.begin(),
                                     owned.previous_renewals.end(),
                                     [&](const target_renewal& known) {
                                         return known.target == renewal.target;
                                     });
        if (it == owned.previous_renewals.end())
        {
            owned.previous_renewals.push_back(renewal);
        }
        else
        {
            it->age_ms = std::min(it->age_ms, renewal.age_ms);
        }
    }
    owned.released_at = now;
}

rack_record* find_record(ownership_state& state, const rack_id& id)
{
    const auto it = state.racks.find(id);
    return it == state.racks.end() ? nullptr : &it->second;
}

bool names_this_process(const ownership_state& state, const owner_row& row)
{
    return row.host == state.options.name &&
           row.incarnation == state.incarnation;
}

void add_event(ownership_state& state, ownership_change change,
               const owned_rack& rack, std::string reason)
{
    state.events.push_back({change, rack, std::move(reason)});
}

void acquire(ownership_state& state, const rack_id& id, rack_record& record,
             const owner_row& row, const std::string& previous,
             std::string reason, time_point now)
{
    owned_rack owned;
    owned.data_center = id.data_center;
    owned.rack = id.rack;
    owned.token = {row.epoch, 0};
    owned.acquired = now;
    owned.targets = record.targets;
    owned.previous_owner = previous;
    // An earlier process of this host has ended, since this one listens on
    // its address.
    owned.unreleased.insert(row.unreleased.begin(), row.unreleased.end());
    owned.unreleased.erase(state.options.name);
    owned.previous_released = owned.unreleased.empty();
    owned.released_at = now;
    record.owned = std::move(owned);
    record.suspended.reset();
    record.requested_epoch = -1;
    record.next_claim.clear();
    record.next_release_request.clear();
    record.next_read = now + state.options.row_read_period;
    add_event(state, ownership_change::acquired, *record.owned,
              std::move(reason));
}

// Resolves a write without a known result from the row that was read.
void resolve_pending(ownership_state& state, const rack_id& id,
                     rack_record& record, time_point now)
{
    const pending_acquisition acquisition = *record.pending;
    if (names_this_process(state, record.row) &&
        record.row.epoch == acquisition.row.epoch)
    {
        record.pending.reset();
        if (acquisition.row.epoch >= record.fenced_epoch)
        {
            acquire(state, id, record, acquisition.row,
                    acquisition.previous_owner, "owner row written", now);
        }
    }
    else if (record.row_version != acquisition.checked_version)
    {
        record.pending.reset();
    }
    else
    {
        // Not committed so far. The retry has the same transaction id, so that
        // a late arrival of the first message is not a second write.
        record.pending->needs_read = false;
    }
}

// Resumes a suspended ownership if the row still names this process.
void resolve_suspended(ownership_state& state, const rack_id& id,
                       rack_record& record, time_point now)
{
    const fencing_token token = *record.suspended;
    record.suspended.reset();
    if (names_this_process(state, record.row) &&
        record.row.epoch == token.epoch && token.epoch >= record.fenced_epoch &&
        !state.is_stopping)
    {
        const std::string previous = record.row.unreleased.empty()
                                         ? std::string()
                                         : record.row.unreleased.back();
        acquire(state, id, record, record.row, previous,
                "owner row still names this process", now);
    }
}

void apply_row(ownership_state& state, const rack_id& id, rack_record& record,
               const store_row& row, time_point now)
{
    // The results of two reads can arrive out of order.
    if (record.is_row_known && row.version < record.row_version)
    {
        return;
    }
    record.is_row_known = true;
    record.row_version = row.version;
    record.row = owner_row{};
    if (row.version > 0)
    {
        absl::StatusOr<owner_row> value = from_json<owner_row>(row.value);
        if (value.ok())
        {
            record.row = *std::move(value);
        }
    }
    if (record.owned && !names_this_process(state, record.row) &&
        record.row.epoch >= record.owned->token.epoch &&
        (!record.owned->claims_only ||
         record.row.epoch > record.owned->token.epoch))
    {
        record_loss(state, record, record.row.host, now);
        drop_ownership(state, id,
                       fmt::format("owner row names {} with epoch {}",
                                   record.row.host, record.row.epoch));
    }
    if (record.pending && record.pending->needs_read)
    {
        resolve_pending(state, id, record, now);
    }
    if (record.suspended)
    {
        resolve_suspended(state, id, record, now);
    }
}

} // namespace

void on_row_read(ownership_state& state, const ownership_action& action,
                 const absl::StatusOr<store_row>& row, time_point now)
{
    update_store_status(state, row.status(), now);
    rack_record* record = find_record(state, action.rack);
    if (record == nullptr)
    {
        return;
    }
    record->is_busy = false;
    if (spans_pause(state, action, now))
    {
        record->next_read = now;
        return;
    }
    if (row.ok())
    {
        apply_row(state, action.rack, *record, *row, now);
    }
    else
    {
        // Without the store it cannot be verified that the old token is valid.
        record->suspended.reset();
    }
}

void on_rows_scanned(ownership_state& state,
                     const absl::StatusOr<std::vector<store_row>>& rows,
                     time_point now)
{
    update_store_status(state, rows.status(), now);
    if (!rows.ok())
    {
        state.next_scan =
            std::min(state.next_scan, now + state.options.row_read_period);
        return;
    }
    const std::string prefix = owner_row_prefix(state.options.data_center);
    for (const store_row& row : *rows)
    {
        const rack_id id{
            state.options.data_center,
            row.key.substr(std::min(prefix.size(), row.key.size()))};
        rack_record* record = find_record(state, id);
        // A read or write in progress will return a newer version.
        if (record != nullptr && !record->is_busy)
        {
            apply_row(state, id, *record, row, now);
        }
    }
}

void on_row_written(ownership_state& state, const ownership_action& action,
                    const absl::StatusOr<commit_result>& result, time_point now)
{
    update_store_status(state, result.status(), now);
    const rack_id& id = action.rack;
    rack_record* record = find_record(state, id);
    if (record == nullptr || !record->pending)
    {
        return;
    }
    record->is_busy = false;
    if (spans_pause(state, action, now))
    {
        record->pending->needs_read = true;
        return;
    }
    const pending_acquisition acquisition = *record->pending;
    if (!result.ok())
    {
        if (kind_of(result.status()) == error_kind::deadline_exceeded)
        {
            record->pending->needs_read = true;
        }
        else
        {
            record->pending.reset();
        }
        return;
    }
    record->pending.reset();
    if (!result->committed)
    {
        record->next_acquisition = now;
        if (result->conflicts.empty())
        {
            record->is_row_known = false;
            record->next_read = now;
            return;
        }
        apply_row(state, id, *record, result->conflicts.front(), now);
        return;
    }
    record->row = acquisition.row;
    // The commit result lacks the new version of the row; the next reread
    // gets it. Until then, any row with a later version replaces this one.
    record->row_version =
        std::max(record->row_version, acquisition.checked_version);
    if (acquisition.row.epoch < record->fenced_epoch || state.is_stopping)
    {
        record->is_row_known = false;
        return;
    }
    acquire(state, id, *record, acquisition.row, acquisition.previous_owner,
            "owner row written", now);
}

void on_target_claimed(ownership_state& state, const ownership_action& action,
                       const absl::StatusOr<fencing_token>& token,
                       time_point now)
{
    rack_record* record = find_record(state, action.rack);
    if (record == nullptr || !token.ok() || state.is_stopping ||
        spans_pause(state, action, now) ||
        (record->owned && !record->owned->claims_only))
    {
        return;
    }
    record->seen_epoch = std::max(record->seen_epoch, token->epoch);
    if (record->owned)
    {
        record->owned->claims[action.target.name] = *token;
        record->owned->token = std::max(record->owned->token, *token);
        add_event(state, ownership_change::updated, *record->owned,
                  "target claimed");
        return;
    }
    const std::optional<rack_owner> owner = known_owner(state, action.rack);
    owned_rack owned;
    owned.data_center = action.rack.data_center;
    owned.rack = action.rack.rack;
    owned.token = *token;
    owned.acquired = now;
    owned.targets = record->targets;
    owned.claims_only = true;
    owned.claims[action.target.name] = *token;
    owned.previous_owner = owner ? owner->host : std::string();
    record->owned = std::move(owned);
    record->suspended.reset();
    add_event(state, ownership_change::acquired, *record->owned,
              "target claimed");
}

void on_release_answered(ownership_state& state, const ownership_action& action,
                         const absl::StatusOr<rack_release>& answer,
                         time_point now)
{
    rack_record* record = find_record(state, action.rack);
    if (record == nullptr)
    {
        return;
    }
    if (!record->owned || record->owned->token.epoch != action.epoch ||
        !answer.ok())
    {
        return;
    }
    if (!answer->released)
    {
        // The other host owns the rack with the same or a higher epoch, so the
        // row has changed.
        record->next_read = now;
        return;
    }
    merge_renewals(*record->owned, answer->renewals, now);
    confirm_release(state, *record, action.host, now);
}

rack_release on_release_requested(ownership_state& state,
                                  const std::string& sender,
                                  const rack_release& message, time_point now)
{
    const rack_id id{message.data_center, message.rack};
    rack_release reply = message;
    reply.renewals.clear();
    rack_record* record = find_record(state, id);
    if (message.released)
    {
        reply.released = record != nullptr && !state.is_stopping &&
                         !state.store_failing_since;
        if (reply.released)
        {
            record->requested_epoch = message.epoch;
            record->next_acquisition = now;
            record->next_read = now;
        }
        return reply;
    }
    reply.released = true;
    if (record == nullptr)
    {
        return reply;
    }
    if (record->owned && record->owned->token.epoch >= message.epoch)
    {
        reply.released = false;
        reply.epoch = record->owned->token.epoch;
        return reply;
    }
    record->fenced_epoch = std::max(record->fenced_epoch, message.epoch);
    record->suspended.reset();
    record->next_read = now;
    if (record->row.epoch < message.epoch)
    {
        record->row.host = sender;
        record->row.incarnation = 0;
        record->row.epoch = message.epoch;
    }
    record_loss(state, *record, sender, now);
    drop_ownership(
        state, id,
        fmt::format("released to a new owner with epoch {}", message.epoch));
    return reply;
}

void on_stale_epoch_seen(ownership_state& state, const rack_id& id,
                         std::int64_t seen_epoch, time_point now)
{
    rack_record* record = find_record(state, id);
    if (record == nullptr || !record->owned)
    {
        return;
    }
    record->seen_epoch = std::max(record->seen_epoch, seen_epoch);
    record->fenced_epoch =
        std::max(record->fenced_epoch, record->owned->token.epoch + 1);
    record->is_row_known = false;
    record->next_read = now;
    drop_ownership(state, id, "a target has seen a higher token");
}

} // namespace egretspindle
