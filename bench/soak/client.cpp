#include "client.hpp"

#include "common/platform_event.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace egretspindle::bench
{

namespace
{

using standin::steady_ms;
using std::chrono::milliseconds;

// Pause between two calls: up to 14 calls a second for each client.
constexpr int min_pause_ms = 20;
constexpr int max_pause_ms = 120;
// A client without an answer waits this long before its next attempt.
constexpr int min_retry_ms = 100;
constexpr int max_retry_ms = 600;
// Longest time from the first submission of a job to its cancellation.
// Long-running jobs outlive a takeover of 3 s, a lease of 6 s and the margin
// after it.
constexpr int max_cancel_delay_ms = 6'000;
constexpr int max_long_running_ms = 20'000;
constexpr int percent = 100;
// Percentage of the calls before which a client switches to another host.
constexpr int switch_host_percent = 2;
// Percentage of the queries that are sent with others before the first
// response.
constexpr int pipelined_percent = 6;
// Time between two jobs of a pressing client.
constexpr int min_job_interval_ms = 50;
constexpr int max_job_interval_ms = 300;
} // namespace

client::client(int number, unsigned seed, job_chooser choose_job,
               const client_style& style,
               std::vector<host_endpoint> host_endpoints,
               const std::string& log_file)
    : number_(number), random_(seed), transport_random_(~seed),
      choose_job_(choose_job), style_(style),
      host_endpoints_(std::move(host_endpoints)), log_(log_file)
{
    choose_endpoint();
    thread_ = std::thread([this] { run(); });
}

client::~client()
{
    join();
}

void client::join()
{
    phase_ = client_phase::stop;
    if (thread_.joinable())
    {
        thread_.join();
    }
}

int client::choose(int min_value, int max_value)
{
    return std::uniform_int_distribution<int>(min_value, max_value)(random_);
}

void client::choose_endpoint()
{
    const host_endpoint& item = host_endpoints_[static_cast<std::size_t>(
        choose(0, static_cast<int>(host_endpoints_.size()) - 1))];
    host_ = item.host;
    channel_ = std::make_unique<http_channel>(item.address);
}

void client::submit(soak_job& job)
{
    apply_submission(job, call(job, "POST"));
}

void client::apply_submission(soak_job& job, const job_call& item)
{
    if (item.status / 100 == 2)
    {
        job.accepted_ms =
            job.accepted_ms == 0 ? item.answered_ms : job.accepted_ms;
    }
    else if (was_refused_only(job) && choose(0, 2) > 0)
    {
        job.is_abandoned = true;
    }
}

void client::query(soak_job& job)
{
    const job_call& item = call(job, "GET");
    if (!item.state.empty())
    {
        job.last_state = item.state;
    }
    job.is_known_at_end =
        phase_ == client_phase::settle && item.status / 100 == 2;
}

void client::cancel(soak_job& job)
{
    const job_call& item = call(job, "DELETE");
    if (item.status / 100 == 2)
    {
        job.last_state = item.state;
        if (item.state == "cancelled" && job.cancelled_ms == 0)
        {
            job.cancelled_ms = item.answered_ms;
        }
    }
}

soak_job* client::find_unanswered_submission()
{
    const auto it =
        std::find_if(jobs_.begin(), jobs_.end(),
                     [](const soak_job& job)
                     { return job.accepted_ms == 0 && !job.is_abandoned; });
    return it == jobs_.end() ? nullptr : &*it;
}

soak_job* client::find_due_cancel()
{
    const std::int64_t now = steady_ms();
    const auto it =
        std::find_if(jobs_.begin(), jobs_.end(),
                     [now](const soak_job& job)
                     {
                         return job.accepted_ms > 0 && job.cancel_due_ms > 0 &&
                                job.cancel_due_ms <= now && !is_final(job);
                     });
    return it == jobs_.end() ? nullptr : &*it;
}

void client::submit_new_job()
{
    soak_job job = choose_job_(random_);
    // All long-running jobs are cancelled, some of them only after the quiet
    // time, and one in ten of the others.
    const bool is_kept = job.is_long_running && style_.quiet_time.count() > 0 &&
                         choose_transport(0, 1) == 0;
    if (is_kept)
    {
        job.cancel_due_ms = still_running;
    }
    else if (job.is_long_running || choose(0, 9) == 0)
    {
        job.cancel_due_ms =
            steady_ms() + choose(0, job.is_long_running ? max_long_running_ms
                                                        : max_cancel_delay_ms);
    }
    jobs_.push_back(std::move(job));
    submit(jobs_.back());
}

soak_job& client::choose_recent_job()
{
    const int count = static_cast<int>(jobs_.size());
    return jobs_[static_cast<std::size_t>(
        choose(std::max(0, count - recent_job_count), count - 1))];
}

void client::run_load_step()
{
    soak_job* const unanswered = find_unanswered_submission();
    soak_job* const due = find_due_cancel();
    const int random_percent = choose(0, percent - 1);
    if (choose(0, percent - 1) < switch_host_percent)
    {
        choose_endpoint();
    }
    if (unanswered != nullptr && random_percent < 50)
    {
        submit(*unanswered);
    }
    else if (due != nullptr && random_percent < 75)
    {
        cancel(*due);
    }
    else if (jobs_.empty() || random_percent < 20)
    {
        submit_new_job();
    }
    else
    {
        soak_job& job = choose_recent_job();
        if (job.accepted_ms > 0 && random_percent < 26)
        {
            submit(job);
        }
        else if (job.accepted_ms > 0 &&
                 choose_transport(0, percent - 1) < pipelined_percent)
        {
            call_pipelined(job);
        }
        else if (job.accepted_ms > 0)
        {
            query(job);
        }
    }
}

void client::run_pressing_step()
{
    soak_job* const unanswered = find_unanswered_submission();
    soak_job* const due = find_due_cancel();
    const std::int64_t now = steady_ms();
    if (now >= next_job_ms_ && unanswered != nullptr)
    {
        next_job_ms_ = now + min_retry_ms;
        submit(*unanswered);
    }
    else if (now >= next_job_ms_)
    {
        next_job_ms_ = now + choose(min_job_interval_ms, max_job_interval_ms);
        submit_new_job();
    }
    else if (due != nullptr)
    {
        cancel(*due);
    }
    else if (soak_job& job = choose_recent_job(); job.accepted_ms == 0)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    else if (choose_transport(0, percent - 1) < pipelined_percent)
    {
        call_pipelined(job);
    }
    else
    {
        query(job);
    }
}

void client::run_settle_step()
{
    const std::size_t count = jobs_.size();
    if (settle_begun_ms_ == 0)
    {
        settle_begun_ms_ = steady_ms();
    }
    const bool is_quiet = steady_ms() - settle_begun_ms_ <
                          milliseconds(style_.quiet_time).count();
    bool is_waiting = false;
    const std::size_t first = settle_cursor_;
    for (std::size_t n = 0; n < count; ++n)
    {
        soak_job& job = jobs_[(first + n) % count];
        const bool is_over =
            job.is_abandoned || (is_final(job) && job.is_known_at_end);
        const bool is_kept =
            job.is_long_running && job.accepted_ms > 0 && is_quiet;
        is_waiting |= is_kept && !is_over;
        if (is_over || is_kept)
        {
            continue;
        }
        settle_cursor_ = (first + n + 1) % count;
        if (job.accepted_ms == 0)
        {
            submit(job);
        }
        else if (is_final(job))
        {
            // Needs no pause: one question for each job.
            query(job);
            if (job.is_known_at_end)
            {
                continue;
            }
        }
        else if (job.is_long_running || job.cancel_due_ms > 0)
        {
            cancel(job);
        }
        else
        {
            query(job);
        }
        return;
    }
    is_settled_ = !is_waiting;
}

void client::run()
{
    while (phase_ != client_phase::stop)
    {
        if (phase_ == client_phase::settle)
        {
            run_settle_step();
        }
        else if (style_.is_pressing)
        {
            run_pressing_step();
        }
        else
        {
            run_load_step();
        }
        pause();
    }
}

void client::pause()
{
    const bool has_answer = last_status_ != 0;
    if (!has_answer)
    {
        std::this_thread::sleep_for(
            milliseconds(choose(min_retry_ms, max_retry_ms)));
    }
    else if (style_.is_pressing && phase_ == client_phase::load)
    {
        std::this_thread::sleep_for(style_.pressing_pause);
    }
    else
    {
        std::this_thread::sleep_for(
            milliseconds(choose(min_pause_ms, max_pause_ms)));
    }
}

} // namespace egretspindle::bench
