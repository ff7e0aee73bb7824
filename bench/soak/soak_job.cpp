#include "soak_job.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace egretspindle::bench
{

namespace
{

int choose(std::mt19937& random, int min_value, int max_value)
{
    return std::uniform_int_distribution<int>(min_value, max_value)(random);
}

std::string choose_id(std::mt19937& random)
{
    const std::uint64_t high = random();
    return fmt::format("{:016x}", high << 32U | random());
}

// Longer than any soak.
constexpr std::int64_t long_running_ms = 3'600'000;
// One job in this many is long-running.
constexpr int long_running_share = 15;

} // namespace

bool was_refused_only(const soak_job& job)
{
    const auto is_refused = [](const job_call& item)
    {
        return item.method != "POST" || item.status == 429 ||
               item.status == 503;
    };
    return !job.calls.empty() &&
           std::all_of(job.calls.begin(), job.calls.end(), is_refused);
}

soak_job choose_job(std::mt19937& random)
{
    soak_job job;
    job.id = choose_id(random);
    job.is_long_running = choose(random, 1, long_running_share) == 1;
    const int count = job.is_long_running ? 1 : choose(random, 1, 3);
    for (int n = 0; n < count; ++n)
    {
        soak_step step;
        step.count = choose(random, 1, job.is_long_running ? 2 : 6);
        step.cpu_milli = 500 * choose(random, 1, job.is_long_running ? 2 : 6);
        step.duration_ms =
            job.is_long_running ? long_running_ms : choose(random, 50, 1'500);
        for (int earlier = 0; earlier < n; ++earlier)
        {
            if (choose(random, 0, 2) > 0)
            {
                step.after.push_back(earlier);
            }
        }
        job.steps.push_back(std::move(step));
    }
    return job;
}

soak_job choose_short_tasks(std::mt19937& random)
{
    soak_job job;
    job.id = choose_id(random);
    soak_step step;
    step.count = choose(random, 40, 80);
    step.cpu_milli = 100;
    step.duration_ms = choose(random, 50, 200);
    job.steps.push_back(std::move(step));
    return job;
}

soak_job choose_small_job(std::mt19937& random)
{
    soak_job job;
    job.id = choose_id(random);
    soak_step step;
    step.count = choose(random, 1, 2);
    step.cpu_milli = 500;
    step.duration_ms = choose(random, 50, 200);
    job.steps.push_back(step);
    return job;
}

std::string submission_of(const soak_job& job)
{
    std::string text;
    std::string steps;
    for (const soak_step& step : job.steps)
    {
        text += fmt::format("{}{}:{}", text.empty() ? "" : " ", step.cpu_milli,
                            step.duration_ms);
        steps += fmt::format(
            R"({}{{"count":{},"cpu":{},"memMb":100,"estimateMs":{})",
            steps.empty() ? "" : ",", step.count, step.cpu_milli,
            job.is_long_running ? 0 : step.duration_ms);
        if (!step.after.empty())
        {
            steps +=
                fmt::format(R"(,"after":[{}])", fmt::join(step.after, ","));
        }
        steps += job.is_long_running ? R"(,"longRunning":true})" : "}";
    }
    return fmt::format(R"({{"spec":"{}","steps":[{}]}})", text, steps);
}

std::string task_name(const std::string& job, std::size_t step, int index)
{
    return fmt::format("{}.0.{}.{}", job, step, index);
}

} // namespace egretspindle::bench
