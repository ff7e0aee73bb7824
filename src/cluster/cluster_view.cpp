#include "egretspindle/cluster/cluster_view.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include <algorithm>
#include <cmath>

namespace egretspindle
{

namespace
{

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

// Hosts of the rack's data centre, or all when none of them is live.
std::vector<std::string> candidates_for(const cluster_view& view,
                                        const resource& item,
                                        const std::vector<std::string>& live)
{
    std::vector<std::string> near;
    for (const std::string& name : live)
    {
        if (view.hosts.at(name).row.data_center == item.data_center)
        {
            near.push_back(name);
        }
    }
    return item.data_center.empty() || near.empty() ? live : near;
}

bool has_current_owner(const cluster_view& view, const resource& item,
                       const liveness_limits& limits, time_point now)
{
    const auto it = view.hosts.find(item.owner.host);
    return item.version != 0 && it != view.hosts.end() &&
           it->second.row.boot == item.owner.boot &&
           is_live(view, item.owner.host, limits, now);
}

// A restarted host claims again what its earlier life owned.
bool is_reserved(const cluster_view& view, const resource& item,
                 const liveness_limits& limits, time_point now)
{
    const auto it = view.hosts.find(item.owner.host);
    return item.version != 0 && it != view.hosts.end() &&
           is_live(view, item.owner.host, limits, now) &&
           now - it->second.boot_seen_at < limits.reclaim;
}

// Resources owned by each host. Racks and job shards are dealt separately,
// racks by data centre.
struct load_table
{
    std::map<std::string, std::int64_t> racks;
    std::map<std::string, std::int64_t> shards;

    std::map<std::string, std::int64_t>& of(const resource& item)
    {
        return item.data_center.empty() ? shards : racks;
    }
};

load_table count_owned(const cluster_view& view, const liveness_limits& limits,
                       time_point now)
{
    load_table loads;
    for (const auto& [name, item] : view.resources)
    {
        if (has_current_owner(view, item, limits, now))
        {
            ++loads.of(item)[item.owner.host];
        }
    }
    return loads;
}

// In thousandths, so that comparisons are exact on every host.
std::int64_t weight_of(const cluster_view& view, const std::string& host)
{
    // A hundredth of a core, and more cores than an entry host has; a weight
    // outside is a mistake in the settings.
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

// Returns the candidate with the least load per weight, with `extra` halves of
// a resource added to each load. Equal ones are told apart by a hash.
std::string least_loaded(const cluster_view& view,
                         const std::vector<std::string>& candidates,
                         const resource& item, load_table& loads,
                         std::int64_t extra)
{
    std::map<std::string, std::int64_t>& owned = loads.of(item);
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&](const std::string& lhs, const std::string& rhs)
        {
            const std::int64_t left =
                (2 * owned[lhs] + extra) * weight_of(view, rhs);
            const std::int64_t right =
                (2 * owned[rhs] + extra) * weight_of(view, lhs);
            return left != right ? left < right
                                 : stable_hash(item.name + "/" + lhs) <
                                       stable_hash(item.name + "/" + rhs);
        });
}

// Half a resource added to each load deals in proportion to the weights; a
// whole one would give most of what is left over to the heavy hosts.
constexpr std::int64_t dealing_extra = 1;
// The load after a move.
constexpr std::int64_t moving_extra = 2;

// Whether the load per weight of `claimant` after a move is below that of
// `owner` now by half a resource of the owner. Each move lowers the sum of
// load * load / weight, so moves come to an end.
bool is_relief(const cluster_view& view, const resource& item,
               const std::string& claimant, load_table& loads)
{
    std::map<std::string, std::int64_t>& owned = loads.of(item);
    return (2 * owned[claimant] + 2) * weight_of(view, item.owner.host) <=
           (2 * owned[item.owner.host] - 1) * weight_of(view, claimant);
}

// Whether a new owner of a rack may still wait for leases of the former one.
bool is_resting(const resource& item, const liveness_limits& limits,
                time_point now)
{
    return !item.data_center.empty() &&
           now - item.owned_since < limits.rack_rest;
}

// Resource of a loaded host that this host should relieve.
std::string rebalance(const cluster_view& view, const std::string& self,
                      const std::vector<std::string>& live, load_table& loads,
                      const liveness_limits& limits, time_point now)
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
            is_resting(item, limits, now))
        {
            continue;
        }
        const bool is_misplaced = !contains(item.owner.host);
        if ((is_misplaced || is_relief(view, item, self, loads)) &&
            least_loaded(view, candidates, item, loads, moving_extra) == self)
        {
            return name;
        }
    }
    return {};
}

} // namespace

void apply_read(cluster_view& view, const std::vector<known_host>& hosts,
                const liveness_limits& limits, time_point now)
{
    const bool is_first = view.first_read == time_point{};
    const bool is_after_gap =
        is_first || now - view.last_read > limits.read_gap;
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
           now - it->second.changed_at < limits.silence;
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
    if (!is_live(view, self, limits, now))
    {
        return claims;
    }
    load_table loads = count_owned(view, limits, now);
    bool has_orphans = false;
    for (const auto& [name, item] : view.resources)
    {
        if (has_current_owner(view, item, limits, now))
        {
            continue;
        }
        has_orphans = true;
        const bool is_own = item.version != 0 && item.owner.host == self &&
                            item.owner.boot != boot;
        if (is_own)
        {
            claims.push_back(name);
            ++loads.of(item)[self];
            continue;
        }
        if (now - view.first_read < limits.first_claim ||
            is_reserved(view, item, limits, now))
        {
            continue;
        }
        const std::string claimant = least_loaded(
            view, candidates_for(view, item, live), item, loads, dealing_extra);
        ++loads.of(item)[claimant];
        if (claimant == self)
        {
            claims.push_back(name);
        }
    }
    if (!has_orphans && now - view.last_rebalance >= limits.rebalance &&
        now - view.first_read >= limits.silence)
    {
        const std::string name =
            rebalance(view, self, live, loads, limits, now);
        if (!name.empty())
        {
            claims.push_back(name);
        }
    }
    return claims;
}

} // namespace egretspindle
