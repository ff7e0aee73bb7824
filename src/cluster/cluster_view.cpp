#include "egretspindle/cluster/cluster_view.hpp"

#include "egretspindle/core/rendezvous_hash.hpp"

#include <algorithm>
#include <tuple>

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

// Racks and job shards are dealt separately, racks by data centre.
std::string kind_of(const resource& item)
{
    return item.data_center.empty() ? "shard" : "rack";
}

using load_map = std::map<std::pair<std::string, std::string>, int>;

load_map count_owned(const cluster_view& view, const liveness_limits& limits,
                     time_point now)
{
    load_map loads;
    for (const auto& [name, item] : view.resources)
    {
        if (has_current_owner(view, item, limits, now))
        {
            ++loads[{kind_of(item), item.owner.host}];
        }
    }
    return loads;
}

std::string least_loaded(const std::vector<std::string>& candidates,
                         const resource& item, load_map& loads)
{
    const std::string kind = kind_of(item);
    return *std::min_element(
        candidates.begin(), candidates.end(),
        [&](const std::string& lhs, const std::string& rhs)
        {
            return std::make_tuple(loads[{kind, lhs}],
                                   stable_hash(item.name + "/" + lhs)) <
                   std::make_tuple(loads[{kind, rhs}],
                                   stable_hash(item.name + "/" + rhs));
        });
}

// Resource of the most loaded host that this host should relieve.
std::string rebalance(const cluster_view& view, const std::string& self,
                      const std::vector<std::string>& live, load_map& loads)
{
    for (const auto& [name, item] : view.resources)
    {
        const std::vector<std::string> candidates =
            candidates_for(view, item, live);
        const bool is_candidate =
            std::find(candidates.begin(), candidates.end(), self) !=
            candidates.end();
        const bool is_misplaced =
            std::find(candidates.begin(), candidates.end(), item.owner.host) ==
            candidates.end();
        const std::string kind = kind_of(item);
        const int own = loads[{kind, self}];
        const int other = loads[{kind, item.owner.host}];
        if (is_candidate && item.owner.host != self &&
            (other >= own + 2 || is_misplaced))
        {
            return name;
        }
    }
    return {};
}

} // namespace

void note_read(cluster_view& view, const std::vector<known_host>& hosts,
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
    load_map loads = count_owned(view, limits, now);
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
            ++loads[{kind_of(item), self}];
            continue;
        }
        if (now - view.first_read < limits.first_claim ||
            is_reserved(view, item, limits, now))
        {
            continue;
        }
        const std::string claimant =
            least_loaded(candidates_for(view, item, live), item, loads);
        ++loads[{kind_of(item), claimant}];
        if (claimant == self)
        {
            claims.push_back(name);
        }
    }
    if (!has_orphans && now - view.last_rebalance >= limits.rebalance &&
        now - view.first_read >= limits.silence)
    {
        const std::string name = rebalance(view, self, live, loads);
        if (!name.empty())
        {
            claims.push_back(name);
        }
    }
    return claims;
}

} // namespace egretspindle
