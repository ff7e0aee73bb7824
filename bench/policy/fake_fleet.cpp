#include "fake_fleet.hpp"

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

constexpr std::size_t target_count = 16;
// Run time on a bad target. Short, so that it receives more work than others.
constexpr double bad_run_ms = 50;
// Run time of a bad job until it fails.
constexpr double bad_job_ms = 500;

double memory_of(const fake_job& job)
{
    // Memory grows linearly with the progress of the job.
    return job.size.memory_mb * (0.5 + 0.5 * job.done_ms / job.work_ms);
}

double cores_of(const fake_job& job, const fake_task& task)
{
    return job.size.cpu_cores * task.share;
}

resources use_of(const std::vector<fake_job>& jobs, const fake_target& target)
{
    resources use;
    for (const fake_task& task : target.tasks)
    {
        const fake_job& job = jobs[task.job];
        use = use + resources{cores_of(job, task), memory_of(job), 0};
    }
    return use;
}

/// Returns the factor of the slowdowns at a load: grows with its square, from a
/// third to one.
double load_factor(double load)
{
    return std::min(1.0, 0.33 + 0.67 * load * load);
}

void set_rates(const std::vector<fake_job>& jobs, fake_target& target,
               const resources& use)
{
    std::array<double, kind_count> counts{};
    for (const fake_task& task : target.tasks)
    {
        counts[jobs[task.job].kind] += task.share;
    }
    const double load = use.cpu_cores / target.capacity.cpu_cores;
    const double factor = load_factor(std::max(
        load, static_cast<double>(target.tasks.size()) / target.slots));
    for (fake_task& task : target.tasks)
    {
        const std::size_t kind = jobs[task.job].kind;
        double slowdown = -task.share * slowdowns[kind][kind];
        for (std::size_t n = 0; n < kind_count; ++n)
        {
            slowdown += counts[n] * slowdowns[kind][n];
        }
        task.rate = task.share / (1 + factor * slowdown) / std::max(1.0, load);
    }
}

bool has_ended(const fake_job& job, const fake_task& task,
               const fake_target& target, time_point now, fake_end& end)
{
    const double run_ms = static_cast<double>(elapsed_ms(task.started, now));
    if (target.bad && run_ms >= bad_run_ms)
    {
        end.ok = false;
        return true;
    }
    if (job.bad && run_ms >= bad_job_ms)
    {
        end.ok = false;
        return true;
    }
    end.ok = job.done_ms >= job.work_ms;
    end.stopped = task.stopping && now >= task.stop_at;
    return end.ok || end.stopped;
}

} // namespace

std::vector<fake_target> make_targets(const scenario& run, std::mt19937_64& rng)
{
    std::vector<fake_target> targets(target_count);
    for (std::size_t n = 0; n < target_count; ++n)
    {
        targets[n].name = "t" + std::to_string(n);
        targets[n].capacity = n < target_count / 2 ? resources{32, 125000, 0}
                                                   : resources{64, 250000, 0};
    }
    for (std::size_t left = run.bad_targets; left > 0;)
    {
        fake_target& target = targets[rng() % target_count];
        left -= target.bad ? 0 : 1;
        target.bad = true;
    }
    return targets;
}

bool advance(std::vector<fake_job>& jobs, fake_target& target,
             std::size_t index, time_point now, double tick_ms,
             std::vector<fake_end>& ends)
{
    const resources use = use_of(jobs, target);
    const bool overloaded =
        !fits(use, target.capacity) ||
        static_cast<int>(target.tasks.size()) > target.slots ||
        static_cast<int>(target.tasks.size()) >= target.connections;
    set_rates(jobs, target, use);
    for (auto it = target.tasks.begin(); it != target.tasks.end();)
    {
        fake_job& job = jobs[it->job];
        job.done_ms += tick_ms * it->rate;
        fake_end end{index, it->job, false, false};
        if (has_ended(job, *it, target, now, end))
        {
            ends.push_back(end);
            it = target.tasks.erase(it);
        }
        else
        {
            ++it;
        }
    }
    return overloaded;
}

std::vector<usage_sample> measure(const std::vector<fake_job>& jobs,
                                  const fake_target& target,
                                  std::mt19937_64& rng)
{
    std::uniform_real_distribution<> noise(0.85, 1.15);
    std::uniform_real_distribution<> activity(0.7, 1.0);
    std::vector<usage_sample> samples;
    samples.reserve(target.tasks.size());
    for (const fake_task& task : target.tasks)
    {
        const fake_job& job = jobs[task.job];
        usage_sample sample;
        sample.key = std::to_string(task.job);
        sample.attempt = job.attempt;
        sample.kind = kinds[job.kind].name;
        sample.cpu_cores = cores_of(job, task) * activity(rng);
        sample.memory_mb = memory_of(job);
        sample.progress = std::min(1.0, task.rate * noise(rng));
        samples.push_back(std::move(sample));
    }
    return samples;
}

} // namespace egretspindle::bench
