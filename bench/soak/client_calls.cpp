#include "client.hpp"
#include "job_query.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string_view>

namespace egretspindle::bench
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view path_prefix = "/jobs/";
constexpr int submit_timeout_ms = 3'000;
constexpr int query_timeout_ms = 2'000;
constexpr int percent = 100;
// Percentage of the submissions that send their body late or in pieces.
constexpr int late_body_percent = 25;
constexpr int max_pipelined = 4;
constexpr int max_body_pieces = 4;
constexpr int max_body_pause_ms = 150;

channel_request make_request(const soak_job& job, const std::string& method)
{
    return {method, std::string(path_prefix) + job.id,
            method == "POST" ? submission_of(job) : ""};
}

milliseconds timeout_of(const std::string& method)
{
    return milliseconds(method == "POST" ? submit_timeout_ms
                                         : query_timeout_ms);
}

} // namespace

int client::choose_transport(int min_value, int max_value)
{
    return std::uniform_int_distribution<int>(min_value,
                                              max_value)(transport_random_);
}

body_pacing client::choose_pacing()
{
    if (choose_transport(0, percent - 1) >= late_body_percent)
    {
        return {};
    }
    return {choose_transport(1, max_body_pieces),
            milliseconds(choose_transport(1, max_body_pause_ms))};
}

const job_call& client::call(soak_job& job, const std::string& method)
{
    const channel_request request = make_request(job, method);
    const milliseconds timeout = timeout_of(method);
    const bool is_submission = method == "POST";
    const channel_reply reply = channel_->send(
        request, timeout, is_submission ? choose_pacing() : body_pacing{});
    const job_call& item = record_call(job, request, reply, timeout, 0);
    if (reply.status == 0)
    {
        choose_endpoint();
    }
    return item;
}

const job_call& client::record_call(soak_job& job,
                                    const channel_request& request,
                                    const channel_reply& reply,
                                    milliseconds timeout, int answered_before)
{
    job_call item{request.method,       host_,         reply.status,
                  state_in(reply.body), reply.sent_ms, reply.answered_ms};
    log_.append(fmt::format(
        "{} client={} host={} {} job={} status={} state={} took_ms={}{}{}{}",
        item.answered_ms, number_, host_, item.method, job.id, item.status,
        item.state, item.answered_ms - item.sent_ms,
        reply.is_closed ? (reply.was_reused ? " closed keep-alive" : " closed")
                        : "",
        answered_before > 0 ? " pipelined" : "",
        reply.is_sent ? "" : " not sent"));
    if (reply.status == 0 && reply.is_sent)
    {
        unanswered_calls_.push_back({host_, item.method, job.id, reply.sent_ms,
                                     reply.answered_ms, timeout.count(),
                                     reply.is_closed, reply.was_reused,
                                     answered_before});
    }
    job.calls.push_back(std::move(item));
    last_status_ = reply.status;
    return job.calls.back();
}

// Asks for several jobs at once, after a repeated submission at times.
void client::call_pipelined(soak_job& first)
{
    std::vector<soak_job*> asked{&first};
    std::vector<channel_request> requests{
        make_request(first, choose_transport(0, 3) == 0 ? "POST" : "GET")};
    const int count = choose_transport(2, max_pipelined);
    const int last = static_cast<int>(jobs_.size()) - 1;
    while (static_cast<int>(asked.size()) < count)
    {
        soak_job& job = jobs_[static_cast<std::size_t>(
            choose_transport(std::max(0, last - recent_job_count), last))];
        // The first one is accepted, and so is each job that is asked for.
        asked.push_back(job.accepted_ms > 0 ? &job : &first);
        requests.push_back(make_request(*asked.back(), "GET"));
    }
    const milliseconds timeout = timeout_of("GET");
    const std::vector<channel_reply> replies =
        channel_->send_pipelined(requests, timeout);
    int answered_before = 0;
    for (std::size_t n = 0; n < replies.size(); ++n)
    {
        if (replies[n].is_not_taken)
        {
            break;
        }
        const job_call& item = record_call(*asked[n], requests[n], replies[n],
                                           timeout, answered_before);
        answered_before += item.status != 0 ? 1 : 0;
        if (item.method == "GET" && !item.state.empty())
        {
            asked[n]->last_state = item.state;
        }
    }
    if (last_status_ == 0)
    {
        choose_endpoint();
    }
}

} // namespace egretspindle::bench
