#include "egretspindle/request_path/request_router.hpp"

#include "egretspindle/core/error.hpp"
#include "egretspindle/core/rendezvous_hash.hpp"
#include "egretspindle/protocol/message_type.hpp"
#include "egretspindle/protocol/peer_client.hpp"
#include "egretspindle/protocol/submit_request.hpp"

#include <fmt/format.h>

#include <thread>

namespace egretspindle
{

namespace
{

// Added to the wait of a request for the timeout of the call that carries it.
constexpr milliseconds call_slack{2500};
constexpr milliseconds retry_delay{50};
// Covers the detection of a dead coordinator and the takeover of its keys.
constexpr milliseconds min_retry_time{6000};
constexpr milliseconds report_timeout{3000};
// After this many hops, the host that receives a report handles it itself.
constexpr int max_report_hops = 2;

bool is_retryable(const absl::Status& status)
{
    const error_kind kind = kind_of(status);
    return kind == error_kind::unavailable ||
           kind == error_kind::deadline_exceeded;
}

} // namespace

request_router::request_router(coordinator& local, membership_service& members,
                               rpc_client& client)
    : local_(local), members_(members), client_(client)
{
}

std::string request_router::coordinator_of(const std::string& key) const
{
    return host_of_shard(shard_of(key));
}

bool request_router::is_own_shard(int shard) const
{
    return host_of_shard(shard) == members_.options().name;
}

std::string request_router::host_of_shard(int shard) const
{
    const membership_options& self = members_.options();
    const std::vector<std::string> hosts =
        members_.live_hosts(self.data_center);
    const std::size_t n =
        rendezvous_choice(fmt::format("shard/{}", shard), hosts);
    return n < hosts.size() ? hosts[n] : self.name;
}

absl::StatusOr<request_reply>
request_router::call(const std::string& key, milliseconds limit,
                     const local_call& local, const remote_call& remote,
                     bool& is_outcome_unknown) const
{
    const time_point retry_deadline = steady_clock::now() + limit;
    while (true)
    {
        const std::string host = coordinator_of(key);
        const bool is_local = host == members_.options().name;
        const absl::StatusOr<request_reply> reply =
            is_local ? local() : remote(members_.address_of(host));
        if (reply.ok() || !is_retryable(reply.status()))
        {
            return reply;
        }
        is_outcome_unknown =
            is_outcome_unknown ||
            kind_of(reply.status()) == error_kind::deadline_exceeded;
        if (is_local || steady_clock::now() >= retry_deadline)
        {
            return reply;
        }
        std::this_thread::sleep_for(retry_delay);
    }
}

absl::StatusOr<request_reply> request_router::submit(const request_spec& spec,
                                                     milliseconds wait)
{
    const std::string key = key_of(spec);
    bool is_outcome_unknown = false;
    const absl::StatusOr<request_reply> reply = call(
        key, std::max(wait, min_retry_time),
        [&] { return local_.submit(spec, wait); },
        [&](const std::string& address)
        {
            return call_peer<request_reply>(
                client_, address, message_type::submit,
                submit_request{spec, wait.count()}, wait + call_slack);
        },
        is_outcome_unknown);
    if (reply.ok() || !is_retryable(reply.status()))
    {
        return reply;
    }
    request_reply last;
    last.key = key;
    last.result = is_outcome_unknown ? outcome::unknown : outcome::not_run;
    last.reason = std::string(reply.status().message());
    last.retry_after_ms = min_retry_time.count();
    return last;
}

absl::StatusOr<request_reply> request_router::wait(const key_query& query)
{
    bool is_outcome_unknown = false;
    const milliseconds wait(query.wait_ms);
    return call(
        query.key, std::max(wait, min_retry_time),
        [&] { return local_.wait(query); },
        [&](const std::string& address)
        {
            return call_peer<request_reply>(
                client_, address, message_type::wait, query, wait + call_slack);
        },
        is_outcome_unknown);
}

absl::StatusOr<request_reply> request_router::cancel(const std::string& key)
{
    bool is_outcome_unknown = false;
    return call(
        key, min_retry_time, [&] { return local_.cancel(key); },
        [&](const std::string& address)
        {
            return call_peer<request_reply>(client_, address,
                                            message_type::cancel,
                                            key_query{key, 0}, call_slack * 2);
        },
        is_outcome_unknown);
}

absl::Status request_router::report_end(const std::string& data_center,
                                        const ended_message& message)
{
    const membership_options& self = members_.options();
    const std::string& key = message.report.task.key;
    std::string host;
    if (data_center == self.data_center || data_center.empty())
    {
        host = coordinator_of(key);
        if (host == self.name || message.hops >= max_report_hops)
        {
            return local_.task_ended(message.report);
        }
    }
    else
    {
        const std::vector<std::string> hosts = members_.live_hosts(data_center);
        const std::size_t n = rendezvous_choice(key, hosts);
        if (n == hosts.size())
        {
            return make_error(error_kind::unavailable,
                              fmt::format("no host of '{}' is reachable; "
                                          "report it again later",
                                          data_center));
        }
        host = hosts[n];
    }
    ended_message forwarded = message;
    ++forwarded.hops;
    return call_peer<key_query>(client_, members_.address_of(host),
                                message_type::task_ended, forwarded,
                                report_timeout)
        .status();
}

} // namespace egretspindle
