#include "egretspindle/jobs/gang.hpp"

#include <algorithm>

namespace egretspindle
{

std::int64_t assign_gang(job& value, const due_step& gang,
                         const std::string& rack)
{
    return assign_gang(value, gang,
                       std::vector<std::string>(gang.tasks.size(), rack));
}

std::int64_t assign_gang(job& value, const due_step& gang,
                         const std::vector<std::string>& racks)
{
    std::vector<job_task>& tasks =
        value.occurrences[gang.occurrence].steps[gang.step];
    std::int64_t run = 0;
    for (const job_task& task : tasks)
    {
        run = std::max(run, task.run);
    }
    ++run;
    for (std::size_t n = 0; n < gang.tasks.size(); ++n)
    {
        job_task& task = tasks[gang.tasks[n]];
        task.phase = job_task_phase::assigned;
        task.run = run;
        task.rack = racks[n];
    }
    return run;
}

std::int64_t tasks_in_same_rack(const job& value, const task_key& key)
{
    const std::vector<job_task>& tasks =
        value.occurrences[key.occurrence].steps[key.step];
    const std::string& rack = tasks[key.index].rack;
    return std::count_if(tasks.begin(), tasks.end(),
                         [&rack](const job_task& task)
                         { return task.rack == rack; });
}

std::set<std::string> runs_without_gang(const job& value)
{
    std::set<std::string> found;
    for (std::size_t k = 0; k < value.occurrences.size(); ++k)
    {
        const occurrence_state& state = value.occurrences[k];
        for (std::size_t n = 0; n < state.steps.size(); ++n)
        {
            const std::vector<job_task>& tasks = state.steps[n];
            const bool is_split =
                value.spec.steps[n].is_gang &&
                std::any_of(tasks.begin(), tasks.end(),
                            [&tasks](const job_task& task)
                            { return task.rack != tasks.front().rack; });
            const bool has_ended =
                std::any_of(tasks.begin(), tasks.end(),
                            [](const job_task& task)
                            { return task.phase == job_task_phase::waiting; });
            for (std::size_t i = 0; is_split && has_ended && i < tasks.size();
                 ++i)
            {
                if (tasks[i].phase == job_task_phase::assigned)
                {
                    found.insert(to_string(task_key{value.id, k, n, i}));
                }
            }
        }
    }
    return found;
}

} // namespace egretspindle
