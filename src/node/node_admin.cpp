// Status of a host for the operators' interface.

#include "egretspindle/core/error.hpp"
#include "egretspindle/placement/capacity.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"

#include "node_parts.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace egretspindle
{

namespace
{

constexpr milliseconds peer_status_timeout{1500};

std::string state_name(const target_load& target)
{
    if (!target.reachable)
    {
        return "unreachable";
    }
    if (target.leaving)
    {
        return "leaving";
    }
    return std::string(to_string(target.health_state));
}

request_status status_of(const request_entry& entry)
{
    const std::lock_guard<std::mutex> lock(entry.mutex);
    request_status status;
    status.key = entry.key;
    status.team = entry.spec.team;
    status.kind = entry.spec.kind;
    status.urgent = entry.spec.urgent;
    status.state = entry.reply.result;
    status.reason = entry.reply.reason;
    status.attempt = entry.reply.attempt;
    status.target = entry.reply.target;
    status.age_ms = elapsed_ms(entry.received, steady_clock::now());
    return status;
}

request_status status_of(const request_reply& reply)
{
    request_status status;
    status.key = reply.key;
    status.team = reply.key.substr(0, reply.key.find('/'));
    status.state = reply.result;
    status.reason = reply.reason;
    status.attempt = reply.attempt;
    status.target = reply.target;
    return status;
}

std::string explain_state(const request_status& status)
{
    switch (status.state)
    {
    case outcome::accepted:
        return fmt::format(
            "{} is recorded and waits in the batch queue for a target with "
            "room. It has waited for {} ms.",
            status.key, status.age_ms);
    case outcome::running:
        return fmt::format("{} runs on {}, attempt {}.", status.key,
                           status.target, status.attempt);
    case outcome::done:
        return fmt::format("{} ended on {} with attempt {}.", status.key,
                           status.target, status.attempt);
    default:
        return fmt::format("{}: {}. {}", status.key, to_string(status.state),
                           status.reason);
    }
}

std::string owner_of(const std::vector<member_digest>& members,
                     const host_entry& target)
{
    for (const member_digest& member : members)
    {
        for (const rack_summary& rack : member.racks)
        {
            if (member.data_center == target.data_center &&
                rack.rack == target.rack)
            {
                return member.name;
            }
        }
    }
    return "";
}

// Adds the listed targets that other hosts own, without their load.
void add_remote_targets(const std::vector<host_entry>& hosts,
                        const std::vector<member_digest>& members,
                        std::vector<target_status>& all)
{
    for (const host_entry& host : hosts)
    {
        const bool is_known = std::any_of(all.begin(), all.end(),
                                          [&host](const target_status& status)
                                          { return status.name == host.name; });
        if (host.role != "target" || is_known)
        {
            continue;
        }
        target_status status;
        status.name = host.name;
        status.data_center = host.data_center;
        status.rack = host.rack;
        status.owner = owner_of(members, host);
        status.state = host.state;
        status.slots = host.slots;
        status.cpu_cores = host.cpu_cores;
        status.memory_mb = host.memory_mb;
        all.push_back(status);
    }
}

} // namespace

std::vector<target_status> node::impl::target_statuses() const
{
    std::vector<target_status> all;
    for (const std::shared_ptr<rack_runtime>& runtime : racks->all())
    {
        const rack_load load = runtime->load();
        for (const target_load& target : load.targets)
        {
            target_status status;
            status.name = target.name;
            status.data_center = config.host.data_center;
            status.rack = load.rack;
            status.owner = config.host.name;
            status.state = state_name(target);
            status.drained = plan_operations->drains().is_drained(target.name);
            status.slots = target.slots;
            status.running = static_cast<int>(target.tasks.size());
            status.cpu_cores = target.capacity.cpu_cores;
            status.memory_mb = target.capacity.memory_mb;
            for (const task_load& task : target.tasks)
            {
                status.reserved_cores += task.reserve.cpu_cores;
                status.reserved_memory_mb += task.reserve.memory_mb;
            }
            all.push_back(status);
        }
    }
    add_remote_targets(hosts->hosts(), members->members(), all);
    return all;
}

std::vector<request_status> node::impl::open_requests(int limit) const
{
    std::vector<request_status> all;
    for (const request_entry_ptr& entry : requests->entries())
    {
        request_status status = status_of(*entry);
        if (!is_final(status.state))
        {
            all.push_back(std::move(status));
        }
    }
    std::sort(all.begin(), all.end(),
              [](const request_status& lhs, const request_status& rhs)
              { return lhs.age_ms > rhs.age_ms; });
    if (all.size() > static_cast<std::size_t>(limit))
    {
        all.resize(static_cast<std::size_t>(limit));
    }
    return all;
}

absl::StatusOr<request_status> node::impl::lookup(const std::string& key) const
{
    for (const request_entry_ptr& entry : requests->entries())
    {
        if (entry->key == key)
        {
            return status_of(*entry);
        }
    }
    const absl::StatusOr<request_reply> reply = request_routes->wait({key, 0});
    if (!reply.ok())
    {
        return reply.status();
    }
    return status_of(*reply);
}

admin_hooks node::impl::make_admin_hooks()
{
    admin_hooks hooks;
    hooks.local_status = [this]
    {
        return make_host_status();
    };
    hooks.peer_status = [this](const std::string& address)
    {
        return call_peer<egretspindle::host_status>(
            *peers, address, message_type::host_status, key_query{},
            peer_status_timeout);
    };
    hooks.targets = [this]
    {
        return target_statuses();
    };
    hooks.requests = [this](int limit)
    {
        return open_requests(limit);
    };
    hooks.find_request = [this](const std::string& key)
    {
        return lookup(key);
    };
    hooks.explain =
        [this](const std::string& key) -> absl::StatusOr<std::string>
    {
        const absl::StatusOr<request_status> status = lookup(key);
        if (!status.ok())
        {
            return status.status();
        }
        return explain_state(*status);
    };
    return hooks;
}

} // namespace egretspindle
