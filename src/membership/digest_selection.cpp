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
constexpr int sends_per_doubling = 3;

int event_send_limit(const membership_state& state)
{
    const double hosts = static_cast<double>(state.members.size()) + 2;
    return sends_per_doubling * static_cast<int>(std::ceil(std::log2(hosts)));
}

member_digest state_only(const member_digest& digest)
{
    member_digest brief = digest;
    brief.sequence = 0;
    brief.racks.clear();
    return brief;
}

member_digest for_receiver(const member_digest& digest,
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
        const member_digest full = for_receiver(state_.self, receiver_center_);
        const std::size_t half = state_.options.max_message_bytes / 2;
        // A host whose racks take more than half of a message includes them
        // only in every n-th message.
        const std::size_t every = 1 + (wire_size(full) - 1) / half;
        add(++state_.send_count % every == 0 ? full : state_only(full));
    }

    void add_state(member_record& record)
    {
        add(state_only(record.digest));
        ++record.event_sends;
    }

    bool add_content(member_record& record)
    {
        const member_digest digest =
            for_receiver(record.digest, receiver_center_);
        if (!has_room(digest))
        {
            return false;
        }
        add(digest);
        record.has_news = false;
        record.sent_at = ++state_.send_count;
        return true;
    }

    [[nodiscard]] bool has_room(const member_digest& digest) const
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

void add_events(membership_state& state, digest_collector& collector)
{
    candidate_list events;
    const int limit = event_send_limit(state);
    for (auto& [name, record] : state.members)
    {
        if (record.event_sends < limit && !collector.contains(name))
        {
            events.push_back(&record);
        }
    }
    std::sort(events.begin(), events.end(),
              [](const member_record* lhs, const member_record* rhs)
              {
                  // The other states go first: when many hosts start at once,
                  // their joins must not delay the report of a dead member.
                  return std::make_tuple(lhs->digest.state == "alive",
                                         lhs->event_sends) <
                         std::make_tuple(rhs->digest.state == "alive",
                                         rhs->event_sends);
              });
    // State changes take at most half of a message, so that digests with
    // content are still sent when many hosts change at once.
    const std::size_t limit_bytes =
        collector.used() + state.options.max_message_bytes / 2;
    for (member_record* record : events)
    {
        const member_digest digest = state_only(record->digest);
        if (!collector.has_room(digest) ||
            collector.used() + wire_size(digest) > limit_bytes)
        {
            return;
        }
        collector.add_state(*record);
    }
}

candidate_list news_of(membership_state& state, bool own_center,
                       const std::string& receiver_center, time_point now)
{
    candidate_list news;
    for (auto& [name, record] : state.members)
    {
        const std::string& center = record.digest.data_center;
        // The receiver gets updates of its own data centre from members there.
        const bool is_known_there =
            center == receiver_center && center != state.self.data_center;
        if (record.has_news && record.digest.sequence > 0 && !is_known_there &&
            (center == state.self.data_center) == own_center &&
            now - record.last_advance <= state.options.stale_after)
        {
            news.push_back(&record);
        }
    }
    std::sort(news.begin(), news.end(),
              [](const member_record* lhs, const member_record* rhs)
              { return lhs->sent_at < rhs->sent_at; });
    return news;
}

} // namespace

member_digest aggregate_racks(const member_digest& digest)
{
    member_digest summed = digest;
    if (digest.racks.empty())
    {
        return summed;
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
    summed.racks.assign(1, total);
    return summed;
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
    add_events(state, collector);
    const candidate_list own = news_of(state, true, receiver_center, now);
    const candidate_list others = news_of(state, false, receiver_center, now);
    // One digest of another data centre goes first, since the digests of a
    // large own data centre could fill every message.
    std::size_t next_other = 0;
    if (!others.empty() && !collector.contains(others[0]->digest.name) &&
        collector.add_content(*others[0]))
    {
        next_other = 1;
    }
    for (member_record* record : own)
    {
        if (record->digest.name != receiver &&
            !collector.contains(record->digest.name) &&
            !collector.add_content(*record))
        {
            return collector.take();
        }
    }
    for (; next_other < others.size(); ++next_other)
    {
        if (!collector.contains(others[next_other]->digest.name) &&
            !collector.add_content(*others[next_other]))
        {
            break;
        }
    }
    return collector.take();
}

ping_message select_all(const membership_state& state,
                        const std::string& receiver_center, time_point now)
{
    ping_message message;
    message.members.push_back(for_receiver(state.self, receiver_center));
    for (const auto& [name, record] : state.members)
    {
        const bool is_fresh =
            now - record.last_advance <= state.options.stale_after;
        const bool is_gone =
            record.digest.state == "dead" || record.digest.state == "leaving";
        if (is_fresh || is_gone ||
            record.digest.data_center == state.self.data_center)
        {
            message.members.push_back(
                for_receiver(record.digest, receiver_center));
        }
    }
    return message;
}

} // namespace egretspindle
