#include "egretspindle/core/error.hpp"
#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/start_intents.hpp"

#include "rack_agent_impl.hpp"

#include <algorithm>
#include <utility>

namespace egretspindle
{

bool rack_agent::impl::has_intents_to_record(const rack_state& rack) const
{
    return has_unrecorded_intents(rack) ||
           has_unrecorded_confirmations(rack, limits.confirmation_delay,
                                        steady_clock::now());
}

// Reads and records intents until the agent stops.
void rack_agent::impl::intent_loop()
{
    std::unique_lock<std::mutex> lock(mutex);
    for (;;)
    {
        intents_changed.wait(lock,
                             [this] { return is_stopping || has_intent_work; });
        if (is_stopping)
        {
            return;
        }
        has_intent_work = false;
        lock.unlock();
        const bool is_done = update_intents();
        lock.lock();
        if (!is_done)
        {
            has_intent_work = true;
            const time_point next_at =
                is_intent_delayed ? intent_pace.next_at
                                  : steady_clock::now() + limits.intent_retry;
            intents_changed.wait_until(lock, next_at,
                                       [this] { return is_stopping; });
        }
    }
}

// Reads the intents of racks that were taken over, and records new ones.
// Returns false if a call has to be repeated.
bool rack_agent::impl::update_intents()
{
    std::vector<std::pair<std::string, std::int64_t>> unread; // rack, token
    std::vector<std::pair<std::string, std::int64_t>> unrecorded;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto& [name, rack] : racks)
        {
            if (rack.is_fenced)
            {
                continue;
            }
            if (!rack.has_read_intents)
            {
                unread.emplace_back(name, rack.token);
            }
            if (!rack.has_read_intents || has_intents_to_record(rack))
            {
                unrecorded.emplace_back(name, rack.token);
            }
        }
        // Racks take turns while writes are limited.
        std::rotate(unrecorded.begin(),
                    std::find_if(unrecorded.begin(), unrecorded.end(),
                                 [this](const auto& item)
                                 { return item.first > last_intent_rack; }),
                    unrecorded.end());
        is_intent_delayed = false;
    }
    bool is_done = true;
    for (const auto& [name, token] : unread)
    {
        is_done &= read_inherited_intents(name, token);
    }
    for (const auto& [name, token] : unrecorded)
    {
        is_done &= record_intents(name, token);
    }
    return is_done;
}

// Reads the intents of earlier owners. They cannot change any more, since each
// write requires the owner row of its writer.
bool rack_agent::impl::read_inherited_intents(const std::string& name,
                                              std::int64_t token)
{
    absl::StatusOr<intent_record> record = hooks.read_intents(name);
    if (!record.ok())
    {
        log_warning("cannot read the intents of a rack",
                    {{"rack", name},
                     {"owner_version", token},
                     {"error", std::string(record.status().message())}});
        return false;
    }
    const std::lock_guard<std::mutex> lock(mutex);
    rack_state* rack = find_rack(name);
    if (rack == nullptr || rack->token != token)
    {
        return true;
    }
    rack->has_read_intents = true;
    rack->intents_version = record->version;
    log_info("intents of a rack read", {{"rack", name},
                                        {"owner_version", token},
                                        {"version", record->version},
                                        {"intents", record->intents.size()},
                                        {"incomplete", record->is_incomplete}});
    if (!record->is_incomplete)
    {
        rack->inherited_intents = std::move(record->intents);
    }
    return true;
}

// Returns a random factor for an interval between writes.
double rack_agent::impl::draw_spread()
{
    return std::uniform_real_distribution<double>(0.75, 1.25)(random);
}

// Adapts the rate of writes of intents to an answer of the store.
void rack_agent::impl::adapt_intent_pace(
    const absl::StatusOr<intent_write>& written, time_point begun_at)
{
    const time_point now = steady_clock::now();
    const bool is_overloaded =
        !written.ok() && kind_of(written.status()) == error_kind::overloaded;
    is_intent_delayed |= is_overloaded;
    if (written.ok() && note_success(intent_pace, limits.intent_pace, now))
    {
        log_info("writes of intents are no longer limited",
                 {{"limited_ms", elapsed_ms(intent_pace.limited_at, now)},
                  {"refused", intent_pace.refused}});
    }
    if (is_overloaded && note_overload(intent_pace, limits.intent_pace,
                                       begun_at, now, draw_spread()))
    {
        log_warning("writes of intents are limited: store is overloaded",
                    {{"refused", intent_pace.refused},
                     {"interval_ms", call_interval(intent_pace).count()}});
    }
}

// Records the intents of a rack and queues the starts that waited for it.
// While the store is overloaded, it may write only at the rate of
// `intent_pace`. Returns false if it has to be called again.
bool rack_agent::impl::record_intents(const std::string& name,
                                      std::int64_t token)
{
    intent_record record;
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const rack_state* rack = find_rack(name);
        if (rack == nullptr || rack->token != token || rack->is_fenced)
        {
            return true;
        }
        if (!rack->has_read_intents)
        {
            return false;
        }
        if (!has_intents_to_record(*rack))
        {
            return true;
        }
        const time_point now = steady_clock::now();
        if (now < intent_pace.next_at)
        {
            is_intent_delayed = true;
            return false;
        }
        note_call(intent_pace, now, draw_spread());
        last_intent_rack = name;
        record.intents = collect_intents(*rack);
        record.version = rack->intents_version;
        record.is_incomplete = !rack->inherited_intents &&
                               !knows_all_runs(*rack, steady_clock::now());
    }
    const time_point sent_at = steady_clock::now();
    const absl::StatusOr<intent_write> written =
        hooks.write_intents(name, token, record);
    if (!written.ok() || !written->is_committed)
    {
        log_warning(
            "intents of a rack were not recorded",
            {{"rack", name},
             {"owner_version", token},
             {"intents", record.intents.size()},
             {"error", !written.ok() ? std::string(written.status().message())
                       : written->is_replaced
                           ? std::string("the rack has another owner")
                           : std::string("the record has changed")}});
    }
    const std::lock_guard<std::mutex> lock(mutex);
    adapt_intent_pace(written, sent_at);
    rack_state* rack = find_rack(name);
    if (!written.ok() || rack == nullptr || rack->token != token)
    {
        return rack == nullptr || rack->token != token;
    }
    if (!written->is_committed)
    {
        // Only this owner can have changed the record: an earlier write without
        // an answer took effect.
        rack->intents_version = written->version;
        return false;
    }
    rack->intents_version = written->version;
    for (const recorded_start& start :
         mark_intents_recorded(*rack, std::move(record.intents)))
    {
        pending_order order;
        order.id = start.id;
        queue_order(start.target, order);
    }
    return true;
}

} // namespace egretspindle
