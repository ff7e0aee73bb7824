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

constexpr std::string_view path_prefix = "/jobs/";
constexpr int submit_timeout_ms = 3'000;
constexpr int query_timeout_ms = 2'000;
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

std::string state_of(const std::string& body)
{
    const std::string key = R"("state":")";
    const std::size_t at = body.find(key);
    if (at == std::string::npos)
    {
        return "";
    }
    const std::size_t first = at + key.size();
    return body.substr(first, body.find('"', first) - first);
}

} // namespace

client::client(int number, unsigned seed, job_chooser choose_job,
               std::vector<host_endpoint> host_endpoints,
               const std::string& log_file)
    : number_(number), random_(seed), choose_job_(choose_job),
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

const job_call& client::call(soak_job& job, const std::string& method)
{
    const bool is_submission = method == "POST";
    const channel_reply reply = channel_->send(
        method, std::string(path_prefix) + job.id,
        is_submission ? submission_of(job) : "",
        milliseconds(is_submission ? submit_timeout_ms : query_timeout_ms));
    job_call item{method,        host_,
                  reply.status,  state_of(reply.body),
                  reply.sent_ms, reply.answered_ms};
    log_.append(fmt::format(
        "{} client={} host={} {} job={} status={} state={} took_ms={}{}",
        item.answered_ms, number_, host_, method, job.id, item.status,
        item.state, item.answered_ms - item.sent_ms,
        reply.is_closed ? (reply.was_reused ? " closed keep-alive" : " closed")
                        : ""));
    if (reply.is_closed && reply.was_reused)
    {
        interrupted_calls_.push_back(
            {host_, method, job.id, reply.sent_ms, reply.answered_ms});
    }
    job.calls.push_back(std::move(item));
    last_status_ = reply.status;
    if (reply.status == 0)
    {
        choose_endpoint();
    }
    return job.calls.back();
}

void client::submit(soak_job& job)
{
    const job_call& item = call(job, "POST");
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
        soak_job job = choose_job_(random_);
        // All long-running jobs are cancelled, and one in ten of the others.
        if (job.is_long_running || choose(0, 9) == 0)
        {
            job.cancel_due_ms =
                steady_ms() + choose(0, job.is_long_running
                                            ? max_long_running_ms
                                            : max_cancel_delay_ms);
        }
        jobs_.push_back(std::move(job));
        submit(jobs_.back());
    }
    else
    {
        // Older jobs have mostly ended, so a recent one is chosen.
        const int count = static_cast<int>(jobs_.size());
        soak_job& job = jobs_[static_cast<std::size_t>(
            choose(std::max(0, count - 30), count - 1))];
        if (job.accepted_ms > 0 && random_percent < 26)
        {
            submit(job);
        }
        else if (job.accepted_ms > 0)
        {
            query(job);
        }
    }
}

void client::run_settle_step()
{
    const std::size_t count = jobs_.size();
    for (std::size_t n = 0; n < count; ++n)
    {
        soak_job& job = jobs_[(settle_cursor_ + n) % count];
        if (job.is_abandoned || is_final(job))
        {
            continue;
        }
        settle_cursor_ = (settle_cursor_ + n + 1) % count;
        if (job.accepted_ms == 0)
        {
            submit(job);
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
    is_settled_ = true;
}

void client::run()
{
    while (phase_ != client_phase::stop)
    {
        if (phase_ == client_phase::load)
        {
            run_load_step();
        }
        else
        {
            run_settle_step();
        }
        const bool has_answer = last_status_ != 0;
        std::this_thread::sleep_for(
            milliseconds(has_answer ? choose(min_pause_ms, max_pause_ms)
                                    : choose(min_retry_ms, max_retry_ms)));
    }
}

} // namespace egretspindle::bench
