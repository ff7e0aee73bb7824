#include "egretspindle/membership/probe_schedule.hpp"

#include "egretspindle/membership/digest_selection.hpp"
#include "egretspindle/membership/membership_update.hpp"
#include "egretspindle/membership/membership_view.hpp"

#include <algorithm>

namespace egretspindle
{

namespace
{

// Members told of a state change at once; each of them tells as many.
constexpr std::size_t event_fanout = 3;
constexpr milliseconds event_period{100};
constexpr std::size_t join_fanout = 2;
constexpr milliseconds first_sync_interval{1000};

bool is_probed(const membership_state& state, const member_record& record)
{
    return record.digest.data_center == state.self.data_center &&
           (record.digest.state == "alive" || record.digest.state == "suspect");
}

std::vector<std::string> probed_names(const membership_state& state)
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

std::vector<std::string> working_elsewhere(const membership_state& state)
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

// Every second probe goes to the next member by name, so that each member is
// probed once per two periods whatever the random order is.
std::string next_probed(membership_state& state)
{
    const std::vector<std::string> names = probed_names(state);
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
    while (state.next_in_order < state.probe_order.size())
    {
        const std::string& name = state.probe_order[state.next_in_order++];
        if (std::binary_search(names.begin(), names.end(), name))
        {
            return name;
        }
    }
    state.probe_order = names;
    std::shuffle(state.probe_order.begin(), state.probe_order.end(),
                 state.random);
    state.next_in_order = 1;
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
    const std::string name = next_probed(state);
    if (!name.empty() && state.rounds.count(name) == 0)
    {
        due.push_back(make_action(state, probe_kind::direct, name, now));
    }
}

void schedule_cross(membership_state& state, std::vector<probe_action>& due,
                    time_point now)
{
    if (now < state.next_cross)
    {
        return;
    }
    state.next_cross = now + state.options.cross_center_period;
    // Data centres take turns, whatever their sizes are.
    std::map<std::string, std::vector<std::string>> centers;
    for (const std::string& name : working_elsewhere(state))
    {
        centers[state.members.at(name).digest.data_center].push_back(name);
    }
    if (centers.empty())
    {
        return;
    }
    auto it = centers.upper_bound(state.last_cross_center);
    if (it == centers.end())
    {
        it = centers.begin();
    }
    state.last_cross_center = it->first;
    due.push_back(make_action(state, probe_kind::exchange,
                              random_element(state, it->second), now));
}

// Addresses of which no working member is known to be behind.
std::vector<std::string> unknown_contacts(const membership_state& state)
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

probe_action make_contact(membership_state& state, const std::string& address,
                          time_point now)
{
    probe_action action =
        make_action(state, probe_kind::exchange, std::string(), now);
    action.address = address;
    action.message.target = all_members_target;
    // A full list of 130 members takes longer to encode than a probe.
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
        probed_names(state).empty() && working_elsewhere(state).empty();
    if (!is_alone)
    {
        return;
    }
    std::vector<std::string> addresses = unknown_contacts(state);
    std::shuffle(addresses.begin(), addresses.end(), state.random);
    addresses.resize(std::min(addresses.size(), join_fanout));
    for (const std::string& address : addresses)
    {
        due.push_back(make_contact(state, address, now));
    }
}

// When many hosts start at once, the list that a host got when it joined lacks
// most of them, and single changes take minutes to reach everyone. Full lists
// are asked for at growing intervals, and rarely later on.
void schedule_sync(membership_state& state, std::vector<probe_action>& due,
                   time_point now)
{
    if (now < state.next_sync || state.self.state != "alive")
    {
        return;
    }
    std::vector<std::string> names = probed_names(state);
    if (names.empty())
    {
        names = working_elsewhere(state);
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

// After a partition, both sides hold each other for dead and would never
// probe each other again.
void schedule_reconnect(membership_state& state, std::vector<probe_action>& due,
                        time_point now)
{
    if (now < state.next_reconnect || state.self.state != "alive")
    {
        return;
    }
    state.next_reconnect = now + state.options.reconnect_period;
    std::vector<std::string> dead;
    for (const auto& [name, record] : state.members)
    {
        if (record.digest.state == "dead")
        {
            dead.push_back(name);
        }
    }
    const std::vector<std::string> contacts = unknown_contacts(state);
    if (!dead.empty() && (contacts.empty() || state.random() % 2 == 0))
    {
        due.push_back(make_action(state, probe_kind::exchange,
                                  random_element(state, dead), now));
    }
    else if (!contacts.empty())
    {
        due.push_back(
            make_contact(state, random_element(state, contacts), now));
    }
}

void note_contact(membership_state& state, const ping_message& message,
                  time_point now)
{
    if (message.members.empty())
    {
        return;
    }
    const auto it = state.members.find(message.members.front().name);
    if (it != state.members.end())
    {
        it->second.last_advance = now;
    }
}

// Counts news of another data centre as contact with it, so that hosts share
// what their cross-links see.
void note_news(membership_state& state)
{
    for (const auto& [name, record] : state.members)
    {
        time_point& last = state.last_contact[record.digest.data_center];
        last = std::max(last, record.last_advance);
    }
}

} // namespace

std::vector<probe_action> tell_members(membership_state& state,
                                       std::size_t count, time_point now)
{
    std::vector<std::string> names = probed_names(state);
    std::shuffle(names.begin(), names.end(), state.random);
    names.resize(std::min(names.size(), count));
    const std::vector<std::string> others = working_elsewhere(state);
    if (!others.empty())
    {
        names.push_back(random_element(state, others));
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
    if (now - state.last_advance > state.options.resume_gap)
    {
        resume(state, now);
    }
    state.last_advance = now;
    expire_members(state, now);
    std::vector<probe_action> due;
    if (state.has_events && now >= state.next_event)
    {
        state.has_events = false;
        state.next_event = now + event_period;
        due = tell_members(state, event_fanout, now);
    }
    schedule_probe(state, due, now);
    schedule_cross(state, due, now);
    schedule_join(state, due, now);
    schedule_sync(state, due, now);
    schedule_reconnect(state, due, now);
    return due;
}

void probe_answered(membership_state& state, const probe_action& action,
                    const ping_message& reply, time_point now)
{
    if (action.kind == probe_kind::indirect)
    {
        // Any helper that reached the member ends the round.
        state.rounds.erase(action.message.target);
    }
    merge_message(state, reply, now);
    note_contact(state, reply, now);
    note_news(state);
}

std::vector<probe_action> probe_failed(membership_state& state,
                                       const probe_action& action,
                                       time_point now)
{
    // A result from before a pause of this host says nothing of the member,
    // whether or not the pause has been noticed yet.
    if (action.generation != state.generation ||
        now - state.last_advance > state.options.resume_gap ||
        action.kind == probe_kind::exchange)
    {
        return {};
    }
    if (action.kind == probe_kind::indirect)
    {
        const auto it = state.rounds.find(action.message.target);
        if (it != state.rounds.end() && --it->second.open == 0)
        {
            const std::int64_t incarnation = it->second.incarnation;
            state.rounds.erase(it);
            suspect_member(state, action.message.target, incarnation, now);
        }
        return {};
    }
    std::vector<std::string> helpers = probed_names(state);
    helpers.erase(std::remove(helpers.begin(), helpers.end(), action.receiver),
                  helpers.end());
    std::shuffle(helpers.begin(), helpers.end(), state.random);
    // A data centre with two hosts has no third one to ask.
    std::vector<std::string> others = working_elsewhere(state);
    std::shuffle(others.begin(), others.end(), state.random);
    helpers.insert(helpers.end(), others.begin(), others.end());
    helpers.resize(std::min(helpers.size(), state.options.indirect_probes));
    if (helpers.empty())
    {
        suspect_member(state, action.receiver, action.incarnation, now);
        return {};
    }
    state.rounds[action.receiver] = {helpers.size(), action.incarnation};
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
    note_contact(state, message, now);
    note_news(state);
    std::string center = state.self.data_center;
    const auto it = state.members.find(sender);
    if (it != state.members.end())
    {
        center = it->second.digest.data_center;
    }
    return message.target == all_members_target
               ? select_all(state, center, now)
               : select_digests(state, sender, center, now);
}

probe_action relay_probe(membership_state& state, const ping_message& message,
                         time_point now)
{
    return make_action(state, probe_kind::exchange, message.target, now);
}

} // namespace egretspindle
