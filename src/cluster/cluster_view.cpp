#include "egretspindle/cluster/cluster_view.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

// Returns the names of the live hosts in alphabetical order.
std::vector<std::string> live_hosts(const cluster_view& view,
                                    const liveness_limits& limits,
                                    time_point now)
{
    std::vector<std::string> names;
    for (const auto& [name, host] : view.hosts)
    {
        if (is_live(view, name, limits, now))
        {
            names.push_back(name);
        }
    }
    return names;
}

// Returns the live hosts in the data centre of a rack, or all live hosts if
// there are none. Any live host may own a job shard.
std::vector<std::string> candidates_for(const cluster_view& view,
                                        const resource& item,
                                        const std::vector<std::string>& live)
{
    std::vector<std::string> local;
    for (const std::string& name : live)
    {
        if (view.hosts.at(name).row.data_center == item.data_center)
        {
            local.push_back(name);
        }
    }
    return item.data_center.empty() || local.empty() ? live : local;
}

// Returns whether the process that claimed the resource is live.
bool has_current_owner(const cluster_view& view, const resource& item,
                       const liveness_limits& limits, time_point now)
{
    const auto it = view.hosts.find(item.owner.host);
    return item.version != 0 && it != view.hosts.end() &&
           it->second.row.boot == item.owner.boot &&
           is_live(view, item.owner.host, limits, now);
}

// Returns whether the owner has restarted less than
// `liveness_limits::reclaim_period` ago, so that only it may claim the
// resource.
bool is_reserved(const cluster_view& view, const resource& item,
                 const liveness_limits& limits, time_point now)
{
    const auto it = view.hosts.find(item.owner.host);
    return item.version != 0 && it != view.hosts.end() &&
           is_live(view, item.owner.host, limits, now) &&
           now - it->second.boot_seen_at < limits.reclaim_period;
}

// Number of resources owned by each host. Racks and job shards are distributed
// separately, and racks by data centre.
struct owned_counts
{
    std::map<std::string, std::int64_t> racks;
    std::map<std::string, std::int64_t> shards;

    std::map<std::string, std::int64_t>& of(const resource& item)
    {
        return item.data_center.empty() ? shards : racks;
    }
};

// Counts the resources whose owner is live.
owned_counts count_owned(const cluster_view& view,
                         const liveness_limits& limits, time_point now)
{
    owned_counts counts;
    for (const auto& [name, item] : view.resources)
    {
        if (has_current_owner(view, item, limits, now))
        {
            ++counts.of(item)[item.owner.host];
        }
    }
    return counts;
}

// Returns the weight of a host in thousandths, 1'000 for an unknown host.
// Integers give the same results on all hosts.
std::int64_t weight_of(const cluster_view& view, const std::string& host)
{
    // In cores: from a hundredth to more than any host has. Other weights are
    // errors in the settings.
    constexpr double lowest = 0.01;
    constexpr double highest = 64;
    const auto it = view.hosts.find(host);
    const double weight = it == view.hosts.end() ? 1.0 : it->second.row.weight;
    if (!std::isfinite(weight))
    {
        return 1'000;
    }
    return std::llround(std::clamp(weight, lowest, highest) * 1'000);
}

// Returns the candidate with the least load per weight, after adding
// `extra_halves` halves of a resource to each load. A hash breaks ties.
std::string least_loaded(const cluster_view& view,
                         const std::vector<std::string>& candidates,
                         const resource& item, owned_counts& loads,
                         std::int64_t extra_halves)
{
    std::map<std::string, std::int64_t>& owned = loads.of(item);
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&](const std::string& lhs, const std::string& rhs)
        {
            const std::int64_t left =
                (2 * owned[lhs] + extra_halves) * weight_of(view, rhs);
            const std::int64_t right =
                (2 * owned[rhs] + extra_halves) * weight_of(view, lhs);
            return left != right ? left < right
                                 : stable_hash(item.name + "/" + lhs) <
                                       stable_hash(item.name + "/" + rhs);
        });
}

// Halves of a resource. Adding half a resource to each load distributes in
// proportion to the weights (Sainte-Lague method); a whole one would give most
// of the remainder to hosts with large weights.
constexpr std::int64_t distribution_extra = 1;
// Halves of a resource: compares the loads after a move.
constexpr std::int64_t move_extra = 2;

// Returns whether the load per weight of `claimant` after a move is at most
// that of the owner before it, less half a resource of the owner. Each move
// lowers the sum of load * load / weight, so rebalancing terminates.
bool lowers_larger_load(const cluster_view& view, const resource& item,
                        const std::string& claimant, owned_counts& loads)
{
    std::map<std::string, std::int64_t>& owned = loads.of(item);
    return (2 * owned[claimant] + 2) * weight_of(view, item.owner.host) <=
           (2 * owned[item.owner.host] - 1) * weight_of(view, claimant);
}

// Returns whether a rack was claimed less than
// `liveness_limits::rack_move_cooldown` ago, so that its owner may still wait
// for leases of the former one. Job shards have no cooldown.
bool is_in_move_cooldown(const resource& item, const liveness_limits& limits,
                         time_point now)
{
    return !item.data_center.empty() &&
           now - item.owned_since < limits.rack_move_cooldown;
}

// Returns whether the live owner of a resource says that it must not move now.
bool is_unmovable(const cluster_view& view, const resource& item)
{
    const auto it = view.hosts.find(item.owner.host);
    if (it == view.hosts.end())
    {
        return false;
    }
    const std::vector<std::string>& names = it->second.row.unmovable;
    return std::find(names.begin(), names.end(), item.name) != names.end();
}

