#include "target_capacity.hpp"

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

// Processors of each simulated target.
constexpr std::int64_t target_cpu_milli = 8'000;
// Time after a fault of a target before its capacity counts.
constexpr std::int64_t calm_ms = 4'000;

bool is_affected(const soak_record& record, const std::string& target,
                 std::int64_t at_ms)
{
    return std::any_of(record.faults.begin(), record.faults.end(),
                       [&](const fault_window& fault)
                       {
                           return (fault.component == "target-" + target ||
                                   fault.component == "targets") &&
                                  fault.started_ms <= at_ms &&
                                  fault.ended_ms + calm_ms >= at_ms;
                       });
}

std::int64_t cpu_of(const soak_record& record, const std::string& task)
{
    const auto it = record.jobs.find(job_of(task));
    // A task is named JOB.OCCURRENCE.STEP.INDEX.
    const std::size_t last = task.rfind('.');
    const std::size_t before = task.rfind('.', last - 1);
    if (it == record.jobs.end() || before == std::string::npos)
    {
        return 0;
    }
    const std::size_t step = std::stoul(task.substr(before + 1));
    return step < it->second->steps.size() ? it->second->steps[step].cpu_milli
                                           : 0;
}

} // namespace

std::int64_t target_capacity::count_places(std::int64_t cpu_milli) const
{
    std::int64_t sum = 0;
    for (const std::int64_t free : free_milli)
    {
        sum += std::max<std::int64_t>(0, free) / cpu_milli;
    }
    return sum;
}

target_capacity capacity_at(const soak_record& record, std::int64_t at_ms)
{
    std::map<std::string, std::int64_t> used;
    for (const target_boot& item : record.boots)
    {
        if (item.started_ms + calm_ms <= at_ms && item.ended_ms > at_ms &&
            !is_affected(record, item.target, at_ms))
        {
            used.emplace(item.target, 0);
        }
    }
    for (const auto& [task, runs] : record.runs)
    {
        for (const execution& item : runs)
        {
            const auto it = used.find(item.target);
            if (it != used.end() && item.started_ms <= at_ms &&
                item.ended_ms > at_ms)
            {
                it->second += cpu_of(record, task);
            }
        }
    }
    target_capacity result;
    for (const auto& [target, milli] : used)
    {
        result.total_milli += target_cpu_milli;
        result.used_milli += milli;
        result.free_milli.push_back(target_cpu_milli - milli);
    }
    return result;
}

} // namespace egretspindle::bench
