#include "egretspindle/membership/membership_update.hpp"

#include "egretspindle/membership/digest_selection.hpp"

#include <algorithm>
#include <string_view>

namespace egretspindle
{

namespace
{

// Among digests of the same incarnation, the state with the higher rank wins.
int state_rank(std::string_view member_state) noexcept
{
    if (member_state == "alive")
    {
        return 0;
    }
    if (member_state == "suspect")
    {
        return 1;
    }
    return member_state == "leaving" ? 2 : 3;
}

bool is_active(std::string_view member_state) noexcept
{
    return state_rank(member_state) < 2;
}

void add_change(membership_state& state, const member_digest& digest,
                std::string_view new_state)
{
    state.changes.push_back({digest.name, digest.data_center,
                             std::string(new_state), digest.incarnation});
    state.has_unsent_changes = true;
}

void enter_state(membership_state& state, member_record& record,
                 const std::string& new_state, time_point now)
{
    const bool was_active = is_active(record.digest.state);
    record.digest.state = new_state;
    record.state_since = now;
    record.change_sends = 0;
    record.has_unsent_content = true;
    if (was_active != is_active(new_state))
    {
        state.last_change[record.digest.data_center] = now;
    }
    add_change(state, record.digest, new_state);
}

// Overrides a wrong report about this host with a higher incarnation.
void refute(membership_state& state, std::int64_t incarnation)
{
    state.self.incarnation = incarnation + 1;
    add_change(state, state.self, "refuted");
}

// Refutes a digest of this host that would override its own.
void merge_self(membership_state& state, const member_digest& digest)
{
    if (digest.incarnation < state.self.incarnation ||
        (digest.incarnation == state.self.incarnation &&
         state_rank(digest.state) <= state_rank(state.self.state)))
    {
        return;
    }
    refute(state, digest.incarnation);
}

bool has_aggregate_only(const member_digest& digest)
{
    return digest.racks.size() == 1 &&
           digest.racks.front().rack == aggregate_rack_name;
}

// A digest of this data centre that was relayed through another one has only
// the totals of its racks, and a digest with sequence 0 has only the state.
bool has_content(const membership_state& state, const member_digest& digest)
{
    return digest.sequence > 0 &&
           !(digest.data_center == state.self.data_center &&
             has_aggregate_only(digest));
}

void copy_content(member_record& record, const member_digest& digest,
                  time_point now)
{
    record.digest.sequence = digest.sequence;
    record.digest.racks = digest.racks;
    record.last_update = now;
    record.has_unsent_content = true;
}

// A plan version that is new to this host is disseminated like a state change:
// plans must be in effect everywhere within 7 s, and the rack summaries of
// 19 hosts take longer than that to reach all members.
void merge_plan_version(membership_state& state, member_record& record,
                        std::int64_t version)
{
    record.digest.plan_version = std::max(record.digest.plan_version, version);
    if (version > state.newest_plan_version)
    {
        state.newest_plan_version = version;
        record.change_sends = 0;
        add_change(state, record.digest, "plan");
    }
}

void add_member(membership_state& state, const member_digest& digest,
                time_point now)
{
    member_record record;
    record.digest = digest;
    if (!has_content(state, digest))
    {
        record.digest.sequence = 0;
        record.digest.racks.clear();
    }
    record.state_since = now;
    record.last_update = now;
    if (is_active(digest.state))
    {
        state.last_change[digest.data_center] = now;
    }
    add_change(state, digest, digest.state);
    merge_plan_version(state, record, digest.plan_version);
    state.members.emplace(digest.name, std::move(record));
}

} // namespace

void update_self(membership_state& state, const member_digest& described)
{
    state.self.plan_version = described.plan_version;
    state.self.racks = described.racks;
    ++state.self.sequence;
    if (described.plan_version > state.newest_plan_version)
    {
        state.newest_plan_version = described.plan_version;
        state.has_unsent_changes = true;
    }
}

void merge_digest(membership_state& state, const member_digest& digest,
                  time_point now)
{
    if (digest.name == state.self.name)
    {
        merge_self(state, digest);
        return;
    }
    const auto it = state.members.find(digest.name);
    if (it == state.members.end())
    {
        add_member(state, digest, now);
        return;
    }
    member_record& record = it->second;
    if (digest.incarnation < record.digest.incarnation)
    {
        return;
    }
    if (digest.incarnation > record.digest.incarnation)
    {
        const std::string before = record.digest.state;
        record.digest.incarnation = digest.incarnation;
        record.digest.address = digest.address;
        record.digest.data_center = digest.data_center;
        record.digest.sequence = 0;
        record.digest.plan_version = digest.plan_version;
        record.last_update = now;
        record.has_unsent_content = true;
        record.change_sends = 0;
        if (before != digest.state)
        {
            enter_state(state, record, digest.state, now);
        }
        else
        {
            record.state_since = now;
            state.has_unsent_changes = true;
        }
    }
    else if (state_rank(digest.state) > state_rank(record.digest.state))
    {
        enter_state(state, record, digest.state, now);
    }
    merge_plan_version(state, record, digest.plan_version);
    if (has_content(state, digest) && digest.sequence > record.digest.sequence)
    {
        copy_content(record, digest, now);
    }
}

void merge_message(membership_state& state, const ping_message& message,
                   time_point now)
{
    for (const member_digest& digest : message.members)
    {
        merge_digest(state, digest, now);
    }
}

void suspect_member(membership_state& state, const std::string& name,
                    std::int64_t incarnation, time_point now)
{
    const auto it = state.members.find(name);
    if (it == state.members.end() ||
        it->second.digest.data_center != state.self.data_center ||
        it->second.digest.incarnation != incarnation ||
        it->second.digest.state != "alive")
    {
        return;
    }
    enter_state(state, it->second, "suspect", now);
}

void expire_members(membership_state& state, time_point now)
{
    for (auto it = state.members.begin(); it != state.members.end();)
    {
        member_record& record = it->second;
        const bool is_local =
            record.digest.data_center == state.self.data_center;
        if (is_local && record.digest.state == "suspect" &&
            now - record.state_since >= state.options.suspicion_time)
        {
            enter_state(state, record, "dead", now);
        }
        const time_point inactive_since = is_active(record.digest.state)
                                              ? record.last_update
                                              : record.state_since;
        if ((!is_local || !is_active(record.digest.state)) &&
            now - inactive_since > state.options.dead_retention)
        {
            it = state.members.erase(it);
            continue;
        }
        ++it;
    }
}

void resume_after_pause(membership_state& state, time_point now)
{
    ++state.generation;
    ++state.self.incarnation;
    state.pending_indirect_probes.clear();
    for (auto& [name, record] : state.members)
    {
        if (record.digest.state == "suspect")
        {
            record.state_since = now;
        }
    }
    add_change(state, state.self, "resumed");
}

void start_leaving(membership_state& state, time_point now)
{
    if (state.self.state != "leaving")
    {
        state.self.state = "leaving";
        state.last_change[state.self.data_center] = now;
        add_change(state, state.self, "leaving");
    }
}

} // namespace egretspindle
