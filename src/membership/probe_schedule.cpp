#include "egretspindle/membership/probe_schedule.hpp"

#include "egretspindle/membership/digest_selection.hpp"
#include "egretspindle/membership/membership_update.hpp"
#include "egretspindle/membership/membership_view.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Members to which a host sends a state change at once; each of them sends it
// to as many others.
constexpr std::size_t change_fanout = 3;
constexpr milliseconds change_send_period{100};
constexpr std::size_t join_fanout = 2;
constexpr milliseconds first_sync_interval{1000};

bool is_probed(const membership_state& state, const member_record& record)
{
    return record.digest.data_center == state.self.data_center &&
           (record.digest.state == "alive" || record.digest.state == "suspect");
}

std::vector<std::string> probed_local_names(const membership_state& state)
{
    std::vector<std::string> names;
    for (const auto& [name, record] : state.members)
    {
        if (is_probed(state, record))
        {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> active_remote_names(const membership_state& state)
{
    std::vector<std::string> names;
    for (const auto& [name, record] : state.members)
    {
        if (record.digest.data_center != state.self.data_center &&
            (record.digest.state == "alive" ||
             record.digest.state == "suspect"))
        {
            names.push_back(name);
        }
    }
    return names;
}

template <typename T>
const T& random_element(membership_state& state, const std::vector<T>& values)
{
    std::uniform_int_distribution<std::size_t> index(0, values.size() - 1);
    return values[index(state.random)];
}

probe_action make_action(membership_state& state, probe_kind kind,
                         const std::string& receiver, time_point now)
{
    probe_action action;
    action.kind = kind;
    action.receiver = receiver;
    action.address = address_of(state, receiver);
    action.generation = state.generation;
    action.timeout = state.options.probe_timeout;
    std::string center = state.self.data_center;
    const auto it = state.members.find(receiver);
    if (it != state.members.end())
    {
        action.incarnation = it->second.digest.incarnation;
        center = it->second.digest.data_center;
    }
    action.message = select_digests(state, receiver, center, now);
    return action;
}

// Returns the member to probe next, or an empty string if there is none. Every
// second probe goes to the next member by name, so that each member is probed
// once per two periods regardless of the random order.
std::string next_member_to_probe(membership_state& state)
{
    const std::vector<std::string> names = probed_local_names(state);
    if (names.empty())
    {
        return {};
    }
    if (++state.probe_count % 2 == 0)
    {
        const auto it =
            std::upper_bound(names.begin(), names.end(), state.self.name);
        return it == names.end() ? names.front() : *it;
    }
    while (state.next_probe_index < state.probe_order.size())
    {
        const std::string& name = state.probe_order[state.next_probe_index++];
        if (std::binary_search(names.begin(), names.end(), name))
        {
            return name;
        }
    }
    state.probe_order = names;
    std::shuffle(state.probe_order.begin(), state.probe_order.end(),
                 state.random);
    state.next_probe_index = 1;
    return state.probe_order.front();
}

void schedule_probe(membership_state& state, std::vector<probe_action>& due,
                    time_point now)
{
    if (now < state.next_probe)
    {
        return;
    }
    state.next_probe = std::max(state.next_probe + state.options.probe_period,
                                now + state.options.probe_period / 2);
    const std::string name = next_member_to_probe(state);
    if (!name.empty() && state.pending_indirect_probes.count(name) == 0)
    {
        due.push_back(make_action(state, probe_kind::direct, name, now));
    }
}

void schedule_cross_center(membership_state& state,
                           std::vector<probe_action>& due, time_point now)
{
    if (now < state.next_cross_center)
    {
        return;
    }
    state.next_cross_center = now + state.options.cross_center_period;
    // Data centres take turns regardless of their sizes.
    std::map<std::string, std::vector<std::string>> members_by_center;
    for (const std::string& name : active_remote_names(state))
    {
        members_by_center[state.members.at(name).digest.data_center].push_back(
            name);
    }
    if (members_by_center.empty())
    {
        return;
    }
    auto it = members_by_center.upper_bound(state.last_contacted_center);
    if (it == members_by_center.end())
    {
        it = members_by_center.begin();
    }
    state.last_contacted_center = it->first;
    due.push_back(make_action(state, probe_kind::exchange,
                              random_element(state, it->second), now));
}

// Contact addresses that belong to no member that is alive or suspect.
std::vector<std::string> unmatched_contacts(const membership_state& state)
{
    std::set<std::string> addresses = state.contacts;
    for (const auto& [name, record] : state.members)
    {
        if (record.digest.state == "alive" || record.digest.state == "suspect")
        {
            addresses.erase(record.digest.address);
            addresses.erase(address_of(state, name));
        }
    }
    addresses.erase(state.self.address);
    return {addresses.begin(), addresses.end()};
}

probe_action make_contact_action(membership_state& state,
                                 const std::string& address, time_point now)
{
    probe_action action =
        make_action(state, probe_kind::exchange, std::string(), now);
    action.address = address;
    action.message.target = all_members_target;
    // The reply is a full list, which with 130 members takes longer to encode
    // than the reply to a probe.
    action.timeout = 2 * state.options.probe_timeout;
    return action;
}

void schedule_join(membership_state& state, std::vector<probe_action>& due,
                   time_point now)
{
    if (now < state.next_join || state.self.state != "alive")
    {
        return;
    }
    state.next_join = now + state.options.join_period;
    const bool is_alone =
        probed_local_names(state).empty() && active_remote_names(state).empty();
    if (!is_alone)
    {
        return;
    }
    std::vector<std::string> addresses = unmatched_contacts(state);
    std::shuffle(addresses.begin(), addresses.end(), state.random);
    addresses.resize(std::min(addresses.size(), join_fanout));
    for (const std::string& address : addresses)
    {
        due.push_back(make_contact_action(state, address, now));
    }
}

// When many hosts start at once, the list that a host received when it joined
// lacks most of them, and single changes take minutes to reach all hosts. Full
// lists are therefore requested at intervals that grow up to `sync_period`.
void schedule_sync(membership_state& state, std::vector<probe_action>& due,
                   time_point now)
{
    if (now < state.next_sync || state.self.state != "alive")
    {
        return;
    }
    std::vector<std::string> names = probed_local_names(state);
    if (names.empty())
    {
        names = active_remote_names(state);
    }
    if (names.empty())
    {
        state.next_sync = now + first_sync_interval;
        return;
    }
    state.next_sync = now + state.sync_interval;
    state.sync_interval =
        std::min(2 * state.sync_interval, state.options.sync_period);
    const std::string name = random_element(state, names);
    probe_action action = make_action(state, probe_kind::exchange, name, now);
    action.message.target = all_members_target;
    action.timeout = 2 * state.options.probe_timeout;
    due.push_back(std::move(action));
}

// Contacts dead members and unknown addresses. After a partition, each side
// considers the other dead and would otherwise never probe it again.
void schedule_reconnect(membership_state& state, std::vector<probe_action>& due,
                        time_point now)
{
    if (now < state.next_reconnect || state.self.state != "alive")
    {
        return;
    }
    state.next_reconnect = now + state.options.reconnect_period;
    std::vector<std::string> dead_names;
    for (const auto& [name, record] : state.members)
    {
        if (record.digest.state == "dead")
        {
            dead_names.push_back(name);
        }
    }
    const std::vector<std::string> contacts = unmatched_contacts(state);
    if (!dead_names.empty() && (contacts.empty() || state.random() % 2 == 0))
    {
        due.push_back(make_action(state, probe_kind::exchange,
                                  random_element(state, dead_names), now));
    }
    else if (!contacts.empty())
    {
        due.push_back(
            make_contact_action(state, random_element(state, contacts), now));
    }
}

// The first digest of a message is that of its sender.
void record_contact(membership_state& state, const ping_message& message,
                    time_point now)
{
    if (message.members.empty())
    {
        return;
    }
    const auto it = state.members.find(message.members.front().name);
    if (it != state.members.end())
    {
        it->second.last_update = now;
    }
}

// An update of a member counts as contact with its data centre, also if another
// host relayed it. Hosts thus share the results of their exchanges with other
// data centres.
void update_last_contact(membership_state& state)
{
    for (const auto& [name, record] : state.members)
    {
        time_point& last = state.last_contact[record.digest.data_center];
        last = std::max(last, record.last_update);
    }
}

} // namespace

std::vector<probe_action> announce_changes(membership_state& state,
                                           std::size_t count, time_point now)
{
    std::vector<std::string> names = probed_local_names(state);
    std::shuffle(names.begin(), names.end(), state.random);
    names.resize(std::min(names.size(), count));
    const std::vector<std::string> remote_names = active_remote_names(state);
    if (!remote_names.empty())
    {
        names.push_back(random_element(state, remote_names));
    }
    std::vector<probe_action> actions;
    actions.reserve(names.size());
    for (const std::string& name : names)
    {
        actions.push_back(make_action(state, probe_kind::exchange, name, now));
    }
    return actions;
}

std::vector<probe_action> advance(membership_state& state, time_point now)
{
    if (now - state.last_advance_call > state.options.resume_gap)
    {
        resume_after_pause(state, now);
    }
    state.last_advance_call = now;
    expire_members(state, now);
    std::vector<probe_action> due;
    if (state.has_unsent_changes && now >= state.next_change_send)
    {
        state.has_unsent_changes = false;
        state.next_change_send = now + change_send_period;
        due = announce_changes(state, change_fanout, now);
    }
    schedule_probe(state, due, now);
    schedule_cross_center(state, due, now);
    schedule_join(state, due, now);
    schedule_sync(state, due, now);
    schedule_reconnect(state, due, now);
    return due;
}

void handle_probe_reply(membership_state& state, const probe_action& action,
                        const ping_message& reply, time_point now)
{
    if (action.kind == probe_kind::indirect)
    {
        // One helper that reached the member is enough; the results of the
        // others no longer matter.
        state.pending_indirect_probes.erase(action.message.target);
    }
    merge_message(state, reply, now);
    record_contact(state, reply, now);
    update_last_contact(state);
}

std::vector<probe_action> handle_probe_failure(membership_state& state,
                                               const probe_action& action,
                                               time_point now)
{
    // A timeout that spans a pause of this host is no evidence against the
    // member, whether or not `advance` has detected the pause yet.
    if (action.generation != state.generation ||
        now - state.last_advance_call > state.options.resume_gap ||
        action.kind == probe_kind::exchange)
    {
        return {};
    }
    if (action.kind == probe_kind::indirect)
    {
        const auto it =
            state.pending_indirect_probes.find(action.message.target);
        if (it != state.pending_indirect_probes.end() &&
            --it->second.remaining == 0)
        {
            const std::int64_t incarnation = it->second.incarnation;
            state.pending_indirect_probes.erase(it);
            suspect_member(state, action.message.target, incarnation, now);
        }
        return {};
    }
    std::vector<std::string> helpers = probed_local_names(state);
    helpers.erase(std::remove(helpers.begin(), helpers.end(), action.receiver),
                  helpers.end());
    std::shuffle(helpers.begin(), helpers.end(), state.random);
    // Members of other data centres follow, since a data centre with two hosts
    // has no third one that could help.
    std::vector<std::string> remote_names = active_remote_names(state);
    std::shuffle(remote_names.begin(), remote_names.end(), state.random);
    helpers.insert(helpers.end(), remote_names.begin(), remote_names.end());
    helpers.resize(std::min(helpers.size(), state.options.indirect_probes));
    if (helpers.empty())
    {
        suspect_member(state, action.receiver, action.incarnation, now);
        return {};
    }
    state.pending_indirect_probes[action.receiver] = {helpers.size(),
                                                      action.incarnation};
    std::vector<probe_action> actions;
    for (const std::string& helper : helpers)
    {
        probe_action indirect =
            make_action(state, probe_kind::indirect, helper, now);
        indirect.message.target = action.receiver;
        indirect.timeout = state.options.indirect_timeout;
        actions.push_back(std::move(indirect));
    }
    return actions;
}

ping_message answer_ping(membership_state& state, const std::string& sender,
                         const ping_message& message, time_point now)
{
    merge_message(state, message, now);
    record_contact(state, message, now);
    update_last_contact(state);
    std::string center = state.self.data_center;
    const auto it = state.members.find(sender);
    if (it != state.members.end())
    {
        center = it->second.digest.data_center;
    }
    return message.target == all_members_target
               ? select_all_digests(state, center, now)
               : select_digests(state, sender, center, now);
}

probe_action make_relayed_probe(membership_state& state,
                                const ping_message& message, time_point now)
{
    return make_action(state, probe_kind::exchange, message.target, now);
}

} // namespace egretspindle
