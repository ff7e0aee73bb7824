#include "common/line_file.hpp"
#include "common/platform_event.hpp"
#include "soak_fault.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <list>
#include <random>
#include <thread>

namespace egretspindle::bench
{

namespace
{

using standin::steady_ms;
using std::chrono::milliseconds;

constexpr milliseconds poll_period{20};
// Time between the starts of two faults. Some faults overlap, others follow one
// another.
constexpr long min_gap_ms = 50;
constexpr long max_gap_ms = 1'100;
// Time of the first takeover, when long-running jobs have started.
constexpr std::int64_t first_takeover_ms = 4'000;
constexpr std::size_t max_active_faults = 6;

/// Fault that is injected and not yet removed.
struct active_fault
{
    soak_fault fault;
    fault_window window;
};

/// State of the injection.
struct injection_state
{
    std::mt19937 random;
    soak_cluster& cluster;
    standin::line_file log;
    std::int64_t version = 1;
    std::list<active_fault> active;
    std::vector<fault_window> ended;
};

soak_fault choose_fault(const soak_options& options, injection_state& state)
{
    if (options.has_takeovers_only)
    {
        return make_unnoticed_takeover(state.random, state.cluster);
    }
    if (options.has_restarts_only)
    {
        return make_restarts(state.random, state.cluster);
    }
    if (options.has_short_tasks)
    {
        return make_late_orders(state.random, state.cluster);
    }
    if (options.has_power_losses)
    {
        return choose_power_loss_fault(state.random, state.cluster,
                                       state.version);
    }
    if (options.has_planned_work_only)
    {
        return choose_planned_work(state.random, state.cluster, state.version);
    }
    const long kind = choose(state.random, 0, 99);
    if (kind < 40)
    {
        return choose_host_fault(state.random, state.cluster);
    }
    if (kind < 46)
    {
        return choose_multi_host_fault(state.random, state.cluster);
    }
    if (kind < 49)
    {
        return make_unnoticed_takeover(state.random, state.cluster);
    }
    if (kind < 80)
    {
        return choose_target_fault(state.random, state.cluster);
    }
    return choose_store_fault(state.random, state.cluster, state.version);
}

bool is_host(const std::string& component)
{
    return component == "hosts" || component.front() == 'h';
}

// A fault of several hosts conflicts with a fault of a single host.
bool is_compatible(const injection_state& state, const soak_fault& fault)
{
    return std::none_of(
        state.active.begin(), state.active.end(),
        [&](const active_fault& item)
        {
            const std::string& other = item.fault.component;
            return other == fault.component ||
                   (fault.component == "hosts" && is_host(other)) ||
                   (other == "hosts" && is_host(fault.component));
        });
}

void remove_fault(injection_state& state, const active_fault& item)
{
    if (item.fault.remove)
    {
        item.fault.remove();
    }
    fault_window window = item.window;
    window.ended_ms = steady_ms();
    state.log.append(fmt::format("{} end {}", window.ended_ms, window.text));
    state.ended.push_back(std::move(window));
}

void remove_due(injection_state& state, bool removes_all)
{
    const std::int64_t now = steady_ms();
    for (auto it = state.active.begin(); it != state.active.end();)
    {
        if (removes_all ||
            now - it->window.started_ms >= it->fault.length.count())
        {
            remove_fault(state, *it);
            it = state.active.erase(it);
        }
        else
        {
            ++it;
        }
    }
}

void inject(injection_state& state, soak_fault fault)
{
    fault_window window{fault.text, fault.component, steady_ms(), 0,
                        fault.kind};
    state.log.append(fmt::format("{} begin {} for {} ms", window.started_ms,
                                 window.text, fault.length.count()));
    fault.inject();
    state.active.push_back({std::move(fault), std::move(window)});
}

// Returns false when the chosen fault conflicts with an active one.
bool inject_next(const soak_options& options, injection_state& state)
{
    soak_fault fault = choose_fault(options, state);
    const bool is_allowed = is_compatible(state, fault);
    if (is_allowed)
    {
        inject(state, std::move(fault));
    }
    return is_allowed;
}

// Kills all hosts once more while clients submit jobs, and returns when all
// hosts have been started again.
void inject_last_loss(injection_state& state)
{
    const auto is_loss = [](const active_fault& item)
    {
        return item.fault.component == "hosts";
    };
    const auto it =
        std::find_if(state.active.begin(), state.active.end(), is_loss);
    if (it != state.active.end())
    {
        remove_fault(state, *it);
        state.active.erase(it);
    }
    inject(state, make_power_loss(state.random, state.cluster));
    while (std::any_of(state.active.begin(), state.active.end(), is_loss))
    {
        state.cluster.poll();
        remove_due(state, false);
        std::this_thread::sleep_for(poll_period);
    }
}

} // namespace

std::vector<fault_window> inject_faults(const soak_options& options,
                                        soak_cluster& cluster)
{
    injection_state state{
        std::mt19937(options.seed),
        cluster,
        standin::line_file(cluster.directory().file("faults")),
        1,
        {},
        {}};
    const std::int64_t end = steady_ms() + options.seconds * 1'000;
    std::int64_t next =
        steady_ms() + (options.has_takeovers_only ? first_takeover_ms : 0);
    while (steady_ms() < end)
    {
        cluster.poll();
        remove_due(state, false);
        if (!options.is_without_faults && steady_ms() >= next &&
            state.active.size() < max_active_faults &&
            inject_next(options, state))
        {
            next = steady_ms() + choose(state.random, min_gap_ms, max_gap_ms);
        }
        std::this_thread::sleep_for(poll_period);
    }
    if (options.has_power_losses)
    {
        inject_last_loss(state);
    }
    remove_due(state, true);
    cluster.remove_all_faults();
    return std::move(state.ended);
}

} // namespace egretspindle::bench
