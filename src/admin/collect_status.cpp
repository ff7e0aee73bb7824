#include "egretspindle/admin/collect_status.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <thread>
#include <tuple>

namespace egretspindle
{

namespace
{

// At 2 s per call, 130 unreachable hosts take at most 10 s.
constexpr std::size_t max_parallel_calls = 32;

cluster_host_status make_cluster_host_status(const member_digest& member)
{
    cluster_host_status host;
    host.name = member.name;
    host.address = member.address;
    host.data_center = member.data_center;
    host.state = member.state;
    host.plan_version = member.plan_version;
    host.racks = static_cast<int>(member.racks.size());
    return host;
}

void apply_status(cluster_host_status& host, const host_status& status)
{
    host.reachable = true;
    host.ready = status.ready;
    host.store_reachable = status.store_reachable;
    host.plan_version = status.plan_version;
    host.plan_digest = status.plan_digest;
    host.open_requests = status.open_requests;
    host.queued_batch = status.queued_batch;
    host.racks = static_cast<int>(status.self.racks.size());
}

void query_host(const admin_hooks& hooks, cluster_host_status& host)
{
    const absl::StatusOr<host_status> status = hooks.peer_status(host.address);
    if (status.ok())
    {
        apply_status(host, *status);
    }
    else
    {
        host.error = std::string(status.status().message());
    }
}

void query_hosts(const admin_hooks& hooks,
                 std::vector<cluster_host_status>& hosts,
                 const std::string& self)
{
    std::atomic<std::size_t> next{0};
    const auto query_remaining = [&]
    {
        for (std::size_t n = next++; n < hosts.size(); n = next++)
        {
            if (hosts[n].name != self)
            {
                query_host(hooks, hosts[n]);
            }
        }
    };
    std::vector<std::thread> threads;
    const std::size_t count = std::min(max_parallel_calls, hosts.size());
    for (std::size_t n = 0; n < count; ++n)
    {
        threads.emplace_back(query_remaining);
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

void summarize(cluster_status& status)
{
    std::map<std::string, data_center_status> centers;
    status.is_complete = true;
    for (const cluster_host_status& host : status.hosts)
    {
        data_center_status& center = centers[host.data_center];
        center.name = host.data_center;
        ++center.hosts;
        if (!host.reachable)
        {
            status.is_complete = false;
            continue;
        }
        center.lowest_plan_version =
            center.reachable == 0
                ? host.plan_version
                : std::min(center.lowest_plan_version, host.plan_version);
        center.highest_plan_version =
            std::max(center.highest_plan_version, host.plan_version);
        ++center.reachable;
        status.plan_version = std::max(status.plan_version, host.plan_version);
    }
    for (const auto& [name, center] : centers)
    {
        status.data_centers.push_back(center);
    }
}

} // namespace

cluster_status collect_status(const admin_hooks& hooks)
{
    const host_status local = hooks.local_status();
    cluster_status status;
    status.seen_from = local.self.name;
    for (const member_digest& member : local.members)
    {
        if (member.name != local.self.name)
        {
            status.hosts.push_back(make_cluster_host_status(member));
        }
    }
    cluster_host_status self = make_cluster_host_status(local.self);
    apply_status(self, local);
    status.hosts.push_back(self);
    query_hosts(hooks, status.hosts, self.name);
    std::sort(status.hosts.begin(), status.hosts.end(),
              [](const cluster_host_status& lhs, const cluster_host_status& rhs)
              {
                  return std::tie(lhs.data_center, lhs.name) <
                         std::tie(rhs.data_center, rhs.name);
              });
    summarize(status);
    return status;
}

} // namespace egretspindle
