#include "egretspindle/logging/log.hpp"
#include "egretspindle/rack/start_intents.hpp"

#include "rack_agent_impl.hpp"

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
            intents_changed.wait_for(lock, limits.intent_retry,
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

// Records the intents of a rack and queues the starts that waited for it.
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
        record.intents = collect_intents(*rack);
        record.version = rack->intents_version;
        record.is_incomplete = !rack->inherited_intents &&
                               !knows_all_runs(*rack, steady_clock::now());
    }
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
