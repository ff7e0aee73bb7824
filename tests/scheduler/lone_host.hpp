/// \file
/// Only host of a cluster, which owns everything.

#ifndef EGRETSPINDLE_TESTS_SCHEDULER_LONE_HOST_HPP
#define EGRETSPINDLE_TESTS_SCHEDULER_LONE_HOST_HPP

#include "egretspindle/rack/rack_state.hpp"
#include "egretspindle/scheduler/cluster_agent.hpp"

#include <condition_variable>
#include <mutex>

namespace egretspindle
{

/// Owner of all shards that records until when it may grant leases.
struct lone_host
{
    std::mutex mutex;
    std::condition_variable changed;
    boot_time_point may_grant_until;
    std::size_t taken = 0;
    cluster_agent agent;

    explicit lone_host(table_store& store)
        : agent(store, make_self(), make_hooks(), {})
    {
        agent.start();
    }

    ~lone_host()
    {
        agent.stop();
    }

    lone_host(const lone_host&) = delete;
    lone_host& operator=(const lone_host&) = delete;

    // Waits until the condition holds, for at most `limit`, and returns whether
    // it does.
    template <typename Predicate>
    bool wait_for(milliseconds limit, Predicate holds)
    {
        std::unique_lock<std::mutex> lock(mutex);
        return changed.wait_for(lock, limit, holds);
    }

private:
    static host_row make_self()
    {
        host_row self;
        self.name = "h1";
        self.boot = 2;
        self.data_center = "dc";
        return self;
    }

    void confirm(const clock_reading& read_at)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        may_grant_until = read_at.boot + lease_limits{}.authority;
        changed.notify_all();
    }

    cluster_hooks make_hooks()
    {
        cluster_hooks hooks;
        hooks.taken = [this](const std::string&, std::int64_t,
                             const former_ownership&,
                             const clock_reading& confirmed_at)
        {
            confirm(confirmed_at);
            const std::lock_guard<std::mutex> lock(mutex);
            ++taken;
        };
        hooks.lost = [](const std::string&) {
        };
        hooks.verified = [this](const std::string&, std::int64_t,
                                const clock_reading& read_at)
        {
            confirm(read_at);
        };
        hooks.pending = []
        {
            return std::map<std::string, std::int64_t>{};
        };
        return hooks;
    }
};

} // namespace egretspindle

#endif
