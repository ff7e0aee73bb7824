#include "egretspindle/scheduler/cluster_rows.hpp"

#include "egretspindle/codec/json.hpp"
#include "egretspindle/scheduler/shard.hpp"

#include <utility>

namespace egretspindle
{

namespace
{

bool starts_with(std::string_view text, std::string_view prefix)
{
    return text.substr(0, prefix.size()) == prefix;
}

std::string strip_prefix(std::string_view key, std::string_view prefix)
{
    return std::string(key.substr(prefix.size()));
}

bool is_resource(std::string_view key)
{
    return starts_with(key, shard_prefix) || starts_with(key, rack_prefix);
}

// Decodes a heartbeat row or a registration.
void decode_host(cluster_rows& result, const table_row& row,
                 std::string_view prefix,
                 std::map<std::string, known_host>& hosts)
{
    absl::StatusOr<host_row> host = from_json<host_row>(row.value);
    if (!host.ok() || host->name != strip_prefix(row.key, prefix))
    {
        // A host whose row is malformed or has another name counts as removed.
        result.removed[row.key] = row.version;
        return;
    }
    known_host& item = hosts[host->name];
    item.row = *std::move(host);
    item.version = row.version;
}

void decode_row(cluster_rows& result, const table_row& row)
{
    if (row.is_deleted)
    {
        result.removed[row.key] = row.version;
    }
    else if (starts_with(row.key, host_prefix))
    {
        decode_host(result, row, host_prefix, result.hosts);
    }
    else if (starts_with(row.key, registration_prefix))
    {
        decode_host(result, row, registration_prefix, result.registrations);
    }
    else if (starts_with(row.key, roster_prefix))
    {
        roster_row& roster =
            result.rosters[strip_prefix(row.key, roster_prefix)];
        roster = from_json<roster_row>(row.value).value_or(roster_row{});
        roster.version = row.version;
    }
    else if (starts_with(row.key, release_prefix))
    {
        const std::string rack = strip_prefix(row.key, release_prefix);
        absl::StatusOr<rack_handover> handover =
            from_json<rack_handover>(row.value);
        if (handover.ok() && handover->rack == rack)
        {
            result.releases[rack] = {*std::move(handover), row.version};
        }
    }
    else if (is_resource(row.key))
    {
        const absl::StatusOr<resource_owner> owner =
            from_json<resource_owner>(row.value);
        result.owners[row.key] = {owner.value_or(resource_owner{}), row.version,
                                  owner.ok()};
    }
}

// Removes the entries that a read of the whole table, begun at `version`, does
// not contain. Newer entries stay: their rows may have been written after their
// page was read, and if they have been removed, the next changes will show it.
template <typename Known, typename Read>
void erase_absent(std::map<std::string, Known>& known,
                  const std::map<std::string, Read>& read, std::int64_t version)
{
    for (auto it = known.begin(); it != known.end();)
    {
        const bool is_absent =
            read.count(it->first) == 0 && it->second.version <= version;
        it = is_absent ? known.erase(it) : std::next(it);
    }
}

// Removes the hosts that a whole read, begun at `version`, does not contain,
// unless they are live: the registration of a host may follow its heartbeats.
void erase_absent_hosts(const cluster_view& view,
                        std::map<std::string, known_host>& hosts,
                        const cluster_rows& rows, const liveness_limits& limits,
                        time_point now)
{
    std::map<std::string, known_host> present = rows.hosts;
    present.insert(rows.registrations.begin(), rows.registrations.end());
    for (const auto& [name, host] : hosts)
    {
        if (is_live(view, name, limits, now))
        {
            present.emplace(name, host);
        }
    }
    erase_absent(hosts, present, rows.version);
}

// Adds the hosts of registrations of which no heartbeat is known.
void add_registered(std::map<std::string, known_host>& hosts,
                    const std::map<std::string, known_host>& registrations)
{
    for (const auto& [name, registration] : registrations)
    {
        known_host& host = hosts[name];
        if (host.version == 0)
        {
            host.row = registration.row;
        }
    }
}

// Adds rows to `known`, except those that it has in a newer version.
template <typename Row>
void merge_newer(std::map<std::string, Row>& known,
                 const std::map<std::string, Row>& read)
{
    for (const auto& [name, row] : read)
    {
        const auto it = known.find(name);
        if (it == known.end() || row.version >= it->second.version)
        {
            known.insert_or_assign(name, row);
        }
    }
}

// Erases an entry unless it is newer than its removal at `version`.
template <typename Row>
void erase_removed(std::map<std::string, Row>& known, const std::string& name,
                   std::int64_t version)
{
    const auto it = known.find(name);
    if (it != known.end() && it->second.version <= version)
    {
        known.erase(it);
    }
}

// Resets a resource to one without an owner row.
void clear_owner(resource& item)
{
    item.owner = {};
    item.version = 0;
}

void apply_owners(cluster_view& view, const cluster_rows& rows, time_point now)
{
    for (auto& [name, item] : view.resources)
    {
        if (rows.is_whole_table && rows.owners.count(name) == 0 &&
            item.version <= rows.version)
        {
            clear_owner(item);
        }
    }
    for (const auto& [name, row] : rows.owners)
    {
        resource& item = view.resources[name];
        item.name = name;
        if (row.is_valid && row.version >= item.version)
        {
            item.owner = row.owner;
            item.owned_since =
                row.version == item.version ? item.owned_since : now;
            item.version = row.version;
        }
    }
}

// Applies the removal of one row; `hosts` are those of the next view.
void apply_removed(cluster_view& view, std::map<std::string, known_host>& hosts,
                   const std::string& key, std::int64_t version)
{
    if (starts_with(key, host_prefix))
    {
        erase_removed(hosts, strip_prefix(key, host_prefix), version);
    }
    else if (starts_with(key, roster_prefix))
    {
        erase_removed(view.rosters, strip_prefix(key, roster_prefix), version);
    }
    else
    {
        const auto it = view.resources.find(key);
        if (it != view.resources.end() && it->second.version <= version)
        {
            clear_owner(it->second);
        }
    }
}

} // namespace

std::string heartbeat_part(const std::string& host, bool may_span_parts)
{
    return may_span_parts ? host : std::string();
}

cluster_rows decode_cluster_rows(const std::vector<table_row>& rows,
                                 bool is_whole_table, std::int64_t version)
{
    std::map<std::string_view, const table_row*> newest;
    for (const table_row& row : rows)
    {
        const table_row*& known = newest[row.key];
        if (known == nullptr || row.version >= known->version)
        {
            known = &row;
        }
    }
    cluster_rows result;
    result.is_whole_table = is_whole_table;
    result.version = version;
    for (const auto& [key, row] : newest)
    {
        decode_row(result, *row);
    }
    return result;
}

void apply_rows(cluster_view& view, const cluster_rows& rows,
                const liveness_limits& limits, time_point now)
{
    std::map<std::string, known_host> hosts = view.hosts;
    if (rows.is_whole_table)
    {
        erase_absent_hosts(view, hosts, rows, limits, now);
        erase_absent(view.rosters, rows.rosters, rows.version);
    }
    add_registered(hosts, rows.registrations);
    merge_newer(hosts, rows.hosts);
    merge_newer(view.rosters, rows.rosters);
    apply_owners(view, rows, now);
    for (const auto& [key, version] : rows.removed)
    {
        apply_removed(view, hosts, key, version);
    }
    std::vector<known_host> list;
    list.reserve(hosts.size());
    for (auto& [name, host] : hosts)
    {
        list.push_back(std::move(host));
    }
    apply_read(view, list, limits, now);
}

} // namespace egretspindle
