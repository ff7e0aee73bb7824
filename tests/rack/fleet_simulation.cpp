#include "fleet_simulation.hpp"

#include "egretspindle/rack/draining_target.hpp"
#include "egretspindle/rack/load_period.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <utility>

namespace egretspindle
{

namespace
{

const time_point start_time = time_point{} + milliseconds(1'000'000);
constexpr int serving_images = 18;
constexpr int backfill_images = 10;
// From the end of a target to that of the leases on it, as its owner counts
// them: `lease_limits` with the slack of the platform.
constexpr milliseconds lease_time{6'900};

std::string rack_name(int n)
{
    return "r" + std::to_string(100 + n);
}

fleet_size size_of(const simulation& sim)
{
    return {static_cast<std::size_t>(sim.limits.hosts - 1),
            static_cast<std::size_t>(sim.limits.targets)};
}

rack_target make_target(int n, const simulation_limits& limits,
                        const std::string& rack)
{
    rack_target target;
    target.entry.id = "t" + std::to_string(1'000 + n);
    target.entry.rack = rack;
    target.entry.service = "svc";
    target.entry.capacity = limits.capacity;
    if (limits.large_every > 0 && n % limits.large_every == 0)
    {
        target.entry.capacity.cpu_milli += limits.capacity.cpu_milli / 2;
        target.entry.capacity.memory_mb += limits.capacity.memory_mb / 2;
    }
    target.is_recorded = true;
    target.is_reached = true;
    return target;
}

// Returns names by which `take_due_peers` knows the hosts: their positions.
std::vector<std::string> names_of_hosts(const simulation& sim)
{
    std::vector<std::string> names;
    for (std::size_t n = 0; n < sim.hosts.size(); ++n)
    {
        names.push_back(std::to_string(n));
    }
    return names;
}

// Applies the load reports of a host's racks at the host itself and at the
// hosts whose turn it is, without delay.
void send_reports(simulation& sim, simulated_host& host)
{
    const std::vector<std::string> due = take_due_peers(
        host.report_turns, names_of_hosts(sim), host.load.period, sim.now);
    for (const std::string& name : host.racks)
    {
        const rack_load_report load_report =
            make_load_report(sim.racks.at(name), sim.model, sim.now);
        std::vector<rack_load_report> own_reports{load_report};
        apply_load_reports(host.load, own_reports, sim.now);
        for (const std::string& peer : due)
        {
            std::vector<rack_load_report> load_reports{load_report};
            apply_load_reports(sim.hosts[std::stoul(peer)].load, load_reports,
                               sim.now);
        }
    }
}

// Sends each task to its rack, and counts the assignments.
void send_orders(simulation& sim, std::vector<simulated_task> tasks,
                 const std::vector<std::string>& racks)
{
    std::set<std::string> chosen_racks;
    std::map<std::string, int>& assigned =
        sim.result
            .assigned[(sim.now - start_time) / report_period(size_of(sim))];
    for (std::size_t n = 0; n < tasks.size(); ++n)
    {
        tasks[n].rack = racks[n];
        tasks[n].arrives_at = sim.now + sim.limits.assignment_transit;
        chosen_racks.insert(racks[n]);
        ++assigned[racks[n]];
        sim.to_racks.push_back(std::move(tasks[n]));
    }
    sim.result.orders += static_cast<int>(chosen_racks.size());
}

void submit(simulation& sim, const simulated_step& step, std::size_t chooser)
{
    step_terms terms = step.terms;
    terms.step = "job" + std::to_string(sim.next_job++) + ".0.0";
    if (terms.is_long_running &&
        !has_room_for_long_running(sim.hosts[chooser].load, terms.service,
                                   terms.size.cpu_milli * step.tasks, sim.now))
    {
        sim.result.refused += step.tasks;
        return;
    }
    const auto shared = std::make_shared<const step_terms>(terms);
    std::vector<simulated_task> tasks;
    for (int n = 0; n < step.tasks; ++n)
    {
        simulated_task task;
        task.terms = shared;
        task.duration = step.duration;
        task.chooser = chooser;
        task.name = terms.step + "." + std::to_string(n);
        task.run = 1;
        task.submitted_at = sim.now;
        tasks.push_back(std::move(task));
    }
    sim.result.submitted += step.tasks;
    simulated_host& host = sim.hosts[chooser];
    const std::vector<std::string> racks =
        choose_racks(host.load, terms, tasks.size(), "", sim.now, host.random);
    send_orders(sim, std::move(tasks), racks);
}

// Chooses a new rack for a task that was handed back.
void choose_again(simulation& sim, simulated_task task)
{
    simulated_host& host = sim.hosts[task.chooser];
    step_terms terms = *task.terms;
    terms.earlier_rack = task.rack;
    ++task.run;
    const std::vector<std::string> racks =
        choose_racks(host.load, terms, 1, "", sim.now, host.random);
    send_orders(sim, {std::move(task)}, racks);
}

// Places queued tasks of a rack, and schedules their ends.
void place(simulation& sim, rack_state& rack)
{
    for (const placement& item : place_starts(rack, sim.model, sim.now, 0))
    {
        const run_id id{item.start.task, item.start.run};
        const simulated_task& task = sim.tasks_by_run.at(id);
        ++sim.result.placed;
        const milliseconds wait = std::chrono::duration_cast<milliseconds>(
            sim.now - task.submitted_at);
        sim.result.waits.push_back(wait);
        if (task.terms->is_long_running)
        {
            sim.result.long_running_waits.push_back(wait);
        }
        sim.ends.insert({sim.now + task.duration, {item.target, id}});
    }
}

// Sends a task that does not run any more back to its chooser. It waits from
// now on.
void send_back(simulation& sim, const run_id& id, milliseconds transit)
{
    const auto found = sim.tasks_by_run.find(id);
    simulated_task task = found->second;
    sim.tasks_by_run.erase(found);
    task.submitted_at = sim.now;
    task.arrives_at = sim.now + transit;
    sim.to_choosers.push_back(std::move(task));
}

// Sends the tasks that run on a target back to their choosers.
void end_runs(simulation& sim, const rack_target& target, milliseconds transit)
{
    for (const auto& [id, run] : target.runs)
    {
        send_back(sim, id, transit);
    }
}

// Stops runs on draining targets of a rack.
void move_runs(simulation& sim, const simulated_host& host, rack_state& rack)
{
    for (auto& [target_id, target] : rack.targets)
    {
        const std::vector<run_id> moved = decide_moves(
            target,
            [&](const step_terms& terms)
            { return has_eventual_room(host.load, terms, sim.now); },
            sim.now);
        for (const run_id& id : moved)
        {
            target.runs.erase(id);
            send_back(sim, id, sim.limits.hand_back_transit);
        }
    }
}

// Places tasks in the racks of a host, and hands others back to their choosers.
void tick(simulation& sim, simulated_host& host)
{
    for (const std::string& name : host.racks)
    {
        rack_state& rack = sim.racks.at(name);
        move_runs(sim, host, rack);
        place(sim, rack);
        std::vector<rack_load_report> load_reports{
            make_load_report(rack, sim.model, sim.now)};
        apply_load_reports(host.load, load_reports, sim.now);
    }
    for (const std::string& name : host.racks)
    {
        rack_state& rack = sim.racks.at(name);
        const std::vector<run_event> returned = hand_back(
            rack, sim.limits.min_wait,
            [&](const step_terms& terms, room_kind room) {
                return hand_back_quota(host.load, terms, name, sim.now,
                                       host.random, room);
            },
            sim.now);
        for (const run_event& event : returned)
        {
            const auto it = sim.tasks_by_run.find({event.task, event.run});
            simulated_task task = it->second;
            sim.tasks_by_run.erase(it);
            task.arrives_at = sim.now + sim.limits.hand_back_transit;
            sim.to_choosers.push_back(std::move(task));
            ++sim.result.handed_back;
        }
    }
}

// Removes the tasks that have arrived by `now` and passes them to `use`.
template <typename Use>
void take_arrived(std::vector<simulated_task>& tasks, time_point now, Use use)
{
    const auto first_waiting = std::stable_partition(
        tasks.begin(), tasks.end(),
        [now](const simulated_task& item) { return item.arrives_at <= now; });
    std::vector<simulated_task> arrived(tasks.begin(), first_waiting);
    tasks.erase(tasks.begin(), first_waiting);
    for (simulated_task& task : arrived)
    {
        use(std::move(task));
    }
}

// Delivers the tasks that have arrived at racks and choosers, and ends the runs
// whose time is over.
void deliver(simulation& sim)
{
    std::set<std::string> changed;
    take_arrived(sim.to_racks, sim.now,
                 [&](simulated_task task)
                 {
                     queued_start item;
                     item.task = task.name;
                     item.run = task.run;
                     item.terms = task.terms;
                     item.queued_at = sim.now;
                     item.waiting_since = task.submitted_at;
                     enqueue(sim.racks.at(task.rack), item);
                     changed.insert(task.rack);
                     sim.tasks_by_run[{task.name, task.run}] = std::move(task);
                 });
    while (!sim.ends.empty() && sim.ends.begin()->first <= sim.now)
    {
        const auto [target, id] = sim.ends.begin()->second;
        const auto it = sim.tasks_by_run.find(id);
        if (it == sim.tasks_by_run.end()) // its target has failed
        {
            sim.ends.erase(sim.ends.begin());
            continue;
        }
        rack_state& rack = sim.racks.at(it->second.rack);
        rack.targets.at(target).runs.erase(id);
        changed.insert(rack.name);
        sim.tasks_by_run.erase(it);
        sim.ends.erase(sim.ends.begin());
    }
    for (const std::string& name : changed)
    {
        place(sim, sim.racks.at(name));
    }
    take_arrived(sim.to_choosers, sim.now,
                 [&](simulated_task task)
                 { choose_again(sim, std::move(task)); });
}

// Updates the headroom of all serving tasks, which varies with the load of
// their users.
void vary_headroom(simulation& sim)
{
    for (auto& [name, rack] : sim.racks)
    {
        for (auto& [id, target] : rack.targets)
        {
            placed_run& run = target.runs.at({"serving." + id, 1});
            const double seconds =
                std::chrono::duration<double>(sim.now - start_time).count();
            const double phase =
                static_cast<double>(std::hash<std::string>{}(id) % 628) / 100.0;
            run.own_headroom = 2.1 + 0.9 * std::sin(seconds / 5.0 + phase);
        }
    }
}

// Removes targets that meet a condition. Their tasks reach their choosers after
// a time.
template <typename Predicate>
void remove_targets(simulation& sim, Predicate is_removed, milliseconds transit)
{
    for (auto& [name, rack] : sim.racks)
    {
        for (auto it = rack.targets.begin(); it != rack.targets.end();)
        {
            if (!is_removed(it->second))
            {
                ++it;
                continue;
            }
            end_runs(sim, it->second, transit);
            for (simulated_host& host : sim.hosts)
            {
                host.load.targets.erase(it->first);
            }
            it = rack.targets.erase(it);
        }
    }
}

} // namespace

simulation make_simulation(const simulation_limits& limits)
{
    simulation sim;
    sim.limits = limits;
    sim.now = start_time;
    sim.hosts.resize(static_cast<std::size_t>(limits.hosts));
    std::map<std::string, target_entry> entries;
    for (int n = 0; n < limits.targets; ++n)
    {
        const std::string rack = rack_name(n * limits.racks / limits.targets);
        const rack_target target = make_target(n, limits, rack);
        sim.racks[rack].name = rack;
        sim.racks[rack].targets[target.entry.id] = target;
        entries[target.entry.id] = target.entry;
    }
    std::size_t owner = 0;
    for (const auto& [name, rack] : sim.racks)
    {
        sim.hosts[owner % sim.hosts.size()].racks.push_back(name);
        ++owner;
    }
    const milliseconds period = report_period(size_of(sim));
    std::minstd_rand random(limits.seed);
    std::uniform_int_distribution<int> any_ms(0, 999);
    for (std::size_t n = 0; n < sim.hosts.size(); ++n)
    {
        simulated_host& host = sim.hosts[n];
        host.random.seed(limits.seed * 1'000 + static_cast<unsigned>(n));
        host.load.targets = entries;
        host.load.period = period;
        host.load.hosts = sim.hosts.size();
        host.next_tick = start_time + limits.tick * any_ms(random) / 1'000;
    }
    for (simulated_host& host : sim.hosts)
    {
        send_reports(sim, host);
    }
    return sim;
}

void add_serving_tasks(simulation& sim, std::int64_t cpu_milli)
{
    std::minstd_rand random(sim.limits.seed);
    std::uniform_int_distribution<int> any_image(0, serving_images - 1);
    std::bernoulli_distribution is_harmful_pair(0.3);
    std::vector<pair_interference> pairs;
    for (int s = 0; s < serving_images; ++s)
    {
        for (int f = 0; f < backfill_images; ++f)
        {
            pairs.push_back({"s" + std::to_string(s), "f" + std::to_string(f),
                             is_harmful_pair(random) ? 0.2 : 0.01, 4'000.0});
        }
    }
    update_peer_interference(sim.model, "all", 1, pairs);
    merge_interference(sim.model);
    for (auto& [name, rack] : sim.racks)
    {
        for (auto& [id, target] : rack.targets)
        {
            step_terms terms;
            terms.step = "serving";
            terms.service = "svc";
            terms.image = "s" + std::to_string(any_image(random));
            terms.size = {cpu_milli, 1'000, 0};
            terms.response_target_ms = 50;
            placed_run run;
            run.task = "serving." + id;
            run.run = 1;
            run.terms = std::make_shared<const step_terms>(terms);
            run.is_confirmed = true;
            target.runs[{run.task, 1}] = run;
        }
    }
    vary_headroom(sim);
    for (simulated_host& host : sim.hosts)
    {
        host.load.interference = copy_merged_model(sim.model);
    }
    for (simulated_host& host : sim.hosts)
    {
        send_reports(sim, host);
    }
}

void fail_targets(simulation& sim, double share)
{
    std::minstd_rand random(sim.limits.seed + 31);
    std::bernoulli_distribution fails(share);
    remove_targets(
        sim, [&](const rack_target&) { return fails(random); },
        sim.limits.hand_back_transit);
}

void drain_targets(simulation& sim, double share, milliseconds remaining)
{
    std::minstd_rand random(sim.limits.seed + 37);
    std::bernoulli_distribution drains(share);
    for (auto& [name, rack] : sim.racks)
    {
        for (auto& [id, target] : rack.targets)
        {
            if (!drains(random))
            {
                continue;
            }
            target.entry.is_draining = true;
            target.ends_at = sim.now + remaining;
            for (auto& [run_name, run] : target.runs)
            {
                run.is_confirmed = true;
            }
            for (simulated_host& host : sim.hosts)
            {
                host.load.targets.at(id).is_draining = true;
            }
        }
    }
}

void end_drained_targets(simulation& sim)
{
    remove_targets(
        sim, [](const rack_target& target) { return target.entry.is_draining; },
        lease_time);
}

void restart_racks(simulation& sim, int count)
{
    auto it = sim.racks.begin();
    for (int n = 0; n < count; ++n, ++it)
    {
        for (auto& [id, target] : it->second.targets)
        {
            end_runs(sim, target, sim.limits.hand_back_transit);
            target.runs.clear();
        }
    }
}

void run_simulation(simulation& sim, std::vector<simulated_step> steps,
                    milliseconds duration)
{
    std::stable_sort(steps.begin(), steps.end(),
                     [](const simulated_step& lhs, const simulated_step& rhs)
                     { return lhs.at < rhs.at; });
    std::minstd_rand random(sim.limits.seed + 17);
    std::uniform_int_distribution<int> any_host(0, sim.limits.choosers - 1);
    const time_point begin = sim.now;
    std::size_t next = 0;
    for (; sim.now < begin + duration; sim.now += sim.limits.step)
    {
        if (!sim.model.merged.empty())
        {
            vary_headroom(sim);
        }
        deliver(sim);
        for (; next < steps.size() && begin + steps[next].at <= sim.now; ++next)
        {
            submit(sim, steps[next],
                   static_cast<std::size_t>(any_host(random)));
        }
        for (simulated_host& host : sim.hosts)
        {
            if (sim.now >= host.next_tick)
            {
                host.next_tick += sim.limits.tick;
                tick(sim, host);
                send_reports(sim, host);
            }
        }
    }
}

std::int64_t total_cpu(const simulation& sim)
{
    std::int64_t sum = 0;
    for (const auto& [name, rack] : sim.racks)
    {
        for (const auto& [id, target] : rack.targets)
        {
            sum += target.entry.capacity.cpu_milli;
        }
    }
    return sum;
}

std::int64_t free_cpu(const simulation& sim)
{
    std::int64_t sum = 0;
    for (const auto& [name, rack] : sim.racks)
    {
        for (const auto& [id, target] : rack.targets)
        {
            sum += free_capacity(target).cpu_milli;
        }
    }
    return sum;
}

std::int64_t long_running_cpu(const simulation& sim)
{
    std::int64_t sum = 0;
    for (const auto& [name, rack] : sim.racks)
    {
        for (const auto& [id, target] : rack.targets)
        {
            for (const auto& [run_name, run] : target.runs)
            {
                sum +=
                    run.terms->is_long_running ? run.terms->size.cpu_milli : 0;
            }
        }
    }
    return sum;
}

std::vector<milliseconds> open_waits(const simulation& sim,
                                     bool is_long_running)
{
    std::vector<milliseconds> waits;
    const auto add = [&](const simulated_task& task)
    {
        if (task.terms->is_long_running == is_long_running)
        {
            waits.push_back(std::chrono::duration_cast<milliseconds>(
                sim.now - task.submitted_at));
        }
    };
    std::for_each(sim.to_racks.begin(), sim.to_racks.end(), add);
    std::for_each(sim.to_choosers.begin(), sim.to_choosers.end(), add);
    for (const auto& [name, rack] : sim.racks)
    {
        for (const queued_start& start : rack.queue)
        {
            add(sim.tasks_by_run.at({start.task, start.run}));
        }
    }
    return waits;
}

double largest_share(const simulation& sim, int min_tasks_per_rack)
{
    double largest = 0;
    const auto racks = static_cast<int>(sim.racks.size());
    for (const auto& [period, assigned] : sim.result.assigned)
    {
        int sum = 0;
        int most = 0;
        for (const auto& [rack, tasks] : assigned)
        {
            sum += tasks;
            most = std::max(most, tasks);
        }
        if (sum >= min_tasks_per_rack * racks)
        {
            largest = std::max(largest, static_cast<double>(most) * racks /
                                            static_cast<double>(sum));
        }
    }
    return largest;
}

milliseconds wait_quantile(std::vector<milliseconds> waits, double quantile)
{
    if (waits.empty())
    {
        return milliseconds(0);
    }
    std::sort(waits.begin(), waits.end());
    const auto last = static_cast<double>(waits.size() - 1);
    return waits[static_cast<std::size_t>(std::llround(quantile * last))];
}

milliseconds wait_quantile(const simulation_result& result, double quantile)
{
    return wait_quantile(result.waits, quantile);
}

} // namespace egretspindle
