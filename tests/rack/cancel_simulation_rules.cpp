#include "cancel_simulation.hpp"

#include <algorithm>

namespace egretspindle::cancel_simulation
{

namespace
{

// Returns how many ends of a kind that count came before a start.
long count_ends(const task_history& history, const std::string& how,
                time_point before)
{
    return std::count_if(history.ends.begin(), history.ends.end(),
                         [&](const judged_end& it) {
                             return it.is_acknowledged && it.how == how &&
                                    it.at < before;
                         });
}

} // namespace

void simulation::check_start(const sim_target& target, const run_id& id)
{
    if (options_.has_cancellings)
    {
        return;
    }
    for (const sim_target& other : targets_)
    {
        const auto it = other.runs.lower_bound({id.first, 0});
        if (other.is_up && it != other.runs.end() &&
            it->first.first == id.first)
        {
            fail("started on " + target.id + " beside a run on " + other.id,
                 id);
        }
    }
    histories_[id.first].starts.push_back(now_);
    check_history(id);
}

void simulation::record_end(const sim_target& target, const listed_end& end)
{
    judged_end item;
    item.target = target.id;
    item.how = end.how;
    item.started_ms = target.started_ms;
    item.number = end.number;
    item.at = now_;
    histories_[end.task].ends.push_back(item);
}

// The leases on a target have expired: the ends that it lists do not count.
void simulation::lapse_ends(const sim_target& target)
{
    for (const listed_end& end : target.ends)
    {
        for (judged_end& item : histories_.at(end.task).ends)
        {
            item.has_lapsed |= item.target == target.id &&
                               item.started_ms == target.started_ms &&
                               item.number == end.number;
        }
    }
}

void simulation::acknowledge_end(const sim_target& target,
                                 const listed_end& end)
{
    for (judged_end& item : histories_.at(end.task).ends)
    {
        item.is_acknowledged |= item.target == target.id &&
                                item.started_ms == target.started_ms &&
                                item.number == end.number && !item.has_lapsed;
    }
    check_history({end.task, end.run});
}

// Checks the rules on a task whose ends have been acknowledged, now or earlier.
void simulation::check_history(const run_id& id)
{
    if (options_.has_cancellings)
    {
        return;
    }
    const task_history& history = histories_[id.first];
    for (const time_point start : history.starts)
    {
        if (count_ends(history, "done", start) > 0)
        {
            fail("started after it was done", id);
        }
        if (count_ends(history, "failed", start) >= max_attempts)
        {
            fail("started after all its attempts", id);
        }
    }
}

void simulation::check_idle()
{
    std::size_t in_use = 0;
    for (const sim_target& target : targets_)
    {
        in_use += target.runs.size();
        for (const auto& [id, run] : target.runs)
        {
            at_work_[id.first] = now_;
        }
    }
    if (2 * in_use >= slots * targets_.size() ||
        now_ - begin_ < submit_time + finish_time)
    {
        busy_at_ = now_;
        return;
    }
    for (const auto& [name, task] : tasks_)
    {
        if (!task.is_done &&
            now_ - std::max(busy_at_, at_work_[name]) > idle_time)
        {
            fail("not at work", {name, task.run});
        }
    }
}

void simulation::check_finished()
{
    for (const auto& [name, task] : tasks_)
    {
        if (!options_.has_cancellings && !task.is_done)
        {
            fail("not finished", {name, task.run});
        }
    }
}

} // namespace egretspindle::cancel_simulation
