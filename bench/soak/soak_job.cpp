#include "soak_job.hpp"

#include "common/platform_event.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>

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
// One job in this many has tasks that fail.
constexpr int failing_share = 6;
// One job in this many runs at given times.
constexpr int timed_share = 8;
// More runs than any task has.
constexpr int always = 1'000;

// Returns the Unix time at the start of the steady clock. It is the same for
// all submissions of a job, which must not differ.
std::int64_t unix_offset_ms()
{
    static const std::int64_t offset =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count() -
        standin::steady_ms();
    return offset;
}

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

soak_job choose_failing_or_timed_job(std::mt19937& random)
{
    soak_job job = choose_job(random);
    if (!job.is_long_running && choose(random, 1, failing_share) == 1)
    {
        job.steps.back().failures =
            choose(random, 0, 1) == 0 ? power_loss_max_attempts - 1 : always;
    }
    if (!job.is_long_running && choose(random, 1, timed_share) == 1)
    {
        job.repeat_count = choose(random, 1, 3);
        job.start_at_ms = standin::steady_ms() + choose(random, 0, 6'000);
        job.interval_ms = choose(random, 200, 3'000);
    }
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
        text += step.failures > 0 ? fmt::format(":{}", step.failures) : "";
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
    const std::string times =
        job.repeat_count == 0
            ? ""
            : fmt::format(R"(,"repeatCount":{},"startAtMs":{},"intervalMs":{})",
                          job.repeat_count, job.start_at_ms + unix_offset_ms(),
                          job.interval_ms);
    return fmt::format(R"({{"spec":"{}","steps":[{}]{}}})", text, steps, times);
}

std::string task_name(const std::string& job, std::size_t step, int index,
                      int occurrence)
{
    return fmt::format("{}.{}.{}.{}", job, occurrence, step, index);
}

} // namespace egretspindle::bench
