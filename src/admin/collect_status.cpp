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

host_line make_line(const member_digest& member)
{
    host_line line;
    line.name = member.name;
    line.address = member.address;
    line.data_center = member.data_center;
    line.state = member.state;
    line.plan_version = member.plan_version;
    line.racks = static_cast<int>(member.racks.size());
    return line;
}

void apply(host_line& line, const host_status& status)
{
    line.reachable = true;
    line.ready = status.ready;
    line.store_reachable = status.store_reachable;
    line.plan_version = status.plan_version;
    line.plan_digest = status.plan_digest;
    line.open_requests = status.open_requests;
    line.queued_batch = status.queued_batch;
    line.racks = static_cast<int>(status.self.racks.size());
}

void ask(const admin_hooks& hooks, host_line& line)
{
    const absl::StatusOr<host_status> status = hooks.peer_status(line.address);
    if (status.ok())
    {
        apply(line, *status);
    }
    else
    {
        line.error = std::string(status.status().message());
    }
}

void ask_all(const admin_hooks& hooks, std::vector<host_line>& lines,
             const std::string& self)
{
    std::atomic<std::size_t> next{0};
    const auto work = [&]
    {
        for (std::size_t n = next++; n < lines.size(); n = next++)
        {
            if (lines[n].name != self)
            {
                ask(hooks, lines[n]);
            }
        }
    };
    std::vector<std::thread> threads;
    const std::size_t count = std::min(max_parallel_calls, lines.size());
    for (std::size_t n = 0; n < count; ++n)
    {
        threads.emplace_back(work);
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
    for (const host_line& line : status.hosts)
    {
        data_center_status& center = centers[line.data_center];
        center.name = line.data_center;
        ++center.hosts;
        if (!line.reachable)
        {
            status.is_complete = false;
            continue;
        }
        center.lowest_plan_version =
            center.reachable == 0
                ? line.plan_version
                : std::min(center.lowest_plan_version, line.plan_version);
        center.highest_plan_version =
            std::max(center.highest_plan_version, line.plan_version);
        ++center.reachable;
        status.plan_version = std::max(status.plan_version, line.plan_version);
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
            status.hosts.push_back(make_line(member));
        }
    }
    host_line self = make_line(local.self);
    apply(self, local);
    status.hosts.push_back(self);
    ask_all(hooks, status.hosts, self.name);
    std::sort(status.hosts.begin(), status.hosts.end(),
              [](const host_line& lhs, const host_line& rhs)
              {
                  return std::tie(lhs.data_center, lhs.name) <
                         std::tie(rhs.data_center, rhs.name);
              });
    summarize(status);
    return status;
}

} // namespace egretspindle
