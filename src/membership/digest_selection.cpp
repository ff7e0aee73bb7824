#include "egretspindle/membership/digest_selection.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace egretspindle
{

namespace
{

// Bytes of the field names, quotes and numbers of a digest and of a rack, in
// JSON inside a JSON string; the lengths of the names are added to them.
constexpr std::size_t digest_overhead = 175;
constexpr std::size_t rack_overhead = 200;

// Each host sends a state change in this number of messages per doubling of the
// number of hosts, so that it reaches all of them with high probability.
constexpr int sends_per_host_doubling = 3;

int change_send_limit(const membership_state& state)
{
    const double hosts = static_cast<double>(state.members.size()) + 2;
    return sends_per_host_doubling *
           static_cast<int>(std::ceil(std::log2(hosts)));
}

// Returns the digest without sequence and racks, which carries the state only.
member_digest without_content(const member_digest& digest)
{
    member_digest result = digest;
    result.sequence = 0;
    result.racks.clear();
    return result;
}

member_digest digest_for_receiver(const member_digest& digest,
                                  const std::string& receiver_center)
{
    return digest.data_center == receiver_center ? digest
                                                 : aggregate_racks(digest);
}

/// Builds a message from digests up to the size limit.
class digest_collector
{
public:
    digest_collector(membership_state& state, std::string receiver_center)
        : state_(state), receiver_center_(std::move(receiver_center))
    {
    }

    void add_self()
    {
        const member_digest full =
            digest_for_receiver(state_.self, receiver_center_);
        const std::size_t half = state_.options.max_message_bytes / 2;
        // A host whose racks take more than half of a message includes them
        // only in some messages.
        const std::size_t send_interval = 1 + (wire_size(full) - 1) / half;
        add(++state_.send_count % send_interval == 0 ? full
                                                     : without_content(full));
    }

    void add_state(member_record& record)
    {
        add(without_content(record.digest));
        ++record.change_sends;
    }

    bool add_content(member_record& record)
    {
        const member_digest digest =
            digest_for_receiver(record.digest, receiver_center_);
        if (!fits(digest))
        {
            return false;
        }
        add(digest);
        record.has_unsent_content = false;
        record.content_send_number = ++state_.send_count;
        return true;
    }

    [[nodiscard]] bool fits(const member_digest& digest) const
    {
        return used_ + wire_size(digest) <= state_.options.max_message_bytes;
    }

    [[nodiscard]] bool contains(const std::string& name) const
    {
        return std::any_of(message_.members.begin(), message_.members.end(),
                           [&](const member_digest& digest)
                           { return digest.name == name; });
    }

    [[nodiscard]] std::size_t used() const noexcept
    {
        return used_;
    }

    ping_message take()
    {
        return std::move(message_);
    }

private:
    void add(member_digest digest)
    {
        used_ += wire_size(digest);
        message_.members.push_back(std::move(digest));
    }

    membership_state& state_;
    std::string receiver_center_;
    ping_message message_;
    std::size_t used_ = 0;
};

using candidate_list = std::vector<member_record*>;

void add_state_changes(membership_state& state, digest_collector& collector)
{
    candidate_list changes;
    const int limit = change_send_limit(state);
    for (auto& [name, record] : state.members)
    {
        if (record.change_sends < limit && !collector.contains(name))
        {
            changes.push_back(&record);
        }
    }
    std::sort(changes.begin(), changes.end(),
              [](const member_record* lhs, const member_record* rhs)
              {
                  // The other states go first: when many hosts start at once,
                  // their joins must not delay the report of a dead member.
                  return std::make_tuple(lhs->digest.state == "alive",
                                         lhs->change_sends) <
                         std::make_tuple(rhs->digest.state == "alive",
                                         rhs->change_sends);
              });
    // State changes take at most half of a message, so that digests with
    // content are still sent when many hosts change at once.
    const std::size_t limit_bytes =
        collector.used() + state.options.max_message_bytes / 2;
    for (member_record* record : changes)
    {
        const member_digest digest = without_content(record->digest);
        if (!collector.fits(digest) ||
            collector.used() + wire_size(digest) > limit_bytes)
        {
            return;
        }
        collector.add_state(*record);
    }
}

// Returns the members of this data centre, or of the others, whose content is
// to be sent to the receiver; the least recently sent first.
candidate_list unsent_content(membership_state& state, bool is_local_wanted,
                              const std::string& receiver_center,
                              time_point now)
{
    candidate_list unsent;
    for (auto& [name, record] : state.members)
    {
        const std::string& center = record.digest.data_center;
        // The receiver gets updates of its own data centre from members there.
        const bool is_receiver_center =
            center == receiver_center && center != state.self.data_center;
        if (record.has_unsent_content && record.digest.sequence > 0 &&
            !is_receiver_center &&
            (center == state.self.data_center) == is_local_wanted &&
            now - record.last_update <= state.options.stale_after)
        {
            unsent.push_back(&record);
        }
    }
    std::sort(unsent.begin(), unsent.end(),
              [](const member_record* lhs, const member_record* rhs)
              { return lhs->content_send_number < rhs->content_send_number; });
    return unsent;
}

} // namespace

member_digest aggregate_racks(const member_digest& digest)
{
    member_digest result = digest;
    if (digest.racks.empty())
    {
        return result;
    }
    rack_summary total;
    total.rack = aggregate_rack_name;
    total.urgent_wait_ms = digest.racks.front().urgent_wait_ms;
    for (const rack_summary& rack : digest.racks)
    {
        total.epoch = std::max(total.epoch, rack.epoch);
        total.free_slots += rack.free_slots;
        total.free_cores += rack.free_cores;
        total.free_memory_mb += rack.free_memory_mb;
        total.free_accelerators += rack.free_accelerators;
        total.urgent_queue += rack.urgent_queue;
        total.urgent_wait_ms =
            std::min(total.urgent_wait_ms, rack.urgent_wait_ms);
        total.targets += rack.targets;
    }
    result.racks.assign(1, total);
    return result;
}

std::size_t wire_size(const member_digest& digest)
{
    std::size_t size = digest_overhead + digest.name.size() +
                       digest.address.size() + digest.data_center.size();
    for (const rack_summary& rack : digest.racks)
    {
        size += rack_overhead + rack.rack.size();
    }
    return size;
}

ping_message select_digests(membership_state& state,
                            const std::string& receiver,
                            const std::string& receiver_center, time_point now)
{
    digest_collector collector(state, receiver_center);
    collector.add_self();
    const auto it = state.members.find(receiver);
    if (it != state.members.end() && it->second.digest.state != "alive")
    {
        collector.add_state(it->second);
    }
    add_state_changes(state, collector);
    const candidate_list local =
        unsent_content(state, true, receiver_center, now);
    const candidate_list remote =
        unsent_content(state, false, receiver_center, now);
    // One digest of another data centre goes first, since the digests of a
    // large own data centre could fill every message.
    std::size_t next_remote = 0;
    if (!remote.empty() && !collector.contains(remote[0]->digest.name) &&
        collector.add_content(*remote[0]))
    {
        next_remote = 1;
    }
    for (member_record* record : local)
    {
        if (record->digest.name != receiver &&
            !collector.contains(record->digest.name) &&
            !collector.add_content(*record))
        {
            return collector.take();
        }
    }
    for (; next_remote < remote.size(); ++next_remote)
    {
        if (!collector.contains(remote[next_remote]->digest.name) &&
            !collector.add_content(*remote[next_remote]))
        {
            break;
        }
    }
    return collector.take();
}

ping_message select_all_digests(const membership_state& state,
                                const std::string& receiver_center,
                                time_point now)
{
    ping_message message;
    message.members.push_back(digest_for_receiver(state.self, receiver_center));
    for (const auto& [name, record] : state.members)
    {
        const bool is_fresh =
            now - record.last_update <= state.options.stale_after;
        const bool is_gone =
            record.digest.state == "dead" || record.digest.state == "leaving";
        if (is_fresh || is_gone ||
            record.digest.data_center == state.self.data_center)
        {
            message.members.push_back(
                digest_for_receiver(record.digest, receiver_center));
        }
    }
    return message;
}

} // namespace egretspindle
