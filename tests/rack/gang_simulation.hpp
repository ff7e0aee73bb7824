// Simulation of gangs that compete for the targets of a few racks.

#ifndef EGRETSPINDLE_TESTS_RACK_GANG_SIMULATION_HPP
#define EGRETSPINDLE_TESTS_RACK_GANG_SIMULATION_HPP

#include "egretspindle/jobs/gang.hpp"
#include "egretspindle/jobs/job_machine.hpp"
#include "egretspindle/rack/fleet_load.hpp"
#include "egretspindle/rack/gang_queue.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace egretspindle::gang_simulation_details
{

inline const time_point start_time = time_point{} + milliseconds(1'000'000);
inline const interference_model no_interference;
constexpr int racks_in_fleet = 3;
constexpr int targets_in_rack = 8;
// A target ends a member that has waited this long for the others.
constexpr milliseconds gang_wait{3'000};
constexpr milliseconds work{800};

/// Member of a gang, or task of its own, that a target has started.
struct started_run
{
    std::string rack;
    std::string target;
    time_point since;
};

/// Job of one step, and the host that owns it.
struct simulated_job
{
    job value;
    std::size_t owner = 0;
    std::set<std::string> stopped; ///< runs that a stop was sent for
    bool was_handed_back = false;
};

/// Racks with targets, two hosts that own jobs, and messages with a delay.
/// Gangs need 20 of the 32 cores of a target for each member.
class gang_simulation
{
public:
    explicit gang_simulation(unsigned seed) : random_(seed)
    {
        for (int n = 0; n < racks_in_fleet; ++n)
        {
            add_rack("r" + std::to_string(n));
        }
    }

    // Removes a target for good.
    void remove_target(const std::string& rack, const std::string& target)
    {
        racks_[rack].targets.erase(target);
        for (fleet_load& fleet : fleets_)
        {
            fleet.targets.erase(target);
        }
    }

    // Runs a task on a target that never ends.
    void occupy(const std::string& rack, const std::string& target)
    {
        step_terms terms;
        terms.step = "lasting." + target;
        terms.service = "svc";
        terms.size = {20'000, 1'000, 0};
        terms.is_long_running = true;
        placed_run run;
        run.task = terms.step + ".0";
        run.run = 1;
        run.terms = std::make_shared<const step_terms>(terms);
        run.is_confirmed = true;
        racks_[rack].targets.at(target).runs[{run.task, 1}] = run;
    }

    void submit_gang(int size, bool is_rack_local)
    {
        step_spec step;
        step.count = size;
        step.is_gang = true;
        step.is_rack_local = is_rack_local;
        step.cpu_milli = 20'000;
        submit(step);
    }

    void submit_tasks(int count)
    {
        step_spec step;
        step.count = count;
        step.cpu_milli = 8'000;
        submit(step);
    }

    void submit(step_spec step)
    {
        step.memory_mb = 1'000;
        job_spec spec;
        spec.steps = {step};
        const std::string id = "job" + std::to_string(jobs_.size());
        jobs_[id] = {make_job(id, "queue", spec, 1), draw(0, 1), {}, false};
    }

    void run_for(milliseconds time)
    {
        for (const time_point end = now_ + time; now_ < end;
             now_ += milliseconds(50))
        {
            deliver();
            if (ticks_++ % 5 == 0)
            {
                for (auto& [id, item] : jobs_)
                {
                    tick_job(item);
                }
                for (auto& [name, rack] : racks_)
                {
                    tick_rack(rack);
                }
            }
            if (ticks_ % 12 == 0)
            {
                report_load();
            }
            tick_targets();
        }
    }

    std::size_t open_jobs() const
    {
        return static_cast<std::size_t>(std::count_if(
            jobs_.begin(), jobs_.end(),
            [](const auto& item)
            { return item.second.value.outcome == job_outcome::open; }));
    }

    int alone = 0; ///< members that gave up waiting for the others
    int split = 0; ///< runs of gangs on several racks
    int stops = 0; ///< of members whose gang has lost another one

private:
    using run_name = std::pair<std::string, std::int64_t>;

    void add_rack(const std::string& name)
    {
        rack_state& rack = racks_[name];
        rack.name = name;
        rack.token = 7;
        rack.taken_over_at = start_time;
        rack.verified_at = start_time;
        rack.lightly_used = std::make_shared<const std::set<std::string>>(
            std::set<std::string>{"svc"});
        for (int n = 0; n < targets_in_rack; ++n)
        {
            rack_target target;
            target.entry.id = name + "-" + std::to_string(n);
            target.entry.service = "svc";
            target.entry.rack = name;
            target.entry.capacity = {32'000, 128'000, 0};
            target.is_recorded = true;
            target.is_inherited = true;
            target.is_reached = true;
            target.started_ms = 1;
            rack.targets[target.entry.id] = target;
            for (fleet_load& fleet : fleets_)
            {
                fleet.targets[target.entry.id] = target.entry;
            }
        }
    }

    std::size_t draw(std::size_t from, std::size_t to)
    {
        return std::uniform_int_distribution<std::size_t>(from, to)(random_);
    }

    void send(std::size_t min_ms, std::size_t max_ms,
              std::function<void()> message)
    {
        messages_.emplace(now_ + milliseconds(draw(min_ms, max_ms)),
                          std::move(message));
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_)
        {
            const std::function<void()> message = messages_.begin()->second;
            messages_.erase(messages_.begin());
            message();
        }
    }

    void report_load()
    {
        for (auto& [name, rack] : racks_)
        {
            const rack_load_report report =
                make_load_report(rack, no_interference, now_);
            for (fleet_load& fleet : fleets_)
            {
                std::vector<rack_load_report> reports{report};
                apply_load_reports(fleet, reports, now_);
            }
        }
    }

    void tick_job(simulated_job& item)
    {
        for (const due_step& due : due_steps(item.value))
        {
            assign(item, due);
        }
        for (const std::string& task : runs_without_gang(item.value))
        {
            const task_key key = *parse_task_key(task);
            const job_task& found = *find_task(item.value, key);
            const std::string name = task + "/" + std::to_string(found.run);
            if (item.stopped.insert(name).second)
            {
                ++stops;
                send(10, 100,
                     [this, task, run = found.run, rack = found.rack] {
                         stop(rack, {task, run});
                     });
            }
        }
    }

    void assign(simulated_job& item, const due_step& due)
    {
        const step_spec& spec = item.value.spec.steps.front();
        step_terms terms;
        terms.step = item.value.id + ".0.0";
        terms.service = "svc";
        terms.size = {spec.cpu_milli, spec.memory_mb, 0};
        terms.is_gang = spec.is_gang;
        terms.gang_size = spec.is_gang ? spec.count : 0;
        terms.prefers_split_gang =
            spec.is_gang && !spec.is_rack_local && item.was_handed_back;
        const std::vector<std::string> racks = choose_racks(
            fleets_[item.owner], terms, due.tasks.size(), "", now_, random_);
        if (racks.front().empty())
        {
            return;
        }
        if (spec.is_gang)
        {
            assign_gang(item.value, due, racks);
            split += racks.front() == racks.back() ? 0 : 1;
        }
        std::map<std::string, std::vector<queued_start>> starts;
        for (std::size_t n = 0; n < due.tasks.size(); ++n)
        {
            const task_key key{item.value.id, 0, 0, due.tasks[n]};
            if (!spec.is_gang)
            {
                assign_run(item.value, key, racks[n]);
            }
            step_terms own = terms;
            if (spec.is_gang)
            {
                own.gang_size = tasks_in_same_rack(item.value, key);
                own.is_part_of_gang = own.gang_size < spec.count;
            }
            queued_start start;
            start.task = to_string(key);
            start.run = find_task(item.value, key)->run;
            start.terms = std::make_shared<const step_terms>(own);
            starts[racks[n]].push_back(start);
        }
        for (const auto& [rack, list] : starts)
        {
            send(50, 300,
                 [this, &rack = racks_[rack], list = list]() mutable
                 {
                     for (queued_start& start : list)
                     {
                         start.queued_at = now_;
                         enqueue(rack, start);
                     }
                 });
        }
    }

    void stop(const std::string& rack_name, const run_id& id)
    {
        rack_state& rack = racks_[rack_name];
        std::string target;
        for (const run_event& event : withdraw(rack, id, target))
        {
            report(event);
        }
        if (!target.empty())
        {
            send(5, 200, [this, id] { end(id, run_end::stopped); });
        }
    }

    void tick_rack(rack_state& rack)
    {
        for (const placement& item :
             place_starts(rack, no_interference, now_, 0))
        {
            send(5, 100,
                 [this, &rack, item]
                 {
                     const run_id id{item.start.task, item.start.run};
                     REQUIRE(runs_.count(id) == 0);
                     runs_[id] = {rack.name, item.target, now_};
                 });
        }
        for (const run_event& event : hand_back_gangs(rack, now_))
        {
            report(event);
        }
        const std::vector<run_event> returned = hand_back(
            rack, milliseconds(700),
            [&](const step_terms& terms, room_kind room) {
                return hand_back_quota(fleets_[0], terms, rack.name, now_,
                                       random_, room);
            },
            now_);
        for (const run_event& event : returned)
        {
            report(event);
        }
    }

    void report(const run_event& event)
    {
        send(20, 200,
             [this, event]
             {
                 const task_key key = *parse_task_key(event.task);
                 simulated_job& item = jobs_.at(key.job);
                 item.was_handed_back |= event.how == run_end::not_started;
                 end_run(item.value, key, event.run, event.how, "", 3, 1);
             });
    }

    // Ends a run on its target, if it is there.
    void end(const run_id& id, run_end how)
    {
        const auto it = runs_.find(id);
        if (it == runs_.end())
        {
            return;
        }
        racks_[it->second.rack].targets.at(it->second.target).runs.erase(id);
        runs_.erase(it);
        complete_.erase({gang_of(id), id.second});
        run_event event;
        event.what = run_event::kind::ended;
        event.task = id.first;
        event.run = id.second;
        event.how = how;
        report(event);
    }

    static std::string gang_of(const run_id& id)
    {
        return id.first.substr(0, id.first.rfind('.'));
    }

    void tick_targets()
    {
        std::map<run_name, std::vector<run_id>> members;
        for (const auto& [id, run] : runs_)
        {
            members[{gang_of(id), id.second}].push_back(id);
        }
        for (const auto& [name, ids] : members)
        {
            const job& value =
                jobs_.at(name.first.substr(0, name.first.find('.'))).value;
            const step_spec& spec = value.spec.steps.front();
            const bool is_whole =
                !spec.is_gang ||
                static_cast<std::int64_t>(ids.size()) == spec.count;
            const auto began = complete_.find(name);
            if (is_whole && began == complete_.end())
            {
                complete_[name] = now_;
            }
            for (const run_id& id : ids)
            {
                if (began != complete_.end() && now_ - began->second >= work)
                {
                    end(id, run_end::done);
                }
                else if (began == complete_.end() && !is_whole &&
                         now_ - runs_.at(id).since > gang_wait)
                {
                    ++alone;
                    end(id, run_end::alone);
                }
            }
        }
    }

    std::minstd_rand random_;
    time_point now_ = start_time;
    int ticks_ = 0;
    std::map<std::string, rack_state> racks_;
    std::vector<fleet_load> fleets_ = std::vector<fleet_load>(2);
    std::map<std::string, simulated_job> jobs_;
    std::multimap<time_point, std::function<void()>> messages_;
    std::map<run_id, started_run> runs_;      ///< on targets
    std::map<run_name, time_point> complete_; ///< gangs, when they began
};

} // namespace egretspindle::gang_simulation_details

#endif
