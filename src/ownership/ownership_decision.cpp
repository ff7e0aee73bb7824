#include "egretspindle/ownership/ownership_decision.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/core/rendezvous_hash.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace egretspindle
{

namespace
{

// A host that knows no other member waits longer before it acquires racks of
// unknown hosts, since its seeds may answer late.
constexpr int isolated_discovery_factor = 2;
// Several digest periods: in a data centre with 20 hosts the digests are
// renewed about every 2 s.
constexpr milliseconds unlisted_delay{5000};
// Time between two handovers to this host, so that work moves rack by rack.
constexpr milliseconds min_handover_interval{1000};

bool is_same_target(const host_entry& lhs, const host_entry& rhs)
{
    return std::tie(lhs.name, lhs.address, lhs.state, lhs.slots,
                    lhs.connections, lhs.cpu_cores, lhs.memory_mb,
                    lhs.accelerators) ==
           std::tie(rhs.name, rhs.address, rhs.state, rhs.slots,
                    rhs.connections, rhs.cpu_cores, rhs.memory_mb,
                    rhs.accelerators);
}

bool has_same_targets(const std::vector<host_entry>& lhs,
                      const std::vector<host_entry>& rhs)
{
    return std::equal(lhs.begin(), lhs.end(), rhs.begin(), rhs.end(),
                      is_same_target);
}

bool lists_rack(const member_digest& digest, const std::string& rack)
{
    return std::any_of(digest.racks.begin(), digest.racks.end(),
                       [&](const rack_summary& summary)
                       { return summary.rack == rack; });
}

bool is_live(const ownership_state& state, const std::string& host)
{
    return std::binary_search(state.live.begin(), state.live.end(), host);
}

bool is_discovery_over(const ownership_state& state, time_point now)
{
    const int factor = state.live.size() > 1 ? 1 : isolated_discovery_factor;
    return now - state.started >= state.options.discovery_time * factor;
}

bool is_unlisted_beyond_delay(const ownership_state& state, const rack_id& id,
                              rack_record& record, const rack_owner& owner,
                              time_point now)
{
    const auto it = state.members.find(owner.host);
    const bool is_unlisted =
        it == state.members.end() || !lists_rack(it->second, id.rack);
    if (is_unlisted && !record.is_unlisted)
    {
        record.unlisted_since = now;
    }
    record.is_unlisted = is_unlisted;
    return is_unlisted && now - record.unlisted_since >= unlisted_delay;
}

// Returns whether a live owner has to hand the rack over to this host, the
// preferred one. If so, delays the next handover by `min_handover_interval`.
bool is_handover_due(ownership_state& state, rack_record& record,
                     time_point now)
{
    if (now - record.preferred_since < state.options.handover_delay ||
        now < state.next_handover || state.store_failing_since)
    {
        return false;
    }
    state.next_handover = now + min_handover_interval;
    return true;
}

bool should_acquire(ownership_state& state, const rack_id& id,
                    rack_record& record, time_point now)
{
    const bool is_preferred =
        preferred_host(id, state.live) == state.options.name;
    if (is_preferred && !record.is_preferred)
    {
        record.preferred_since = now;
    }
    record.is_preferred = is_preferred;
    const std::optional<rack_owner> owner = known_owner(state, id);
    if (record.requested_epoch >= 0 &&
        record.requested_epoch >= (owner ? owner->epoch : 0))
    {
        return true;
    }
    if (!is_preferred)
    {
        return false;
    }
    // The row names an earlier process of this host, or an epoch that it has
    // given up.
    if (owner && owner->host == state.options.name)
    {
        return true;
    }
    const bool is_owner_live = owner && is_live(state, owner->host);
    if (is_owner_live || (owner && owner->host != record.acquired_by))
    {
        record.acquired_by.clear();
    }
    if (!is_discovery_over(state, now) ||
        (!record.acquired_by.empty() && now < record.reacquire_after))
    {
        return false;
    }
    return !owner || !is_owner_live ||
           is_unlisted_beyond_delay(state, id, record, *owner, now) ||
           is_handover_due(state, record, now);
}

// Returns the owners that may still renew leases: those recorded in the row,
// the last one, and hosts that claimed targets while the store was down.
std::vector<std::string> earlier_owners(const ownership_state& state,
                                        const rack_record& record,
                                        const std::optional<rack_owner>& owner,
                                        time_point now)
{
    std::vector<std::string> hosts = record.row.unreleased;
    hosts.push_back(record.row.host);
    if (owner)
    {
        hosts.push_back(owner->host);
    }
    if (record.owned)
    {
        hosts.push_back(record.owned->previous_owner);
    }
    std::vector<std::string> earlier;
    for (const std::string& host : hosts)
    {
        if (!host.empty() && host != state.options.name &&
            std::find(earlier.begin(), earlier.end(), host) == earlier.end() &&
            !has_left_host_list(state, host, now))
        {
            earlier.push_back(host);
        }
    }
    return earlier;
}

store_transaction make_row_write(ownership_state& state, const rack_id& id,
                                 const rack_record& record,
                                 const owner_row& row)
{
    store_transaction transaction;
    transaction.tx_id =
        fmt::format("{}-{}-owner-{}", state.options.name, state.incarnation,
                    ++state.transaction_count);
    const std::string key = owner_row_key(id);
    transaction.checks.push_back({key, record.row_version});
    transaction.writes.push_back({key, to_json(row), false});
    return transaction;
}

void prepare_acquisition(ownership_state& state, const rack_id& id,
                         rack_record& record, time_point now)
{
    const std::optional<rack_owner> owner = known_owner(state, id);
    pending_acquisition acquisition;
    acquisition.checked_version = record.row_version;
    acquisition.row.host = state.options.name;
    acquisition.row.incarnation = state.incarnation;
    acquisition.row.epoch =
        1 + std::max({record.row.epoch, record.seen_epoch, record.fenced_epoch,
                      owner ? owner->epoch : 0});
    acquisition.row.unreleased = earlier_owners(state, record, owner, now);
    acquisition.previous_owner = record.owned ? record.owned->previous_owner
                                 : owner      ? owner->host
                                              : record.row.host;
    acquisition.transaction =
        make_row_write(state, id, record, acquisition.row);
    record.pending = std::move(acquisition);
}

void add_write(rack_record& record, const rack_id& id,
               const ownership_state& state, std::vector<ownership_action>& due,
               time_point now)
{
    ownership_action action;
    action.rack = id;
    action.generation = state.generation;
    record.is_busy = true;
    record.next_acquisition =
        now + state.options.retry_delay * (state.store_failing_since ? 2 : 1);
    if (record.pending->needs_read)
    {
        action.call = ownership_call::read_row;
    }
    else
    {
        action.call = ownership_call::write_row;
        action.transaction = record.pending->transaction;
    }
    due.push_back(std::move(action));
}

void add_claims(ownership_state& state, const rack_id& id, rack_record& record,
                std::vector<ownership_action>& due, time_point now)
{
    const bool is_outage =
        state.store_failing_since &&
        now - *state.store_failing_since >= state.options.claim_delay;
    if (!is_outage)
    {
        return;
    }
    const std::optional<rack_owner> owner = known_owner(state, id);
    for (const host_entry& target : record.targets)
    {
        time_point& next = record.next_claim[target.name];
        const bool is_claimed =
            record.owned && record.owned->claims.count(target.name) != 0;
        if (is_claimed || now < next)
        {
            continue;
        }
        next = now + state.options.claim_period;
        ownership_action action;
        action.call = ownership_call::claim_target;
        action.rack = id;
        action.target = target;
        action.epoch = std::max(record.row.epoch, owner ? owner->epoch : 0);
        action.generation = state.generation;
        due.push_back(std::move(action));
    }
}

void add_release_requests(ownership_state& state, const rack_id& id,
                          rack_record& record,
                          std::vector<ownership_action>& due, time_point now)
{
    owned_rack& owned = *record.owned;
    if (owned.claims_only)
    {
        return;
    }
    std::set<std::string> asked = owned.unreleased;
    for (const std::string& host : std::set<std::string>(asked))
    {
        if (has_left_host_list(state, host, now))
        {
            confirm_release(state, record, host, now);
            asked.erase(host);
        }
    }
    // Hosts that claimed targets during an outage are not named in the row.
    for (const auto& [name, member] : state.members)
    {
        if (lists_rack(member, id.rack))
        {
            asked.insert(name);
        }
    }
    for (const std::string& host : asked)
    {
        const auto it = state.members.find(host);
        time_point& next = record.next_release_request[host];
        if (it == state.members.end() || it->second.state == "dead" ||
            now < next)
        {
            continue;
        }
        next = now + state.options.release_retry;
        ownership_action action;
        action.call = ownership_call::request_release;
        action.rack = id;
        action.host = host;
        action.epoch = owned.token.epoch;
        action.generation = state.generation;
        due.push_back(std::move(action));
    }
}

void decide_rack(ownership_state& state, const rack_id& id, rack_record& record,
                 std::vector<ownership_action>& due, time_point now)
{
    if (record.owned)
    {
        add_release_requests(state, id, record, due, now);
    }
    const bool is_recorded = record.owned && !record.owned->claims_only;
    const bool is_wanted =
        !state.is_stopping && !is_recorded && !record.suspended &&
        (record.owned || should_acquire(state, id, record, now));
    if (is_wanted)
    {
        add_claims(state, id, record, due, now);
    }
    if (record.is_busy)
    {
        return;
    }
    // A write whose result is not known has to be resolved in any case.
    if (record.pending || (is_wanted && record.is_row_known))
    {
        if (now >= record.next_acquisition)
        {
            if (!record.pending)
            {
                prepare_acquisition(state, id, record, now);
            }
            add_write(record, id, state, due, now);
        }
        return;
    }
    if (now >= record.next_read &&
        (record.owned || record.suspended || is_wanted))
    {
        record.is_busy = true;
        record.next_read = now + state.options.row_read_period;
        ownership_action action;
        action.rack = id;
        action.generation = state.generation;
        due.push_back(std::move(action));
    }
}

// Other hosts may have acquired the racks while this process was paused.
void suspend_all(ownership_state& state, time_point now)
{
    ++state.generation;
    for (auto& [id, record] : state.racks)
    {
        if (record.pending)
        {
            record.pending->needs_read = true;
        }
        if (record.owned && !record.owned->claims_only)
        {
            record.suspended = record.owned->token;
        }
        drop_ownership(
            state, id,
            "this process was paused; the owner row has to be read again");
        record.next_read = now;
        record.requested_epoch = -1;
    }
}

} // namespace

bool has_left_host_list(const ownership_state& state, const std::string& host,
                        time_point now)
{
    const auto it = state.last_listed.find(host);
    const time_point last =
        it == state.last_listed.end() ? state.started : it->second;
    return state.lists_entry_hosts &&
           now - last > state.options.absence_timeout;
}

void confirm_release(ownership_state& state, rack_record& record,
                     const std::string& host, time_point now)
{
    owned_rack& owned = *record.owned;
    if (owned.unreleased.erase(host) == 0)
    {
        return;
    }
    owned.released_at = now;
    owned.previous_released = owned.unreleased.empty();
    state.events.push_back(
        {ownership_change::updated, owned, host + " stopped renewing"});
}

void update_hosts(ownership_state& state, absl::Span<const host_entry> hosts,
                  time_point now)
{
    if (hosts.empty())
    {
        return;
    }
    std::map<rack_id, std::vector<host_entry>> listed;
    state.lists_entry_hosts = false;
    for (const host_entry& host : hosts)
    {
        if (host.role == "entry")
        {
            state.last_listed[host.name] = now;
            state.lists_entry_hosts |= host.name == state.options.name;
        }
        if (host.role == "target" &&
            host.data_center == state.options.data_center)
        {
            listed[{host.data_center, host.rack}].push_back(host);
        }
    }
    for (auto& [id, targets] : listed)
    {
        rack_record& record = state.racks[id];
        record.listed_at = now;
        if (has_same_targets(record.targets, targets))
        {
            continue;
        }
        record.targets = std::move(targets);
        if (record.owned)
        {
            record.owned->targets = record.targets;
            state.events.push_back(
                {ownership_change::updated, *record.owned, "targets changed"});
        }
    }
    for (auto it = state.racks.begin(); it != state.racks.end();)
    {
        if (now - it->second.listed_at > state.options.rack_removal_delay &&
            !it->second.pending && !it->second.is_busy)
        {
            drop_ownership(state, it->first, "the rack left the host list");
            it = state.racks.erase(it);
            continue;
        }
        ++it;
    }
}

void update_members(ownership_state& state,
                    absl::Span<const member_digest> members,
                    std::vector<std::string> live)
{
    state.members.clear();
    for (const member_digest& member : members)
    {
        if (member.data_center == state.options.data_center &&
            member.name != state.options.name)
        {
            state.members.emplace(member.name, member);
        }
    }
    state.live = std::move(live);
}

std::optional<rack_owner> known_owner(const ownership_state& state,
                                      const rack_id& id)
{
    std::optional<rack_owner> owner;
    const auto it = state.racks.find(id);
    if (it != state.racks.end())
    {
        if (it->second.owned)
        {
            return rack_owner{state.options.name,
                              it->second.owned->token.epoch};
        }
        if (it->second.is_row_known && it->second.row_version > 0)
        {
            owner = rack_owner{it->second.row.host, it->second.row.epoch};
        }
    }
    for (const auto& [name, member] : state.members)
    {
        for (const rack_summary& summary : member.racks)
        {
            const std::int64_t epoch = owner ? owner->epoch : -1;
            const bool is_newer =
                summary.epoch > epoch ||
                (summary.epoch == epoch && is_live(state, name) &&
                 !is_live(state, owner->host));
            const bool replaces_own = owner && summary.epoch == epoch &&
                                      is_live(state, name) &&
                                      owner->host == state.options.name;
            if (summary.rack == id.rack && (is_newer || replaces_own))
            {
                owner = rack_owner{name, summary.epoch};
            }
        }
    }
    return owner;
}

std::string preferred_host(const rack_id& id,
                           absl::Span<const std::string> candidates)
{
    const std::size_t n =
        rendezvous_choice(id.data_center + "/" + id.rack, candidates);
    return n < candidates.size() ? candidates[n] : std::string();
}

std::vector<ownership_action> decide(ownership_state& state, time_point now)
{
    if (now - state.last_decision > state.options.resume_gap)
    {
        suspend_all(state, now);
    }
    state.last_decision = now;
    std::vector<ownership_action> due;
    if (now >= state.next_scan)
    {
        state.next_scan = now + state.options.row_scan_period;
        ownership_action action;
        action.call = ownership_call::scan_rows;
        due.push_back(std::move(action));
    }
    for (auto& [id, record] : state.racks)
    {
        decide_rack(state, id, record, due, now);
    }
    return due;
}

void drop_ownership(ownership_state& state, const rack_id& id,
                    std::string_view reason)
{
    const auto it = state.racks.find(id);
    if (it == state.racks.end() || !it->second.owned)
    {
        return;
    }
    state.events.push_back(
        {ownership_change::lost, *it->second.owned, std::string(reason)});
    it->second.owned.reset();
    it->second.next_claim.clear();
}

} // namespace egretspindle