// Returns the key of the first resource that this host should claim from a more
// loaded live host, or from one of another data centre; empty if there is none.
std::string choose_rebalance_claim(const cluster_view& view,
                                   const std::string& self,
                                   const std::vector<std::string>& live,
                                   owned_counts& loads,
                                   const liveness_limits& limits,
                                   time_point now)
{
    for (const auto& [name, item] : view.resources)
    {
        const std::vector<std::string> candidates =
            candidates_for(view, item, live);
        const auto contains = [&](const std::string& host)
        {
            return std::find(candidates.begin(), candidates.end(), host) !=
                   candidates.end();
        };
        if (item.owner.host == self || !contains(self) ||
            is_in_move_cooldown(item, limits, now) || is_unmovable(view, item))
        {
            continue;
        }
        const bool is_misplaced = !contains(item.owner.host);
        if ((is_misplaced || lowers_larger_load(view, item, self, loads)) &&
            least_loaded(view, candidates, item, loads, move_extra) == self)
        {
            return name;
        }
    }
    return {};
}

// Returns whether this host has only just become live again, so that others may
// seem not to be live for the same reason.
bool has_just_resumed(const cluster_view& view, const std::string& self,
                      const liveness_limits& limits, time_point now)
{
    const auto it = view.hosts.find(self);
    return it != view.hosts.end() && it->second.resumed_at != time_point{} &&
           now - it->second.resumed_at < limits.resumed_claim_delay;
}

} // namespace

void apply_read(cluster_view& view, const std::vector<known_host>& hosts,
                const liveness_limits& limits, time_point now)
{
    const bool is_first = view.first_read == time_point{};
    const bool is_after_gap =
        is_first || now - view.last_read > limits.max_read_gap;
    std::map<std::string, known_host> next;
    for (const known_host& read : hosts)
    {
        known_host host = read;
        const auto it = view.hosts.find(read.row.name);
        const bool is_known = it != view.hosts.end();
        const bool is_unchanged =
            is_known && it->second.version == read.version;
        host.changed_at =
            is_unchanged && !is_after_gap ? it->second.changed_at : now;
        host.boot_seen_at = is_known && it->second.row.boot == read.row.boot
                                ? it->second.boot_seen_at
                                : now;
        host.is_silent_since_gap =
            is_unchanged && (is_after_gap || it->second.is_silent_since_gap);
        const bool was_silent = is_known && (it->second.is_silent_since_gap ||
                                             now - it->second.changed_at >=
                                                 limits.heartbeat_timeout);
        const bool is_resumed = was_silent && !is_unchanged;
        const time_point resumed_before =
            is_known ? it->second.resumed_at : time_point{};
        host.resumed_at = is_resumed ? now : resumed_before;
        next[read.row.name] = std::move(host);
    }
    view.hosts = std::move(next);
    view.last_read = now;
    if (is_first)
    {
        view.first_read = now;
    }
}

bool is_live(const cluster_view& view, const std::string& host,
             const liveness_limits& limits, time_point now)
{
    const auto it = view.hosts.find(host);
    return it != view.hosts.end() && !it->second.row.is_leaving &&
           now - it->second.changed_at < limits.heartbeat_timeout;
}

std::vector<std::string> choose_readers(const cluster_view& view,
                                        const std::string& data_center,
                                        const liveness_limits& limits,
                                        time_point now)
{
    std::vector<std::string> readers;
    for (const std::string& name : live_hosts(view, limits, now))
    {
        if (view.hosts.at(name).row.data_center == data_center)
        {
            readers.push_back(name);
        }
    }
    const auto is_preferred =
        [&view](const std::string& lhs, const std::string& rhs)
    {
        const std::int64_t left = weight_of(view, lhs);
        const std::int64_t right = weight_of(view, rhs);
        return left != right ? left > right
                             : stable_hash("reader/" + lhs) <
                                   stable_hash("reader/" + rhs);
    };
    std::sort(readers.begin(), readers.end(), is_preferred);
    readers.resize(std::min(readers.size(), reader_count));
    return readers;
}

bool owns(const resource& item, const std::string& self,
          std::int64_t boot) noexcept
{
    return item.version != 0 && item.owner.host == self &&
           item.owner.boot == boot;
}

std::vector<std::string>
decide_claims(const cluster_view& view, const std::string& self,
              std::int64_t boot, const liveness_limits& limits, time_point now)
{
    std::vector<std::string> claims;
    const std::vector<std::string> live = live_hosts(view, limits, now);
    if (!is_live(view, self, limits, now) ||
        view.hosts.at(self).is_silent_since_gap)
    {
        return claims;
    }
    owned_counts loads = count_owned(view, limits, now);
    bool has_unowned = false;
    for (const auto& [name, item] : view.resources)
    {
        if (has_current_owner(view, item, limits, now))
        {
            continue;
        }
        has_unowned = true;
        const bool is_own = item.version != 0 && item.owner.host == self &&
                            item.owner.boot != boot;
        if (is_own)
        {
            claims.push_back(name);
            ++loads.of(item)[self];
            continue;
        }
        if (now - view.first_read < limits.first_claim_delay ||
            has_just_resumed(view, self, limits, now) ||
            is_reserved(view, item, limits, now))
        {
            continue;
        }
        const std::string claimant =
            least_loaded(view, candidates_for(view, item, live), item, loads,
                         distribution_extra);
        ++loads.of(item)[claimant];
        if (claimant == self)
        {
            claims.push_back(name);
        }
    }
    if (!has_unowned &&
        now - view.last_rebalance >= limits.rebalance_interval &&
        now - view.first_read >= limits.heartbeat_timeout)
    {
        const std::string name =
            choose_rebalance_claim(view, self, live, loads, limits, now);
        if (!name.empty())
        {
            claims.push_back(name);
        }
    }
    return claims;
}

} // namespace egretspindle
